//! Times, durations, sizes and rates.
//!
//! Durations and sizes carry their unit in their text form.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// A point in time, in milliseconds since an origin chosen by the caller.
///
/// The state machines take the time as an argument; daemons pass a monotonic clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time `span` after this one.
    pub fn after(self, span: Millis) -> Self {
        Instant(self.0.saturating_add(span.0))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// A duration in milliseconds, written as `250 ms`, `3 s`, `5 min` or `2 h`.
///
/// # Example
///
/// ```
/// use sesamehaven::unit::Millis;
///
/// let timeout: Millis = "3 s".parse()?;
/// assert_eq!(timeout, Millis(3_000));
/// assert_eq!(timeout.to_string(), "3 s");
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Millis(pub u64);

impl Millis {
    /// Converts the duration to [`std::time::Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the duration in whole seconds, rounded up, at least one.
    pub fn whole_secs(self) -> u64 {
        self.0.div_ceil(1_000).max(1)
    }
}

const MILLIS_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];
const MILLIS_REMEDY: &str = "write a number and a unit, such as `250 ms`, `3 s`, `5 min` or `2 h`";

/// A size in bytes, written as `512 B`, `64 KiB`, `2 MiB` or `1 GiB`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Bytes(pub u64);

impl Bytes {
    /// Converts the size to `usize`, saturating at [`usize::MAX`].
    pub fn len(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// Returns whether the size is zero.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

const BYTES_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];
const BYTES_REMEDY: &str = "write a number and a unit, such as `512 B`, `64 KiB` or `2 MiB`";

fn parse(what: &'static str, s: &str, units: &[(&str, u64)], remedy: &'static str) -> Result<u64> {
    let digits = s.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = s.split_at(digits);
    let unit = unit.trim();
    let Some((_, factor)) = units.iter().find(|(name, _)| *name == unit) else {
        return Err(Error::malformed(what, s, remedy));
    };
    let Ok(number) = number.parse::<u64>() else {
        return Err(Error::malformed(what, s, remedy));
    };
    number
        .checked_mul(*factor)
        .ok_or_else(|| Error::out_of_range(what, s, remedy))
}

fn format_with_unit(f: &mut fmt::Formatter<'_>, number: u64, units: &[(&str, u64)]) -> fmt::Result {
    let divides = |factor: u64| number != 0 && number.is_multiple_of(factor);
    let found = units.iter().find(|(_, factor)| divides(*factor));
    let (unit, factor) = found.unwrap_or(&units[units.len() - 1]);
    write!(f, "{} {unit}", number / factor)
}

macro_rules! quantities {
    ($($name:ident, $what:literal, $units:ident, $remedy:ident;)*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                format_with_unit(f, self.0, &$units)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                parse($what, s, &$units, $remedy).map($name)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = Error;

            fn try_from(s: SmolStr) -> Result<Self> {
                s.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(value: $name) -> Self {
                smol_str::format_smolstr!("{value}")
            }
        }
    )*};
}

quantities! {
    Millis, "duration", MILLIS_UNITS, MILLIS_REMEDY;
    Bytes, "size", BYTES_UNITS, BYTES_REMEDY;
}

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

/// A throughput in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Returns the time to process `tokens` at this rate, in milliseconds.
    ///
    /// A rate of zero yields infinity, which exceeds every deadline.
    pub fn millis_for(self, tokens: f64) -> f64 {
        if tokens <= 0.0 {
            return 0.0;
        }
        tokens * 1_000.0 / self.0
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} tokens/s", self.0)
    }
}
