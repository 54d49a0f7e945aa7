//! How long an entry waits for the homes of idempotency keys.

use sesamehaven::unit::{Instant, Millis};

/// Maximum time to wait for a home's reply, in which a home that is lost is replaced.
///
/// See [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).
const HOME_TIMEOUT: Millis = Millis(5_000);
/// Time for which a release may wait beyond the deadline of its request.
const RELEASE_TIMEOUT: Millis = Millis(500);
/// Time before its deadline at which a request that waits for a home is decided,
/// which leaves time for the answer to the caller.
const DEADLINE_MARGIN: Millis = Millis(30);

/// Returns until when a claim or a move waits for its home.
pub(crate) fn claim_deadline(now: Instant, deadline: Instant) -> Instant {
    let latest = Instant(deadline.0.saturating_sub(DEADLINE_MARGIN.0));
    now.after(HOME_TIMEOUT).min(latest)
}

/// Returns until when a caller waits for the confirmation that its key was released.
///
/// Without it the caller cannot be told that its request was not run.
pub(crate) fn release_deadline(now: Instant, deadline: Instant) -> Instant {
    let at_least = now.after(RELEASE_TIMEOUT);
    claim_deadline(now, deadline).max(at_least)
}
