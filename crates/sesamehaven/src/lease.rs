//! Leases in the platform, with fencing tokens.
//!
//! A lease is one object that is changed only by conditional writes. Its fencing
//! token increases with each new holder. The holder measures the lease duration,
//! less a margin, on its own monotonic clock, starting before it sent the request.
//! Other processes take the lease over only after they have observed it unchanged
//! for its whole duration plus the margin, on their own clocks. Wall clocks are not
//! used. See [`docs/ORDERS.md`](../../../docs/ORDERS.md).

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::guard::Run;
use crate::unit::{Instant, Millis};

/// The duration of a lease from its last renewal.
pub const LEASE_DURATION: Millis = Millis(10_000);
/// The safety margin by which the holder stops before the lease duration ends and
/// other processes wait beyond it.
pub const LEASE_MARGIN: Millis = Millis(2_000);
/// The interval between renewals by the holder and between reads by other contenders.
pub const RENEW_INTERVAL: Millis = Millis(3_000);
/// The delay before the next call after a failed one.
const RETRY_DELAY: Millis = Millis(500);

/// A fencing token. It increases with each new holder of a lease.
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

/// The stored lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder; [`None`] after the lease was released.
    pub holder: Option<Run>,
    /// The fencing token of the holder.
    pub fence: Fence,
    /// The lease duration that the holder uses.
    #[serde(rename = "length")]
    pub duration: Millis,
}

/// A call to the platform. A contender has at most one call in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads the lease.
    Read,
    /// Writes the lease if its version is still the given one, zero for none.
    Write(u64, Record),
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The version, zero for none, and the record.
    Value(u64, Option<Record>),
    /// The write succeeded and produced this version.
    Written(u64),
    /// The version differs; the write had no effect.
    Conflict,
    /// No response; a write may have taken effect.
    Failed,
}

/// The stored lease as a contender last observed it.
#[derive(Debug, Clone)]
struct Observed {
    version: u64,
    record: Option<Record>,
    /// When this version was first observed.
    since: Instant,
}

/// A process that holds a lease or contends for it.
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
/// // After a pause, the holder finds that its lease has expired.
/// assert_eq!(lease.fence(Instant(60_000)), None);
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug)]
pub struct Lease {
    me: Run,
    observed: Option<Observed>,
    /// The fencing token and the expiry of the lease as last confirmed, which may have
    /// passed.
    held: Option<(Fence, Instant)>,
    /// When the call in flight was sent, and the record that it writes.
    call: Option<(Instant, Option<Record>)>,
    next_at: Instant,
    wanted: bool,
}

impl Lease {
    /// Creates a contender that does not hold the lease.
    pub fn new(me: Run) -> Self {
        Lease {
            me,
            observed: None,
            held: None,
            call: None,
            next_at: Instant(0),
            wanted: true,
        }
    }

    /// Returns the fencing token while the lease is held.
    ///
    /// Must be called immediately before each fenced operation, with the current
    /// time, so that a process that was paused detects that its lease has expired.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let (fence, expires_at) = self.held?;
        (now < expires_at).then_some(fence)
    }

    /// Returns the next call, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<Call> {
        if self.call.is_some() || now < self.next_at {
            return None;
        }
        match &self.observed {
            None => self.start_call(None, now),
            Some(observed) => {
                let (version, record) = (observed.version, self.desired_record(observed, now));
                match record {
                    Some(record) => self.start_call(Some((version, record)), now),
                    None => self.start_call(None, now),
                }
            }
        }
    }

    /// Handles the result of the call in flight and returns the next call, if one
    /// is due immediately.
    pub fn on_reply(&mut self, reply: Reply, now: Instant) -> Option<Call> {
        let (sent_at, written) = self.call.take()?;
        match reply {
            Reply::Value(version, record) => self.on_value(version, record, now),
            Reply::Written(version) => self.on_written(version, written?, sent_at, now),
            Reply::Conflict => {
                self.observed = None;
                self.next_at = now;
            }
            Reply::Failed => {
                // A read shows whether the write took effect.
                self.observed = self.observed.take().filter(|_| written.is_none());
                self.next_at = now.after(RETRY_DELAY);
            }
        }
        self.tick(now)
    }

    /// Releases the lease, so that other processes need not wait for its expiry.
    ///
    /// The caller must have finished all operations under the lease.
    pub fn release(&mut self, now: Instant) -> Option<Call> {
        self.wanted = false;
        self.held = None;
        self.next_at = now;
        self.tick(now)
    }

    /// Returns the record that this process would write now, if any.
    fn desired_record(&self, observed: &Observed, now: Instant) -> Option<Record> {
        let current = observed.record.as_ref();
        let holder = current.and_then(|r| r.holder.as_ref());
        let is_mine = holder == Some(&self.me);
        let fence = current.map_or(Fence(0), |r| r.fence);
        if !self.wanted {
            return is_mine.then_some(self.record(None, fence));
        }
        if is_mine && self.fence(now).is_some() {
            return Some(self.record(Some(self.me.clone()), fence));
        }
        let duration = current.map_or(Millis(0), |r| r.duration);
        let expires_at = observed.since.after(Millis(duration.0 + LEASE_MARGIN.0));
        // An expired lease of this process is acquired anew, with another token.
        let is_free = holder.is_none() || is_mine || now >= expires_at;
        is_free.then(|| self.record(Some(self.me.clone()), Fence(fence.0 + 1)))
    }

    fn record(&self, holder: Option<Run>, fence: Fence) -> Record {
        Record {
            holder,
            fence,
            duration: LEASE_DURATION,
        }
    }

    fn start_call(&mut self, write: Option<(u64, Record)>, now: Instant) -> Option<Call> {
        let record = write.as_ref().map(|(_, record)| record.clone());
        self.call = Some((now, record));
        match write {
            Some((version, record)) => Some(Call::Write(version, record)),
            None if self.wanted => Some(Call::Read),
            None if self.observed.is_none() => Some(Call::Read),
            None => {
                self.call = None;
                None
            }
        }
    }

    fn on_value(&mut self, version: u64, record: Option<Record>, now: Instant) {
        let holder = record.as_ref().and_then(|r| r.holder.as_ref());
        if holder != Some(&self.me) {
            self.held = None;
        }
        let known = self.observed.take().filter(|s| s.version == version);
        let since = known.map_or(now, |s| s.since);
        let observed = Observed {
            version,
            record,
            since,
        };
        let can_write = self.desired_record(&observed, now).is_some();
        self.observed = Some(observed);
        self.next_at = if can_write {
            now
        } else {
            now.after(RENEW_INTERVAL)
        };
    }

    fn on_written(&mut self, version: u64, record: Record, sent_at: Instant, now: Instant) {
        let expires_at = sent_at.after(Millis(record.duration.0 - LEASE_MARGIN.0));
        self.held = record.holder.as_ref().map(|_| (record.fence, expires_at));
        self.observed = Some(Observed {
            version,
            record: Some(record),
            since: now,
        });
        self.next_at = now.after(RENEW_INTERVAL);
    }
}
