//! Outages of the directory, during which entries expire although their endpoints live.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#what-counts-as-confirmed).

use crate::unit::{Instant, Millis};

/// How long endpoints that are missing from the list after an outage are retained.
const RETENTION: Millis = Millis(2_000);
/// The minimum outage of the directory during which entries may have expired.
const MIN_OUTAGE: Millis = Millis(1_000);

/// Tells an outage of the directory from one of the path that a process has to it.
///
/// An outage is a time in which no process that this one hears had an answer of the directory. That its own
/// reads fail says less: while the directory answers others, it removes only what has left.
///
/// # Example
///
/// ```
/// use sesamehaven::outage::OutageDetector;
/// use sesamehaven::unit::Instant;
///
/// let mut detector = OutageDetector::default();
/// detector.on_confirmed(Instant(1_000));
/// detector.on_failure(Instant(1_600));
/// detector.on_confirmed(Instant(4_000));
/// assert!(detector.retains_missing(Instant(5_000)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    confirmed_at: Instant,
    failed_at: Instant,
    running_since: Instant,
    retains_until: Instant,
}

impl OutageDetector {
    /// Records that a read sent at `sent` failed.
    pub fn on_failure(&mut self, sent: Instant) {
        self.failed_at = self.failed_at.max(sent);
    }

    /// Records that this process resumed after a stall, in which it heard nobody.
    pub fn on_resumed(&mut self, at: Instant) {
        self.running_since = self.running_since.max(at);
    }

    /// Records that the directory, as of `at`, has answered this process or another one.
    pub fn on_confirmed(&mut self, at: Instant) {
        if at <= self.confirmed_at {
            return;
        }
        let has_failed = self.failed_at > self.confirmed_at;
        let unanswered = at.since(self.confirmed_at.max(self.running_since));
        if has_failed && self.confirmed_at > Instant(0) && unanswered >= MIN_OUTAGE {
            self.retains_until = at.after(RETENTION);
        }
        self.confirmed_at = at;
    }

    /// Records that the directory has come back without some entries, however short it was away.
    pub fn on_restored(&mut self, at: Instant) {
        self.retains_until = self.retains_until.max(at.after(RETENTION));
    }

    /// Returns whether endpoints that are missing from the list may only have lost their entries.
    pub fn retains_missing(&self, now: Instant) -> bool {
        now < self.retains_until
    }
}
