//! Which software version began each stream.
//!
//! A caller whose stream breaks takes it up at any process, also after the one that served it has
//! ended. Processes therefore tell some others which version began a stream, and ask all others about
//! a stream that they do not know. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#streams-and-versions).

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::digest::hash_of;
use crate::software_version::PoolVersion;
use crate::unit::{Instant, Millis};

/// How long the origin of a stream is remembered, which is longer than callers wait for a stream.
pub const ORIGIN_RETENTION: Millis = Millis(60_000);
/// How long a new version may be left unused until it is recorded; a record that takes longer is not
/// worth the endpoints.
const RECORD_TIMEOUT: Millis = Millis(1_000);
/// The maximum number of streams whose origin is remembered.
const MAX_STREAMS: usize = 32_768;

/// A stream, identified by the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the stream of the request with an id.
    pub fn new(request: &str) -> Self {
        StreamId(hash_of(request))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(StreamId)
    }
}

/// A stream and the software version that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The version.
    pub version: PoolVersion,
}

/// The origins of the streams that began lately, here or at processes that reported them.
///
/// # Example
///
/// ```
/// use sesamehaven::software_version::PoolVersion;
/// use sesamehaven::stream_origin::{StreamId, StreamOrigin, StreamOrigins};
/// use sesamehaven::unit::Instant;
///
/// let mut origins = StreamOrigins::default();
/// let stream = StreamId::new("9c41");
/// origins.record(StreamOrigin { stream, version: PoolVersion(7) }, Instant(0));
/// assert_eq!(origins.find(stream, Instant(9_000)), Some(PoolVersion(7)));
/// assert_eq!(origins.find(stream, Instant(90_000)), None);
/// ```
#[derive(Debug, Default)]
pub struct StreamOrigins {
    versions: HashMap<StreamId, (PoolVersion, Instant)>,
    order: VecDeque<(Instant, StreamId)>,
}

impl StreamOrigins {
    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Records an origin; the first one of a stream stays, because its first event does not change.
    pub fn record(&mut self, origin: StreamOrigin, now: Instant) {
        self.forget_old(now);
        if self.versions.contains_key(&origin.stream) {
            return;
        }
        self.versions.insert(origin.stream, (origin.version, now));
        self.order.push_back((now, origin.stream));
    }

    /// Returns the version that began a stream, if it is remembered.
    pub fn find(&self, stream: StreamId, now: Instant) -> Option<PoolVersion> {
        let (version, at) = self.versions.get(&stream)?;
        (now.since(*at) <= ORIGIN_RETENTION).then_some(*version)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, stream)) = self.order.front().copied()
            && (now.since(at) > ORIGIN_RETENTION || self.order.len() >= MAX_STREAMS)
        {
            self.order.pop_front();
            self.versions.remove(&stream);
        }
    }
}

/// The software versions of a pool that have served lately.
///
/// A process that starts knows the versions of before from a record that outlives all processes. So that
/// the record is complete, a version is used only once it is recorded, while others are.
///
/// # Example
///
/// ```
/// use sesamehaven::software_version::PoolVersion;
/// use sesamehaven::stream_origin::VersionHistory;
/// use sesamehaven::unit::Instant;
///
/// let (old, new) = (PoolVersion(1), PoolVersion(2));
/// let mut history = VersionHistory::default();
/// history.on_listing([old], Instant(0));
/// assert!(!history.is_complete(Instant(0)), "others may have served before");
/// history.restore([old], Instant(0));
/// assert!(history.is_complete(Instant(0)));
/// history.on_listing([old, new], Instant(500));
/// history.on_recorded(&[old]);
/// assert!(history.is_withheld(new, Instant(500)));
/// history.on_recorded(&[old, new]);
/// assert!(!history.is_withheld(new, Instant(520)));
/// ```
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// The listed versions, each with the time since when.
    listed: Vec<(PoolVersion, Instant)>,
    gone: HashMap<PoolVersion, Instant>,
    recorded: Vec<PoolVersion>,
    is_restored: bool,
    watched_since: Option<Instant>,
}

