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
pub const WHOLE_RETENTION: Millis = Millis(15 * 60 * 1000);
/// How long a key is remembered at all.
pub const RETENTION: Millis = Millis(24 * 60 * 60 * 1000);
/// The span of time that one group of fingerprints covers.
const GROUP_SPAN: Millis = Millis(60 * 60 * 1000);

/// The fingerprint of a key within its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Print(pub u32);

impl Print {
    /// Returns the fingerprint of a key.
    pub fn of(key: KeyDigest) -> Self {
        Print(key.0 as u32)
    }
}

/// A group of fingerprints of about the same age.
#[derive(Debug, Clone)]
struct Group {
    since: Instant,
    prints: Vec<Print>,
}

/// The grants of one slot.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    grants: HashMap<KeyDigest, (Grant, Instant)>,
    groups: Vec<Group>,
}

impl Memory {
    /// Finds the grant of a key.
    pub fn get(&self, key: KeyDigest) -> Option<&Grant> {
        self.grants.get(&key).map(|(grant, _)| grant)
    }

    /// Returns whether the key was granted long ago, as far as its print tells.
    pub fn remembers(&self, key: KeyDigest) -> bool {
        let print = Print::of(key);
        let holds = |g: &Group| g.prints.binary_search(&print).is_ok();
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
                if (grant.turn, grant.step) > (known.turn, known.step) {
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
            prints: self.prints(now),
        }
    }

    /// Returns the fingerprints, with the age of each group.
    pub fn prints(&self, now: Instant) -> Vec<(Millis, Vec<Print>)> {
        let groups = self.groups.iter();
        groups
            .map(|g| (now.since(g.since), g.prints.clone()))
            .collect()
    }

    /// Takes in what another daemon remembers.
    pub fn absorb(&mut self, handover: Handover, now: Instant) {
        for grant in handover.grants {
            self.merge(grant, now);
        }
        for (age, prints) in handover.prints {
            let since = Instant(now.0.saturating_sub(age.0));
            self.add(since, prints);
        }
    }

    /// Shrinks old grants to fingerprints and drops those past retention.
    pub fn age(&mut self, now: Instant) {
        let mut old = Vec::new();
        self.grants.retain(|key, (_, at)| {
            let keep = now.since(*at) < WHOLE_RETENTION;
            if !keep {
                old.push(Print::of(*key));
            }
            keep
        });
        if !old.is_empty() {
            self.add(now, old);
        }
        if self.grants.capacity() > 4 * self.grants.len() {
            self.grants.shrink_to(2 * self.grants.len());
        }
        let kept = |g: &Group| now.since(g.since).0 < RETENTION.0 + GROUP_SPAN.0;
        self.groups.retain(kept);
    }

    /// Returns the bytes that the grants and fingerprints take.
    pub fn bytes(&self) -> usize {
        let grants = self.grants.capacity() * size_of::<(KeyDigest, Grant, Instant)>();
        let prints = |g: &Group| g.prints.capacity() * size_of::<Print>();
        grants + self.groups.iter().map(prints).sum::<usize>()
    }

    fn add(&mut self, since: Instant, prints: Vec<Print>) {
        let covers = |g: &&mut Group| g.since.0 / GROUP_SPAN.0 == since.0 / GROUP_SPAN.0;
        if let Some(group) = self.groups.iter_mut().find(covers) {
            group.since = group.since.max(since);
            group.prints.extend(prints);
            sort(&mut group.prints);
            return;
        }
        let mut group = Group { since, prints };
        sort(&mut group.prints);
        self.groups.push(group);
    }
}

fn sort(prints: &mut Vec<Print>) {
    prints.sort_unstable();
    prints.dedup();
    prints.shrink_to_fit();
}
