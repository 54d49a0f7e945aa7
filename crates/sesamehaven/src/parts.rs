//! The parts in which a configuration is stored and distributed.
//!
//! A platform object holds at most 1 MiB, and a change should transfer only
//! the data that it affects. A configuration is therefore split into a core part,
//! which contains everything except the organisations, and organisation parts,
//! which are the leaves of a binary tree over the digests of the organisations'
//! names. A leaf that grows too large splits in two without affecting the others.
//! A [`Head`] lists the digests of the parts and assigns them a generation.
//!
//! The layout of the objects is in [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).

use std::fmt::Write;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::{Class, Configuration, Contract, Daemon, Endpoint, Index, Organisation, Pool};
use crate::id::{DataCentreName, Digest, Generation, OrganisationName};

/// The size above which an organisation part splits in two, in bytes.
pub const PART_SPLIT_BYTES: usize = 64 * 1024;

/// The maximum size of a part, in bytes.
///
/// Stays below the platform's limit of 1 MiB.
pub const PART_MAX_BYTES: usize = 1_000_000;

/// The maximum depth of the tree of organisation parts: the width of a position in bits.
const LEVELS_MAX: u32 = 32;

/// The result of operations in this module.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error when splitting a configuration or joining its parts.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A part exceeds the size limit of the platform.
        Oversized { what: SmolStr, len: usize } {
            display("part {what} has {len} bytes, over the limit of {PART_MAX_BYTES}: \
                     remove API keys of a large organisation, or objects of other lists")
        }
        /// The bytes of a part do not match its digest.
        Mismatch { expected: Digest, found: Digest } {
            display("part {expected} does not match its digest: got {found}")
        }
        /// The digest of a head does not match its parts.
        Head { generation: Generation } {
            display("head of generation {generation} has a digest that does not match its parts")
        }
        /// The number of parts differs from the number in the head.
        Count { expected: usize, found: usize } {
            display("head lists {expected} parts, {found} were given")
        }
        /// The bytes are not valid JSON of the expected structure.
        Malformed { what: SmolStr, err: serde_json::Error } {
            source(err)
            display("{what} is malformed: {err}")
        }
    }
}

impl Error {
    /// Returns whether the error is a digest mismatch.
    pub fn is_mismatch(&self) -> bool {
        matches!(self, Error::Mismatch { .. } | Error::Head { .. })
    }
}

/// The object that identifies the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The digest over the digests of the parts.
    pub digest: Digest,
    /// The digests of the parts, in the order in which they are joined.
    pub parts: Vec<Digest>,
    /// A unique id by which a writer recognises its own head if the response to its
    /// write was lost.
    pub change: SmolStr,
    /// The person who applied the configuration.
    pub author: SmolStr,
    /// The reason for the change.
    pub note: String,
}

impl Head {
    /// Parses a head and verifies that its digest matches its parts.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid head or the digest does not match.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        let head: Head = serde_json::from_slice(bytes).map_err(|err| malformed("head", err))?;
        if head.digest != digest_of(&head.parts) {
            return Err(Error::Head {
                generation: head.generation,
            });
        }
        Ok(head)
    }

    /// Serializes the head as the stored JSON text.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Computes the digest over the digests of parts, as stored in a head.
pub fn digest_of(parts: &[Digest]) -> Digest {
    let mut text = String::with_capacity(parts.len() * 65);
    for (i, part) in parts.iter().enumerate() {
        let separator = if i == 0 { "" } else { "\n" };
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{separator}{part}");
    }
    Digest::of(text.as_bytes())
}

/// A stored part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The digest of the bytes, which identifies the part.
    pub digest: Digest,
    /// The JSON text.
    pub bytes: Vec<u8>,
}

impl Part {
    /// Creates a part from its JSON text and computes the digest.
    pub fn new(bytes: Vec<u8>) -> Self {
        Part {
            digest: Digest::of(&bytes),
            bytes,
        }
    }
}

/// The fields of a configuration that one part contains.
///
/// Empty fields are omitted, so a complete configuration is also a valid part.
#[derive(Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Fragment {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    data_centres: Vec<DataCentreName>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    entries: Vec<Daemon>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    agents: Vec<Daemon>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pools: Vec<Pool>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    endpoints: Vec<Endpoint>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    classes: Vec<Class>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    contracts: Vec<Contract>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    organisations: Vec<Organisation>,
}