impl VersionHistory {
    /// Replaces the versions that are listed now; returns whether one of them is new.
    pub fn on_listing(
        &mut self,
        versions: impl IntoIterator<Item = PoolVersion>,
        now: Instant,
    ) -> bool {
        self.watched_since.get_or_insert(now);
        let mut versions: Vec<PoolVersion> = versions.into_iter().collect();
        versions.sort_unstable();
        versions.dedup();
        let previous = std::mem::take(&mut self.listed);
        let since = |v: &PoolVersion| previous.iter().find(|(p, _)| p == v).map(|(_, at)| *at);
        let has_new = versions.iter().any(|v| since(v).is_none());
        self.listed = versions
            .iter()
            .map(|v| (*v, since(v).unwrap_or(now)))
            .collect();
        self.gone.extend(previous.iter().map(|(v, _)| (*v, now)));
        self.gone
            .retain(|v, at| !versions.contains(v) && now.since(*at) <= ORIGIN_RETENTION);
        has_new
    }

    /// Adds the versions of a record from before this process started.
    pub fn restore(&mut self, versions: impl IntoIterator<Item = PoolVersion>, now: Instant) {
        for version in versions {
            if self.listed.iter().all(|(v, _)| *v != version) {
                self.gone.insert(version, now);
            }
        }
        self.is_restored = true;
    }

    /// Records that exactly these versions are in the record that outlives this process; returns
    /// whether one of them was not before.
    pub fn on_recorded(&mut self, versions: &[PoolVersion]) -> bool {
        let previous = std::mem::replace(&mut self.recorded, versions.to_vec());
        versions.iter().any(|v| !previous.contains(v))
    }

    /// Returns whether a version is not used yet, as it is about to be recorded beside others.
    pub fn is_withheld(&self, version: PoolVersion, now: Instant) -> bool {
        let is_new = |(v, since): &(PoolVersion, Instant)| {
            *v == version && now.since(*since) < RECORD_TIMEOUT
        };
        let is_recorded = |v: PoolVersion| self.recorded.contains(&v);
        !is_recorded(version)
            && self.listed.iter().any(is_new)
            && self.listed.iter().any(|(v, _)| is_recorded(*v))
    }

    /// Returns whether all versions are known that may have begun a stream which a caller takes up now.
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_old = |since| now.since(since) > ORIGIN_RETENTION;
        self.is_restored || self.watched_since.is_some_and(is_old)
    }

    /// Returns the versions that are listed, or were within [`ORIGIN_RETENTION`].
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = PoolVersion> {
        let gone = self.gone.iter();
        let gone = gone.filter(move |(_, at)| now.since(**at) <= ORIGIN_RETENTION);
        self.listed
            .iter()
            .map(|(v, _)| *v)
            .chain(gone.map(|(v, _)| *v))
    }
}

/// Where a stream that a caller takes up may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// At this version.
    At(PoolVersion),
    /// Nowhere, because the version that began it serves no more.
    Gone,
    /// Nowhere, because the version that began it is not known.
    Unknown,
}

impl Continuation {
    /// Decides where a stream may go on.
    ///
    /// `recent` are the versions of the pools of its route that have served lately, all of them if
    /// `is_complete`, and `serving` those that accept requests. A stream of unknown origin goes on only if
    /// it can have but one.
    pub fn decide(
        origin: Option<PoolVersion>,
        recent: &[PoolVersion],
        is_complete: bool,
        serving: &[PoolVersion],
    ) -> Self {
        let version = match (origin, recent) {
            (Some(version), _) => version,
            (None, [only]) if is_complete => *only,
            (None, _) => return Continuation::Unknown,
        };
        match serving.contains(&version) {
            true => Continuation::At(version),
            false => Continuation::Gone,
        }
    }
}
