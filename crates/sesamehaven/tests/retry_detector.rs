//! The detection of resent requests by their content and deadline.

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::retry_detector::RetryDetector;
use sesamehaven::unit::{Instant, Millis};

const FINGERPRINT: u64 = 7;

/// Returns a detector that refused one request at 15,010, sent at 15,000 with a timeout of 5 s.
fn detector() -> RetryDetector {
    let mut detector = RetryDetector::default();
    detector.on_refused(
        FINGERPRINT,
        Instant(15_000),
        Instant(20_000),
        Instant(15_010),
    );
    detector
}

#[rstest]
#[case::back_after_a_refusal(FINGERPRINT, 4_300, 15_700, 15_000)]
#[case::back_late(FINGERPRINT, 500, 19_500, 15_000)]
#[case::delayed_on_the_way(FINGERPRINT, 4_300, 15_760, 15_000)]
#[case::other_content(FINGERPRINT + 1, 4_300, 15_700, 15_700)]
#[case::same_content_of_a_new_request(FINGERPRINT, 5_000, 15_700, 15_700)]
fn a_resent_request_keeps_the_time_of_its_first_send(
    #[case] fingerprint: u64,
    #[case] remaining: u64,
    #[case] now: u64,
    #[case] first_sent: u64,
) {
    let now = Instant(now);
    let found = detector().first_sent(fingerprint, now.after(Millis(remaining)), now);
    assert_eq!(found, Instant(first_sent));
}

/// Callers' timeouts differ by 15%, which is more than their objective of half a second.
#[test]
fn new_requests_with_different_timeouts_are_new() {
    let mut detector = RetryDetector::default();
    for n in 0..1_000_u64 {
        let now = Instant(n * 10);
        let timeout = Millis(4_250 + n * 37 % 750);
        let found = detector.first_sent(n, now.after(timeout), now);
        assert_eq!(found, now, "request {n} with a timeout of {timeout}");
        if n % 3 == 0 {
            detector.on_refused(n, now, now.after(timeout), now);
        }
    }
}

#[test]
fn a_request_that_is_refused_again_keeps_the_time_of_its_first_send() {
    let mut detector = detector();
    let first = detector.first_sent(FINGERPRINT, Instant(20_000), Instant(16_000));
    detector.on_refused(FINGERPRINT, first, Instant(20_000), Instant(16_010));
    let second = detector.first_sent(FINGERPRINT, Instant(20_000), Instant(18_000));
    assert_eq!(second, Instant(15_000));
}

/// Retries reach other processes of the same data centre, whose clocks are unrelated.
#[test]
fn a_refusal_reported_by_another_process_is_known_once() {
    let reports = detector().report(Instant(15_060));
    let mut other = RetryDetector::default();
    other.merge(&reports, Instant(900_060));
    other.merge(&reports, Instant(900_110));
    assert_eq!(other.len(), 1);
    let found = other.first_sent(FINGERPRINT, Instant(905_000), Instant(900_700));
    assert_eq!(found, Instant(900_000));
    assert!(other.report(Instant(900_120)).is_empty(), "reported on");
}

#[test]
fn refusals_are_reported_more_than_once_and_not_for_long() {
    let detector = detector();
    assert_eq!(detector.report(Instant(15_060)).len(), 1);
    assert_eq!(detector.report(Instant(15_110)).len(), 1);
    assert!(detector.report(Instant(15_200)).is_empty());
}

proptest! {
    /// Whatever is refused, memory and reports are bounded, and a resent request is found while
    /// its refusal is among the last.
    #[test]
    fn memory_is_bounded(count in 1..20_000_u64, distinct in 1..20_000_u64) {
        let mut detector = RetryDetector::default();
        for n in 0..count {
            let now = Instant(n);
            detector.on_refused(n % distinct, now, now.after(Millis(5_000)), now);
        }
        prop_assert!(detector.len() <= 8_192);
        prop_assert!(detector.report(Instant(count)).len() <= 64);
        let last = count - 1;
        let found = detector.first_sent(last % distinct, Instant(last + 5_000), Instant(count));
        prop_assert!(found.0 <= last);
    }
}
