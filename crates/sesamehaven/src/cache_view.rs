//! Estimates, at agents, of the contents of an engine's prefix cache.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#prefix-affinity).

use crate::bloom::Bloom;
use crate::lru::Lru;

/// An agent's estimate of the prefixes in the cache of one engine.
///
/// A dispatched prompt will be cached, so its prefixes are added immediately.
/// Evictions are learned from the engine's events, which arrive late and with gaps;
/// prefixes whose eviction event was missed are evicted in least-recently-used order.
#[derive(Debug)]
pub struct CacheView {
    capacity: usize,
    lru: Lru,
}

impl CacheView {
    /// Creates an empty view that tracks at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        CacheView {
            capacity,
            lru: Lru::default(),
        }
    }

    /// Adds prefixes that the engine holds or is about to hold.
    pub fn add(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            self.lru.touch(*prefix, self.capacity);
        }
    }

    /// Removes a prefix that the engine evicted.
    pub fn evict(&mut self, prefix: u64) {
        self.lru.remove(prefix);
    }

    /// Removes all prefixes, for example after a restart of the engine.
    pub fn clear(&mut self) {
        self.lru = Lru::default();
    }

    /// Summarizes the prefixes in a Bloom filter of `len` bytes.
    pub fn summary(&self, len: usize) -> Bloom {
        let mut bloom = Bloom::new(len);
        self.lru.iter().for_each(|p| bloom.insert(p));
        bloom
    }
}
