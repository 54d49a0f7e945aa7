//! The evidence that a part of a prompt crashes the endpoints that answer it.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::part_id::PartId;
use crate::quarantine::CrashId;
use crate::unit::{Instant, Millis};

/// A request sent so soon after a crash may have been sent to the same failing endpoints.
pub(crate) const SETTLE_TIME: Millis = Millis(250);
/// The number of successive crashes from which a part may count as their cause.
const MIN_SUCCESSIVE_CRASHES: usize = 3;
/// How unlikely the crashes of a part must be if it is not their cause.
const MAX_CHANCE: f64 = 1e-5;
/// The number of answers to prompts without the part between its crashes, without which the
/// endpoints may be failing on everything.
const MIN_OTHER_ANSWERS: u32 = 3;
/// The maximum number of crashed runs that are kept for a part.
const MAX_RUNS: usize = 32;

/// A request whose answer had not begun, or only just, when its endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashedRun {
    /// The crash.
    pub(crate) crash: CrashId,
    /// Whether the answer had begun.
    pub(crate) has_begun: bool,
    /// When the request was sent.
    pub(crate) sent_at: Instant,
    /// When the endpoint crashed.
    pub(crate) crashed_at: Instant,
}

/// What became of the requests to a pool that lack a part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OtherRuns {
    /// Those whose answers began.
    pub(crate) begun: u32,
    /// Those whose endpoints survived the beginning of the answer.
    pub(crate) survived: u32,
    /// Those whose endpoints crashed before.
    pub(crate) crashed: u32,
    /// Those of the crashed ones whose answers had not begun.
    pub(crate) crashed_unbegun: u32,
}

impl OtherRuns {
    pub(crate) fn add_crashed(&mut self, crashed: usize, unbegun: usize) {
        self.crashed = self.crashed.saturating_add(crashed as u32);
        self.crashed_unbegun = self.crashed_unbegun.saturating_add(unbegun as u32);
    }

    /// Returns the number of requests of which the outcome is known.
    fn total(&self) -> u32 {
        self.begun.saturating_add(self.crashed)
    }

    /// Returns how many requests met a crash and how many did not, before the beginning of their
    /// answers; or before and shortly after it.
    fn outcomes(&self, only_unbegun: bool) -> (u32, u32) {
        match only_unbegun {
            true => (self.crashed_unbegun, self.begun),
            false => (self.crashed, self.survived),
        }
    }
}

/// What is known of one part since it was last answered.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashEvidence {
    /// The crashed runs, by the time of their crash.
    pub(crate) runs: SmallVec<[CrashedRun; 2]>,
    /// The other parts that all of these runs had.
    pub(crate) common_parts: SmallVec<[PartId; 2]>,
    /// When an endpoint last began an answer to a prompt with the part and survived it.
    pub(crate) answered_at: Option<Instant>,
    /// What became of the requests in the same pool without the part since its first crash.
    pub(crate) others: OtherRuns,
    /// Whether the part counts as the cause of the crashes.
    pub(crate) is_quarantined: bool,
}

impl CrashEvidence {
    /// Returns whether nothing speaks against the part.
    pub(crate) fn is_clear(&self) -> bool {
        self.runs.is_empty()
    }

    pub(crate) fn first_crash_at(&self) -> Option<Instant> {
        self.runs.first().map(|r| r.crashed_at)
    }

    pub(crate) fn last_crash_at(&self) -> Option<Instant> {
        self.runs.last().map(|r| r.crashed_at)
    }

    /// Adds a crashed run with the other parts of its prompt; returns whether it was new.
    pub(crate) fn add_run(&mut self, run: CrashedRun, other_parts: &[PartId]) -> bool {
        let is_answered = self.answered_at.is_some_and(|at| at >= run.crashed_at);
        if is_answered || self.is_known(run) {
            return false;
        }
        self.narrow_common_parts(other_parts);
        let at = self
            .runs
            .partition_point(|r| r.crashed_at <= run.crashed_at);
        self.runs.insert(at, run);
        if self.runs.len() > MAX_RUNS {
            // The first and the last ones decide how many crashes were successive.
            self.runs.remove(1);
        }
        true
    }

