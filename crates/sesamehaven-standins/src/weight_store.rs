//! The weight store, which limits the rate of weight fetches.

use std::time::{Duration, Instant};

/// A token bucket that grants fetches at a fixed rate, with bursts of up to one
/// second's worth and at least one fetch.
#[derive(Debug)]
pub struct WeightStore {
    per_second: f64,
    tokens: f64,
    updated: Instant,
}

impl WeightStore {
    /// Builds a store that grants one fetch immediately.
    pub fn new(per_second: f64, now: Instant) -> Self {
        WeightStore {
            per_second,
            tokens: 1.0,
            updated: now,
        }
    }

    /// Acquires the right to one fetch.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next grant when the rate is exhausted.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        let burst = self.per_second.max(1.0);
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(burst);
        self.updated = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.tokens) / self.per_second.max(1e-3);
        Err(Duration::from_secs_f64(wait_s))
    }
}
