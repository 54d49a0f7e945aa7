//! Quarantine of requests that crash the endpoints running them.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#quarantine).

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::change_log::{ChangeCursor, ChangeLog};
use crate::digest;
use crate::id::{EndpointName, Incarnation};
use crate::unit::{Instant, Millis};

/// How long one crash makes a request suspect.
const SUSPICION_PERIOD: Millis = Millis(10 * 60_000);
/// How long a request stays in quarantine.
const QUARANTINE_PERIOD: Millis = Millis(60 * 60_000);
/// The number of crashes from which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// The maximum number of crashes recorded per request.
const MAX_MARKS: usize = 4;
/// The maximum number of requests with records.
const MAX_RECORDS: usize = 4_096;

/// Returns a digest of the parts of a request that identify equal requests.
///
/// `target` is the pool or the path of the request.
pub fn fingerprint(organisation: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(organisation.as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    digest::truncate(&hasher.finalize())
}

/// A crash of an endpoint, identified by the same number in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Creates the id of the `count`th crash that an agent incarnation saw at an endpoint.
    pub fn new(endpoint: &EndpointName, incarnation: Incarnation, count: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&count.to_le_bytes());
        hasher.update(endpoint.as_str().as_bytes());
        CrashId(digest::truncate(&hasher.finalize()))
    }
}

/// The quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantineStatus {
    /// The request is not suspected.
    Clear,
    /// The request ran at an endpoint that crashed; a gate dispatches it only while no other
    /// suspect is running at its endpoint.
    Suspect,
    /// The request was running during two crashes; it is refused.
    Quarantined,
}

/// A crash of an endpoint during which a request was running there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The crash.
    pub crash: CrashId,
    /// Whether the request has since run to completion.
    pub cleared: bool,
    /// Whether the endpoint is known to have crashed, and did not only break off its calls.
    pub is_certain: bool,
}

/// The crash marks of one request, as exchanged between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The digest of the request's content.
    pub fingerprint: u64,
    /// The crashes.
    pub marks: SmallVec<[Mark; 2]>,
    /// How long the marks remain valid.
    pub remaining: Millis,
}

#[derive(Debug, Default)]
struct Record {
    marks: SmallVec<[Mark; 2]>,
    expires: Instant,
}

impl Record {
    fn status(&self) -> QuarantineStatus {
        match self.marks.iter().filter(|m| !m.cleared).count() {
            0 => QuarantineStatus::Clear,
            n if n < QUARANTINE_CRASHES => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }

    fn add(&mut self, mark: Mark) -> bool {
        if let Some(existing) = self.marks.iter_mut().find(|m| m.crash == mark.crash) {
            let is_new = mark.cleared && !existing.cleared;
            existing.cleared |= mark.cleared;
            existing.is_certain |= mark.is_certain;
            return is_new;
        }
        if self.marks.len() == MAX_MARKS {
            self.marks.remove(0);
        }
        self.marks.push(mark);
        true
    }
}

/// The requests that were running at endpoints when they crashed.
///
/// A crash marks all requests that ran there; a request that completes is cleared. If
/// suspects ran at the endpoint, only they are marked, so that one crashing request does
/// not make suspects of all requests running beside it.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<u64, Record>,
    expiries: BTreeSet<(Instant, u64)>,
    changes: ChangeLog<u64>,
    /// What [`Quarantine::take_changes`] has returned.
    taken: ChangeCursor,
}

impl Quarantine {
    /// Marks the requests that were running at an endpoint when it crashed.
    pub fn on_crash(&mut self, crash: CrashId, running: &[u64], now: Instant) {
        self.record_crash(crash, running, true, now);
    }

    /// Marks the requests that were running at an endpoint that broke off all of them, although it
    /// accepts connections: it has crashed and started again, or had another reason.
    pub fn on_likely_crash(&mut self, crash: CrashId, running: &[u64], now: Instant) {
        self.record_crash(crash, running, false, now);
    }

    fn record_crash(&mut self, crash: CrashId, running: &[u64], is_certain: bool, now: Instant) {
        self.expire(now);
        let is_suspect = |f: &&u64| self.status(**f, now) != QuarantineStatus::Clear;
        let suspects: Vec<u64> = running.iter().filter(is_suspect).copied().collect();
        let marked = if suspects.is_empty() {
            running
        } else {
            &suspects
        };
        for fingerprint in marked {
            let mark = Mark {
                crash,
                cleared: false,
                is_certain,
            };
            self.mark(*fingerprint, mark, None, now);
        }
    }

    /// Clears all requests of crashes whose cause is known to be another one.
    pub fn on_explained(&mut self, crashes: &[CrashId]) {
        for (fingerprint, record) in &mut self.records {
            let explained = record.marks.iter_mut();
            let explained = explained.filter(|m| !m.cleared && crashes.contains(&m.crash));
            for mark in explained {
                mark.cleared = true;
                self.changes.touch(*fingerprint);
            }
        }
    }

