//! How much of its limit an organisation has used, by which its requests are ordered when capacity is
//! short. See [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

/// The finest part of a limit that is told apart.
const PARTS: u64 = 1_024;
/// Up to this number of parts, all organisations are alike.
const LOWEST_PARTS: u64 = 16;
/// The level up to which waiting requests count fully, an eighth of a limit; each level above quarters it.
const FULL_WEIGHT_LEVEL: u32 = 3;

/// The part of its organisation's limit that all processes have used within the limit's window.
///
/// # Example
///
/// ```
/// use sesamehaven::limit_use::LimitUse;
///
/// let usual = LimitUse::of(100, 1_000);
/// let seven_times = LimitUse::of(700, 1_000);
/// assert!(usual.level() < seven_times.level());
/// assert_eq!(usual.level(), LimitUse::of(120, 1_000).level());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitUse {
    parts: u64,
}

impl LimitUse {
    /// Creates the use of `used` of the amount that a limit allows within its window.
    pub fn of(used: u64, allowed: u64) -> Self {
        let parts = used.saturating_mul(PARTS) / allowed.max(1);
        LimitUse {
            parts: parts.min(PARTS),
        }
    }

    /// Returns the category that decides the order; a lower one goes first.
    ///
    /// Each category spans a factor of two. With finer ones, small differences between organisations
    /// would decide instead of the age of the requests.
    pub fn level(self) -> u32 {
        u64::BITS - (self.parts / LOWEST_PARTS).leading_zeros()
    }

    /// Returns how much a waiting request counts when free slots are divided among processes.
    ///
    /// Otherwise a process whose requests are mostly those of one busy organisation would take the slots
    /// that requests at other processes precede it for.
    pub(crate) fn weight(self) -> f64 {
        let levels_above = self.level().saturating_sub(FULL_WEIGHT_LEVEL);
        0.25_f64.powi(levels_above as i32)
    }

    /// Returns the mean of some uses, which stands for an unknown one.
    pub fn mean(uses: impl Iterator<Item = LimitUse>) -> LimitUse {
        let (sum, count) = uses.fold((0, 0), |(sum, count), u| (sum + u.parts, count + 1));
        LimitUse {
            parts: sum / u64::max(count, 1),
        }
    }
}
