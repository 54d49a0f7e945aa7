//! A set of digests that forgets those used least recently.

use std::collections::{BTreeMap, HashMap};

/// A least-recently-used set.
#[derive(Debug, Default)]
pub(crate) struct Lru {
    ages: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    count: u64,
}

impl Lru {
    /// Adds a digest or marks it as used, and keeps at most `most`.
    pub(crate) fn touch(&mut self, digest: u64, most: usize) {
        self.count += 1;
        if let Some(old) = self.ages.insert(digest, self.count) {
            self.order.remove(&old);
        }
        self.order.insert(self.count, digest);
        if self.ages.len() > most
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.ages.remove(&oldest);
        }
    }

    /// Takes a digest out.
    pub(crate) fn remove(&mut self, digest: u64) {
        if let Some(age) = self.ages.remove(&digest) {
            self.order.remove(&age);
        }
    }

    /// Returns whether a digest is in the set.
    pub(crate) fn contains(&self, digest: u64) -> bool {
        self.ages.contains_key(&digest)
    }

    /// Lists the digests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.ages.keys().copied()
    }
}
