//! The parts of prompts that endpoints have answered lately.

use std::collections::HashMap;

use crate::part_id::PartId;
use crate::unit::{Instant, Millis};

/// The maximum number of parts in each of the two generations of those that were answered.
const MAX_ANSWERED: usize = 4_096;
/// How long a generation of answered parts lasts.
const ANSWERED_GENERATION: Millis = Millis(60_000);

/// When parts were last answered, for one to two generations.
#[derive(Debug, Default)]
pub(crate) struct AnsweredParts {
    current: HashMap<PartId, Instant>,
    previous: HashMap<PartId, Instant>,
    since: Instant,
}

impl AnsweredParts {
    /// Records that a part was answered.
    pub(crate) fn record(&mut self, part: PartId, at: Instant, now: Instant) {
        let is_full = self.current.len() >= MAX_ANSWERED;
        if is_full || now.since(self.since) >= ANSWERED_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        let known = self.current.entry(part).or_insert(at);
        *known = at.max(*known);
    }

    /// Returns when a part was last answered, if that is known.
    pub(crate) fn at(&self, part: PartId) -> Option<Instant> {
        let known = [&self.current, &self.previous];
        known
            .iter()
            .filter_map(|parts| parts.get(&part))
            .max()
            .copied()
    }
}
