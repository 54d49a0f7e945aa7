//! Short digests that identify names and contents across processes.

/// Hashes bytes to a number that is the same in every process.
pub fn hash_of(bytes: impl AsRef<[u8]>) -> u64 {
    truncate(&blake3::hash(bytes.as_ref()))
}

/// Truncates a digest to its first eight bytes.
pub fn truncate(hash: &blake3::Hash) -> u64 {
    let head = hash.as_bytes().first_chunk().copied();
    u64::from_le_bytes(head.unwrap_or_default())
}
