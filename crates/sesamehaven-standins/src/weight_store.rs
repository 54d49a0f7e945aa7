//! The weight store, which grants fetches at a rate.

use std::time::{Duration, Instant};

/// Grants of fetches: a bucket that fills at a rate.
#[derive(Debug)]
pub struct WeightStore {
    per_second: f64,
    granted: f64,
    updated: Instant,
}

impl WeightStore {
    /// Builds a store that grants one fetch at once.
    pub fn new(per_second: f64, now: Instant) -> Self {
        WeightStore {
            per_second,
            granted: 1.0,
            updated: now,
        }
    }

    /// Takes one grant.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait when there is none.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let burst = self.per_second.max(1.0);
        self.granted = (self.granted + passed * self.per_second).min(burst);
        self.updated = now;
        if self.granted >= 1.0 {
            self.granted -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.granted) / self.per_second.max(1e-3);
        Err(Duration::from_secs_f64(wait_s))
    }
}
