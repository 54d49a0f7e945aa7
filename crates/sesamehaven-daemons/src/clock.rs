//! Clocks of the daemons, which are passed to the library's decisions.

use std::sync::OnceLock;
use std::time::{Instant as StdInstant, SystemTime, UNIX_EPOCH};

use sesamehaven::id::Incarnation;
use sesamehaven::unit::Instant;

/// Returns the monotonic time in milliseconds since the first call in this process.
pub fn now() -> Instant {
    static ORIGIN: OnceLock<StdInstant> = OnceLock::new();
    let elapsed = ORIGIN.get_or_init(StdInstant::now).elapsed();
    Instant(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    wall_micros() / 1_000
}

/// Returns the incarnation of a process that starts now: the wall clock in
/// microseconds since the Unix epoch.
pub fn incarnation() -> Incarnation {
    Incarnation(wall_micros())
}

fn wall_micros() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
