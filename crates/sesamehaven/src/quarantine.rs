//! Requests that crash the endpoints that run them.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#quarantine).

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::digest;
use crate::id::{EndpointName, Incarnation};
use crate::unit::{Instant, Millis};

/// How long one crash is held against a request.
const SUSPICION: Millis = Millis(10 * 60_000);
/// How long a request stays in quarantine.
const QUARANTINE: Millis = Millis(60 * 60_000);
/// The crashes from which on a request is in quarantine.
const QUARANTINE_CRASHES: usize = 2;
/// The crashes that are remembered of one request.
const REMEMBERED_CRASHES: usize = 4;
/// The requests that are remembered.
const REMEMBERED: usize = 4_096;

/// Digests what makes two requests the same to an endpoint.
///
/// `target` is the pool or the path that the request goes to.
pub fn fingerprint(organisation: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(organisation.as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    digest::truncate(&hasher.finalize())
}

/// One crash of an endpoint, known by the same number in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Numbers the `count`th crash that one run of an agent saw at an endpoint.
    pub fn new(endpoint: &EndpointName, incarnation: Incarnation, count: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&count.to_le_bytes());
        hasher.update(endpoint.as_str().as_bytes());
        CrashId(digest::truncate(&hasher.finalize()))
    }
}

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// It ran at an endpoint that crashed; it runs with care.
    Suspect,
    /// It ran at two that crashed; it is refused.
    Quarantined,
}

/// A crash that a request was near.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The crash.
    pub crash: CrashId,
    /// Whether the request has since run to its end.
    pub cleared: bool,
}

/// What processes tell each other about one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The digest of the request's content.
    pub fingerprint: u64,
    /// The crashes that it was near.
    pub marks: SmallVec<[Mark; 2]>,
    /// How long the marks stay.
    pub remaining: Millis,
}

#[derive(Debug, Default)]
struct Record {
    marks: SmallVec<[Mark; 2]>,
    expires: Instant,
}

impl Record {
    fn standing(&self) -> Standing {
        match self.marks.iter().filter(|m| !m.cleared).count() {
            0 => Standing::Clear,
            n if n < QUARANTINE_CRASHES => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }

    fn add(&mut self, mark: Mark) -> bool {
        if let Some(known) = self.marks.iter_mut().find(|m| m.crash == mark.crash) {
            let news = mark.cleared && !known.cleared;
            known.cleared |= mark.cleared;
            return news;
        }
        if self.marks.len() == REMEMBERED_CRASHES {
            self.marks.remove(0);
        }
        self.marks.push(mark);
        true
    }
}

/// The requests that were near crashes of endpoints.
///
/// A crash marks all that ran there. A request that runs to its end is cleared.
/// When suspects ran at an endpoint that crashed, only they are marked, so that
/// one crashing request does not make suspects of all that runs beside it.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<u64, Record>,
    expiries: BTreeSet<(Instant, u64)>,
    changed: BTreeSet<u64>,
}

impl Quarantine {
    /// Marks the requests that ran at an endpoint when it crashed.
    pub fn on_crash(&mut self, crash: CrashId, running: &[u64], now: Instant) {
        self.expire(now);
        let suspect = |f: &&u64| self.standing(**f, now) != Standing::Clear;
        let suspects: Vec<u64> = running.iter().filter(suspect).copied().collect();
        let blamed = if suspects.is_empty() {
            running
        } else {
            &suspects
        };
        for fingerprint in blamed {
            let cleared = false;
            self.mark(*fingerprint, Mark { crash, cleared }, None, now);
        }
    }

    /// Clears a request that has run to its end.
    pub fn on_finished(&mut self, fingerprint: u64) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.standing() == Standing::Clear {
            return;
        }
        record.marks.iter_mut().for_each(|m| m.cleared = true);
        self.changed.insert(fingerprint);
    }

    /// Returns what is held against a request.
    pub fn standing(&self, fingerprint: u64, now: Instant) -> Standing {
        match self.records.get(&fingerprint) {
            Some(record) if record.expires > now => record.standing(),
            _ => Standing::Clear,
        }
    }

    /// Returns when a request in quarantine may come back.
    pub fn remaining(&self, fingerprint: u64, now: Instant) -> Millis {
        let record = self.records.get(&fingerprint);
        record.map_or(Millis(0), |r| r.expires.since(now))
    }

    /// Takes the notices of what changed since the last call, at most `max`.
    pub fn take_news(&mut self, max: usize, now: Instant) -> Vec<Notice> {
        let taken: Vec<u64> = self.changed.iter().take(max).copied().collect();
        for fingerprint in &taken {
            self.changed.remove(fingerprint);
        }
        let notices = taken.iter().map(|f| self.notice(*f, now));
        notices.flatten().collect()
    }

    /// Lists all that is held against requests, for a process that has just started.
    pub fn summary(&self, now: Instant) -> Vec<Notice> {
        let all = self.records.keys().map(|f| self.notice(*f, now));
        all.flatten().collect()
    }

    /// Takes in what another process told; returns whether any of it was news.
    pub fn merge(&mut self, notices: &[Notice], now: Instant) -> bool {
        self.expire(now);
        let mut news = false;
        for notice in notices {
            let expires = now.after(notice.remaining.min(QUARANTINE));
            for mark in &notice.marks {
                news |= self.mark(notice.fingerprint, *mark, Some(expires), now);
            }
        }
        news
    }

    /// Returns the number of requests that something is held against.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing is held against any request.
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
        let news = record.add(mark);
        if !news {
            return false;
        }
        let span = match record.standing() {
            Standing::Quarantined => QUARANTINE,
            _ => SUSPICION,
        };
        let expires = until.unwrap_or(now.after(span)).max(record.expires);
        self.expiries.remove(&(record.expires, fingerprint));
        record.expires = expires;
        self.expiries.insert((expires, fingerprint));
        self.changed.insert(fingerprint);
        self.shrink();
        true
    }

    fn shrink(&mut self) {
        while self.records.len() > REMEMBERED
            && let Some((_, fingerprint)) = self.expiries.pop_first()
        {
            self.records.remove(&fingerprint);
            self.changed.remove(&fingerprint);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires, fingerprint)) = self.expiries.first().copied()
            && expires <= now
        {
            self.expiries.pop_first();
            self.records.remove(&fingerprint);
            self.changed.remove(&fingerprint);
        }
    }
}
