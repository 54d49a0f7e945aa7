//! Which requests a process still starts while it stops.

use rstest::rstest;
use smol_str::SmolStr;

use sesamehaven::grace::{BALANCER_REACTION_TIME, Grace, RunTimes};
use sesamehaven::unit::{Instant, Millis};

const BEGAN: Instant = Instant(10_000);

#[rstest]
#[case::short(100, 17_250)]
#[case::long(3_000, 14_350)]
// While the balancer still sends requests here, they can go nowhere else.
#[case::longer_than_the_grace_period(20_000, BEGAN.0 + BALANCER_REACTION_TIME.0)]
fn a_request_is_started_only_if_it_can_end(#[case] duration: u64, #[case] last_start: u64) {
    let grace = Grace::new(BEGAN, Millis(8_000));
    assert_eq!(grace.last_start(Millis(duration)), Instant(last_start));
    assert!(grace.answers_at() < grace.exits_at());
    assert!(grace.exits_at() < BEGAN.after(Millis(8_000)));
}

#[test]
fn a_grace_period_shorter_than_its_margins_ends_at_once() {
    let grace = Grace::new(BEGAN, Millis(200));
    assert_eq!(grace.answers_at(), BEGAN);
    assert_eq!(grace.exits_at(), BEGAN);
}

#[test]
fn the_longest_run_of_late_is_expected() {
    let route = SmolStr::new("book");
    let mut times = RunTimes::default();
    let remaining = Millis(20_000);
    assert_eq!(times.expected(&route, remaining), remaining);
    times.record(&route, Millis(2_000), Instant(1_000));
    times.record(&route, Millis(10), Instant(2_000));
    assert_eq!(times.expected(&route, remaining), Millis(3_000));
    assert_eq!(times.expected(&route, Millis(500)), Millis(500));
    // It is forgotten after one to two minutes.
    times.record(&route, Millis(20), Instant(62_000));
    assert_eq!(times.expected(&route, remaining), Millis(3_000));
    times.record(&route, Millis(20), Instant(122_000));
    assert_eq!(times.expected(&route, remaining), Millis(30));
}
