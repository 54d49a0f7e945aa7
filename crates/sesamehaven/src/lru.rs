//! A set of digests with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

/// A set of digests with least-recently-used eviction.
#[derive(Debug, Default)]
pub(crate) struct Lru {
    /// The sequence number of the last use of each digest.
    last_uses: HashMap<u64, u64>,
    /// The digests by the sequence number of their last use.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
}

impl Lru {
    /// Inserts a digest or marks it as used, and evicts the least recently used one
    /// if the set exceeds `capacity`.
    pub(crate) fn touch(&mut self, digest: u64, capacity: usize) {
        self.use_count += 1;
        if let Some(old) = self.last_uses.insert(digest, self.use_count) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.use_count, digest);
        if self.last_uses.len() > capacity
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.last_uses.remove(&oldest);
        }
    }

    /// Removes a digest.
    pub(crate) fn remove(&mut self, digest: u64) {
        if let Some(last_use) = self.last_uses.remove(&digest) {
            self.by_last_use.remove(&last_use);
        }
    }

    /// Returns whether a digest is in the set.
    pub(crate) fn contains(&self, digest: u64) -> bool {
        self.last_uses.contains_key(&digest)
    }

    /// Returns an iterator over the digests, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.last_uses.keys().copied()
    }
}
