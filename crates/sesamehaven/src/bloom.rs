//! Compact summaries of prefix sets.
//!
//! Agents report small Bloom filters of the caches to entries. The method follows
//! Ledlie, Serban and Toncheva, "Scaling Filename Queries in a Large-Scale Distributed
//! File System", TR-03-02.

/// The number of hash functions, each of which sets one bit per member.
const HASHES_PER_MEMBER: u64 = 4;

/// A Bloom filter over digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bloom {
    bytes: Vec<u8>,
}

impl Bloom {
    /// Creates an empty filter of `len` bytes, at least one.
    pub fn new(len: usize) -> Self {
        Bloom {
            bytes: vec![0; len.max(1)],
        }
    }

    /// Creates a filter from its reported bytes.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let mut bloom = Bloom::new(bytes.len());
        bloom.bytes[..bytes.len()].copy_from_slice(bytes);
        bloom
    }

    /// Returns the filter as bytes, as sent in reports.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Inserts a digest.
    pub fn insert(&mut self, digest: u64) {
        for bit in bit_positions(digest, self.bytes.len() * 8) {
            self.bytes[bit / 8] |= 1 << (bit % 8);
        }
    }

    /// Returns whether the digest may be a member. False positives are possible.
    pub fn contains(&self, digest: u64) -> bool {
        bit_positions(digest, self.bytes.len() * 8)
            .all(|bit| self.bytes[bit / 8] & (1 << (bit % 8)) != 0)
    }

    /// Merges a filter of the same length into this one.
    pub fn merge(&mut self, other: &Bloom) {
        for (own, theirs) in self.bytes.iter_mut().zip(&other.bytes) {
            *own |= theirs;
        }
    }
}

/// Derives the bit positions of a digest by double hashing with its two halves.
fn bit_positions(digest: u64, len: usize) -> impl Iterator<Item = usize> {
    let mixed = digest.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let (first, step) = (mixed >> 32, (mixed & 0xffff_ffff) | 1);
    (0..HASHES_PER_MEMBER)
        .map(move |i| (first.wrapping_add(i.wrapping_mul(step)) % len as u64) as usize)
}
