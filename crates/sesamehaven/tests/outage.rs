//! When the directory counts as having been away.

use rstest::rstest;

use sesamehaven::outage::OutageDetector;
use sesamehaven::unit::Instant;

/// What a process learns of the directory, with the time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Its own read failed.
    Failed(u64),
    /// The directory answered it or another process.
    Confirmed(u64),
    /// It resumed after a stall.
    Resumed(u64),
    /// The directory came back from an older copy.
    Restored(u64),
}

use Event::{Confirmed, Failed, Restored, Resumed};

#[rstest]
#[case::away_for_all(&[Confirmed(1_000), Failed(1_600), Failed(2_200), Confirmed(3_000)], true)]
#[case::away_for_a_moment(&[Confirmed(1_000), Failed(1_600), Confirmed(1_900)], false)]
// An outage of one process's path to the store must not bring back what has left (issue 45, review/1).
#[case::others_were_answered(
    &[Confirmed(1_000), Failed(1_600), Confirmed(1_700), Failed(2_200), Confirmed(2_400), Confirmed(3_000)],
    false
)]
#[case::slow_but_not_away(&[Confirmed(1_000), Confirmed(3_000)], false)]
#[case::failed_long_before(&[Failed(400), Confirmed(1_000), Confirmed(3_000)], false)]
#[case::stood_still(&[Confirmed(500), Failed(600), Resumed(2_900), Confirmed(3_000)], false)]
#[case::first_answer(&[Failed(1_000), Failed(2_000), Confirmed(3_000)], false)]
#[case::older_answer_arrives_late(
    &[Confirmed(1_000), Failed(1_600), Confirmed(800), Confirmed(3_000)],
    true
)]
#[case::restored(&[Confirmed(2_900), Restored(3_000)], true)]
fn missing_endpoints_are_retained_only_if_nobody_was_answered(
    #[case] events: &[Event],
    #[case] retains: bool,
) {
    let mut detector = OutageDetector::default();
    for event in events {
        match *event {
            Failed(at) => detector.on_failure(Instant(at)),
            Confirmed(at) => detector.on_confirmed(Instant(at)),
            Resumed(at) => detector.on_resumed(Instant(at)),
            Restored(at) => detector.on_restored(Instant(at)),
        }
    }
    assert_eq!(detector.retains_missing(Instant(3_500)), retains);
    assert!(!detector.retains_missing(Instant(5_000)));
}
