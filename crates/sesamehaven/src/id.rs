//! Names and numeric identifiers of the objects of the system.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// The maximum length of the name of a configured object, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

const NAME_REMEDY: &str =
    "use 1 to 63 characters out of a-z, A-Z, 0-9, `.`, `_` and `-`, the first a letter or digit";

fn check_name(what: &'static str, s: &str) -> Result<()> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    let has_valid_start = s.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    if has_valid_start && s.len() <= NAME_MAX_BYTES && s.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(Error::malformed(what, s, NAME_REMEDY))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $what:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                check_name($what, s)?;
                Ok($name(s.into()))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = Error;

            fn try_from(s: SmolStr) -> Result<Self> {
                check_name($what, &s)?;
                Ok($name(s))
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )*};
}

names! {
    /// The name of a daemon, stable across restarts.
    DaemonName, "daemon";
    /// The name of a data centre.
    DataCentreName, "data centre";
    /// The name of an organisation, whose callers share API keys and limits.
    OrganisationName, "organisation";
    /// The name of a contract, which grants work classes and limits.
    ContractName, "contract";
    /// The name of a work class.
    ClassName, "work class";
    /// The name of a pool of endpoints that serve the same model or service.
    PoolName, "pool";
    /// The name of an endpoint.
    EndpointName, "endpoint";
}

/// The incarnation of a daemon, which identifies one of its runs.
///
/// Incarnations increase with each start of a daemon, so a higher one is later.
/// They are taken from the wall clock at start, in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The position of the attempt number in a request id, in bits from the lowest.
const ATTEMPT_SHIFT: u32 = 120;

/// The id of a request, assigned by the entry that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Creates the id of the `count`th request that a run of an entry received.
    ///
    /// `salt` distinguishes entries that started in the same microsecond.
    pub fn new(incarnation: Incarnation, salt: u32, count: u32) -> Self {
        let high = u128::from(incarnation.0) << 64;
        let low = u128::from(salt) << 32 | u128::from(count);
        RequestId(high | low)
    }

    /// Returns the id under which the request is offered after `count` reports of
    /// agents that they have not dispatched it and never will, and losses of a run that
    /// may be repeated.
    ///
    /// Those agents accept no more offers under the previous ids. The highest byte is
    /// available because incarnations will not reach it for many centuries.
    pub fn attempt(self, count: u8) -> Self {
        RequestId(self.origin().0 | u128::from(count) << ATTEMPT_SHIFT)
    }

    /// Returns the id originally assigned by the entry.
    pub fn origin(self) -> Self {
        RequestId(self.0 & !(u128::from(u8::MAX) << ATTEMPT_SHIFT))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let parsed = u128::from_str_radix(s, 16);
        match parsed {
            Ok(id) if s.len() == 32 => Ok(RequestId(id)),
            _ => Err(Error::malformed(
                "request id",
                s,
                "use 32 hexadecimal digits",
            )),
        }
    }
}

/// The generation of an accepted configuration, which increases monotonically.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the next generation.
    pub fn next(self) -> Self {
        Generation(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let Ok(number) = s.parse() else {
            return Err(Error::malformed("generation", s, "use a whole number"));
        };
        Ok(Generation(number))
    }
}

/// The digest of an idempotency key together with its organisation.
///
/// Processes exchange only this digest, so the cost does not depend on the length
/// of callers' keys, and the keys do not appear in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Computes the digest of a caller's idempotency key.
    pub fn new(organisation: &OrganisationName, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(organisation.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let mut head = [0; 16];
        hasher.finalize_xof().fill(&mut head);
        KeyDigest(u128::from_be_bytes(head))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The digest of a configuration part or of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of the given bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        match blake3::Hash::from_hex(s) {
            Ok(hash) => Ok(Digest(*hash.as_bytes())),
            Err(_) => Err(Error::malformed("digest", s, "use 64 hexadecimal digits")),
        }
    }
}

impl TryFrom<SmolStr> for Digest {
    type Error = Error;

    fn try_from(s: SmolStr) -> Result<Self> {
        s.parse()
    }
}

impl From<Digest> for SmolStr {
    fn from(digest: Digest) -> Self {
        smol_str::format_smolstr!("{digest}")
    }
}
