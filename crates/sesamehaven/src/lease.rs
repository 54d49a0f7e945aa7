//! Leases in the platform, with fencing numbers.
//!
//! A lease is one object, changed only by conditional updates. Its fencing
//! number grows with each new holder. The holder counts its time by its own
//! monotonic clock from before it asked for the lease, less a margin; others
//! take the lease over only after they have seen it unchanged for its whole
//! length and the margin, by their own clock. No wall clock takes part. See
//! [`docs/ORDERS.md`](../../../docs/ORDERS.md).

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::guard::Run;
use crate::unit::{Instant, Millis};

/// How long a lease lasts from its last renewal.
pub const LEASE_LENGTH: Millis = Millis(10_000);
/// How much earlier the holder stops, and later others start, than the length says.
pub const LEASE_MARGIN: Millis = Millis(2_000);
/// The time between two renewals.
pub const RENEW_EVERY: Millis = Millis(3_000);
/// The pause after a call that failed.
const RETRY_PAUSE: Millis = Millis(500);

/// The number that orders the holders of a lease; a greater one is the later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The lease as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who holds it, none after it was given up.
    pub holder: Option<Run>,
    /// The fencing number of the holder.
    pub fence: Fence,
    /// The length that the holder counts with.
    pub length: Millis,
}

/// A call of the platform; one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads the lease.
    Read,
    /// Writes it on the condition that its version is still this one.
    Write(u64, Record),
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The version, zero for none, and the record.
    Value(u64, Option<Record>),
    /// The write took effect and gave this version.
    Written(u64),
    /// The version is another one.
    Conflict,
    /// No answer; a write may have taken effect.
    Failed,
}

/// What a contender knows of the stored lease.
#[derive(Debug, Clone)]
struct Sight {
    version: u64,
    record: Option<Record>,
    /// When this version was first seen.
    since: Instant,
}

/// One process that holds a lease or wants to.
///
/// # Example
///
/// ```
/// use sesamehaven::guard::Run;
/// use sesamehaven::id::Incarnation;
/// use sesamehaven::lease::{Call, Fence, Lease, Reply};
/// use sesamehaven::unit::Instant;
///
/// let me = Run { name: "agent-1".parse()?, incarnation: Incarnation(1) };
/// let mut lease = Lease::new(me);
/// assert_eq!(lease.tick(Instant(0)), Some(Call::Read));
/// let call = lease.on_reply(Reply::Value(0, None), Instant(5));
/// assert!(matches!(call, Some(Call::Write(0, _))));
/// lease.on_reply(Reply::Written(1), Instant(10));
/// assert_eq!(lease.fence(Instant(20)), Some(Fence(1)));
/// // A holder that was paused finds that its lease has lapsed.
/// assert_eq!(lease.fence(Instant(60_000)), None);
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug)]
pub struct Lease {
    me: Run,
    sight: Option<Sight>,
    /// The number and the end of the lease that is held.
    held: Option<(Fence, Instant)>,
    /// When the call under way was made, and what it writes.
    call: Option<(Instant, Option<Record>)>,
    next_at: Instant,
    wanted: bool,
}

impl Lease {
    /// Builds a contender that holds nothing.
    pub fn new(me: Run) -> Self {
        Lease {
            me,
            sight: None,
            held: None,
            call: None,
            next_at: Instant(0),
            wanted: true,
        }
    }

    /// Returns the fencing number while the lease is held.
    ///
    /// It has to be asked for right before each act, with the time of the act:
    /// a process that was paused in between learns so here.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let (fence, until) = self.held?;
        (now < until).then_some(fence)
    }

    /// Returns the next call, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<Call> {
        if self.call.is_some() || now < self.next_at {
            return None;
        }
        match &self.sight {
            None => self.make(None, now),
            Some(sight) => {
                let (version, record) = (sight.version, self.wish(sight, now));
                match record {
                    Some(record) => self.make(Some((version, record)), now),
                    None => self.make(None, now),
                }
            }
        }
    }

    /// Takes what came of the call and returns one that follows at once.
    pub fn on_reply(&mut self, reply: Reply, now: Instant) -> Option<Call> {
        let (asked, written) = self.call.take()?;
        match reply {
            Reply::Value(version, record) => self.saw(version, record, now),
            Reply::Written(version) => self.took(version, written?, asked, now),
            Reply::Conflict => {
                self.sight = None;
                self.next_at = now;
            }
            Reply::Failed => {
                // A write that may have taken effect shows when it is read back.
                self.sight = self.sight.take().filter(|_| written.is_none());
                self.next_at = now.after(RETRY_PAUSE);
            }
        }
        self.tick(now)
    }

    /// Gives the lease up, so that another process need not wait for its end.
    ///
    /// The caller has ended everything that it did under it.
    pub fn give_up(&mut self, now: Instant) -> Option<Call> {
        self.wanted = false;
        self.held = None;
        self.next_at = now;
        self.tick(now)
    }

    /// Returns what this process would write now, if anything.
    fn wish(&self, sight: &Sight, now: Instant) -> Option<Record> {
        let current = sight.record.as_ref();
        let holder = current.and_then(|r| r.holder.as_ref());
        let is_mine = holder == Some(&self.me);
        let fence = current.map_or(Fence(0), |r| r.fence);
        if !self.wanted {
            return is_mine.then_some(self.record(None, fence));
        }
        if is_mine && self.fence(now).is_some() {
            return Some(self.record(Some(self.me.clone()), fence));
        }
        let length = current.map_or(Millis(0), |r| r.length);
        let lapsed = sight.since.after(Millis(length.0 + LEASE_MARGIN.0));
        // An own lease that has lapsed is taken anew, with another number.
        let is_free = holder.is_none() || is_mine || now >= lapsed;
        is_free.then(|| self.record(Some(self.me.clone()), Fence(fence.0 + 1)))
    }

    fn record(&self, holder: Option<Run>, fence: Fence) -> Record {
        Record {
            holder,
            fence,
            length: LEASE_LENGTH,
        }
    }

    fn make(&mut self, write: Option<(u64, Record)>, now: Instant) -> Option<Call> {
        let record = write.as_ref().map(|(_, record)| record.clone());
        self.call = Some((now, record));
        match write {
            Some((version, record)) => Some(Call::Write(version, record)),
            None if self.wanted => Some(Call::Read),
            None if self.sight.is_none() => Some(Call::Read),
            None => {
                self.call = None;
                None
            }
        }
    }

    fn saw(&mut self, version: u64, record: Option<Record>, now: Instant) {
        let holder = record.as_ref().and_then(|r| r.holder.as_ref());
        if holder != Some(&self.me) {
            self.held = None;
        }
        let known = self.sight.take().filter(|s| s.version == version);
        let since = known.map_or(now, |s| s.since);
        let sight = Sight {
            version,
            record,
            since,
        };
        let acts = self.wish(&sight, now).is_some();
        self.sight = Some(sight);
        self.next_at = if acts { now } else { now.after(RENEW_EVERY) };
    }

    fn took(&mut self, version: u64, record: Record, asked: Instant, now: Instant) {
        let until = asked.after(Millis(record.length.0 - LEASE_MARGIN.0));
        self.held = record.holder.as_ref().map(|_| (record.fence, until));
        self.sight = Some(Sight {
            version,
            record: Some(record),
            since: now,
        });
        self.next_at = now.after(RENEW_EVERY);
    }
}
