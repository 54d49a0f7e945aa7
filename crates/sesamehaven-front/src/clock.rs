//! The clock of a front, which goes on while its VM is suspended.
//!
//! What ages here is trust in keys and in other processes' words, and that ages
//! during a suspension as well. The steady clock stands still then, and the
//! time of day jumps.

use nix::time::{ClockId, clock_gettime};
use sesamehaven::unit::Instant;

/// Returns the milliseconds since the VM was booted.
///
/// # Panics
///
/// Panics when the system has no such clock, on which all of this rests.
pub fn now() -> Instant {
    let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else {
        panic!("the system has no clock that counts suspended time");
    };
    let secs = u64::try_from(time.tv_sec()).unwrap_or_default();
    let millis = u64::try_from(time.tv_nsec() / 1_000_000).unwrap_or_default();
    Instant(secs * 1_000 + millis)
}
