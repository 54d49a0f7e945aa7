//! Telling requests that come back after a refusal from new ones.
//!
//! The load pattern: more is asked than can run, so some callers are refused and
//! come back. Their objectives count from the first time, so they are late
//! already; if they went before new requests, those would become late as well.
//! Callers say how long they will still wait, and a kind of request begins with
//! the same patience each time. See [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::unit::{Instant, Millis};

/// How long the longest patience of a class is believed without being seen again.
const KEPT: Millis = Millis(10_000);
/// The classes from which on those that were not seen for that long are forgotten.
const REMEMBERED: usize = 1_024;

/// The longest patience of each class.
#[derive(Debug, Default)]
pub struct RetryDetector {
    longest: HashMap<SmolStr, (Millis, Instant)>,
}

impl RetryDetector {
    /// Returns the number of classes that are remembered.
    pub fn len(&self) -> usize {
        self.longest.len()
    }

    /// Returns whether no class is remembered.
    pub fn is_empty(&self) -> bool {
        self.longest.is_empty()
    }

    /// Returns when a request was sent first, whose caller will wait for `left` from now on.
    ///
    /// # Example
    ///
    /// ```
    /// use sesamehaven::retry_detector::RetryDetector;
    /// use sesamehaven::unit::{Instant, Millis};
    ///
    /// let mut detector = RetryDetector::default();
    /// let class = "brief".into();
    /// let new = detector.first_sent(&class, Millis(5_000), Instant(9_000));
    /// assert_eq!(new, Instant(9_000));
    /// let returned = detector.first_sent(&class, Millis(4_400), Instant(9_600));
    /// assert_eq!(returned, Instant(9_000));
    /// ```
    pub fn first_sent(&mut self, class: &SmolStr, left: Millis, now: Instant) -> Instant {
        let (longest, seen) = self.longest.get(class).copied().unwrap_or_default();
        if left >= longest || now.since(seen) > KEPT {
            if self.longest.len() >= REMEMBERED {
                self.longest.retain(|_, (_, seen)| now.since(*seen) <= KEPT);
            }
            self.longest.insert(class.clone(), (left, now));
            return now;
        }
        Instant(now.0.saturating_sub(longest.0 - left.0))
    }
}
