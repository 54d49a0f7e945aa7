//! The detection of resent requests by the remaining timeout of their callers.

use rstest::rstest;

use sesamehaven::retry_detector::RetryDetector;
use sesamehaven::unit::{Instant, Millis};

#[rstest]
#[case::new_request(5_000, 20_000)]
#[case::back_after_a_refusal(4_300, 19_300)]
#[case::back_late(500, 15_500)]
fn the_first_send_follows_from_the_remaining_timeout(
    #[case] remaining: u64,
    #[case] first_sent: u64,
) {
    let mut detector = RetryDetector::default();
    let class = "brief".into();
    detector.first_sent(&class, Millis(5_000), Instant(15_000));
    let found = detector.first_sent(&class, Millis(remaining), Instant(20_000));
    assert_eq!(found, Instant(first_sent));
}

#[test]
fn a_shorter_timeout_counts_as_new_after_the_retention_period() {
    let mut detector = RetryDetector::default();
    let class = "brief".into();
    detector.first_sent(&class, Millis(5_000), Instant(1_000));
    let found = detector.first_sent(&class, Millis(3_000), Instant(12_000));
    assert_eq!(found, Instant(12_000));
}

#[test]
fn classes_are_independent() {
    let mut detector = RetryDetector::default();
    detector.first_sent(&"guidance".into(), Millis(15_000), Instant(1_000));
    let found = detector.first_sent(&"brief".into(), Millis(5_000), Instant(1_000));
    assert_eq!(found, Instant(1_000));
}

#[test]
fn unused_classes_are_evicted() {
    let mut detector = RetryDetector::default();
    for n in 0..20_000 {
        let class = format!("route-{n}").into();
        detector.first_sent(&class, Millis(5_000), Instant(n * 100));
    }
    assert!(detector.len() <= 1_024, "{} classes", detector.len());
}
