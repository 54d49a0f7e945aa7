//! The parts in which a configuration is kept and delivered.
//!
//! A value of the platform holds at most a megabyte, and a change should not
//! move what it does not touch. So a configuration is split into a core part,
//! which holds everything but the organisations, and organisation parts, which
//! are the leaves of a binary tree over the digests of the organisations'
//! names. A leaf that grows too large splits in two and leaves the others as
//! they are. A [`Head`] names the parts by digest and gives them a generation.
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

/// The largest part that is written, in bytes.
///
/// It lies below the platform's limit of a megabyte.
pub const PART_MAX_BYTES: usize = 1_000_000;

/// The greatest number of levels of the tree of organisation parts.
const LEVELS_MAX: u32 = 32;

/// The result of operations in this module.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why parts could not be written or joined.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A part is over the size that the platform stores.
        Oversized { what: SmolStr, len: usize } {
            display("part {what} has {len} bytes, over the limit of {PART_MAX_BYTES}: \
                     move names or keys to other objects")
        }
        /// The bytes of a part are not what its digest says.
        Mismatch { expected: Digest, found: Digest } {
            display("part {expected} has the digest {found}")
        }
        /// The digest of a head does not cover its parts.
        Head { generation: Generation } {
            display("head of generation {generation} has a digest that does not cover its parts")
        }
        /// The number of parts is not the one in the head.
        Count { expected: usize, found: usize } {
            display("head names {expected} parts, {found} are in hand")
        }
        /// The bytes are not JSON of the expected form.
        Malformed { what: SmolStr, err: serde_json::Error } {
            source(err)
            display("{what} is malformed: {err}")
        }
    }
}

impl Error {
    /// Returns whether what was read contradicts its digest.
    pub fn is_mismatch(&self) -> bool {
        matches!(self, Error::Mismatch { .. } | Error::Head { .. })
    }
}

/// The object that says which configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The number of the configuration.
    pub generation: Generation,
    /// The digest over the digests of the parts.
    pub digest: Digest,
    /// The digests of the parts, in the order in which they are joined.
    pub parts: Vec<Digest>,
    /// A unique id, by which a writer that lost its answer knows its own head.
    pub change: SmolStr,
    /// Who applied it.
    pub author: SmolStr,
    /// Why it was applied.
    pub note: String,
}

impl Head {
    /// Reads a head and checks that its digest covers its parts.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a head or the digest does not match.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        let head: Head = serde_json::from_slice(bytes).map_err(|err| malformed("head", err))?;
        if head.digest != digest_of(&head.parts) {
            return Err(Error::Head {
                generation: head.generation,
            });
        }
        Ok(head)
    }

    /// Returns the JSON text that is stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Digests the digests of parts, as a head carries it.
pub fn digest_of(parts: &[Digest]) -> Digest {
    let mut text = String::with_capacity(parts.len() * 65);
    for (i, part) in parts.iter().enumerate() {
        let separator = if i == 0 { "" } else { "\n" };
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{part}");
    }
    Digest::of(text.as_bytes())
}

/// One part as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The digest of the bytes, which names the part.
    pub digest: Digest,
    /// The JSON text.
    pub bytes: Vec<u8>,
}

impl Part {
    /// Names bytes by their digest.
    pub fn new(bytes: Vec<u8>) -> Self {
        Part {
            digest: Digest::of(&bytes),
            bytes,
        }
    }
}

/// The fields of a configuration that one part holds.
///
/// Fields are left out when they are empty, so a whole configuration is a
/// part as well.
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
/// The same configuration always gives the same parts, whatever the order of
/// its organisations, and a change of one organisation replaces one part.
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
/// Fails when one organisation or the core alone is over [`PART_MAX_BYTES`].
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

/// An organisation with its place in the tree and its size.
struct Leaf<'a> {
    organisation: &'a Organisation,
    place: u32,
    len: usize,
}

impl<'a> Leaf<'a> {
    fn new(organisation: &'a Organisation) -> Self {
        Leaf {
            organisation,
            place: place_of(&organisation.name),
            len: encode(organisation).len(),
        }
    }
}

fn place_of(name: &OrganisationName) -> u32 {
    let Digest([a, b, c, d, ..]) = Digest::of(name.as_str().as_bytes());
    u32::from_be_bytes([a, b, c, d])
}

/// Appends the parts of a subtree whose organisations agree in `level` bits.
fn push_leaves(mut leaves: Vec<Leaf<'_>>, level: u32, parts: &mut Vec<Part>) {
    if leaves.is_empty() {
        return;
    }
    let len: usize = leaves.iter().map(|l| l.len).sum();
    if len > PART_SPLIT_BYTES && leaves.len() > 1 && level < LEVELS_MAX {
        let bit = 1 << (LEVELS_MAX - 1 - level);
        let (high, low) = leaves.into_iter().partition(|l| l.place & bit != 0);
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

/// Joins the bytes of parts to a configuration.
///
/// The organisations of the result are ordered by name. A single part may
/// hold a whole configuration.
///
/// # Errors
///
/// Fails when a part is not JSON of the expected form.
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

/// How much of a configuration a process looks things up in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scope {
    /// All of it, as entries do.
    Whole,
    /// Everything but the organisations, as agents do to save memory.
    Core,
}

/// Checks parts against their head and arranges them for look-ups.
///
/// # Errors
///
/// Fails when a part is missing, does not match its digest or is malformed.
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

/// Checks the bytes of one part against the digest that names it.
///
/// # Errors
///
/// Fails when the bytes have another digest.
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

/// Encodes a value of this module, none of which can fail to encode.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