    /// Clears a request that has completed.
    pub fn on_finished(&mut self, fingerprint: u64) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.status() == QuarantineStatus::Clear {
            return;
        }
        record.marks.iter_mut().for_each(|m| m.cleared = true);
        self.changes.touch(fingerprint);
    }

    /// Returns the status of a request.
    pub fn status(&self, fingerprint: u64, now: Instant) -> QuarantineStatus {
        match self.records.get(&fingerprint) {
            Some(record) if record.expires > now => record.status(),
            _ => QuarantineStatus::Clear,
        }
    }

    /// Returns whether a request that was lost may run once more: it was near one crash at most, and
    /// that one is not certain.
    pub fn may_rerun(&self, fingerprint: u64, now: Instant) -> bool {
        let is_near_crash = |record: &Record| {
            let mut marks = record.marks.iter().filter(|m| !m.cleared);
            record.expires > now && marks.any(|m| m.is_certain)
        };
        let record = self.records.get(&fingerprint);
        !record.is_some_and(is_near_crash)
            && self.status(fingerprint, now) != QuarantineStatus::Quarantined
    }

    /// Returns the remaining time of a request in quarantine.
    pub fn remaining(&self, fingerprint: u64, now: Instant) -> Millis {
        let record = self.records.get(&fingerprint);
        record.map_or(Millis(0), |r| r.expires.since(now))
    }

    /// Removes and returns at most `max` notices of changes since the last call.
    pub fn take_changes(&mut self, max: usize, now: Instant) -> Vec<Notice> {
        let taken = self.changes.fresh(&mut self.taken, max).into_iter();
        taken.filter_map(|f| self.notice(f, now)).collect()
    }

    /// Returns notices of up to `max` changes that the receivers of the cursor have not been sent.
    pub fn fresh(&self, cursor: &mut ChangeCursor, max: usize, now: Instant) -> Vec<Notice> {
        let changed = self.changes.fresh(cursor, max).into_iter();
        changed.filter_map(|f| self.notice(f, now)).collect()
    }

    /// Returns notices of up to `max` requests in turn, for receivers that missed them.
    pub fn again(&self, cursor: &mut ChangeCursor, max: usize, now: Instant) -> Vec<Notice> {
        let changed = self.changes.again(cursor, max).into_iter();
        changed.filter_map(|f| self.notice(f, now)).collect()
    }

    /// Returns up to `max` notices for a process that has just started: of requests in quarantine first,
    /// then of the latest changes.
    pub fn latest(&self, max: usize, now: Instant) -> Vec<Notice> {
        let is_quarantined = |f: &u64| self.status(*f, now) == QuarantineStatus::Quarantined;
        let quarantined = self.changes.latest().filter(is_quarantined);
        let others = self.changes.latest().filter(|f| !is_quarantined(f));
        let latest = quarantined.chain(others).take(max);
        latest.filter_map(|f| self.notice(f, now)).collect()
    }

    /// Returns the notices of all requests, for a process that has just started.
    pub fn summary(&self, now: Instant) -> Vec<Notice> {
        let all = self.records.keys().map(|f| self.notice(*f, now));
        all.flatten().collect()
    }

    /// Merges notices from another process; returns whether any was new.
    pub fn merge(&mut self, notices: &[Notice], now: Instant) -> bool {
        self.expire(now);
        let mut is_new = false;
        for notice in notices {
            let expires = now.after(notice.remaining.min(QUARANTINE_PERIOD));
            for mark in &notice.marks {
                is_new |= self.mark(notice.fingerprint, *mark, Some(expires), now);
            }
        }
        is_new
    }

    /// Returns the number of requests with records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn notice(&self, fingerprint: u64, now: Instant) -> Option<Notice> {
        let record = self.records.get(&fingerprint)?;
        Some(Notice {
            fingerprint,
            marks: record.marks.clone(),
            remaining: record.expires.since(now),
        })
    }

    fn mark(&mut self, fingerprint: u64, mark: Mark, until: Option<Instant>, now: Instant) -> bool {
        let record = self.records.entry(fingerprint).or_default();
        let is_new = record.add(mark);
        if !is_new {
            return false;
        }
        let span = match record.status() {
            QuarantineStatus::Quarantined => QUARANTINE_PERIOD,
            _ => SUSPICION_PERIOD,
        };
        let expires = until.unwrap_or(now.after(span)).max(record.expires);
        self.expiries.remove(&(record.expires, fingerprint));
        record.expires = expires;
        self.expiries.insert((expires, fingerprint));
        self.changes.touch(fingerprint);
        self.evict_excess();
        true
    }

    fn evict_excess(&mut self) {
        while self.records.len() > MAX_RECORDS
            && let Some((_, fingerprint)) = self.expiries.pop_first()
        {
            self.records.remove(&fingerprint);
            self.changes.remove(fingerprint);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires, fingerprint)) = self.expiries.first().copied()
            && expires <= now
        {
            self.expiries.pop_first();
            self.records.remove(&fingerprint);
            self.changes.remove(fingerprint);
        }
    }
}
