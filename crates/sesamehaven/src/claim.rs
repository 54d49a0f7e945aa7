//! Durable claims in the platform, for work that must not run twice even after
//! everything in memory is lost.
//!
//! The claims of one shard are one object of the platform, changed only by a
//! conditional write, so that two writers never both add the same key. Each
//! claim carries the request as its nonce: when the answer to a write is lost,
//! reading the object back tells whose claim it holds. Claims that wait while a
//! write is under way go into the next one together, which is what keeps the
//! calls per booking low. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{KeyDigest, RequestId};
use crate::key::WallTime;
use crate::unit::{Instant, Millis};

/// How long a finished or voided claim is kept.
pub const CLAIM_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);
/// How long a claim without a recorded outcome is kept.
pub const OPEN_RETENTION: Millis = Millis(7 * 24 * 60 * 60 * 1000);
/// The longest wait of a claim for the platform.
pub const CLAIM_TIMEOUT: Millis = Millis(2_000);
/// The pause after a failed call.
const RETRY_PAUSE: Millis = Millis(250);

/// What is recorded of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request may have been dispatched; nothing is known of its end.
    Open,
    /// The endpoint has answered.
    Answered,
    /// The request was dispatched and its end is not known.
    Unknown,
}

/// A claim as it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that holds the key, which no other request shares.
    pub nonce: RequestId,
    /// When it was claimed, by the writer's wall clock.
    pub at: WallTime,
    /// What became of it.
    pub outcome: Outcome,
}

/// The stored claims of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct Table(pub BTreeMap<KeyDigest, Record>);

/// A change of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Op {
    Claim { instead_of: Option<RequestId> },
    Record(Outcome),
    Void,
}

/// A call of the platform; the shard has one under way at most.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads the shard's object.
    Read,
    /// Writes it on the condition that its version is still this one, zero for none.
    Write(u64, Table),
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The object and its version, zero for none.
    Value(u64, Table),
    /// The write took effect and gave this version.
    Written(u64),
    /// The version is another one; the write took no effect.
    Conflict,
    /// There was no answer, or one that does not tell whether a write took effect.
    Failed,
}

/// What a claim has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request holds the key.
    Claimed,
    /// Another request holds it or did.
    Taken(Record),
    /// The platform did not answer in time. The request holds nothing that it
    /// could be dispatched on, so it was not run and must not be.
    PlatformDown,
}

/// Changes that wait for the platform, and claims that are decided.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// Decided claims.
    pub verdicts: Vec<(RequestId, Verdict)>,
    /// The next call to make.
    pub call: Option<Call>,
}

#[derive(Debug, Clone)]
struct Waiting {
    key: KeyDigest,
    nonce: RequestId,
    op: Op,
    deadline: Instant,
    /// Whether a write that holds it has been sent and may take effect late.
    sent: bool,
}

/// The claims of one shard, as one writer keeps them.
///
/// # Example
///
/// ```
/// use sesamehaven::claim::{Call, Reply, Shard, Verdict};
/// use sesamehaven::id::{KeyDigest, RequestId};
/// use sesamehaven::key::WallTime;
/// use sesamehaven::unit::Instant;
///
/// let (now, wall) = (Instant(0), WallTime(0));
/// let mut shard = Shard::default();
/// let read = shard.claim(KeyDigest(1), RequestId(7), None, now, wall);
/// assert_eq!(read.call, Some(Call::Read));
/// let write = shard.on_reply(Reply::Value(0, Default::default()), now, wall);
/// assert!(matches!(write.call, Some(Call::Write(0, _))));
/// let done = shard.on_reply(Reply::Written(1), now, wall);
/// assert_eq!(done.verdicts, [(RequestId(7), Verdict::Claimed)]);
/// ```
#[derive(Debug, Default)]
pub struct Shard {
    known: Option<(u64, Table)>,
    waiting: Vec<Waiting>,
    written: Option<(Vec<Waiting>, Table)>,
    under_way: bool,
    is_down: bool,
    retry_at: Instant,
    given_up: BTreeSet<(KeyDigest, RequestId)>,
}

