//! Short digests that identify names and contents across processes.

/// Hashes bytes to a number that is the same in every process.
pub fn hash_of(bytes: impl AsRef<[u8]>) -> u64 {
    truncate(&blake3::hash(bytes.as_ref()))
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs.
pub(crate) fn mix_bits(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Maps a hash to the range from 0 to 1.
pub(crate) fn to_unit_interval(n: u64) -> f64 {
    (n >> 40) as f64 / (1u64 << 24) as f64
}

/// Truncates a hash to the 32 bits that messages between processes carry.
pub fn short_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}

/// Truncates a digest to its first eight bytes.
pub fn truncate(hash: &blake3::Hash) -> u64 {
    let head = hash.as_bytes().first_chunk().copied();
    u64::from_le_bytes(head.unwrap_or_default())
}
