//! Short digests, by which processes speak of names and contents.

/// Digests a name or a content into a number that is the same in every process.
pub fn hash_of(bytes: impl AsRef<[u8]>) -> u64 {
    truncate(&blake3::hash(bytes.as_ref()))
}

/// Shortens a digest to its first eight bytes.
pub fn truncate(hash: &blake3::Hash) -> u64 {
    let head = hash.as_bytes().first_chunk().copied();
    u64::from_le_bytes(head.unwrap_or_default())
}
