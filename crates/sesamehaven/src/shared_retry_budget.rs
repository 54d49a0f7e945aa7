//! A budget of retries that several processes have in common.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#the-budget-of-second-sends).

use std::fmt::{self, Display, Formatter};

use crate::sliding_window::SlidingWindow;
use crate::unit::{Instant, Millis};

/// The share of the budget that may be used, since the number of processes is only as recent as their last
/// messages.
const USABLE_SHARE: f64 = 0.85;
/// The share of the usable budget that is earned as requests arrive and time passes; the rest is what may be saved
/// up for a moment when many endpoints fail.
const EARNED_SHARE: f64 = 0.7;

/// The share of one process in a retry budget that all processes have in common.
///
/// The part in proportion to requests needs no coordination; the constant part is
/// divided evenly.
///
/// # Restarts
///
/// What a process has spent is lost with it, so a window of spent retries would let the next one spend the same
/// again. The budget is a balance instead: a part of it is earned as requests arrive and time passes, and
/// the rest only bounds what may be saved up. Within any window a process spends no more than it had saved and
/// has earned since, which is its share of the budget, and one that starts has nothing saved but the margin
/// that its predecessor could not use.
///
/// ```
/// use sesamehaven::shared_retry_budget::SharedRetryBudget;
/// use sesamehaven::unit::{Instant, Millis};
///
/// let mut budget = SharedRetryBudget::new(0.2, 0.0, Millis(10_000), Instant(0));
/// assert!(!budget.try_consume(1, Instant(0)));
/// for now in 0..100 {
///     budget.on_request(1, Instant(now));
/// }
/// assert!(budget.try_consume(1, Instant(100)));
/// ```
#[derive(Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    slack: f64,
    requests: SlidingWindow,
    /// The retries that may be made now; [`None`] until the number of processes is told first.
    balance: Option<f64>,
    /// Up to when the constant part was earned.
    earned_until: Instant,
}

impl SharedRetryBudget {
    /// Creates the budget of a process that starts at `now`: `ratio` of the requests within
    /// `window`, plus `slack` for all processes together.
    pub fn new(ratio: f64, slack: f64, window: Millis, now: Instant) -> Self {
        SharedRetryBudget {
            ratio,
            slack,
            requests: SlidingWindow::new(window),
            balance: None,
            earned_until: now,
        }
    }

    /// Records a request, while there are as many processes as given.
    pub fn on_request(&mut self, processes: usize, now: Instant) {
        self.requests.expire(now);
        self.requests.add(1.0, now);
        let earned = self.ratio * USABLE_SHARE * EARNED_SHARE;
        self.earn(earned, processes, now);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_consume(&mut self, processes: usize, now: Instant) -> bool {
        let balance = self.level(processes, now).balance;
        if balance < 1.0 {
            return false;
        }
        self.balance = Some(balance - 1.0);
        true
    }

    /// Returns how many retries are left.
    pub fn level(&mut self, processes: usize, now: Instant) -> BudgetLevel {
        self.requests.expire(now);
        let balance = self.earn(0.0, processes, now);
        BudgetLevel { balance, processes }
    }

    /// Adds what was earned by requests and what the time since the last call has earned of the constant part, up
    /// to what may be saved up; returns the balance.
    fn earn(&mut self, by_requests: f64, processes: usize, now: Instant) -> f64 {
        let slack = self.slack / processes.max(1) as f64;
        let windows = now.since(self.earned_until).0 as f64 / self.requests.span().0.max(1) as f64;
        self.earned_until = self.earned_until.max(now);
        let by_time = slack * USABLE_SHARE * EARNED_SHARE * windows;
        let budget = (self.ratio * self.requests.sum + slack) * USABLE_SHARE;
        // Otherwise, a process with few requests in a large fleet could never save up a retry.
        let max = (budget * (1.0 - EARNED_SHARE)).max(1.0);
        let margin = slack * (1.0 - USABLE_SHARE);
        let balance = self.balance.unwrap_or(margin) + by_requests + by_time;
        *self.balance.insert(balance.min(max))
    }
}

/// How much one process has left of its share of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLevel {
    /// The retries that it may make now.
    pub balance: f64,
    /// The number of processes among which the constant part is divided.
    pub processes: usize,
}

impl BudgetLevel {
    /// Returns whether a retry is left.
    pub fn is_left(&self) -> bool {
        self.balance >= 1.0
    }
}

impl Display for BudgetLevel {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let BudgetLevel { balance, processes } = self;
        write!(f, "{balance:.1} left, {processes} processes")
    }
}
