//! What the feed says to its peers and hears from them.

use std::collections::HashMap;

use bytes::Bytes;
use tokio::sync::mpsc;

use sesamehaven::delivery::Mark;
use sesamehaven::id::{DaemonName, Digest, Generation};
use sesamehaven::parts::Head;

use crate::feed_cache::{Candidate, ConfigCache, mark_of};

/// What the links tell the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromPeer {
    /// A message of any kind carried the generation that the peer serves.
    Generation {
        /// Who sent it.
        peer: DaemonName,
        /// What it serves.
        generation: Generation,
    },
    /// The peer asks for the configuration.
    FetchConfig {
        /// Who asks.
        peer: DaemonName,
        /// What it serves, zero for nothing.
        generation: Generation,
    },
    /// The peer sent a configuration, or a share of its parts.
    Config {
        /// Who sent it.
        peer: DaemonName,
        /// The head, as it is stored.
        head: Bytes,
        /// Some of its parts.
        parts: Vec<Bytes>,
    },
    /// The last link to the peer is gone.
    Disconnected {
        /// Who is gone.
        peer: DaemonName,
    },
}

/// What the feed asks the links to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToPeer {
    /// Ask the peer for its configuration.
    FetchConfig {
        /// Whom to ask.
        peer: DaemonName,
        /// What this process serves, zero for nothing.
        generation: Generation,
    },
    /// Send the peer a configuration, or a share of its parts.
    Config {
        /// Who asked.
        peer: DaemonName,
        /// The head, as it is stored.
        head: Bytes,
        /// Some of its parts.
        parts: Vec<Bytes>,
    },
}

/// The two ends that join the feed to the links.
#[derive(Debug)]
pub struct PeerChannels {
    /// What the links tell.
    pub rx: mpsc::Receiver<FromPeer>,
    /// What the links are to send; messages are dropped when it is full.
    pub tx: mpsc::Sender<ToPeer>,
}

/// Parts of a peer's configuration, as long as they are not complete.
#[derive(Debug)]
pub(crate) struct Assembly {
    head: Head,
    raw: Bytes,
    parts: HashMap<Digest, Bytes>,
}

/// What came of adding parts.
#[derive(Debug)]
pub(crate) enum Assembled {
    /// Some parts are missing.
    Waiting,
    /// A part is not one that the head names.
    UnexpectedPart,
    /// All parts are in hand.
    Complete(Candidate),
}

impl Assembly {
    /// Begins with a head, as it was parsed and as it is stored.
    pub(crate) fn new(head: Head, raw: Bytes) -> Self {
        Assembly {
            head,
            raw,
            parts: HashMap::new(),
        }
    }

    pub(crate) fn mark(&self) -> Mark {
        mark_of(&self.head)
    }

    /// Adds parts, and looks for those that are still missing on the cache.
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
