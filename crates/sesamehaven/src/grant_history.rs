//! What a daemon remembers of granted keys, in bounded memory.
//!
//! Grants of the last minutes are kept whole. Older keys shrink to fingerprints
//! of four bytes, in groups by age, which are dropped after the retention
//! period. The sizes are in [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use serde::{Deserialize, Serialize};

use crate::guard::{Grant, Handover};
use crate::id::KeyDigest;
use crate::unit::{Instant, Millis};

/// How long a grant is kept whole after its last change.
pub const GRANT_RETENTION: Millis = Millis(15 * 60 * 1000);
/// How long a key is remembered at all.
pub const FINGERPRINT_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);
/// The span of time that one group of fingerprints covers.
const GROUP_SPAN: Millis = Millis(60 * 60 * 1000);

/// The fingerprint of a key within its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u32);

impl Fingerprint {
    /// Returns the fingerprint of a key.
    pub fn of(key: KeyDigest) -> Self {
        Fingerprint(key.0 as u32)
    }
}

/// A group of fingerprints of about the same age.
#[derive(Debug, Clone)]
struct Group {
    since: Instant,
    fingerprints: Vec<Fingerprint>,
}

/// The grants of one slot.
#[derive(Debug, Clone, Default)]
pub struct GrantHistory {
    grants: HashMap<KeyDigest, (Grant, Instant)>,
    groups: Vec<Group>,
}

impl GrantHistory {
    /// Finds the grant of a key.
    pub fn get(&self, key: KeyDigest) -> Option<&Grant> {
        self.grants.get(&key).map(|(grant, _)| grant)
    }

    /// Returns whether the key was granted long ago, as far as its print tells.
    pub fn has_fingerprint(&self, key: KeyDigest) -> bool {
        let print = Fingerprint::of(key);
        let holds = |g: &Group| g.fingerprints.binary_search(&print).is_ok();
        self.groups.iter().any(holds)
    }

    /// Takes a grant in place of any other of its key.
    pub fn insert(&mut self, grant: Grant, now: Instant) {
        self.grants.insert(grant.key, (grant, now));
    }

    /// Takes a grant unless a later one of its key is known.
    pub fn merge(&mut self, grant: Grant, now: Instant) {
        match self.grants.entry(grant.key) {
            Entry::Vacant(slot) => {
                slot.insert((grant, now));
            }
            Entry::Occupied(mut slot) => {
                let known = &slot.get().0;
                if (grant.seq, grant.step) > (known.seq, known.step) {
                    slot.insert((grant, now));
                }
            }
        }
    }

    /// Forgets the grant of a key, which was given up.
    pub fn remove(&mut self, key: KeyDigest) {
        self.grants.remove(&key);
    }

    /// Lists the grants that are kept whole.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values().map(|(grant, _)| grant)
    }

    /// Returns everything, to be handed to another daemon.
    pub fn handover(&self, now: Instant) -> Handover {
        Handover {
            grants: self.grants().cloned().collect(),
            fingerprints: self.fingerprints(now),
        }
    }

    /// Returns the fingerprints, with the age of each group.
    pub fn fingerprints(&self, now: Instant) -> Vec<(Millis, Vec<Fingerprint>)> {
        let groups = self.groups.iter();
        groups
            .map(|g| (now.since(g.since), g.fingerprints.clone()))
            .collect()
    }

    /// Takes in what another daemon remembers.
    pub fn absorb(&mut self, handover: Handover, now: Instant) {
        for grant in handover.grants {
            self.merge(grant, now);
        }
        for (age, fingerprints) in handover.fingerprints {
            let since = Instant(now.0.saturating_sub(age.0));
            self.add(since, fingerprints);
        }
    }

    /// Shrinks old grants to fingerprints and drops those past retention.
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
            self.add(now, old);
        }
        if self.grants.capacity() > 4 * self.grants.len() {
            self.grants.shrink_to(2 * self.grants.len());
        }
        let kept = |g: &Group| now.since(g.since).0 < FINGERPRINT_RETENTION.0 + GROUP_SPAN.0;
        self.groups.retain(kept);
    }

    /// Returns the bytes that the grants and fingerprints take.
    pub fn bytes(&self) -> usize {
        let grants = self.grants.capacity() * size_of::<(KeyDigest, Grant, Instant)>();
        let fingerprints = |g: &Group| g.fingerprints.capacity() * size_of::<Fingerprint>();
        grants + self.groups.iter().map(fingerprints).sum::<usize>()
    }

    fn add(&mut self, since: Instant, fingerprints: Vec<Fingerprint>) {
        let covers = |g: &&mut Group| g.since.0 / GROUP_SPAN.0 == since.0 / GROUP_SPAN.0;
        if let Some(group) = self.groups.iter_mut().find(covers) {
            group.since = group.since.max(since);
            group.fingerprints.extend(fingerprints);
            sort(&mut group.fingerprints);
            return;
        }
        let mut group = Group {
            since,
            fingerprints,
        };
        sort(&mut group.fingerprints);
        self.groups.push(group);
    }
}

fn sort(fingerprints: &mut Vec<Fingerprint>) {
    fingerprints.sort_unstable();
    fingerprints.dedup();
    fingerprints.shrink_to_fit();
}
