//! Proof that a peer holds the pre-shared key.
//!
//! What this protects, and what it does not, is written in
//! [`docs/LINK.md`](../../../docs/LINK.md).

use std::fmt;
use std::str::FromStr;

use crate::error::{Error, Result};
use crate::message::{Hello, Proof};

/// The length of the truncated keyed hashes on datagrams, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// The key that all daemons of one deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct Psk([u8; 32]);

impl Psk {
    /// Takes a key of 32 random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Psk(bytes)
    }

    /// Returns the key that stands in when none is set, which protects nothing.
    pub fn public() -> Self {
        Psk([0; 32])
    }

    /// Derives the key for one purpose, so that no proof serves another.
    pub(crate) fn derive(&self, purpose: &str) -> Psk {
        Psk(blake3::derive_key(purpose, &self.0))
    }

    /// Returns the keyed hash of several parts, each preceded by its length.
    pub(crate) fn hash(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Returns the truncated keyed hash of several parts.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let hash = self.hash(parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Checks a truncated keyed hash in constant time.
    pub(crate) fn fits(&self, parts: &[&[u8]], tag: &[u8; TAG_BYTES]) -> bool {
        padded(&self.tag(parts)) == padded(tag)
    }
}

/// Widens a tag to the type whose comparison takes constant time.
fn padded(tag: &[u8; TAG_BYTES]) -> blake3::Hash {
    let mut bytes = [0; 32];
    bytes[..TAG_BYTES].copy_from_slice(tag);
    blake3::Hash::from_bytes(bytes)
}

impl fmt::Debug for Psk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Psk(…)")
    }
}

impl FromStr for Psk {
    type Err = sesamehaven::Error;

    /// Reads a key of 64 hexadecimal digits, as `openssl rand -hex 32` prints it.
    fn from_str(s: &str) -> sesamehaven::Result<Self> {
        match blake3::Hash::from_hex(s) {
            Ok(hash) => Ok(Psk(*hash.as_bytes())),
            Err(_) => Err(sesamehaven::Error::Malformed {
                what: "pre-shared key",
                text: "…".into(),
                remedy: "use 64 hexadecimal digits",
            }),
        }
    }
}

/// Which end of a link a process is; it separates the two proofs of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Opened the connection.
    Dialler,
    /// Accepted the connection.
    Acceptor,
}

impl Side {
    /// Returns the other end.
    pub fn other(self) -> Self {
        match self {
            Side::Dialler => Side::Acceptor,
            Side::Acceptor => Side::Dialler,
        }
    }

    /// Returns the word for the side, as proofs and counters use it.
    pub fn as_str(self) -> &'static str {
        match self {
            Side::Dialler => "dialler",
            Side::Acceptor => "acceptor",
        }
    }
}

/// Computes the proof of the `prover`, which is at the given side of the link.
///
/// It covers both hellos whole: nonces, roles, names and incarnations.
///
/// # Errors
///
/// Returns an error when a hello cannot be encoded.
pub fn prove(psk: &Psk, side: Side, prover: &Hello, verifier: &Hello) -> Result<Proof> {
    let mine = postcard::to_stdvec(prover)?;
    let theirs = postcard::to_stdvec(verifier)?;
    let key = psk.derive("sesamehaven link proof 1");
    Ok(Proof(
        *key.hash(&[side.as_str().as_bytes(), &mine, &theirs])
            .as_bytes(),
    ))
}

/// Checks a proof in constant time.
///
/// # Errors
///
/// Returns [`Error::Unproved`] when the proof does not fit.
pub fn verify(psk: &Psk, side: Side, prover: &Hello, verifier: &Hello, proof: Proof) -> Result<()> {
    let expected = prove(psk, side, prover, verifier)?;
    // The comparison of blake3's hashes takes constant time.
    if blake3::Hash::from_bytes(expected.0) == blake3::Hash::from_bytes(proof.0) {
        return Ok(());
    }
    Err(Error::Unproved)
}
