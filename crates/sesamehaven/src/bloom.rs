//! Summaries of sets of prefixes in a few bytes.
//!
//! Counting filters, and composite filters of a group that are less precise
//! than those of its members, follow Ledlie, Serban and Toncheva, "Scaling
//! Filename Queries in a Large-Scale Distributed File System", TR-03-02.

/// The bits that are set for each member.
const HASHES: u64 = 4;

/// A Bloom filter over digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bloom {
    bytes: Vec<u8>,
}

impl Bloom {
    /// Builds an empty filter of a length in bytes, at least one.
    pub fn new(len: usize) -> Self {
        Bloom {
            bytes: vec![0; len.max(1)],
        }
    }

    /// Takes a filter out of a report.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let mut bloom = Bloom::new(bytes.len());
        bloom.bytes[..bytes.len()].copy_from_slice(bytes);
        bloom
    }

    /// Returns the bits, as they are reported.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds a member.
    pub fn insert(&mut self, digest: u64) {
        for bit in bits(digest, self.bytes.len() * 8) {
            self.bytes[bit / 8] |= 1 << (bit % 8);
        }
    }

    /// Returns whether the digest may be a member.
    pub fn contains(&self, digest: u64) -> bool {
        bits(digest, self.bytes.len() * 8).all(|bit| self.bytes[bit / 8] & (1 << (bit % 8)) != 0)
    }

    /// Adds all members of a filter of the same length.
    pub fn merge(&mut self, other: &Bloom) {
        for (own, theirs) in self.bytes.iter_mut().zip(&other.bytes) {
            *own |= theirs;
        }
    }
}

/// A Bloom filter that members can be taken out of again.
#[derive(Debug, Clone)]
pub struct CountingBloom {
    counts: Vec<u8>,
}

impl CountingBloom {
    /// Builds an empty filter whose summary has a length in bytes, at least one.
    pub fn new(len: usize) -> Self {
        CountingBloom {
            counts: vec![0; len.max(1) * 8],
        }
    }

    /// Adds a member.
    pub fn insert(&mut self, digest: u64) {
        for bit in bits(digest, self.counts.len()) {
            self.counts[bit] = self.counts[bit].saturating_add(1);
        }
    }

    /// Takes a member out that was added before.
    ///
    /// Counters that overflowed stay, so that no member is lost.
    pub fn remove(&mut self, digest: u64) {
        for bit in bits(digest, self.counts.len()) {
            if self.counts[bit] < u8::MAX {
                self.counts[bit] = self.counts[bit].saturating_sub(1);
            }
        }
    }

    /// Returns the filter as it is reported.
    pub fn summary(&self) -> Bloom {
        let mut bloom = Bloom::new(self.counts.len() / 8);
        for (bit, _) in self.counts.iter().enumerate().filter(|(_, n)| **n > 0) {
            bloom.bytes[bit / 8] |= 1 << (bit % 8);
        }
        bloom
    }
}

/// Derives the bits of a digest from two halves of it.
fn bits(digest: u64, len: usize) -> impl Iterator<Item = usize> {
    let mixed = digest.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let (first, step) = (mixed >> 32, (mixed & 0xffff_ffff) | 1);
    (0..HASHES).map(move |i| (first.wrapping_add(i.wrapping_mul(step)) % len as u64) as usize)
}
