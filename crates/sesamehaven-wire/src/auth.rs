//! Proof that a peer holds the pre-shared key.
//!
//! What this protects, and what it does not, is written in
//! [`docs/LINK.md`](../../../docs/LINK.md).

use std::fmt;
use std::str::FromStr;

use crate::error::{Error, Result};
use crate::message::{Hello, Proof};

/// The length of the truncated keyed hashes on frames and datagrams, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// The purpose of the key under which both sides prove themselves.
const PROOF: &str = "sesamehaven link proof 1";

/// The purpose of the keys under which frames are hashed.
const FRAMES: &str = "sesamehaven link frames 1";

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

    /// Returns the truncated keyed hash of a text and of its place in a sequence.
    pub(crate) fn tag(&self, place: &[u8; 8], text: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(place);
        hasher.update(text);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Checks a truncated keyed hash in constant time.
    pub(crate) fn fits(&self, place: &[u8; 8], text: &[u8], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && padded(&self.tag(place, text)) == padded(tag)
    }
}

/// Widens a tag to the type whose comparison takes constant time.
fn padded(tag: &[u8]) -> blake3::Hash {
    let mut bytes = [0; 32];
    bytes[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
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

/// What both sides of a link know after their hellos: the key and the two hellos.
#[derive(Debug)]
pub(crate) struct Transcript {
    psk: Psk,
    side: Side,
    mine: Vec<u8>,
    theirs: Vec<u8>,
}

impl Transcript {
    /// Takes the hellos as the process at `side` of the link sees them.
    pub(crate) fn new(psk: &Psk, side: Side, mine: &Hello, theirs: &Hello) -> Result<Self> {
        Ok(Transcript {
            psk: psk.clone(),
            side,
            mine: postcard::to_stdvec(mine)?,
            theirs: postcard::to_stdvec(theirs)?,
        })
    }

    /// Returns the proof that this side sends.
    pub(crate) fn prove(&self) -> Proof {
        Proof(*self.hash(PROOF, self.side).as_bytes())
    }

    /// Checks the peer's proof in constant time.
    pub(crate) fn verify(&self, proof: Proof) -> Result<()> {
        if self.hash(PROOF, self.side.other()) == blake3::Hash::from_bytes(proof.0) {
            return Ok(());
        }
        Err(Error::Unproved)
    }

    /// Returns the key of the frames that this side sends.
    pub(crate) fn sending_key(&self) -> Psk {
        Psk(*self.hash(FRAMES, self.side).as_bytes())
    }

    /// Returns the key of the frames that the peer sends.
    pub(crate) fn receiving_key(&self) -> Psk {
        Psk(*self.hash(FRAMES, self.side.other()).as_bytes())
    }

    /// Hashes both hellos, those of the given side first.
    fn hash(&self, purpose: &str, side: Side) -> blake3::Hash {
        let (first, second) = if side == self.side {
            (&self.mine, &self.theirs)
        } else {
            (&self.theirs, &self.mine)
        };
        let key = self.psk.derive(purpose);
        key.hash(&[side.as_str().as_bytes(), first, second])
    }
}
