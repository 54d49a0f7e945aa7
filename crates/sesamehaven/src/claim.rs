//! Durable claims in the platform, for work that must not run twice even if all
//! in-memory state is lost.
//!
//! The claims of a shard are stored as one platform object that is changed only by
//! conditional writes, so two writers never both add the same key. Each claim
//! carries its request id as a nonce: if the response to a write is lost, reading
//! the object back shows whose claim it holds. Claims that arrive while a write is
//! in flight are batched into the next write, which keeps the number of calls per
//! claim low. See [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{KeyDigest, RequestId};
use crate::key::WallTime;
use crate::unit::{Instant, Millis};

/// The retention period of a claim with a recorded outcome.
pub const CLAIM_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);
/// The retention period of a claim without a recorded outcome.
pub const OPEN_RETENTION: Millis = Millis(7 * 24 * 60 * 60 * 1000);
/// The maximum time that a claim waits for the platform.
pub const CLAIM_TIMEOUT: Millis = Millis(2_000);
/// The delay before the next call after a failed one.
const RETRY_DELAY: Millis = Millis(250);

/// The recorded outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request may have been dispatched; no outcome is recorded yet.
    Open,
    /// The endpoint answered.
    Answered,
    /// The request was dispatched, and its result is unknown.
    Unknown,
}

/// A stored claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The id of the request that holds the key, unique to that request.
    pub nonce: RequestId,
    /// When the key was claimed, by the writer's wall clock.
    pub at: WallTime,
    /// The outcome of the request.
    pub outcome: Outcome,
}

/// The stored claims of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct Table(pub BTreeMap<KeyDigest, Record>);

/// A change to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Op {
    Claim { instead_of: Option<RequestId> },
    Record(Outcome),
    Void,
}

/// A call to the platform. A shard has at most one call in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads the shard's object.
    Read,
    /// Writes the object if its version is still the given one, zero for none.
    Write(u64, Table),
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The object and its version, zero for none.
    Value(u64, Table),
    /// The write succeeded and produced this version.
    Written(u64),
    /// The version differs; the write had no effect.
    Conflict,
    /// No response, or one that leaves open whether a write took effect.
    Failed,
}

/// The decision on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request holds the key.
    Claimed,
    /// Another request holds the key or held it.
    Taken(Record),
    /// The platform did not confirm the claim in time, so the request was not
    /// dispatched and must not be.
    PlatformDown,
}

/// The decided claims and the next call, after an event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// The decisions on claims.
    pub verdicts: Vec<(RequestId, Verdict)>,
    /// The next call to make, if any.
    pub call: Option<Call>,
}

#[derive(Debug, Clone)]
struct PendingChange {
    key: KeyDigest,
    nonce: RequestId,
    op: Op,
    deadline: Instant,
    /// Whether a write that includes the change was sent and may still take effect.
    sent: bool,
}

/// A write that is not confirmed yet.
#[derive(Debug)]
struct UnconfirmedWrite {
    /// The version that the write replaces.
    base: u64,
    changes: Vec<PendingChange>,
    table: Table,
}

/// One writer's view of the claims of a shard.
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
    /// The version and the table last read or written; [`None`] if the object must be
    /// read before the next write.
    known: Option<(u64, Table)>,
    waiting: Vec<PendingChange>,
    unconfirmed_write: Option<UnconfirmedWrite>,
    in_flight: bool,
    is_failing: bool,
    retry_at: Instant,
    /// Claims that were refused while a write of them may still take effect.
    timed_out: BTreeSet<(KeyDigest, RequestId)>,
}

impl Shard {
    /// Claims a key for a request.
    ///
    /// `instead_of` names an earlier holder that will never be dispatched.
    pub fn claim(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        instead_of: Option<RequestId>,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        if self.is_failing && (self.in_flight || now < self.retry_at) {
            // The platform is failing, and the next attempt is not due yet or still
            // in flight.
            return Progress {
                verdicts: vec![(nonce, Verdict::PlatformDown)],
                call: None,
            };
        }
        self.submit(key, nonce, Op::Claim { instead_of }, now, wall)
    }

