//! The evidence about parts of prompts, as processes tell each other of it.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::crash_evidence::{CrashEvidence, CrashedRun, OtherRuns};
use crate::part_id::{PartId, PoolId};
use crate::quarantine::CrashId;
use crate::unit::Instant;

/// The maximum number of runs in a notice, the latest ones.
///
/// Each change is told, so receivers have the earlier ones unless they missed notices.
const MAX_RUNS: usize = 8;

/// A crashed run in a [`PartNotice`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RunNotice {
    crash: CrashId,
    /// How long ago it was sent, in milliseconds.
    sent_ago: u32,
    /// How long ago the endpoint crashed, in milliseconds.
    crashed_ago: u32,
    has_begun: bool,
}

/// The evidence about one part, as exchanged between processes.
///
/// Times are ages, since processes share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNotice {
    /// The part.
    pub part: PartId,
    pub(crate) pool: PoolId,
    runs: SmallVec<[RunNotice; 2]>,
    common_parts: SmallVec<[PartId; 2]>,
    answered_ago: Option<u32>,
    others: OtherRuns,
    /// Whether the part counts as the cause of its crashes.
    pub is_quarantined: bool,
}

impl PartNotice {
    /// Creates the notice of the evidence about a part.
    pub(crate) fn new(part: PartId, pool: PoolId, evidence: &CrashEvidence, now: Instant) -> Self {
        let run = |run: &CrashedRun| RunNotice {
            crash: run.crash,
            sent_ago: age(run.sent_at, now),
            crashed_ago: age(run.crashed_at, now),
            has_begun: run.has_begun,
        };
        let first = evidence.runs.len().saturating_sub(MAX_RUNS);
        PartNotice {
            part,
            pool,
            runs: evidence.runs[first..].iter().map(run).collect(),
            common_parts: evidence.common_parts.clone(),
            answered_ago: evidence.answered_at.map(|at| age(at, now)),
            others: evidence.others,
            is_quarantined: evidence.is_quarantined,
        }
    }

    /// Returns the evidence, with its times on the clock of this process.
    pub(crate) fn evidence(&self, now: Instant) -> CrashEvidence {
        let ago = |age: u32| Instant(now.0.saturating_sub(age.into()));
        let run = |run: &RunNotice| CrashedRun {
            crash: run.crash,
            sent_at: ago(run.sent_ago),
            crashed_at: ago(run.crashed_ago),
            has_begun: run.has_begun,
        };
        CrashEvidence {
            runs: self.runs.iter().map(run).collect(),
            common_parts: self.common_parts.clone(),
            answered_at: self.answered_ago.map(ago),
            others: self.others,
            is_quarantined: self.is_quarantined,
        }
    }
}

fn age(at: Instant, now: Instant) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
}