impl Shard {
    /// Claims a key for a request.
    ///
    /// `instead_of` names an earlier holder that is known never to be dispatched.
    pub fn claim(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        instead_of: Option<RequestId>,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        if self.is_down && (self.under_way || now < self.retry_at) {
            // The platform fails and the next try is not due or has no answer yet.
            return Progress {
                verdicts: vec![(nonce, Verdict::PlatformDown)],
                call: None,
            };
        }
        self.submit(key, nonce, Op::Claim { instead_of }, now, wall)
    }

    /// Records what became of a claimed request.
    pub fn record(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        outcome: Outcome,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        self.submit(key, nonce, Op::Record(outcome), now, wall)
    }

    /// Gives a claim up; the request was not dispatched and never will be.
    pub fn void(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        self.submit(key, nonce, Op::Void, now, wall)
    }

    /// Takes what came of the call that was under way.
    pub fn on_reply(&mut self, reply: Reply, now: Instant, wall: WallTime) -> Progress {
        self.under_way = false;
        self.is_down = reply == Reply::Failed;
        let mut progress = Progress::default();
        match reply {
            Reply::Value(version, table) => {
                self.settle(&table, &mut progress);
                self.known = Some((version, table));
            }
            Reply::Written(version) => {
                if let Some((ops, table)) = self.written.take() {
                    ops.iter().for_each(|w| self.conclude(w, &mut progress));
                    self.known = Some((version, table));
                }
            }
            Reply::Conflict => {}
            Reply::Failed => {
                self.retry_at = now.after(RETRY_PAUSE);
                self.refuse_unsent(&mut progress);
            }
        }
        self.go_on(now, wall, &mut progress);
        progress
    }

    /// Refuses claims that waited too long, and goes on after a failed call.
    pub fn tick(&mut self, now: Instant, wall: WallTime) -> Progress {
        let mut progress = Progress::default();
        self.expire(now, &mut progress);
        self.go_on(now, wall, &mut progress);
        progress
    }

    /// Returns whether nothing waits for the platform.
    pub fn is_idle(&self) -> bool {
        !self.under_way && self.waiting.is_empty() && self.written.is_none()
    }

    fn submit(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        op: Op,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        self.waiting.push(Waiting {
            key,
            nonce,
            op,
            deadline: now.after(CLAIM_TIMEOUT),
            sent: false,
        });
        let mut progress = Progress::default();
        self.go_on(now, wall, &mut progress);
        progress
    }

    /// Decides a write that was not confirmed, by what the object holds.
    ///
    /// What it does not hold goes into the next write. That one either takes
    /// effect or meets a version that the lost one made, never both.
    fn settle(&mut self, table: &Table, progress: &mut Progress) {
        let Some((ops, _)) = self.written.take() else {
            return;
        };
        let (held, rest): (Vec<_>, Vec<_>) = ops.into_iter().partition(|w| w.holds_in(table));
        held.iter().for_each(|w| self.conclude(w, progress));
        let given_up = &self.given_up;
        let rest = rest.into_iter().filter(|w| !w.is_in(given_up));
        self.waiting.splice(0..0, rest);
    }

    fn conclude(&self, w: &Waiting, progress: &mut Progress) {
        let is_claim = matches!(w.op, Op::Claim { .. });
        if is_claim && !w.is_in(&self.given_up) {
            progress.verdicts.push((w.nonce, Verdict::Claimed));
        }
    }

    /// Refuses claims that no write has held yet, so that callers learn at once.
    fn refuse_unsent(&mut self, progress: &mut Progress) {
        let is_unsent = |w: &mut Waiting| !w.sent && matches!(w.op, Op::Claim { .. });
        let refused = self.waiting.extract_if(.., is_unsent);
        let verdicts = refused.map(|w| (w.nonce, Verdict::PlatformDown));
        progress.verdicts.extend(verdicts);
    }

