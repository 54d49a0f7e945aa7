//! The tier of a request, which determines the order of service and of load shedding.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// The priority tier of a request; zero is the most urgent.
///
/// A tier is derived from the configuration of the organisation and its work class,
/// never from the request itself. Urgent tiers are ordered first, so the greatest tier
/// is shed first.
///
/// # Example
///
/// ```
/// use sesamehaven::Tier;
///
/// let brief: Tier = "0".parse()?;
/// let roundup: Tier = "3".parse()?;
/// assert!(brief.outranks(roundup));
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Tier(u8);

impl Tier {
    /// The number of tiers.
    pub const COUNT: usize = 8;
    /// The tier that is served first and shed last.
    pub const MOST_URGENT: Tier = Tier(0);
    /// The tier that is served last and shed first.
    pub const LEAST_URGENT: Tier = Tier(Self::COUNT as u8 - 1);

    /// Creates a tier from its number.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is not below [`Tier::COUNT`].
    pub fn new(number: u8) -> Result<Self> {
        if usize::from(number) < Self::COUNT {
            return Ok(Tier(number));
        }
        Err(Error::out_of_range(
            "tier",
            &number.to_string(),
            "use a whole number from 0 (most urgent) to 7",
        ))
    }

    /// Returns the number as an index into per-tier tables.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns whether this tier is served before `other`.
    pub fn outranks(self, other: Tier) -> bool {
        self.0 < other.0
    }

    /// Returns an iterator over all tiers, the most urgent first.
    pub fn all() -> impl DoubleEndedIterator<Item = Tier> + ExactSizeIterator {
        (0..Self::COUNT as u8).map(Tier)
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tier {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let number = s.parse().map_err(|_| {
            Error::malformed("tier", s, "use a whole number from 0 (most urgent) to 7")
        })?;
        Tier::new(number)
    }
}

impl TryFrom<u8> for Tier {
    type Error = Error;

    fn try_from(number: u8) -> Result<Self> {
        Tier::new(number)
    }
}

impl From<Tier> for u8 {
    fn from(tier: Tier) -> Self {
        tier.0
    }
}