/// Splits a configuration into parts, the core part first.
///
/// The result is deterministic and independent of the order of the organisations.
/// A change to one organisation replaces one part.
///
/// # Example
///
/// ```
/// use sesamehaven::config::Configuration;
/// use sesamehaven::parts::{join, split};
///
/// let configuration = Configuration {
///     data_centres: vec!["aarhus".parse()?],
///     ..Configuration::default()
/// };
/// let parts = split(&configuration)?;
/// let joined = join(parts.iter().map(|p| p.bytes.as_slice()))?;
/// assert_eq!(joined, configuration);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Returns an error if a single organisation or the core exceeds [`PART_MAX_BYTES`].
pub fn split(configuration: &Configuration) -> Result<Vec<Part>> {
    let core = Fragment {
        data_centres: configuration.data_centres.clone(),
        entries: configuration.entries.clone(),
        agents: configuration.agents.clone(),
        pools: configuration.pools.clone(),
        endpoints: configuration.endpoints.clone(),
        classes: configuration.classes.clone(),
        contracts: configuration.contracts.clone(),
        organisations: Vec::new(),
    };
    let mut parts = vec![Part::new(encode(&core))];
    let leaves = configuration.organisations.iter().map(Leaf::new).collect();
    push_leaves(leaves, 0, &mut parts);
    match parts.iter().find(|p| p.bytes.len() > PART_MAX_BYTES) {
        None => Ok(parts),
        Some(part) => Err(Error::Oversized {
            what: part.digest.into(),
            len: part.bytes.len(),
        }),
    }
}

/// An organisation with its position in the tree and its encoded size.
struct Leaf<'a> {
    organisation: &'a Organisation,
    position: u32,
    len: usize,
}

impl<'a> Leaf<'a> {
    fn new(organisation: &'a Organisation) -> Self {
        Leaf {
            organisation,
            position: position_of(&organisation.name),
            len: encode(organisation).len(),
        }
    }
}

fn position_of(name: &OrganisationName) -> u32 {
    let Digest([a, b, c, d, ..]) = Digest::of(name.as_str().as_bytes());
    u32::from_be_bytes([a, b, c, d])
}

/// Appends the parts of a subtree whose organisations share a prefix of `level` bits.
fn push_leaves(mut leaves: Vec<Leaf<'_>>, level: u32, parts: &mut Vec<Part>) {
    if leaves.is_empty() {
        return;
    }
    let len: usize = leaves.iter().map(|l| l.len).sum();
    if len > PART_SPLIT_BYTES && leaves.len() > 1 && level < LEVELS_MAX {
        let bit = 1 << (LEVELS_MAX - 1 - level);
        let (high, low) = leaves.into_iter().partition(|l| l.position & bit != 0);
        push_leaves(low, level + 1, parts);
        push_leaves(high, level + 1, parts);
        return;
    }
    leaves.sort_by(|a, b| a.organisation.name.cmp(&b.organisation.name));
    let fragment = Fragment {
        organisations: leaves.iter().map(|l| l.organisation.clone()).collect(),
        ..Fragment::default()
    };
    parts.push(Part::new(encode(&fragment)));
}

/// Joins parts into a configuration.
///
/// The organisations of the result are sorted by name. A single part may contain a
/// complete configuration.
///
/// # Errors
///
/// Returns an error if a part is not valid JSON of the expected structure.
pub fn join<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Result<Configuration> {
    let mut joined = Configuration::default();
    for bytes in parts {
        let what = || format!("part {}", Digest::of(bytes));
        let part: Fragment =
            serde_json::from_slice(bytes).map_err(|err| malformed(&what(), err))?;
        joined.data_centres.extend(part.data_centres);
        joined.entries.extend(part.entries);
        joined.agents.extend(part.agents);
        joined.pools.extend(part.pools);
        joined.endpoints.extend(part.endpoints);
        joined.classes.extend(part.classes);
        joined.contracts.extend(part.contracts);
        joined.organisations.extend(part.organisations);
    }
    joined.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(joined)
}

/// The portion of a configuration that a process indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scope {
    /// The complete configuration, used by entries.
    Whole,
    /// Everything except the organisations, used by agents to save memory.
    Core,
}

/// Verifies parts against their head and builds the index.
///
/// # Errors
///
/// Returns an error if a part is missing, does not match its digest or is malformed.
pub fn index<'a>(
    head: &Head,
    scope: Scope,
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Arc<Index>> {
    let parts: Vec<&[u8]> = parts.into_iter().collect();
    if parts.len() != head.parts.len() {
        return Err(Error::Count {
            expected: head.parts.len(),
            found: parts.len(),
        });
    }
    for (expected, bytes) in head.parts.iter().zip(&parts) {
        verify(*expected, bytes)?;
    }
    let joined = match scope {
        Scope::Whole => join(parts)?,
        Scope::Core => Configuration {
            organisations: Vec::new(),
            ..join(parts.into_iter().take(1))?
        },
    };
    Ok(Index::new(head.generation, joined))
}

/// Verifies the bytes of a part against its digest.
///
/// # Errors
///
/// Returns an error if the digests differ.
pub fn verify(expected: Digest, bytes: &[u8]) -> Result<()> {
    let found = Digest::of(bytes);
    if found == expected {
        return Ok(());
    }
    Err(Error::Mismatch { expected, found })
}

fn malformed(what: &str, err: serde_json::Error) -> Error {
    Error::Malformed {
        what: what.into(),
        err,
    }
}

/// Serializes a value of this module. Serialization of these types cannot fail.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
