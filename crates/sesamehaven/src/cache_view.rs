//! What an agent takes the prefix cache of an engine to hold.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#prefix-affinity).

use crate::bloom::Bloom;
use crate::lru::Lru;

/// What an agent takes the cache of one engine to hold.
///
/// A prompt that is dispatched will be cached, so it counts at once. Evictions
/// are known only from the engine's events, which come late and with gaps;
/// what they miss is forgotten in order of age.
#[derive(Debug)]
pub struct CacheView {
    remembered: usize,
    lru: Lru,
}

impl CacheView {
    /// Starts with an empty cache; `remembered` bounds the prefixes that are held.
    pub fn new(remembered: usize) -> Self {
        CacheView {
            remembered,
            lru: Lru::default(),
        }
    }

    /// Notes prefixes that the engine holds or is about to hold.
    pub fn add(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            self.lru.touch(*prefix, self.remembered);
        }
    }

    /// Notes that the engine dropped a prefix.
    pub fn evict(&mut self, prefix: u64) {
        self.lru.remove(prefix);
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.lru = Lru::default();
    }

    /// Summarises what is held in `len` bytes.
    pub fn summary(&self, len: usize) -> Bloom {
        let mut bloom = Bloom::new(len);
        self.lru.iter().for_each(|p| bloom.insert(p));
        bloom
    }
}
