//! What an endpoint that is much slower than its pool may take.
//!
//! Load pattern: engines of one pool differ in speed by several times, and the pool is nearly full. While a
//! slow engine reads a long prompt, the streams that it runs pause for longer than their callers accept, and a
//! long answer does not end there before its deadline. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#placing).

use crate::pool_endpoint::{Demand, PoolEndpoint};
use crate::unit::{Instant, Millis};

/// The time factor, relative to the pool median, above which an endpoint gets only streams that do
/// well there.
const SLOW_TIME_FACTOR: f64 = 2.0;
/// The time factor, relative to the pool median, above which an endpoint without streams runs one probe
/// request at a time.
const PROBED_TIME_FACTOR: f64 = 3.0;
/// The share of the gap that callers accept in which a busy endpoint may read prompts.
///
/// Its streams need the rest for the tokens of the next event.
const MAX_STALL_SHARE: f64 = 0.5;
/// The share of the time left to its deadline in which a stream is expected to end.
///
/// The length of an answer is known only vaguely, and later prompts delay it.
const MAX_DURATION_SHARE: f64 = 0.5;

/// How long a process sends nothing to a slow endpoint before it sends any request as a probe, without which
/// it would not notice that the endpoint is fast again.
const PROBE_INTERVAL: Millis = Millis(5_000);

/// What the slow endpoints of a pool may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowLimits {
    /// The median time factor of the pool.
    median: f64,
}

impl SlowLimits {
    /// No endpoint counts as slow.
    pub(crate) const NONE: SlowLimits = SlowLimits {
        median: f64::INFINITY,
    };

    /// Creates the limits for a pool with the given median time factor.
    pub(crate) fn new(median: f64) -> Self {
        SlowLimits { median }
    }

    /// Returns whether an endpoint counts as slow.
    pub(crate) fn is_slow(self, endpoint: &PoolEndpoint) -> bool {
        endpoint.time_factor > SLOW_TIME_FACTOR * self.median
    }

    /// Returns whether an endpoint may take a request.
    pub(crate) fn allow(self, endpoint: &PoolEndpoint, demand: &Demand, now: Instant) -> bool {
        let is_probe_due = now.since(endpoint.sent_at) >= PROBE_INTERVAL;
        if !self.is_slow(endpoint) || is_probe_due {
            return true;
        }
        let factor = endpoint.time_factor / self.median;
        let Some(gap) = demand.gap_objective else {
            return factor <= PROBED_TIME_FACTOR || endpoint.own_running == 0;
        };
        let stall_ms = (endpoint.prefill_ms() + demand.prefill_ms) * factor;
        let stalls_others = endpoint.load(now) > 0 && stall_ms > share_of(gap, MAX_STALL_SHARE);
        let duration_ms = demand.slot_ms * factor;
        !stalls_others && duration_ms <= share_of(demand.deadline_left, MAX_DURATION_SHARE)
    }
}

fn share_of(span: Millis, share: f64) -> f64 {
    span.0 as f64 * share
}
