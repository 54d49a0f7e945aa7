//! When an endpoint counts as silent before a response head.

use rstest::rstest;

use sesamehaven::endpoint_silence::HeadWait;
use sesamehaven::unit::{Instant, Millis};

const TIMEOUT: Millis = Millis(1_000);
const SENT_AT: Instant = Instant(5_000);

/// Guards against second requests that double the load of a queue, and against streams that wait
/// for a stalled endpoint until their deadline.
#[rstest]
#[case::just_sent(None, 5_000, Some(1_000))]
#[case::nothing_received(None, 5_999, Some(1))]
#[case::nothing_received_in_time(None, 6_000, None)]
#[case::idle_before(Some(1_000), 5_400, Some(600))]
#[case::idle_before_and_silent(Some(1_000), 6_000, None)]
#[case::others_are_answered(Some(5_900), 6_000, Some(900))]
#[case::others_were_answered(Some(5_900), 6_900, None)]
#[case::received_later_than_now(Some(7_000), 6_000, Some(2_000))]
fn an_endpoint_is_silent_if_it_sends_nothing_for_the_timeout(
    #[case] last_received: Option<u64>,
    #[case] now: u64,
    #[case] remaining: Option<u64>,
) {
    let wait = HeadWait::new(SENT_AT, TIMEOUT);
    let last_received = last_received.map(Instant);
    assert_eq!(
        wait.remaining(last_received, Instant(now)),
        remaining.map(Millis)
    );
}

/// Guards against a search for another endpoint in each turn of the event loop.
#[test]
fn the_timeout_starts_again_after_a_search_in_vain() {
    let mut wait = HeadWait::new(SENT_AT, TIMEOUT);
    wait.restart(Instant(6_000));
    assert_eq!(wait.remaining(None, Instant(6_999)), Some(Millis(1)));
    assert_eq!(wait.remaining(None, Instant(7_000)), None);
}
