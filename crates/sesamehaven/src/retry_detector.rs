//! Detection of requests that callers send again after a refusal.
//!
//! Under overload some callers are refused and send their requests again. Their
//! objectives count from the first send, so these requests are late already; if they
//! preceded new requests, those would become late as well. Callers send their
//! remaining timeout, and requests of a class start with the same timeout each time,
//! so a shorter one shows how long ago a request was first sent. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::unit::{Instant, Millis};

/// How long the longest timeout of a class stays valid without being observed again.
const TIMEOUT_RETENTION: Millis = Millis(10_000);
/// The number of classes from which an insertion first evicts expired ones. The table can
/// exceed it.
const EVICTION_THRESHOLD: usize = 1_024;

/// The longest remaining timeout observed for each class.
#[derive(Debug, Default)]
pub struct RetryDetector {
    longest_timeouts: HashMap<SmolStr, (Millis, Instant)>,
}

impl RetryDetector {
    /// Returns the number of classes in the table.
    pub fn len(&self) -> usize {
        self.longest_timeouts.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.longest_timeouts.is_empty()
    }

    /// Returns when a request was first sent, given that its caller waits for another `remaining`.
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
    pub fn first_sent(&mut self, class: &SmolStr, remaining: Millis, now: Instant) -> Instant {
        let (longest, seen) = self
            .longest_timeouts
            .get(class)
            .copied()
            .unwrap_or_default();
        if remaining >= longest || now.since(seen) > TIMEOUT_RETENTION {
            if self.longest_timeouts.len() >= EVICTION_THRESHOLD {
                self.longest_timeouts
                    .retain(|_, (_, seen)| now.since(*seen) <= TIMEOUT_RETENTION);
            }
            self.longest_timeouts
                .insert(class.clone(), (remaining, now));
            return now;
        }
        Instant(now.0.saturating_sub(longest.0 - remaining.0))
    }
}
