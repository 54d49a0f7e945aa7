//! A request that runs at an endpoint.

use smol_str::SmolStr;

use crate::backlog::Rank;
use crate::event_pace::StreamPace;
use crate::rollout_traffic::Sample;
use crate::unit::Instant;

/// A request that was sent to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) endpoint: SmolStr,
    pub(crate) rank: Rank,
    pub(crate) slot_ms: f64,
    pub(crate) first_event_ms: f64,
    /// The expected prefill time until the first event arrives, zero from then on.
    pub(crate) pending_prefill_ms: f64,
    pub(crate) started: Instant,
    /// The events of its response, if it is a stream.
    pub(crate) pace: StreamPace,
    /// How the response counts while a version is rolled out.
    pub(crate) sample: Option<Sample>,
}

impl Run {
    /// Returns the time since the start, as a multiple of the expected time to the first event.
    pub(crate) fn first_event_factor(&self, now: Instant) -> f64 {
        now.since(self.started).0 as f64 / self.first_event_ms.max(1.0)
    }
}