    /// Records the outcome of a claimed request.
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

    /// Voids a claim; the request was not dispatched and never will be.
    pub fn void(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        self.submit(key, nonce, Op::Void, now, wall)
    }

    /// Handles the result of the call in flight.
    pub fn on_reply(&mut self, reply: Reply, now: Instant, wall: WallTime) -> Progress {
        self.in_flight = false;
        self.is_failing = reply == Reply::Failed;
        let mut progress = Progress::default();
        match reply {
            Reply::Value(version, table) => {
                self.resolve_unconfirmed(version, &table, &mut progress);
                self.known = Some((version, table));
            }
            Reply::Written(version) => {
                if let Some(write) = self.unconfirmed_write.take() {
                    write
                        .changes
                        .iter()
                        .for_each(|change| self.push_claimed(change, &mut progress));
                    self.known = Some((version, write.table));
                }
            }
            Reply::Conflict => {}
            Reply::Failed => {
                self.retry_at = now.after(RETRY_DELAY);
                self.refuse_unsent(&mut progress);
            }
        }
        self.advance(now, wall, &mut progress);
        progress
    }

    /// Refuses claims that have timed out, and retries after a failed call.
    pub fn tick(&mut self, now: Instant, wall: WallTime) -> Progress {
        let mut progress = Progress::default();
        self.expire(now, &mut progress);
        self.advance(now, wall, &mut progress);
        progress
    }

    /// Returns whether no change is waiting for the platform.
    pub fn is_idle(&self) -> bool {
        !self.in_flight && self.waiting.is_empty() && self.unconfirmed_write.is_none()
    }

    fn submit(
        &mut self,
        key: KeyDigest,
        nonce: RequestId,
        op: Op,
        now: Instant,
        wall: WallTime,
    ) -> Progress {
        self.waiting.push(PendingChange {
            key,
            nonce,
            op,
            deadline: now.after(CLAIM_TIMEOUT),
            sent: false,
        });
        let mut progress = Progress::default();
        self.advance(now, wall, &mut progress);
        progress
    }

    /// Resolves an unconfirmed write by the contents of the object.
    ///
    /// Changes that the object lacks go into the next write. Either that write
    /// takes effect or the unconfirmed one does, which changes the version and
    /// makes the next write conflict; never both.
    ///
    /// While the version is unchanged, all changes go into the next write: the object
    /// may lack a voided claim only because the write of the claim is delayed.
    fn resolve_unconfirmed(&mut self, version: u64, table: &Table, progress: &mut Progress) {
        let Some(write) = self.unconfirmed_write.take() else {
            return;
        };
        let is_replaced = version != write.base;
        let (held, rest): (Vec<_>, Vec<_>) = write
            .changes
            .into_iter()
            .partition(|change| is_replaced && change.is_reflected_in(table));
        held.iter()
            .for_each(|change| self.push_claimed(change, progress));
        let timed_out = &self.timed_out;
        let rest = rest.into_iter().filter(|change| !change.is_in(timed_out));
        self.waiting.splice(0..0, rest);
    }

    fn push_claimed(&self, change: &PendingChange, progress: &mut Progress) {
        let is_claim = matches!(change.op, Op::Claim { .. });
        if is_claim && !change.is_in(&self.timed_out) {
            progress.verdicts.push((change.nonce, Verdict::Claimed));
        }
    }

    /// Refuses claims that no write has included yet, so that callers get a
    /// response immediately.
    fn refuse_unsent(&mut self, progress: &mut Progress) {
        let is_unsent =
            |change: &mut PendingChange| !change.sent && matches!(change.op, Op::Claim { .. });
        let refused = self.waiting.extract_if(.., is_unsent);
        let verdicts = refused.map(|change| (change.nonce, Verdict::PlatformDown));
        progress.verdicts.extend(verdicts);
    }

