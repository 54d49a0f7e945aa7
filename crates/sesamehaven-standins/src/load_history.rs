//! Load reports that lag behind the engine.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// The load that an engine reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// The number of jobs in the batch.
    pub running: usize,
    /// The number of jobs waiting for a slot.
    pub waiting: usize,
    /// The prompt tokens of the batch that remain to be computed.
    pub prefill_tokens: u64,
    /// The prompt tokens in the prefix cache.
    pub cached_tokens: u64,
}

/// Recent loads with the time of each change.
#[derive(Debug, Default)]
pub struct LoadHistory(VecDeque<(Instant, Load)>);

impl LoadHistory {
    /// Records the current load and drops the loads that are too old to be reported.
    pub fn record(&mut self, load: Load, lag: Duration, now: Instant) {
        if self.0.back().is_none_or(|(_, last)| *last != load) {
            self.0.push_back((now, load));
        }
        let is_reportable = |at: Instant| at + lag <= now;
        while self.0.get(1).is_some_and(|(at, _)| is_reportable(*at)) {
            self.0.pop_front();
        }
    }

    /// Returns the load at `lag` before `now`.
    pub fn report(&self, lag: Duration, now: Instant) -> Load {
        let reported = self.0.iter().rev().find(|(at, _)| *at + lag <= now);
        reported.map(|(_, load)| *load).unwrap_or_default()
    }
}
