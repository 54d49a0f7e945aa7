//! Detection of requests that callers send again after a refusal.
//!
//! Under overload some callers are refused and send their requests again. Their
//! objectives count from the first send, so these requests are late already; if they
//! preceded new requests, those would become late as well. A request that comes again
//! has the content and the deadline of the refused one. The remaining timeout alone
//! says little, as callers' timeouts differ by more than their objectives. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::unit::{Instant, Millis};

/// How far apart the deadlines of two attempts of one request may appear to be: callers
/// announce a remaining time, which ages on the way.
const DEADLINE_TOLERANCE: Millis = Millis(100);
/// How long a refusal is remembered. Callers come back within a third of the time that they
/// have left.
const RETENTION: Millis = Millis(6_000);
/// The maximum number of remembered refusals.
const MAX_REFUSALS: usize = 8_192;
/// How long refusals are reported to other processes, which is more than one report.
const REPORT_WINDOW: Millis = Millis(120);
/// The maximum number of refusals in a report.
const REPORT_MAX_REFUSALS: usize = 64;

/// A refusal as processes report it to each other, with times relative to the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// The digest of the request's content.
    pub fingerprint: u64,
    /// How long ago the caller sent the request for the first time.
    pub first_sent_ago: Millis,
    /// How long the caller still waits.
    pub remaining: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Refusal {
    first_sent: Instant,
    deadline: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Recorded {
    at: Instant,
    fingerprint: u64,
    refusal: Refusal,
    /// Whether this process refused the request, or another one that reported it.
    is_own: bool,
}

/// The requests that were refused recently, here or at processes to which their callers may
/// have connected before.
#[derive(Debug, Default)]
pub struct RetryDetector {
    refusals: HashMap<u64, SmallVec<[Refusal; 1]>>,
    order: VecDeque<Recorded>,
}

impl RetryDetector {
    /// Returns the number of remembered refusals.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no refusal is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Records that a request was refused whose caller waits until `deadline`.
    pub fn on_refused(
        &mut self,
        fingerprint: u64,
        first_sent: Instant,
        deadline: Instant,
        now: Instant,
    ) {
        let refusal = Refusal {
            first_sent,
            deadline,
        };
        self.record(fingerprint, refusal, true, now);
    }

    /// Returns when a request was sent for the first time, given that its caller waits until
    /// `deadline`.
    ///
    /// # Example
    ///
    /// ```
    /// use sesamehaven::retry_detector::RetryDetector;
    /// use sesamehaven::unit::Instant;
    ///
    /// let mut detector = RetryDetector::default();
    /// detector.on_refused(7, Instant(9_000), Instant(14_000), Instant(9_010));
    /// let returned = detector.first_sent(7, Instant(14_003), Instant(9_600));
    /// assert_eq!(returned, Instant(9_000));
    /// let new = detector.first_sent(8, Instant(14_003), Instant(9_600));
    /// assert_eq!(new, Instant(9_600));
    /// ```
    pub fn first_sent(&self, fingerprint: u64, deadline: Instant, now: Instant) -> Instant {
        let refusal = self.find(fingerprint, deadline);
        refusal.map_or(now, |r| r.first_sent)
    }

    /// Returns the latest refusals of this process, for processes to which the callers may
    /// return.
    pub fn report(&self, now: Instant) -> Vec<RefusalReport> {
        let latest = self.order.iter().rev();
        latest
            .take_while(|r| now.since(r.at) <= REPORT_WINDOW)
            .filter(|r| r.is_own)
            .take(REPORT_MAX_REFUSALS)
            .map(|r| RefusalReport {
                fingerprint: r.fingerprint,
                first_sent_ago: now.since(r.refusal.first_sent),
                remaining: r.refusal.deadline.since(now),
            })
            .collect()
    }

    /// Records the refusals that another process reported.
    pub fn merge(&mut self, reports: &[RefusalReport], now: Instant) {
        for report in reports {
            let refusal = Refusal {
                first_sent: Instant(now.0.saturating_sub(report.first_sent_ago.0)),
                deadline: now.after(report.remaining),
            };
            if self.find(report.fingerprint, refusal.deadline).is_none() {
                self.record(report.fingerprint, refusal, false, now);
            }
        }
    }

    fn find(&self, fingerprint: u64, deadline: Instant) -> Option<&Refusal> {
        let refusals = self.refusals.get(&fingerprint)?;
        refusals
            .iter()
            .find(|r| r.deadline.0.abs_diff(deadline.0) <= DEADLINE_TOLERANCE.0)
    }

    fn record(&mut self, fingerprint: u64, refusal: Refusal, is_own: bool, now: Instant) {
        while let Some(oldest) = self.order.front().copied()
            && (now.since(oldest.at) > RETENTION || self.order.len() >= MAX_REFUSALS)
        {
            self.order.pop_front();
            self.forget_oldest(oldest.fingerprint);
        }
        self.refusals.entry(fingerprint).or_default().push(refusal);
        self.order.push_back(Recorded {
            at: now,
            fingerprint,
            refusal,
            is_own,
        });
    }

    fn forget_oldest(&mut self, fingerprint: u64) {
        let Some(refusals) = self.refusals.get_mut(&fingerprint) else {
            return;
        };
        refusals.remove(0);
        if refusals.is_empty() {
            self.refusals.remove(&fingerprint);
        }
    }
}