    fn expire(&mut self, now: Instant, progress: &mut Progress) {
        let is_expired = |change: &PendingChange| {
            matches!(change.op, Op::Claim { .. }) && now >= change.deadline
        };
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|change| is_expired(change));
        self.waiting = waiting;
        let late: Vec<PendingChange> = late;
        let in_write = self.unconfirmed_write.iter().flat_map(|w| &w.changes);
        let in_write = in_write.filter(|change| is_expired(change)).cloned();
        for change in late.into_iter().chain(in_write) {
            let is_new = !change.sent || self.timed_out.insert((change.key, change.nonce));
            if is_new {
                progress
                    .verdicts
                    .push((change.nonce, Verdict::PlatformDown));
            }
        }
    }

    fn advance(&mut self, now: Instant, wall: WallTime, progress: &mut Progress) {
        if self.unconfirmed_write.is_none() {
            self.void_timed_out(now);
        }
        if self.in_flight || now < self.retry_at || self.is_idle() {
            return;
        }
        progress.call = match self.known.take() {
            None => Some(Call::Read),
            Some((version, table)) => self.next_write(version, table, wall, progress),
        };
        self.in_flight = progress.call.is_some();
    }

    /// Batches all waiting changes into one write.
    fn next_write(
        &mut self,
        version: u64,
        before: Table,
        wall: WallTime,
        progress: &mut Progress,
    ) -> Option<Call> {
        let mut table = before.clone();
        table.drop_expired(wall);
        let mut changes = Vec::new();
        for mut change in std::mem::take(&mut self.waiting) {
            change.sent = true;
            match table.apply(&change, wall) {
                Ok(()) => changes.push(change),
                Err(taken) => progress
                    .verdicts
                    .push((change.nonce, Verdict::Taken(taken))),
            }
        }
        if changes.is_empty() {
            self.known = Some((version, before));
            return None;
        }
        self.unconfirmed_write = Some(UnconfirmedWrite {
            base: version,
            changes,
            table: table.clone(),
        });
        Some(Call::Write(version, table))
    }

    /// Voids claims that timed out while a write might still take effect.
    ///
    /// The write that voids them changes the version, so a delayed write of the
    /// claim can no longer take effect.
    fn void_timed_out(&mut self, now: Instant) {
        let timed_out = std::mem::take(&mut self.timed_out);
        let voids = timed_out.into_iter().map(|(key, nonce)| PendingChange {
            key,
            nonce,
            op: Op::Void,
            deadline: now,
            sent: true,
        });
        self.waiting.splice(0..0, voids);
    }
}

impl PendingChange {
    fn is_in(&self, claims: &BTreeSet<(KeyDigest, RequestId)>) -> bool {
        claims.contains(&(self.key, self.nonce))
    }

    /// Returns whether the table reflects the change.
    fn is_reflected_in(&self, table: &Table) -> bool {
        let held = table.0.get(&self.key).filter(|r| r.nonce == self.nonce);
        match self.op {
            Op::Claim { .. } => held.is_some(),
            Op::Record(outcome) => held.is_none_or(|r| r.outcome == outcome),
            Op::Void => held.is_none(),
        }
    }
}

impl Table {
    /// Applies a change.
    ///
    /// # Errors
    ///
    /// Returns the existing record if a claim conflicts with another request's.
    fn apply(&mut self, change: &PendingChange, wall: WallTime) -> Result<(), Record> {
        let held = self.0.get(&change.key).copied();
        let is_mine = held.is_some_and(|r| r.nonce == change.nonce);
        match (change.op, held) {
            (Op::Claim { instead_of }, Some(r)) if !is_mine && instead_of != Some(r.nonce) => {
                return Err(r);
            }
            (Op::Claim { .. }, _) => {
                let record = Record {
                    nonce: change.nonce,
                    at: wall,
                    outcome: Outcome::Open,
                };
                self.0.insert(change.key, record);
            }
            (Op::Record(outcome), Some(r)) if is_mine => {
                self.0.insert(change.key, Record { outcome, ..r });
            }
            (Op::Void, _) if is_mine => {
                self.0.remove(&change.key);
            }
            (Op::Record(_) | Op::Void, _) => {}
        }
        Ok(())
    }

    /// Drops claims past their retention period.
    fn drop_expired(&mut self, wall: WallTime) {
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
