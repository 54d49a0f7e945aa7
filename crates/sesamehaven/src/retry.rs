//! The retry budget of a pool, for repeating idempotent calls.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#retries-and-hedges).

use crate::config::Repeat;

/// The cost of one retry or hedge, in thousandths.
const RETRY_COST: u32 = 1_000;

/// The budget of a pool from which retries and hedges are paid.
///
/// Only successful first attempts add to it. Under overload, when few attempts succeed,
/// the budget is exhausted, so retries never add more than their share to the work that
/// the pool completes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u32,
    income_per_success: u32,
    max: u32,
}

impl RetryBudget {
    /// The default income per success, in percent of a retry.
    pub const DEFAULT_PERCENT: u32 = 10;
    /// The default number of retries that a pool may accumulate.
    pub const DEFAULT_BURST: u32 = 10;

    /// Creates a full budget of `burst` retries.
    ///
    /// Each success adds `percent` hundredths of a retry.
    pub fn new(percent: u32, burst: u32) -> Self {
        let max = burst.saturating_mul(RETRY_COST);
        RetryBudget {
            balance: max,
            income_per_success: percent.saturating_mul(RETRY_COST / 100),
            max,
        }
    }

    /// Records the success of a first attempt.
    pub fn on_success(&mut self) {
        self.balance = self
            .balance
            .saturating_add(self.income_per_success)
            .min(self.max);
    }

    /// Pays for a retry of a dispatched call; returns false if it may not be retried.
    ///
    /// Only idempotent calls may be retried.
    pub fn retry(&mut self, repeat: Repeat) -> bool {
        if repeat != Repeat::Idempotent || self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    /// Pays for a second copy of a slow call; returns false if it may not be hedged.
    ///
    /// Hedges leave half of the budget to retries.
    pub fn hedge(&mut self, repeat: Repeat) -> bool {
        let available = self.balance.saturating_sub(self.max / 2);
        available >= RETRY_COST && self.retry(repeat)
    }

    /// Returns the number of retries left.
    pub fn remaining(&self) -> u32 {
        self.balance / RETRY_COST
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(Self::DEFAULT_PERCENT, Self::DEFAULT_BURST)
    }
}
