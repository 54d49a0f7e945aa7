//! Digests of API keys, the only form in which a configuration holds them.

use sesamehaven::id::Digest;

use crate::error::{Error, Result};

/// The fewest characters of an API key.
pub const KEY_MIN_CHARS: usize = 16;

/// Digests an API key.
///
/// A key has to be a random text: the digest has no salt, since it is looked
/// up, so a key that can be guessed can be found from its digest.
///
/// # Errors
///
/// Fails when the key is shorter than [`KEY_MIN_CHARS`] or has characters that
/// cannot be sent in a header.
pub fn digest_key(key: &str) -> Result<Digest> {
    if !key.bytes().all(|b| b.is_ascii_graphic() || b == b' ') || key.trim() != key {
        return Err(Error::Key {
            remedy: "use visible ASCII characters, with no space around them",
        });
    }
    if key.len() < KEY_MIN_CHARS {
        return Err(Error::Key {
            remedy: "use at least 16 random characters",
        });
    }
    Ok(Digest::of(key.as_bytes()))
}