    fn expire(&mut self, now: Instant, progress: &mut Progress) {
        let is_late = |w: &Waiting| matches!(w.op, Op::Claim { .. }) && now >= w.deadline;
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| is_late(w));
        self.waiting = waiting;
        let late: Vec<Waiting> = late;
        let written = self.written.iter().flat_map(|(ops, _)| ops);
        let written = written.filter(|w| is_late(w)).cloned();
        for w in late.into_iter().chain(written) {
            let is_new = !w.sent || self.given_up.insert((w.key, w.nonce));
            if is_new {
                progress.verdicts.push((w.nonce, Verdict::PlatformDown));
            }
        }
    }

    fn go_on(&mut self, now: Instant, wall: WallTime, progress: &mut Progress) {
        if self.written.is_none() {
            self.void_given_up(now);
        }
        if self.under_way || now < self.retry_at || self.is_idle() {
            return;
        }
        progress.call = match self.known.take() {
            None => Some(Call::Read),
            Some((version, table)) => self.next_write(version, table, wall, progress),
        };
        self.under_way = progress.call.is_some();
    }

    /// Puts all waiting changes into one write.
    fn next_write(
        &mut self,
        version: u64,
        before: Table,
        wall: WallTime,
        progress: &mut Progress,
    ) -> Option<Call> {
        let mut table = before.clone();
        table.clean(wall);
        let mut ops = Vec::new();
        for mut w in std::mem::take(&mut self.waiting) {
            w.sent = true;
            match table.apply(&w, wall) {
                Ok(()) => ops.push(w),
                Err(taken) => progress.verdicts.push((w.nonce, Verdict::Taken(taken))),
            }
        }
        if ops.is_empty() {
            self.known = Some((version, before));
            return None;
        }
        self.written = Some((ops, table.clone()));
        Some(Call::Write(version, table))
    }

    /// Voids claims that were given up while a write might still take effect.
    ///
    /// The write that voids them moves the version on, so that no late write of
    /// the claim can take effect any more.
    fn void_given_up(&mut self, now: Instant) {
        let given_up = std::mem::take(&mut self.given_up);
        let voids = given_up.into_iter().map(|(key, nonce)| Waiting {
            key,
            nonce,
            op: Op::Void,
            deadline: now,
            sent: true,
        });
        self.waiting.splice(0..0, voids);
    }
}

impl Waiting {
    fn is_in(&self, claims: &BTreeSet<(KeyDigest, RequestId)>) -> bool {
        claims.contains(&(self.key, self.nonce))
    }

    /// Returns whether the table shows that the change has taken effect.
    fn holds_in(&self, table: &Table) -> bool {
        let held = table.0.get(&self.key).filter(|r| r.nonce == self.nonce);
        match self.op {
            Op::Claim { .. } => held.is_some(),
            Op::Record(outcome) => held.is_none_or(|r| r.outcome == outcome),
            Op::Void => held.is_none(),
        }
    }
}

impl Table {
    /// Applies a change; a claim of a key that another request holds fails.
    fn apply(&mut self, w: &Waiting, wall: WallTime) -> Result<(), Record> {
        let held = self.0.get(&w.key).copied();
        let is_mine = held.is_some_and(|r| r.nonce == w.nonce);
        match (w.op, held) {
            (Op::Claim { instead_of }, Some(r)) if !is_mine && instead_of != Some(r.nonce) => {
                return Err(r);
            }
            (Op::Claim { .. }, _) => {
                let record = Record {
                    nonce: w.nonce,
                    at: wall,
                    outcome: Outcome::Open,
                };
                self.0.insert(w.key, record);
            }
            (Op::Record(outcome), Some(r)) if is_mine => {
                self.0.insert(w.key, Record { outcome, ..r });
            }
            (Op::Void, _) if is_mine => {
                self.0.remove(&w.key);
            }
            (Op::Record(_) | Op::Void, _) => {}
        }
        Ok(())
    }

    /// Drops claims past their retention.
    fn clean(&mut self, wall: WallTime) {
        self.0.retain(|_, r| {
            let age = wall.0.saturating_sub(r.at.0);
            let kept = match r.outcome {
                Outcome::Open => OPEN_RETENTION,
                Outcome::Answered | Outcome::Unknown => CLAIM_RETENTION,
            };
            age < kept.0
        });
    }
}
