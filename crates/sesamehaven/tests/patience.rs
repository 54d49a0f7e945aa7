//! How requests that come back are known by what is left of their callers' patience.

use rstest::rstest;

use sesamehaven::patience::Patience;
use sesamehaven::unit::{Instant, Millis};

#[rstest]
#[case::new_request(5_000, 20_000)]
#[case::back_after_a_refusal(4_300, 19_300)]
#[case::back_late(500, 15_500)]
fn the_first_sending_follows_from_what_is_left(#[case] left: u64, #[case] first_sent: u64) {
    let mut patience = Patience::default();
    let class = "brief".into();
    patience.first_sent(&class, Millis(5_000), Instant(15_000));
    let found = patience.first_sent(&class, Millis(left), Instant(20_000));
    assert_eq!(found, Instant(first_sent));
}

#[test]
fn a_shorter_patience_counts_as_new_when_no_longer_one_was_seen_for_long() {
    let mut patience = Patience::default();
    let class = "brief".into();
    patience.first_sent(&class, Millis(5_000), Instant(1_000));
    let found = patience.first_sent(&class, Millis(3_000), Instant(12_000));
    assert_eq!(found, Instant(12_000));
}

#[test]
fn classes_are_told_apart() {
    let mut patience = Patience::default();
    patience.first_sent(&"guidance".into(), Millis(15_000), Instant(1_000));
    let found = patience.first_sent(&"brief".into(), Millis(5_000), Instant(1_000));
    assert_eq!(found, Instant(1_000));
}

#[test]
fn classes_that_are_no_longer_asked_for_are_forgotten() {
    let mut patience = Patience::default();
    for n in 0..20_000 {
        let class = format!("route-{n}").into();
        patience.first_sent(&class, Millis(5_000), Instant(n * 100));
    }
    assert!(patience.len() <= 1_024, "{} classes", patience.len());
}
