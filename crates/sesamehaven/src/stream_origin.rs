//! Which software version began each stream.
//!
//! A caller whose stream breaks takes it up at any process, also after the one that served it has
//! ended. Processes therefore tell some others which version began a stream, and ask all others about
//! a stream that they do not know. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#streams-and-versions).

use std::collections::{HashMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::hash_of;
use crate::software_version::PoolVersion;
use crate::unit::{Instant, Millis};

/// How long the origin of a stream is remembered, which is longer than callers wait for a stream.
pub const ORIGIN_RETENTION: Millis = Millis(60_000);
/// The maximum number of streams whose origin is remembered.
const MAX_STREAMS: usize = 32_768;

/// A stream, identified by the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

/// The software versions that have served lately.
#[derive(Debug, Default)]
pub struct VersionHistory {
    listed: Vec<PoolVersion>,
    gone: HashMap<PoolVersion, Instant>,
}

impl VersionHistory {
    /// Replaces the versions that are listed now.
    pub fn on_listing(&mut self, versions: impl IntoIterator<Item = PoolVersion>, now: Instant) {
        let mut listed: Vec<PoolVersion> = versions.into_iter().collect();
        listed.sort_unstable();
        listed.dedup();
        for version in std::mem::replace(&mut self.listed, listed) {
            self.gone.insert(version, now);
        }
        let listed = &self.listed;
        self.gone
            .retain(|v, at| !listed.contains(v) && now.since(*at) <= ORIGIN_RETENTION);
    }

    /// Adds versions that served at some time before, as another process remembers.
    pub fn merge(&mut self, versions: impl IntoIterator<Item = PoolVersion>, now: Instant) {
        for version in versions {
            if !self.listed.contains(&version) {
                self.gone.insert(version, now);
            }
        }
    }

    /// Returns the versions that are listed, or were within [`ORIGIN_RETENTION`].
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = PoolVersion> {
        let gone = self.gone.iter();
        let gone = gone.filter(move |(_, at)| now.since(**at) <= ORIGIN_RETENTION);
        self.listed.iter().copied().chain(gone.map(|(v, _)| *v))
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
    /// `recent` are the versions of the pools of its route that have served lately, and `serving` those
    /// that accept requests. A stream of unknown origin goes on only if it can have but one.
    pub fn decide(
        origin: Option<PoolVersion>,
        recent: &[PoolVersion],
        serving: &[PoolVersion],
    ) -> Self {
        let version = match (origin, recent) {
            (Some(version), _) => version,
            (None, [only]) => *only,
            (None, _) => return Continuation::Unknown,
        };
        match serving.contains(&version) {
            true => Continuation::At(version),
            false => Continuation::Gone,
        }
    }
}
