//! The front's clock, which keeps running while its VM is suspended.
//!
//! The ages of the configuration and of other fronts' reports must include a suspension. The
//! monotonic clock stops during it, and the wall clock may jump.

use nix::time::{ClockId, clock_gettime};
use sesamehaven::unit::Instant;

/// Returns the milliseconds since the VM was booted.
///
/// # Panics
///
/// Panics if the system has no such clock, because no age could be computed without it.
pub fn now() -> Instant {
    let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else {
        panic!("the system clock CLOCK_BOOTTIME is not available");
    };
    let secs = u64::try_from(time.tv_sec()).unwrap_or_default();
    let millis = u64::try_from(time.tv_nsec() / 1_000_000).unwrap_or_default();
    Instant(secs * 1_000 + millis)
}
