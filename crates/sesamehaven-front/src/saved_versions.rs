//! What fronts save of software versions, for the take-up of streams after the loss of all fronts.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::software_version::PoolVersion;
use sesamehaven::stream_origin::{StreamId, StreamOrigin, VersionHistory};
use sesamehaven::unit::Instant;

/// The number of hexadecimal digits of a stream.
const STREAM_DIGITS: usize = 16;
/// The maximum number of streams that one front saves.
const MAX_STREAMS: usize = 4_096;

/// The versions that have served lately, by pool, and the streams that run, by version, as they are
/// saved in the directory.
///
/// Streams are saved only while a pool has several versions: with one, there is nothing to tell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSnapshot {
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    versions: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// The ids of the streams of each version, one after the other.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    streams: BTreeMap<SmolStr, String>,
}

impl VersionSnapshot {
    pub(crate) fn new(
        history: &HashMap<SmolStr, VersionHistory>,
        running: &HashMap<StreamId, PoolVersion>,
        now: Instant,
    ) -> Self {
        let mut snapshot = VersionSnapshot::default();
        let mut several: SmallVec<[PoolVersion; 4]> = SmallVec::new();
        for (pool, known) in history {
            let mut recent: Vec<PoolVersion> = known.recent(now).collect();
            recent.sort_unstable();
            if recent.len() > 1 {
                several.extend_from_slice(&recent);
            }
            if !recent.is_empty() {
                let names = recent.iter().map(|v| v.to_string().into());
                snapshot.versions.insert(pool.clone(), names.collect());
            }
        }
        let mut streams: Vec<(PoolVersion, StreamId)> = running
            .iter()
            .filter(|(_, version)| several.contains(version))
            .map(|(stream, version)| (*version, *stream))
            .take(MAX_STREAMS)
            .collect();
        // Equal contents are not saved again.
        streams.sort_unstable();
        for (version, stream) in streams {
            let ids = snapshot.streams.entry(version.to_string().into());
            ids.or_default().push_str(&stream.to_string());
        }
        snapshot
    }

    /// Returns the versions of each pool; what cannot be read is left out.
    pub(crate) fn versions(&self) -> impl Iterator<Item = (&SmolStr, Vec<PoolVersion>)> {
        let parse = |names: &Vec<SmolStr>| names.iter().filter_map(|n| n.parse().ok()).collect();
        self.versions
            .iter()
            .map(move |(p, names)| (p, parse(names)))
    }

    pub(crate) fn has_streams(&self) -> bool {
        !self.streams.is_empty()
    }

    /// Returns the streams that ran, with their versions; what cannot be read is left out.
    pub(crate) fn origins(&self) -> impl Iterator<Item = StreamOrigin> {
        let by_version = self.streams.iter();
        let by_version = by_version.filter_map(|(v, ids)| Some((v.parse().ok()?, ids)));
        by_version.flat_map(|(version, ids)| {
            let ids = ids.as_bytes().chunks_exact(STREAM_DIGITS);
            let ids = ids.filter_map(|id| std::str::from_utf8(id).ok()?.parse().ok());
            ids.map(move |stream| StreamOrigin { stream, version })
        })
    }
}
