//! The reasons why a request was not run, as reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::tier::Tier;
use crate::unit::Millis;

/// The reason why a request was refused before dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full of work of the same or a more urgent tier.
    Full,
    /// The request was evicted from the queue in favour of a more urgent tier.
    Evicted,
    /// The deadline can no longer be met.
    #[serde(rename = "Doomed")]
    DeadlineUnreachable,
    /// The organisation exceeded its limit.
    Limited,
    /// The endpoint is leaving.
    Leaving,
    /// No endpoint of the pool is reachable and healthy.
    Unavailable,
    /// The class requires the platform, which does not respond.
    PlatformDown,
    /// Requests with this content have crashed endpoints.
    Quarantined,
    /// The caller disconnected while the request was queued.
    Abandoned,
}

impl Refusal {
    /// Returns the stable code used in responses and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::Full => "pool_full",
            Refusal::Evicted => "evicted",
            Refusal::DeadlineUnreachable => "deadline_unreachable",
            Refusal::Limited => "organisation_limit",
            Refusal::Leaving => "endpoint_leaving",
            Refusal::Unavailable => "pool_unavailable",
            Refusal::PlatformDown => "platform_unavailable",
            Refusal::Quarantined => "quarantined",
            Refusal::Abandoned => "caller_gone",
        }
    }

    /// Returns whether another agent of the pool may still accept the request.
    pub fn may_retry_elsewhere(self) -> bool {
        matches!(
            self,
            Refusal::Full
                | Refusal::Evicted
                | Refusal::DeadlineUnreachable
                | Refusal::Leaving
                | Refusal::Unavailable
        )
    }

    /// Returns whether only capacity was lacking, so that the same agent may be
    /// offered the request again.
    ///
    /// After a refusal as full, no request of the same or a less urgent tier is offered
    /// to the endpoint for [`FULL_COOLDOWN`](crate::gate::FULL_COOLDOWN).
    /// See [`docs/POLICY.md`](../../../docs/POLICY.md#shedding).
    pub fn is_lack_of_capacity(self) -> bool {
        matches!(self, Refusal::Full | Refusal::Evicted)
    }

    /// Returns whether the caller exceeded its own limit, as opposed to the pool's.
    pub fn is_caller_limit(self) -> bool {
        matches!(self, Refusal::Limited)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A refusal, with the information that a caller or an entry needs to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason for the refusal.
    pub reason: Refusal,
    /// The recommended delay before a retry.
    pub retry_after: Millis,
    /// The least urgent tier that would have been accepted, if any.
    pub admits: Option<Tier>,
}
