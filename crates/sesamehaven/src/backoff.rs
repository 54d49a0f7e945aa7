//! Exponential backoff between attempts.

use crate::unit::Millis;

/// Exponential backoff with jitter: delays double with each failure.
///
/// # Example
///
/// ```
/// use sesamehaven::backoff::Backoff;
/// use sesamehaven::unit::Millis;
///
/// let mut backoff = Backoff::new(Millis(100), Millis(1_000));
/// let delay = backoff.next(7);
/// assert!(delay >= Millis(50) && delay <= Millis(100));
/// ```
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Millis,
    max: Millis,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delays double from `min` to `max`, before jitter.
    ///
    /// Jitter shortens a delay by up to half.
    pub fn new(min: Millis, max: Millis) -> Self {
        Backoff {
            min,
            max: max.max(min),
            failures: 0,
        }
    }

    /// Returns the next delay; `draw` is a random number.
    ///
    /// At least half of the delay is kept, so that a failing peer is never contacted again
    /// at once.
    pub fn next(&mut self, draw: u64) -> Millis {
        let factor = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let span = self.min.0.saturating_mul(factor).min(self.max.0);
        self.failures = self.failures.saturating_add(1).min(63);
        let half = span / 2;
        Millis(span - half + draw % (half + 1))
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