    /// Returns whether a run of the same crash is known, and keeps the earlier time of both.
    ///
    /// The word of another process may have been held up, which makes its times look later.
    fn is_known(&mut self, run: CrashedRun) -> bool {
        let known = self.runs.iter_mut().find(|r| r.crash == run.crash);
        let is_known = known.is_some();
        if let Some(known) = known.filter(|r| r.crashed_at > run.crashed_at) {
            *known = run;
            self.runs.sort_by_key(|r| r.crashed_at);
        }
        is_known
    }

    fn narrow_common_parts(&mut self, other_parts: &[PartId]) {
        match self.runs.is_empty() {
            true => self.common_parts = other_parts.into(),
            false => self.common_parts.retain(|p| other_parts.contains(p)),
        }
    }

    /// Records that an endpoint began an answer to a prompt with the part at `at` and survived it;
    /// returns whether that was news.
    pub(crate) fn on_answered(&mut self, at: Instant) -> bool {
        if self.answered_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.answered_at = Some(at);
        let count = self.runs.len();
        self.runs.retain(|r| r.crashed_at > at);
        if self.runs.len() == count {
            return false;
        }
        self.others = OtherRuns::default();
        self.is_quarantined = false;
        true
    }

    /// Adds what another process knows; returns whether anything was news.
    pub(crate) fn merge(&mut self, other: &CrashEvidence) -> bool {
        let mut is_news = other.answered_at.is_some_and(|at| self.on_answered(at));
        let was_clear = self.is_clear();
        for run in &other.runs {
            is_news |= self.add_run(*run, &other.common_parts);
        }
        if self.is_clear() {
            return is_news;
        }
        let common = self.common_parts.len();
        if !was_clear && !other.is_clear() {
            self.common_parts.retain(|p| other.common_parts.contains(p));
        }
        is_news |= self.common_parts.len() < common;
        if was_clear || other.others.total() > self.others.total() {
            self.others = other.others;
        }
        is_news |= other.is_quarantined && !self.is_quarantined;
        self.is_quarantined |= other.is_quarantined;
        is_news
    }

    /// Removes runs at crashes that another part explains; returns whether there were any.
    pub(crate) fn remove_runs(&mut self, is_explained: impl Fn(CrashId) -> bool) -> bool {
        let count = self.runs.len();
        self.runs.retain(|r| !is_explained(r.crash));
        let has_changed = self.runs.len() < count;
        self.is_quarantined &= !has_changed;
        has_changed
    }

    /// Decides whether the part is the cause; returns whether it was not before.
    ///
    /// Endpoints end for other reasons, too, many at once or one after the other. So it takes several
    /// crashes of which each request was sent after the crash before, no answer to the part between
    /// them, and so many crashes that the share of other requests that met one makes them unlikely.
    pub(crate) fn evaluate(&mut self) -> bool {
        let never_begun = self.runs.iter().all(|r| !r.has_begun);
        let (crashed, sound) = self.others.outcomes(never_begun);
        if self.is_quarantined || sound < MIN_OTHER_ANSWERS {
            return false;
        }
        let crashed = f64::from(crashed) + 1.0;
        let crash_share = crashed / (crashed + f64::from(sound));
        let chance = crash_share.powi(self.runs.len() as i32);
        self.is_quarantined =
            chance <= MAX_CHANCE && self.successive_crashes() >= MIN_SUCCESSIVE_CRASHES;
        self.is_quarantined
    }

    /// Counts the crashes of which each request was sent after the previous crash.
    ///
    /// Endpoints that are killed together count as one crash thereby, however many they are.
    pub(crate) fn successive_crashes(&self) -> usize {
        let mut count = 0;
        let mut settled_at = Instant(0);
        for run in &self.runs {
            if run.sent_at >= settled_at {
                count += 1;
                settled_at = run.crashed_at.after(SETTLE_TIME);
            }
        }
        count
    }
}
