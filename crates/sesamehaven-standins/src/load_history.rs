//! Load reports that lag behind the engine.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// The load as the engine reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Jobs in the batch.
    pub running: usize,
    /// Jobs that wait for a place.
    pub waiting: usize,
    /// Prompt tokens of the batch that are still to be computed.
    pub prefill_tokens: u64,
    /// Prompt tokens that the cache holds.
    pub cached_tokens: u64,
}

/// Loads of the recent past.
#[derive(Debug, Default)]
pub struct LoadHistory(VecDeque<(Instant, Load)>);

impl LoadHistory {
    /// Notes the load of this moment, and forgets what no report shows any more.
    pub fn record(&mut self, load: Load, lag: Duration, now: Instant) {
        if self.0.back().is_none_or(|(_, last)| *last != load) {
            self.0.push_back((now, load));
        }
        let shown = |at: Instant| at + lag <= now;
        while self.0.get(1).is_some_and(|(at, _)| shown(*at)) {
            self.0.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    pub fn report(&self, lag: Duration, now: Instant) -> Load {
        let shown = self.0.iter().rev().find(|(at, _)| *at + lag <= now);
        shown.map(|(_, load)| *load).unwrap_or_default()
    }
}
