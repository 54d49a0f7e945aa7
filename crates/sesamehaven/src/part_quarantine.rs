//! Quarantine of parts of prompts that crash each endpoint that begins to answer them.
//!
//! Prompts share parts, and one of them may crash endpoints whatever else the prompt holds, so that no
//! two such requests are alike. See [`docs/POLICY.md`](../../../docs/POLICY.md#quarantine).

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::answered_parts::AnsweredParts;
use crate::change_log::{ChangeCursor, ChangeLog};
use crate::crash_evidence::{CrashEvidence, CrashedRun, OtherRuns, SETTLE_TIME};
use crate::quarantine::CrashId;
use crate::unit::{Instant, Millis};

pub use crate::part_id::{PartId, PartIds, PoolId};
pub use crate::part_notice::PartNotice;

/// How long a crash counts against the parts that ran there.
const SUSPICION_PERIOD: Millis = Millis(10 * 60_000);
/// How long a part stays in quarantine after its last crash.
const QUARANTINE_PERIOD: Millis = Millis(60 * 60_000);
/// How long an answer that clears a part is repeated to other processes.
const CLEARED_PERIOD: Millis = Millis(15_000);
/// The maximum number of parts with evidence.
const MAX_RECORDS: usize = 1_024;
/// The maximum number of crashes whose cause is remembered.
const MAX_EXPLAINED: usize = 256;

/// A request whose answer had not begun, or only just, when its endpoint crashed.
#[derive(Debug, Clone)]
pub struct RunAtCrash {
    /// The parts of its prompt that others may share.
    pub parts: PartIds,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether its answer had begun.
    pub has_begun: bool,
}

/// A part in quarantine, as saved for a restart of all processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedPart {
    part: PartId,
    pool: PoolId,
    common_parts: SmallVec<[PartId; 2]>,
}

#[derive(Debug, Default)]
struct Record {
    pool: PoolId,
    evidence: CrashEvidence,
    expires: Instant,
}

/// The parts that ran at endpoints when these crashed.
///
/// # Example
///
/// ```
/// use sesamehaven::part_quarantine::{PartId, PartQuarantine, PoolId, RunAtCrash};
/// use sesamehaven::quarantine::CrashId;
/// use sesamehaven::unit::Instant;
///
/// let pool = PoolId::new("engines");
/// let [bad, sound] = [1, 2].map(|n| PartId::new(pool, n));
/// let mut quarantine = PartQuarantine::default();
/// for second in 1..=5 {
///     let now = Instant(second * 1_000);
///     let parts = [bad].into_iter().collect();
///     let run = RunAtCrash { parts, sent_at: now, has_begun: false };
///     quarantine.on_crash(CrashId(second), pool, &[run], now);
///     for _ in 0..3 {
///         let later = Instant(now.0 + 300);
///         quarantine.on_begun(pool, &[sound], later);
///         quarantine.on_survived(pool, &[sound], later, later);
///     }
/// }
/// assert_eq!(quarantine.culprit(&[sound, bad]), Some(bad));
/// assert_eq!(quarantine.culprit(&[sound]), None);
/// ```
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: HashMap<PartId, Record>,
    changes: ChangeLog<PartId>,
    answered: AnsweredParts,
    /// What met the crashes of the present moment in each pool.
    epochs: HashMap<PoolId, CrashEpoch>,
    /// The last crashes whose cause is known, each with its cause.
    explained: VecDeque<(CrashId, PartId)>,
}

/// Crashes that follow each other so closely that they count as one.
#[derive(Debug, Default)]
struct CrashEpoch {
    settled_at: Instant,
    crashed: OtherRuns,
}

