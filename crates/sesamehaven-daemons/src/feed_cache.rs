//! The configuration in force, in the form in which it is sent to peers.

use std::collections::{HashMap, HashSet, VecDeque};

use bytes::Bytes;

use sesamehaven::delivery::ConfigVersion;
use sesamehaven::id::{Digest, Generation};
use sesamehaven::parts::Head;

/// Number of generations whose part digests are kept, so that a peer that serves
/// one of them gets only the changed parts.
const RECENT_GENERATIONS_MAX: usize = 16;
/// Maximum total size of the parts in one message to a peer, unless a single part
/// is larger.
const ANSWER_PARTS_BYTES: usize = 256 * 1024;

/// A complete configuration that may or may not be put in force.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) head: Head,
    pub(crate) raw: Bytes,
    pub(crate) parts: Vec<Bytes>,
}

impl Candidate {
    pub(crate) fn config_version(&self) -> ConfigVersion {
        config_version_of(&self.head)
    }
}

/// Returns the generation and digest that identify a head.
pub(crate) fn config_version_of(head: &Head) -> ConfigVersion {
    ConfigVersion {
        generation: head.generation,
        digest: head.digest,
    }
}

/// A message that answers a peer's request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) head: Bytes,
    pub(crate) parts: Vec<Bytes>,
}

/// The parts in force, and the digests of the latest generations.
#[derive(Debug, Default)]
pub(crate) struct ConfigCache {
    raw: Bytes,
    order: Vec<Digest>,
    parts: HashMap<Digest, Bytes>,
    recent: VecDeque<(Generation, HashSet<Digest>)>,
}

impl ConfigCache {
    /// Replaces the configuration in force.
    pub(crate) fn replace(&mut self, candidate: Candidate) {
        let Candidate { head, raw, parts } = candidate;
        if self.recent.len() == RECENT_GENERATIONS_MAX {
            self.recent.pop_front();
        }
        let digests = head.parts.iter().copied().collect();
        self.recent.push_back((head.generation, digests));
        self.parts = head.parts.iter().copied().zip(parts).collect();
        self.order = head.parts;
        self.raw = raw;
    }

    /// Returns the bytes of a part of the configuration in force.
    pub(crate) fn part(&self, digest: &Digest) -> Option<&Bytes> {
        self.parts.get(digest)
    }

    /// Builds the messages for a peer that serves `generation`.
    ///
    /// The result is empty while no configuration is in force.
    pub(crate) fn answers(&self, generation: Generation) -> Vec<Answer> {
        if self.raw.is_empty() {
            return Vec::new();
        }
        let known = self.recent.iter().find(|(g, _)| *g == generation);
        let lacks = |d: &&Digest| known.is_none_or(|(_, digests)| !digests.contains(*d));
        let lacking = self.order.iter().filter(lacks);
        let mut answers = vec![self.answer()];
        let mut len = 0;
        for bytes in lacking.filter_map(|d| self.parts.get(d)) {
            if len > 0 && len + bytes.len() > ANSWER_PARTS_BYTES {
                answers.push(self.answer());
                len = 0;
            }
            len += bytes.len();
            if let Some(answer) = answers.last_mut() {
                answer.parts.push(bytes.clone());
            }
        }
        answers
    }

    fn answer(&self) -> Answer {
        Answer {
            head: self.raw.clone(),
            parts: Vec::new(),
        }
    }
}
