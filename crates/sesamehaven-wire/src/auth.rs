//! Authentication of peers and frames with a pre-shared key.
//!
//! The threat model is described in
//! [`docs/LINK.md`](../../../docs/LINK.md).

use std::fmt;
use std::str::FromStr;

use crate::error::{Error, Result};
use crate::message::{Hello, Proof};

/// The length of the authentication tags on frames and datagrams, in bytes.
///
/// A tag is a truncated keyed BLAKE3 hash.
pub(crate) const TAG_BYTES: usize = 16;

/// The key derivation context of the handshake proofs.
const PROOF_CONTEXT: &str = "sesamehaven link proof 1";

/// The key derivation context of the frame keys.
const FRAME_CONTEXT: &str = "sesamehaven link frames 1";

/// The pre-shared key of all daemons in one deployment.
#[derive(Clone, PartialEq, Eq)]
pub struct Psk([u8; 32]);

impl Psk {
    /// Creates a key from 32 random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Psk(bytes)
    }

    /// Returns the all-zero key that is used when none is configured.
    ///
    /// It is publicly known, so it does not authenticate; it only detects damage to
    /// hellos and reports. Frames carry no tag when no key is configured.
    pub fn insecure() -> Self {
        Psk([0; 32])
    }

    /// Derives the subkey for a context, so that hashes of one context are invalid in another.
    pub(crate) fn derive(&self, context: &str) -> Psk {
        Psk(blake3::derive_key(context, &self.0))
    }

    /// Returns the keyed hash of several length-prefixed parts.
    pub(crate) fn hash(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Returns the authentication tag of a message and its sequence number.
    pub(crate) fn tag(&self, sequence: &[u8; 8], message: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(sequence);
        hasher.update(message);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Verifies an authentication tag in constant time.
    pub(crate) fn verify_tag(&self, sequence: &[u8; 8], message: &[u8], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && padded(&self.tag(sequence, message)) == padded(tag)
    }
}

/// Zero-pads a tag to a [`blake3::Hash`], which compares in constant time.
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

    /// Parses a key of 64 hexadecimal digits, as printed by `openssl rand -hex 32`.
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

/// The end of a link that a process is on.
///
/// The proofs and frame keys of the two ends differ, so a reflected message is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Dialler,
    /// The end that accepted the connection.
    Acceptor,
}

impl Side {
    /// Returns the opposite end.
    pub fn peer(self) -> Self {
        match self {
            Side::Dialler => Side::Acceptor,
            Side::Acceptor => Side::Dialler,
        }
    }

    /// Returns the name of the side that is hashed into proofs and used as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Side::Dialler => "dialler",
            Side::Acceptor => "acceptor",
        }
    }
}

/// The handshake transcript: the pre-shared key and the hellos of both sides.
#[derive(Debug)]
pub(crate) struct Transcript {
    psk: Psk,
    side: Side,
    local_hello: Vec<u8>,
    peer_hello: Vec<u8>,
}

impl Transcript {
    /// Creates the transcript for the process at `side` of the link.
    ///
    /// # Errors
    ///
    /// Returns an error when a hello cannot be encoded.
    pub(crate) fn new(psk: &Psk, side: Side, local: &Hello, peer: &Hello) -> Result<Self> {
        Ok(Transcript {
            psk: psk.clone(),
            side,
            local_hello: postcard::to_stdvec(local)?,
            peer_hello: postcard::to_stdvec(peer)?,
        })
    }

    /// Returns the proof that this side sends.
    pub(crate) fn prove(&self) -> Proof {
        Proof(*self.hash(PROOF_CONTEXT, self.side).as_bytes())
    }

    /// Verifies the peer's proof in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] when the proof is invalid.
    pub(crate) fn verify(&self, proof: Proof) -> Result<()> {
        if self.hash(PROOF_CONTEXT, self.side.peer()) == blake3::Hash::from_bytes(proof.0) {
            return Ok(());
        }
        Err(Error::Unauthenticated)
    }

    /// Returns the key that authenticates frames sent by this side.
    pub(crate) fn sending_key(&self) -> Psk {
        Psk(*self.hash(FRAME_CONTEXT, self.side).as_bytes())
    }

    /// Returns the key that authenticates frames sent by the peer.
    pub(crate) fn receiving_key(&self) -> Psk {
        Psk(*self.hash(FRAME_CONTEXT, self.side.peer()).as_bytes())
    }

    /// Hashes the name of `side`, its hello and then the hello of its peer.
    fn hash(&self, context: &str, side: Side) -> blake3::Hash {
        let (first, second) = if side == self.side {
            (&self.local_hello, &self.peer_hello)
        } else {
            (&self.peer_hello, &self.local_hello)
        };
        let key = self.psk.derive(context);
        key.hash(&[side.as_str().as_bytes(), first, second])
    }
}
