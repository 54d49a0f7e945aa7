//! How requests that come back are known by what is left of their callers' patience.

use rstest::rstest;

use sesamehaven::retry_detector::RetryDetector;
use sesamehaven::unit::{Instant, Millis};

#[rstest]
#[case::new_request(5_000, 20_000)]
#[case::back_after_a_refusal(4_300, 19_300)]
#[case::back_late(500, 15_500)]
fn the_first_sending_follows_from_what_is_left(#[case] left: u64, #[case] first_sent: u64) {
    let mut detector = RetryDetector::default();
    let class = "brief".into();
    detector.first_sent(&class, Millis(5_000), Instant(15_000));
    let found = detector.first_sent(&class, Millis(left), Instant(20_000));
    assert_eq!(found, Instant(first_sent));
}

#[test]
fn a_shorter_patience_counts_as_new_when_no_longer_one_was_seen_for_long() {
    let mut detector = RetryDetector::default();
    let class = "brief".into();
    detector.first_sent(&class, Millis(5_000), Instant(1_000));
    let found = detector.first_sent(&class, Millis(3_000), Instant(12_000));
    assert_eq!(found, Instant(12_000));
}

#[test]
fn classes_are_told_apart() {
    let mut detector = RetryDetector::default();
    detector.first_sent(&"guidance".into(), Millis(15_000), Instant(1_000));
    let found = detector.first_sent(&"brief".into(), Millis(5_000), Instant(1_000));
    assert_eq!(found, Instant(1_000));
}

#[test]
fn classes_that_are_no_longer_asked_for_are_forgotten() {
    let mut detector = RetryDetector::default();
    for n in 0..20_000 {
        let class = format!("route-{n}").into();
        detector.first_sent(&class, Millis(5_000), Instant(n * 100));
    }
    assert!(detector.len() <= 1_024, "{} classes", detector.len());
}
