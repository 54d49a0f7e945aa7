//! Idempotency keys sent by callers.
//!
//! Any text of 1 to 255 visible ASCII characters is accepted, so callers can use
//! their existing identifiers. A UUID version 7 carries its creation time, which makes
//! more keys decidable after a loss of records; see
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::id::{KeyDigest, OrganisationName};

/// The maximum length of a key, in characters.
pub const KEY_MAX_CHARS: usize = 255;

const REMEDY: &str = "send 1 to 255 visible ASCII characters without spaces as Idempotency-Key";
const UUID_CHARS: usize = 36;
const HYPHEN_POSITIONS: [usize; 4] = [8, 13, 18, 23];

/// A wall-clock time, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

/// An idempotency key.
///
/// # Example
///
/// ```
/// use sesamehaven::key::{Key, WallTime};
///
/// let plain: Key = "booking-4711".parse()?;
/// assert_eq!(plain.time(), None);
///
/// let timed: Key = "0193884e-5a00-7abc-8def-0123456789ab".parse()?;
/// assert_eq!(timed.time(), Some(WallTime(0x0193_884e_5a00)));
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key(SmolStr);

impl Key {
    /// Returns the key exactly as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the digest that identifies the key within an organisation.
    pub fn digest(&self, organisation: &OrganisationName) -> KeyDigest {
        KeyDigest::new(organisation, &self.0)
    }

    /// Returns the timestamp embedded in the key, if it is a UUID version 7.
    pub fn time(&self) -> Option<WallTime> {
        let bytes = self.0.as_bytes();
        if bytes.len() != UUID_CHARS {
            return None;
        }
        let mut digits = [0; 32];
        let mut count = 0;
        for (i, b) in bytes.iter().enumerate() {
            if HYPHEN_POSITIONS.contains(&i) {
                if *b != b'-' {
                    return None;
                }
                continue;
            }
            digits[count] = char::from(*b).to_digit(16)?;
            count += 1;
        }
        let is_version_7 = digits[12] == 7 && digits[16] & 0b1100 == 0b1000;
        let millis = digits[..12].iter().fold(0, |ms, d| ms << 4 | u64::from(*d));
        is_version_7.then_some(WallTime(millis))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = Error;

    /// Parses a key of 1 to 255 visible ASCII characters.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is empty, too long or contains characters that
    /// are not visible ASCII. The error message states the accepted form.
    fn from_str(s: &str) -> Result<Self> {
        if s.is_empty() || s.len() > KEY_MAX_CHARS {
            return Err(Error::out_of_range("idempotency key", s, REMEDY));
        }
        if !s.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::malformed("idempotency key", s, REMEDY));
        }
        Ok(Key(s.into()))
    }
}