impl PartQuarantine {
    /// Records the requests without an answer that were running at an endpoint when it crashed.
    ///
    /// If one of them is known to crash endpoints, nothing is held against the others. Returns the
    /// parts that are in quarantine from now on.
    pub fn on_crash(
        &mut self,
        crash: CrashId,
        pool: PoolId,
        runs: &[RunAtCrash],
        now: Instant,
    ) -> PartIds {
        self.expire(now);
        let is_known = |run: &&RunAtCrash| self.culprit(&run.parts).is_some();
        let known: SmallVec<[&RunAtCrash; 4]> = runs.iter().filter(is_known).collect();
        let blamed = match known.is_empty() {
            true => runs.iter().collect(),
            false => known,
        };
        let mut parts: PartIds = blamed
            .iter()
            .flat_map(|r| r.parts.iter().copied())
            .collect();
        parts.sort_unstable();
        parts.dedup();
        for part in &parts {
            let with_part = blamed.iter().filter(|r| r.parts.contains(part));
            let others = with_part.clone().flat_map(|r| r.parts.iter().copied());
            let others: PartIds = others.filter(|p| p != part).collect();
            // Which of several requests crashed the endpoint is not known.
            let sent_at = with_part.clone().map(|r| r.sent_at).min();
            let run = CrashedRun {
                crash,
                has_begun: with_part.clone().all(|r| r.has_begun),
                sent_at: sent_at.unwrap_or(now),
                crashed_at: now,
            };
            self.update(*part, pool, now, |e| e.add_run(run, &others));
        }
        self.count_crashed(pool, runs, now);
        self.evaluate(&parts)
    }

    /// Counts the requests that met a crash for the parts that they lack.
    fn count_crashed(&mut self, pool: PoolId, runs: &[RunAtCrash], now: Instant) {
        let epoch = self.epochs.entry(pool).or_default();
        if now >= epoch.settled_at {
            epoch.crashed = OtherRuns::default();
        }
        epoch.settled_at = now.after(SETTLE_TIME);
        for (part, record) in &mut self.records {
            let evidence = &mut record.evidence;
            if record.pool != pool || evidence.is_clear() {
                continue;
            }
            let is_first = evidence.first_crash_at() == Some(now) && evidence.runs.len() == 1;
            if is_first && evidence.others == OtherRuns::default() {
                // Crashes of the same moment that were noticed before count as well.
                evidence.others = epoch.crashed;
            }
            let without = runs.iter().filter(|r| !r.parts.contains(part));
            let unbegun = without.clone().filter(|r| !r.has_begun).count();
            evidence.others.add_crashed(without.count(), unbegun);
        }
        let unbegun = runs.iter().filter(|r| !r.has_begun).count();
        epoch.crashed.add_crashed(runs.len(), unbegun);
    }

    /// Records that an endpoint began an answer to a prompt.
    pub fn on_begun(&mut self, pool: PoolId, parts: &[PartId], began_at: Instant) {
        for record in self.records_without(pool, parts, began_at) {
            let begun = &mut record.evidence.others.begun;
            *begun = begun.saturating_add(1);
        }
    }

    /// Records that an endpoint survived the beginning of an answer at `began_at`.
    ///
    /// Returns the parts that are in quarantine from now on, since this prompt was without them.
    pub fn on_survived(
        &mut self,
        pool: PoolId,
        parts: &[PartId],
        began_at: Instant,
        now: Instant,
    ) -> PartIds {
        for part in parts {
            self.answered.record(*part, began_at, now);
            if self.records.contains_key(part) {
                self.update(*part, pool, now, |e| e.on_answered(began_at));
            }
        }
        for record in self.records_without(pool, parts, began_at) {
            let evidence = &mut record.evidence;
            evidence.common_parts.retain(|p| !parts.contains(p));
            evidence.others.survived = evidence.others.survived.saturating_add(1);
        }
        let suspects: PartIds = self.records.keys().copied().collect();
        self.evaluate(&suspects)
    }

