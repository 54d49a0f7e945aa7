//! The budget for running idempotent work again.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#retries-and-hedges).

use crate::config::Repeat;

/// What one retry or hedge costs, in thousandths.
const RETRY_COST: u32 = 1_000;

/// A budget of one pool that retries and hedges are paid from.
///
/// Only first attempts that succeed pay in. In an overload, where few attempts
/// succeed, the budget runs dry, so that retries never add more than their
/// share of the work that the pool gets done.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u32,
    income: u32,
    most: u32,
}

impl RetryBudget {
    /// The income for each success that suits most pools, in percent of a retry.
    pub const DEFAULT_PERCENT: u32 = 10;
    /// The retries that a pool may save up.
    pub const DEFAULT_BURST: u32 = 10;

    /// Starts with a full budget of `burst` retries.
    ///
    /// Each success pays in `percent` hundredths of a retry.
    pub fn new(percent: u32, burst: u32) -> Self {
        let most = burst.saturating_mul(RETRY_COST);
        RetryBudget {
            balance: most,
            income: percent.saturating_mul(RETRY_COST / 100),
            most,
        }
    }

    /// Notes that a first attempt succeeded.
    pub fn on_success(&mut self) {
        self.balance = self.balance.saturating_add(self.income).min(self.most);
    }

    /// Returns whether a dispatched call may run again, and pays for it.
    ///
    /// Calls that are not idempotent never may.
    pub fn retry(&mut self, repeat: Repeat) -> bool {
        if repeat != Repeat::Idempotent || self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    /// Returns whether a second copy of a slow call may run, and pays for it.
    ///
    /// Hedges leave half of the budget to retries.
    pub fn hedge(&mut self, repeat: Repeat) -> bool {
        let spare = self.balance.saturating_sub(self.most / 2);
        spare >= RETRY_COST && self.retry(repeat)
    }

    /// Returns the retries that are left.
    pub fn remaining(&self) -> u32 {
        self.balance / RETRY_COST
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(Self::DEFAULT_PERCENT, Self::DEFAULT_BURST)
    }
}
