//! A daemon's history of granted keys, in bounded memory.
//!
//! Recent grants are stored in full. Older keys are reduced to fingerprints of
//! four bytes, grouped by age, which are dropped after the retention period. The
//! sizes are in [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use serde::{Deserialize, Serialize};

use crate::guard::{Grant, Handover};
use crate::id::KeyDigest;
use crate::unit::{Instant, Millis};

/// The retention period of a full grant after its last change.
pub const GRANT_RETENTION: Millis = Millis(15 * 60 * 1000);
/// The retention period of a key's fingerprint.
pub const FINGERPRINT_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);
/// The time span that one group of fingerprints covers.
const GROUP_SPAN: Millis = Millis(60 * 60 * 1000);

/// The low 32 bits of a key's digest, which distinguish the key within its slot.
///
/// The slot is taken from the highest bits of the digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u32);

impl Fingerprint {
    /// Returns the fingerprint of a key.
    pub fn of(key: KeyDigest) -> Self {
        Fingerprint(key.0 as u32)
    }
}

/// A group of fingerprints of similar age.
#[derive(Debug, Clone)]
struct Group {
    /// The time of the newest fingerprint.
    newest_at: Instant,
    fingerprints: Vec<Fingerprint>,
}

/// The grants and fingerprints of one slot.
#[derive(Debug, Clone, Default)]
pub struct GrantHistory {
    grants: HashMap<KeyDigest, (Grant, Instant)>,
    groups: Vec<Group>,
}

impl GrantHistory {
    /// Returns the grant of a key, if it is stored in full.
    pub fn get(&self, key: KeyDigest) -> Option<&Grant> {
        self.grants.get(&key).map(|(grant, _)| grant)
    }

    /// Returns whether the key's fingerprint is stored. False positives are possible.
    pub fn has_fingerprint(&self, key: KeyDigest) -> bool {
        let fingerprint = Fingerprint::of(key);
        let contains = |g: &Group| g.fingerprints.binary_search(&fingerprint).is_ok();
        self.groups.iter().any(contains)
    }

    /// Stores a grant, replacing any other grant of its key.
    pub fn insert(&mut self, grant: Grant, now: Instant) {
        self.grants.insert(grant.key, (grant, now));
    }

    /// Stores a grant unless a later grant of its key is stored already.
    pub fn merge(&mut self, grant: Grant, now: Instant) {
        match self.grants.entry(grant.key) {
            Entry::Vacant(vacant) => {
                vacant.insert((grant, now));
            }
            Entry::Occupied(mut occupied) => {
                let stored = &occupied.get().0;
                if (grant.seq, grant.step) > (stored.seq, stored.step) {
                    occupied.insert((grant, now));
                }
            }
        }
    }

    /// Removes the grant of a key that was released.
    pub fn remove(&mut self, key: KeyDigest) {
        self.grants.remove(&key);
    }

    /// Returns an iterator over the grants that are stored in full.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values().map(|(grant, _)| grant)
    }

    /// Returns all records, for transfer to another daemon.
    pub fn handover(&self, now: Instant) -> Handover {
        Handover {
            grants: self.grants().cloned().collect(),
            fingerprints: self.fingerprints(now),
        }
    }

    /// Returns the fingerprints, with the age of the newest one in each group.
    pub fn fingerprints(&self, now: Instant) -> Vec<(Millis, Vec<Fingerprint>)> {
        let groups = self.groups.iter();
        groups
            .map(|g| (now.since(g.newest_at), g.fingerprints.clone()))
            .collect()
    }

    /// Merges the records of another daemon.
    pub fn merge_handover(&mut self, handover: Handover, now: Instant) {
        for grant in handover.grants {
            self.merge(grant, now);
        }
        for (age, fingerprints) in handover.fingerprints {
            let newest_at = Instant(now.0.saturating_sub(age.0));
            self.add_fingerprints(newest_at, fingerprints);
        }
    }

    /// Reduces old grants to fingerprints and drops fingerprints past their retention
    /// period.
    pub fn expire(&mut self, now: Instant) {
        let mut old = Vec::new();
        self.grants.retain(|key, (_, at)| {
            let keep = now.since(*at) < GRANT_RETENTION;
            if !keep {
                old.push(Fingerprint::of(*key));
            }
            keep
        });
        if !old.is_empty() {
            self.add_fingerprints(now, old);
        }
        if self.grants.capacity() > 4 * self.grants.len() {
            self.grants.shrink_to(2 * self.grants.len());
        }
        // Groups are kept for one span beyond the retention period of their latest
        // fingerprint.
        let kept = |g: &Group| now.since(g.newest_at).0 < FINGERPRINT_RETENTION.0 + GROUP_SPAN.0;
        self.groups.retain(kept);
    }

    /// Returns the memory used by grants and fingerprints, in bytes.
    pub fn bytes(&self) -> usize {
        let grants = self.grants.capacity() * size_of::<(KeyDigest, Grant, Instant)>();
        let fingerprint_bytes = |g: &Group| g.fingerprints.capacity() * size_of::<Fingerprint>();
        grants + self.groups.iter().map(fingerprint_bytes).sum::<usize>()
    }

    fn add_fingerprints(&mut self, newest_at: Instant, fingerprints: Vec<Fingerprint>) {
        let covers = |g: &&mut Group| g.newest_at.0 / GROUP_SPAN.0 == newest_at.0 / GROUP_SPAN.0;
        if let Some(group) = self.groups.iter_mut().find(covers) {
            group.newest_at = group.newest_at.max(newest_at);
            group.fingerprints.extend(fingerprints);
            sort_and_dedup(&mut group.fingerprints);
            return;
        }
        let mut group = Group {
            newest_at,
            fingerprints,
        };
        sort_and_dedup(&mut group.fingerprints);
        self.groups.push(group);
    }
}

fn sort_and_dedup(fingerprints: &mut Vec<Fingerprint>) {
    fingerprints.sort_unstable();
    fingerprints.dedup();
    fingerprints.shrink_to_fit();
}
