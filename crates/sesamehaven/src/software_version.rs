//! Versions of the software that endpoints run.
//!
//! Endpoints of several versions may serve one pool side by side, without notice, and what two of them
//! write to one stream does not fit together. A stream is therefore bound to the version that began
//! it; see [`docs/FRONT.md`](../../../docs/FRONT.md#streams-and-versions).

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::digest::hash_of;

/// The version of the software of an endpoint, which is not that of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(SmolStr);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl SoftwareVersion {
    /// Returns the version that stands for one that cannot be read; no endpoint has it.
    pub fn unknown() -> Self {
        SoftwareVersion(SmolStr::default())
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(SoftwareVersion(text.into()))
    }
}

/// A software version within a pool, as a hash that processes exchange.
///
/// # Example
///
/// ```
/// use sesamehaven::software_version::{PoolVersion, SoftwareVersion};
///
/// let version: SoftwareVersion = "v1.2".parse()?;
/// assert_eq!(PoolVersion::new("drafting", &version), PoolVersion::new("drafting", &version));
/// assert_ne!(PoolVersion::new("drafting", &version), PoolVersion::new("tagging", &version));
/// # Ok::<(), std::convert::Infallible>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PoolVersion(pub u64);

impl PoolVersion {
    /// Returns the hash of a version in a pool.
    pub fn new(pool: &str, version: &SoftwareVersion) -> Self {
        PoolVersion(hash_of(format!("{pool}\n{version}")))
    }
}

impl fmt::Display for PoolVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PoolVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(PoolVersion)
    }
}
