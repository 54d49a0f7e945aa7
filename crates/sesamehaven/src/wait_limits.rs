//! How long a request may wait for a slot.
//!
//! Load pattern: more is asked than can run, so a request that would be late is better refused at once, when
//! its caller can still come back. See [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

use crate::unit::{Instant, Millis};
use crate::work::Work;

/// The longest accepted expected wait for a slot, as a share of the objective, counted
/// from the arrival of the request at this process.
const WAIT_SHARE: f64 = 0.6;
/// The same for the highest rank, whose requests are worth serving late.
const URGENT_WAIT_SHARE: f64 = 2.0;
/// The share of the objective after which a waiting request is refused, counted from its
/// arrival at this process.
const GIVE_UP_SHARE: f64 = 1.2;
/// The same for the highest rank.
const URGENT_GIVE_UP_SHARE: f64 = 3.0;

/// The limits of the wait of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitLimits {
    /// The longest expected wait with which it is queued, counted from its arrival at this process.
    pub(crate) max_wait: Millis,
    /// When it is refused if it has not started.
    pub(crate) give_up_at: Instant,
}

impl WaitLimits {
    /// Returns the limits of a request, which are longer for the highest rank.
    pub(crate) fn of(work: &Work, is_urgent: bool) -> Self {
        let (wait_share, give_up_share) = match is_urgent {
            true => (URGENT_WAIT_SHARE, URGENT_GIVE_UP_SHARE),
            false => (WAIT_SHARE, GIVE_UP_SHARE),
        };
        let give_up_at = work.arrived.after(work.share_of_objective(give_up_share));
        WaitLimits {
            max_wait: work.share_of_objective(wait_share),
            give_up_at: give_up_at.min(work.deadline),
        }
    }
}

/// Returns how long it takes until the limits that endpoints have named let a request through behind
/// those that wait; `rate` is what they take together in a second, if all of them have named one.
pub(crate) fn limited_wait(rate: Option<f64>, waiting: usize) -> Millis {
    match rate {
        Some(rate) if rate > 0.0 => Millis((waiting as f64 / rate * 1_000.0) as u64),
        _ => Millis(0),
    }
}
