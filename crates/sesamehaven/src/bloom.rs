//! Summaries of sets of prefixes in a few bytes.
//!
//! That nodes know what others hold by small Bloom filters which they exchange
//! follows Ledlie, Serban and Toncheva, "Scaling Filename Queries in a
//! Large-Scale Distributed File System", TR-03-02.

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

/// Derives the bits of a digest from two halves of it.
fn bits(digest: u64, len: usize) -> impl Iterator<Item = usize> {
    let mixed = digest.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let (first, step) = (mixed >> 32, (mixed & 0xffff_ffff) | 1);
    (0..HASHES).map(move |i| (first.wrapping_add(i.wrapping_mul(step)) % len as u64) as usize)
}
