//! What a caller is told about a request, and why it was not run.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::tier::Tier;
use crate::unit::Millis;

/// Why a request was refused before it was dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full of work of the same or a more urgent tier.
    Full,
    /// Queued work was evicted to make room for a more urgent tier.
    Evicted,
    /// The deadline cannot be met any more.
    #[serde(rename = "Doomed")]
    DeadlineUnreachable,
    /// The organisation is over its limit.
    Limited,
    /// The endpoint is leaving.
    Leaving,
    /// No endpoint of the pool can be reached or is healthy.
    Unavailable,
    /// The platform is needed for this class and does not answer.
    PlatformDown,
    /// Requests with this content have crashed endpoints.
    Quarantined,
    /// The caller went away while the request was queued.
    Abandoned,
}

impl Refusal {
    /// Returns the stable code that callers and counters see.
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

    /// Returns whether another agent of the pool may still take the request.
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

    /// Returns whether there was only no room, so that the same agent may be
    /// asked again when its promise is over.
    ///
    /// See [`docs/POLICY.md`](../../../docs/POLICY.md#shedding).
    pub fn is_capacity(self) -> bool {
        matches!(self, Refusal::Full | Refusal::Evicted)
    }

    /// Returns whether the caller itself is over its limit, as opposed to the pool.
    pub fn is_caller_limit(self) -> bool {
        matches!(self, Refusal::Limited)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A refusal with what the caller or the entry needs to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Why the request was not run.
    pub reason: Refusal,
    /// When it is worth trying again.
    pub retry_after: Millis,
    /// The least urgent tier that would have been taken, if any.
    pub admits: Option<Tier>,
}
