//! A request as a dispatcher decides by it.

use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};

use crate::backlog::{Length, Rank, Ticket};
use crate::limit_use::LimitUse;
use crate::placement::Demand;
use crate::software_version::PoolVersion;
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The share of the objective that a started request needs up to its first token.
const FIRST_TOKEN_SHARE: f64 = 0.3;

/// The properties of a request that the dispatcher decides by.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The class of the request.
    pub class: SmolStr,
    /// The rank.
    pub rank: Rank,
    /// When the first byte of the request arrived.
    pub arrived: Instant,
    /// When the caller sent the request for the first time, before any refusals; the
    /// objective counts from this time.
    pub first_sent: Instant,
    /// The time within which the response, or its first event, is on time.
    pub objective: Millis,
    /// The gap between events up to which a stream is on time, or [`None`] for other responses.
    pub gap_objective: Option<Millis>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The expected time in a slot at an endpoint of average speed, in milliseconds.
    pub slot_ms: f64,
    /// The expected time to the first event at an endpoint of average speed, in milliseconds.
    pub first_event_ms: f64,
    /// The part of it in which an endpoint reads this prompt and no other one, in milliseconds.
    pub prefill_ms: f64,
    /// The session or prefix whose cached prompt the request can reuse.
    pub session: Option<u64>,
    /// The endpoints that have been tried already.
    pub tried: SmallVec<[SmolStr; 2]>,
    /// The software version that began its stream, if it goes on with one; it runs only there.
    pub version: Option<PoolVersion>,
    /// How much of its limit its organisation has used, or the average if it has none.
    pub limit_use: LimitUse,
}

impl Work {
    /// Creates a request of average length without a session.
    pub fn new(class: &str, tier: Tier, objective: Millis, arrived: Instant) -> Self {
        Work {
            class: class.into(),
            rank: tier.into(),
            arrived,
            first_sent: arrived,
            objective,
            gap_objective: None,
            deadline: arrived.after(Millis(objective.0 * 8)),
            slot_ms: 100.0,
            first_event_ms: 50.0,
            prefill_ms: 0.0,
            session: None,
            tried: SmallVec::new(),
            version: None,
            limit_use: LimitUse::default(),
        }
    }

    /// Returns what the request demands of an endpoint; `time_factor` is how much longer requests
    /// take in the pool than expected.
    pub(crate) fn demand(&self, ticket: Ticket, time_factor: f64, now: Instant) -> Demand {
        let due = self.first_sent.after(self.objective);
        Demand {
            session: self.session,
            is_long: self.length().is_long(),
            first_event_ms: self.first_event_ms,
            prefill_ms: self.prefill_ms,
            slot_ms: self.slot_ms * time_factor,
            objective: self.objective,
            gap_objective: self.gap_objective,
            deadline_left: self.deadline.since(now),
            time_left: (due > now).then(|| due.since(now)),
            tie_breaker: ticket.0,
            version: self.version,
        }
    }

    /// Returns the class in which the request waits.
    ///
    /// Streams that go on at one version wait apart, so that they never hold up requests that may
    /// start anywhere.
    pub(crate) fn queue_class(&self) -> SmolStr {
        match self.version {
            Some(version) => format_smolstr!("{}@{version}", self.class),
            None => self.class.clone(),
        }
    }

    pub(crate) fn length(&self) -> Length {
        Length::of(self.slot_ms)
    }

    /// Returns the latest start at which the objective is still met.
    pub(crate) fn latest_on_time_start(&self) -> Instant {
        let share = self.share_of_objective(1.0 - FIRST_TOKEN_SHARE);
        self.first_sent.after(share)
    }

    pub(crate) fn share_of_objective(&self, share: f64) -> Millis {
        Millis((self.objective.0 as f64 * share) as u64)
    }
}
