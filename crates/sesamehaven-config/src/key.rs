//! Digests of API keys, which are the only form of keys in a configuration.

use sesamehaven::id::Digest;

use crate::error::{Error, Result};

/// The minimum length of an API key, in characters; the message of [`digest_key`] repeats it.
pub const KEY_MIN_CHARS: usize = 16;

/// Returns the digest of an API key.
///
/// A key must be random: the digest is unsalted so that it can serve as a lookup
/// key, which allows a guessable key to be recovered from its digest.
///
/// # Errors
///
/// Returns [`Error::InvalidKey`] when the key is shorter than [`KEY_MIN_CHARS`] or has
/// characters that cannot be sent in a header.
pub fn digest_key(key: &str) -> Result<Digest> {
    if !key.bytes().all(|b| b.is_ascii_graphic() || b == b' ') || key.trim() != key {
        return Err(Error::InvalidKey {
            remedy: "use visible ASCII characters, with no space around them",
        });
    }
    if key.len() < KEY_MIN_CHARS {
        return Err(Error::InvalidKey {
            remedy: "use at least 16 random characters",
        });
    }
    Ok(Digest::of(key.as_bytes()))
}
