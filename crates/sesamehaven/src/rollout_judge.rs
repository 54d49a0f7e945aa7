//! The assessment of a rollout: whether the candidate is bad, sound or not yet proven.

use std::fmt;

use crate::rollout_evidence::{Evidence, Outcomes};
use crate::unit::{Instant, Millis};

/// What the evidence says of the candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assessment {
    /// There is too little evidence, or some of it speaks against the candidate.
    Unproven,
    /// Nothing speaks against the candidate, and it has been used.
    Sound,
    /// The candidate is worse than the baseline, by more than chance or single machines explain.
    Bad(Finding),
}

/// Why a candidate counts as bad, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finding {
    /// The class that is bad, or [`None`] for all together.
    pub class: Option<u32>,
    /// The last span of time to which the counts belong, or [`None`] for the whole run.
    pub window: Option<Millis>,
    /// The counts of the candidate.
    pub candidate: Outcomes,
    /// The counts of the baseline.
    pub baseline: Outcomes,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.class {
            Some(class) => write!(f, "class {class}")?,
            None => f.write_str("all classes")?,
        }
        match self.window {
            Some(Millis(window)) => write!(f, ", last {window} ms: ")?,
            None => f.write_str(", whole run: ")?,
        }
        let (candidate, baseline) = (self.candidate, self.baseline);
        write!(
            f,
            "candidate {} failed and {} slow of {}, baseline {} failed and {} slow of {}",
            candidate.failed,
            candidate.slow,
            candidate.requests,
            baseline.failed,
            baseline.slow,
            baseline.requests,
        )
    }
}

/// Compares the candidate with the baseline.
#[derive(Debug, Default)]
pub struct Judge {}

impl Judge {
    /// Assesses the totals of all processes; nothing is proven yet.
    pub fn assess(&mut self, _totals: &Evidence, _now: Instant) -> Assessment {
        Assessment::Unproven
    }
}
