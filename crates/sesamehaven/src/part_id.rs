//! The parts of prompts, as processes tell each other of them.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::digest::{hash_of, mix_bits};

/// A pool, identified by the same number in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct PoolId(pub u64);

impl PoolId {
    /// Creates the id of a pool from its name.
    pub fn new(name: &str) -> Self {
        PoolId(hash_of(name))
    }
}

/// A part of the prompts to one pool, identified by the same number in every process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct PartId(pub u64);

impl PartId {
    /// Creates the id of a part from its digest.
    ///
    /// Engines of another pool may bear the same part, so it is another one there.
    pub fn new(pool: PoolId, part: u64) -> Self {
        PartId(mix_bits(pool.0.rotate_left(32) ^ part))
    }
}

/// The parts of one prompt that other prompts may share.
pub type PartIds = SmallVec<[PartId; 4]>;
