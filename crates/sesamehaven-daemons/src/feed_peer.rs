//! Messages between the feed and its peers, and the assembly of their answers.

use std::collections::HashMap;

use bytes::Bytes;
use tokio::sync::mpsc;

use sesamehaven::delivery::ConfigVersion;
use sesamehaven::id::{DaemonName, Digest, Generation};
use sesamehaven::parts::Head;

use crate::feed_cache::{Candidate, ConfigCache, config_version_of};

/// A message or event from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromPeer {
    /// A message carried the generation that the peer serves.
    Generation {
        /// The peer.
        peer: DaemonName,
        /// The generation that the peer serves.
        generation: Generation,
    },
    /// The peer requests the configuration.
    FetchConfig {
        /// The peer.
        peer: DaemonName,
        /// The generation that the peer serves, zero for none.
        generation: Generation,
    },
    /// The peer sent a configuration, or some of its parts.
    Config {
        /// The peer.
        peer: DaemonName,
        /// The head, as it is stored.
        head: Bytes,
        /// Some of its parts.
        parts: Vec<Bytes>,
    },
    /// The last link to the peer was closed.
    Disconnected {
        /// The peer.
        peer: DaemonName,
    },
}

/// A message to send to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToPeer {
    /// Request the peer's configuration.
    FetchConfig {
        /// The peer.
        peer: DaemonName,
        /// The generation that this process serves, zero for none.
        generation: Generation,
    },
    /// Send the peer a configuration, or some of its parts.
    Config {
        /// The peer.
        peer: DaemonName,
        /// The head, as it is stored.
        head: Bytes,
        /// Some of its parts.
        parts: Vec<Bytes>,
    },
}

/// The feed's ends of the channels to the links.
#[derive(Debug)]
pub struct PeerChannels {
    /// Messages and events from peers.
    pub rx: mpsc::Receiver<FromPeer>,
    /// Messages to peers; they are dropped when the channel is full.
    pub tx: mpsc::Sender<ToPeer>,
}

/// A configuration received from a peer whose parts are not complete yet.
#[derive(Debug)]
pub(crate) struct Assembly {
    head: Head,
    raw: Bytes,
    parts: HashMap<Digest, Bytes>,
}

/// The result of adding parts.
#[derive(Debug)]
pub(crate) enum Assembled {
    /// Some parts are still missing.
    Waiting,
    /// A part is not referenced by the head.
    UnexpectedPart,
    /// All parts are present.
    Complete(Candidate),
}

impl Assembly {
    /// Creates an assembly from a head, parsed and as stored.
    pub(crate) fn new(head: Head, raw: Bytes) -> Self {
        Assembly {
            head,
            raw,
            parts: HashMap::new(),
        }
    }

    pub(crate) fn config_version(&self) -> ConfigVersion {
        config_version_of(&self.head)
    }

    /// Adds parts, and takes missing ones from the cache if it has them.
    pub(crate) fn add(&mut self, parts: Vec<Bytes>, cache: &ConfigCache) -> Assembled {
        for bytes in parts {
            let digest = Digest::of(&bytes);
            if !self.head.parts.contains(&digest) {
                return Assembled::UnexpectedPart;
            }
            self.parts.insert(digest, bytes);
        }
        let find = |d| self.parts.get(d).or_else(|| cache.part(d));
        let found = self.head.parts.iter().map(|d| find(d).cloned());
        match found.collect() {
            None => Assembled::Waiting,
            Some(parts) => Assembled::Complete(Candidate {
                head: self.head.clone(),
                raw: self.raw.clone(),
                parts,
            }),
        }
    }
}