    /// Returns the records of parts that a prompt lacks and that had crashed an endpoint by `at`.
    fn records_without<'a>(
        &'a mut self,
        pool: PoolId,
        parts: &'a [PartId],
        at: Instant,
    ) -> impl Iterator<Item = &'a mut Record> {
        let records = self.records.iter_mut();
        let without = records.filter(move |(part, record)| {
            let first = record.evidence.first_crash_at();
            record.pool == pool && first.is_some_and(|f| at > f) && !parts.contains(part)
        });
        without.map(|(_, record)| record)
    }

    /// Returns the part for which a prompt is refused, if any.
    ///
    /// Parts that came together in all crashes are refused only together, so that prompts that share
    /// one of them with the crashing ones go on.
    pub fn culprit(&self, parts: &[PartId]) -> Option<PartId> {
        let is_culprit = |part: &&PartId| {
            self.records.get(*part).is_some_and(|r| {
                let common = &r.evidence.common_parts;
                r.evidence.is_quarantined && common.iter().all(|p| parts.contains(p))
            })
        };
        if self.records.is_empty() {
            return None;
        }
        parts.iter().find(is_culprit).copied()
    }

    /// Returns how long a part stays in quarantine unless it is answered.
    pub fn remaining(&self, part: PartId, now: Instant) -> Millis {
        let record = self.records.get(&part);
        record.map_or(Millis(0), |r| r.expires.since(now))
    }

    /// Returns whether a part is in quarantine, with or without others.
    pub fn is_quarantined(&self, part: PartId) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|r| r.evidence.is_quarantined)
    }

    /// Returns the number of parts in quarantine.
    pub fn quarantined(&self) -> usize {
        let records = self.records.values();
        records.filter(|r| r.evidence.is_quarantined).count()
    }

    /// Returns the crashes that a part in quarantine explains.
    pub fn explained_crashes(&self, part: PartId) -> SmallVec<[CrashId; 8]> {
        let record = self.records.get(&part);
        let runs = record.into_iter().flat_map(|r| &r.evidence.runs);
        runs.map(|run| run.crash).collect()
    }

    /// Returns notices of up to `max` changes that the receivers of the cursor have not been sent.
    pub fn fresh(&self, cursor: &mut ChangeCursor, max: usize, now: Instant) -> Vec<PartNotice> {
        self.notices(self.changes.fresh(cursor, max), now)
    }

    /// Returns notices of up to `max` parts in turn, for receivers that missed them.
    pub fn again(&self, cursor: &mut ChangeCursor, max: usize, now: Instant) -> Vec<PartNotice> {
        self.notices(self.changes.again(cursor, max), now)
    }

    /// Returns up to `max` notices for a process that has just started: of parts in quarantine first,
    /// then of the latest changes.
    pub fn summary(&self, max: usize, now: Instant) -> Vec<PartNotice> {
        let quarantined = self.changes.latest().filter(|p| self.is_quarantined(*p));
        let others = self.changes.latest().filter(|p| !self.is_quarantined(*p));
        self.notices(quarantined.chain(others).take(max), now)
    }

    /// Adds what another process knows.
    ///
    /// Returns the parts about which anything was news; those that are in quarantine from now on are
    /// among them.
    pub fn merge(&mut self, notices: &[PartNotice], now: Instant) -> PartIds {
        if notices.is_empty() {
            return PartIds::new();
        }
        self.expire(now);
        let mut news = PartIds::new();
        for notice in notices {
            let mut evidence = notice.evidence(now);
            evidence
                .runs
                .retain(|run| !self.is_explained(run.crash, notice.part));
            let answered_at = self.answered.at(notice.part);
            let is_cleared = evidence
                .last_crash_at()
                .is_some_and(|at| answered_at >= Some(at));
            evidence.answered_at = evidence.answered_at.max(answered_at);
            if self.update(notice.part, notice.pool, now, |e| e.merge(&evidence)) {
                news.push(notice.part);
            }
            if is_cleared && self.records.contains_key(&notice.part) {
                // The sender does not know of the answer.
                self.changes.touch(notice.part);
            }
            if self.is_quarantined(notice.part) {
                self.explain_crashes(notice.part);
            }
        }
        self.evaluate(&news);
        news
    }

    /// Returns up to `max` parts in quarantine, in the same order unless they change.
    pub fn saved(&self, max: usize) -> Vec<SavedPart> {
        let records = self.records.iter();
        let quarantined = records.filter(|(_, r)| r.evidence.is_quarantined);
        let mut saved: Vec<SavedPart> = quarantined
            .map(|(part, r)| SavedPart {
                part: *part,
                pool: r.pool,
                common_parts: r.evidence.common_parts.clone(),
            })
            .collect();
        saved.sort_by_key(|s| s.part);
        saved.truncate(max);
        saved
    }

    /// Restores parts that were in quarantine before a restart of all processes.
    pub fn restore<'a>(&mut self, saved: impl Iterator<Item = &'a SavedPart>, now: Instant) {
        for SavedPart {
            part,
            pool,
            common_parts,
        } in saved
        {
            let run = CrashedRun {
                crash: CrashId(part.0),
                has_begun: false,
                sent_at: now,
                crashed_at: now,
            };
            self.update(*part, *pool, now, |e| {
                e.is_quarantined = true;
                e.add_run(run, common_parts)
            });
        }
    }

    /// Changes the evidence of a part; returns whether the change was news.
    fn update(
        &mut self,
        part: PartId,
        pool: PoolId,
        now: Instant,
        change: impl FnOnce(&mut CrashEvidence) -> bool,
    ) -> bool {
        let answered = &self.answered;
        let record = self.records.entry(part).or_insert_with(|| Record {
            pool,
            evidence: CrashEvidence {
                answered_at: answered.at(part),
                ..CrashEvidence::default()
            },
            expires: now,
        });
        let is_news = change(&mut record.evidence);
        record.set_expiry(now);
        if record.expires <= now {
            self.remove(part);
            return is_news;
        }
        if is_news {
            self.changes.touch(part);
        }
        self.evict_excess();
        is_news
    }

    fn evaluate(&mut self, parts: &[PartId]) -> PartIds {
        let mut quarantined = PartIds::new();
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            if record.evidence.evaluate() {
                let last = record.evidence.last_crash_at().unwrap_or_default();
                record.expires = last.after(QUARANTINE_PERIOD);
                quarantined.push(*part);
                self.changes.touch(*part);
            }
        }
        quarantined
            .iter()
            .for_each(|part| self.explain_crashes(*part));
        quarantined
    }

    /// Returns whether a part other than the given one explains a crash.
    fn is_explained(&self, crash: CrashId, part: PartId) -> bool {
        let mut explained = self.explained.iter();
        explained.any(|(known, culprit)| *known == crash && *culprit != part)
    }

    /// Holds the crashes of a part in quarantine against no part that ran at fewer of them.
    fn explain_crashes(&mut self, culprit: PartId) {
        let Some(record) = self.records.get(&culprit) else {
            return;
        };
        let crashes = self.explained_crashes(culprit);
        let successive = record.evidence.successive_crashes();
        for crash in &crashes {
            if !self.explained.iter().any(|(known, _)| known == crash) {
                self.explained.push_back((*crash, culprit));
            }
        }
        let excess = self.explained.len().saturating_sub(MAX_EXPLAINED);
        self.explained.drain(..excess);
        let mut cleared = PartIds::new();
        for (part, record) in &mut self.records {
            let evidence = &mut record.evidence;
            if *part != culprit
                && evidence.successive_crashes() < successive
                && evidence.remove_runs(|crash| crashes.contains(&crash))
                && evidence.is_clear()
            {
                cleared.push(*part);
            }
        }
        cleared.into_iter().for_each(|part| self.remove(part));
    }

    fn notices(&self, parts: impl IntoIterator<Item = PartId>, now: Instant) -> Vec<PartNotice> {
        let records = parts
            .into_iter()
            .filter_map(|part| Some((part, self.records.get(&part)?)));
        let live = records.filter(|(_, record)| record.expires > now);
        live.map(|(part, record)| PartNotice::new(part, record.pool, &record.evidence, now))
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        self.epochs.retain(|_, epoch| epoch.settled_at > now);
        let expired = self.records.iter().filter(|(_, r)| r.expires <= now);
        let expired: Vec<PartId> = expired.map(|(part, _)| *part).collect();
        expired.into_iter().for_each(|part| self.remove(part));
    }

    /// Forgets the part that expires first, those in quarantine last.
    fn evict_excess(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let first = records.min_by_key(|(_, r)| (r.evidence.is_quarantined, r.expires));
        if let Some(part) = first.map(|(part, _)| *part) {
            self.remove(part);
        }
    }

    fn remove(&mut self, part: PartId) {
        self.records.remove(&part);
        self.changes.remove(part);
    }
}

impl Record {
    fn set_expiry(&mut self, now: Instant) {
        let evidence = &self.evidence;
        self.expires = match evidence.last_crash_at() {
            Some(at) if evidence.is_quarantined => at.after(QUARANTINE_PERIOD),
            Some(at) => at.after(SUSPICION_PERIOD),
            None => evidence.answered_at.unwrap_or(now).after(CLEARED_PERIOD),
        };
    }
}
