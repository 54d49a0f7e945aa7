//! What endpoints say about themselves, and what the dispatcher makes of it.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::announcement::{Announcement, Announcements, Standing};
use sesamehaven::backlog::Ticket;
use sesamehaven::dispatcher::{Dispatcher, Refusal, Step, Work};
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::{Instant, Millis};

use common::listed;

const DRAINING: Announcement = Announcement {
    is_draining: true,
    pause: None,
    limit: None,
    load: None,
};
const NOW: Instant = Instant(1_000);
/// When the draining endpoint started.
const STARTED_AT: u64 = 7;

/// What happens between the announcement of a drain and the next incarnation.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The endpoint is listed with a start time, also an older one or none.
    Listed(u64),
    /// The endpoint announces its drain again; its entry may have vanished.
    Announced(Option<u64>),
    /// Another endpoint says something.
    Other(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..=STARTED_AT).prop_map(Event::Listed),
        proptest::option::of(0..=STARTED_AT).prop_map(Event::Announced),
        any::<bool>().prop_map(Event::Other),
    ]
}

proptest! {
    #[test]
    fn a_drain_lasts_until_a_later_start_is_listed(
        is_listed in any::<bool>(),
        events in prop::collection::vec(event(), 0..20),
        later in STARTED_AT + 1..20,
    ) {
        let mut announcements = Announcements::default();
        let started_at = is_listed.then_some(STARTED_AT);
        let news = announcements.on_announcement("a", started_at, DRAINING, Instant(0));
        prop_assert_eq!(news, DRAINING);
        // An endpoint whose start was not known is that which is listed next.
        announcements.on_listed("a", STARTED_AT);
        for (at, event) in events.into_iter().enumerate() {
            let now = Instant(at as u64);
            match event {
                Event::Listed(start) => announcements.on_listed("a", start),
                Event::Announced(start) => {
                    let news = announcements.on_announcement("a", start, DRAINING, now);
                    prop_assert!(news.is_empty());
                }
                Event::Other(is_draining) => {
                    let said = Announcement { is_draining, ..DRAINING };
                    announcements.on_announcement("b", Some(1), said, now);
                }
            }
            prop_assert!(!announcements.standing("a").accepts(NOW));
        }
        announcements.on_listed("a", later);
        prop_assert!(announcements.standing("a").accepts(NOW));
        let news = announcements.on_announcement("a", Some(later), DRAINING, Instant(100));
        prop_assert_eq!(news, DRAINING);
        prop_assert!(!announcements.standing("a").accepts(NOW));
    }
}

proptest! {
    /// The naive version keeps the ends of all pauses.
    #[test]
    fn a_pause_lasts_until_the_latest_end_that_was_asked_for(
        steps in prop::collection::vec((0..500_u64, proptest::option::of(1..2_000_u64)), 1..40),
    ) {
        let mut announcements = Announcements::default();
        let (mut now, mut ends) = (NOW, Vec::new());
        for (gap, pause) in steps {
            now = now.after(Millis(gap));
            let was_paused = ends.iter().any(|end| *end > now);
            let said = Announcement { is_draining: false, pause: pause.map(Millis), limit: None, load: None };
            let news = announcements.on_announcement("a", None, said, now);
            prop_assert_eq!(news.pause.is_some(), pause.is_some() && !was_paused);
            ends.extend(pause.map(|pause| now.after(Millis(pause + 1))));
            let is_paused = ends.iter().any(|end| *end > now);
            prop_assert_eq!(announcements.standing("a").accepts(now), !is_paused);
            prop_assert!(announcements.standing("b").accepts(now));
        }
    }
}

#[test]
fn an_absurd_pause_is_bounded() {
    let mut announcements = Announcements::default();
    let said = Announcement {
        pause: Some(Millis(u64::MAX)),
        ..Announcement::default()
    };
    announcements.on_announcement("a", None, said, NOW);
    assert!(
        !announcements
            .standing("a")
            .accepts(NOW.after(Millis(60_000)))
    );
    assert!(
        announcements
            .standing("a")
            .accepts(NOW.after(Millis(3_600_000)))
    );
}

#[test]
fn the_oldest_drains_are_forgotten_first() {
    const MANY: u64 = 5_000;
    let mut announcements = Announcements::default();
    for n in 0..MANY {
        announcements.on_announcement(&n.to_string(), Some(1), DRAINING, Instant(n));
    }
    assert!(announcements.standing("0").accepts(NOW));
    for n in MANY - 1_000..MANY {
        assert!(!announcements.standing(&n.to_string()).accepts(NOW), "{n}");
    }
}

fn dispatcher(ids: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_endpoints(ids.iter().map(|id| listed(id, 2)));
    dispatcher
}

fn arrive(dispatcher: &mut Dispatcher, ticket: u64, now: Instant) -> Step {
    let work = Work::new("look", Tier::MOST_URGENT, Millis(500), now);
    let steps = dispatcher.on_arrival(Ticket(ticket), work, now);
    steps.into_iter().next().unwrap()
}

fn endpoint(step: &Step) -> &str {
    match step {
        Step::Start { endpoint, .. } => endpoint,
        Step::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn drain(id: &str) -> impl Fn(&str) -> Standing {
    move |endpoint| Standing {
        is_draining: endpoint == id,
        ..Standing::default()
    }
}

#[test]
fn a_draining_endpoint_gets_nothing_and_keeps_what_it_runs() {
    let mut pool = dispatcher(&["a"]);
    let now = Instant(0);
    assert_eq!(endpoint(&arrive(&mut pool, 1, now)), "a");
    pool.set_standings(drain("a"));
    pool.set_endpoints([listed("a", 2), listed("b", 2)]);
    for ticket in 2..4 {
        assert_eq!(endpoint(&arrive(&mut pool, ticket, now)), "b");
    }
    assert_eq!(
        pool.dispatched().map(|(_, load)| load.running).sum::<u32>(),
        3
    );
    assert!(
        pool.on_end(Ticket(1), DispatchOutcome::Success, now)
            .is_empty()
    );
    pool.set_endpoints([listed("a", 2)]);
    let step = arrive(&mut pool, 5, now);
    assert!(
        matches!(&step, Step::Refuse { reason, .. } if *reason == Refusal::NoEndpoint),
        "{step:?}"
    );
    pool.set_standings(|_| Standing::default());
    assert_eq!(endpoint(&arrive(&mut pool, 6, now)), "a");
}

fn pause(ids: &[&'static str], until: Instant) -> impl Fn(&str) -> Standing {
    move |endpoint| Standing {
        paused_until: match ids.contains(&endpoint) {
            true => until,
            false => Instant(0),
        },
        ..Standing::default()
    }
}

fn refusal(step: &Step) -> (Refusal, Millis) {
    match step {
        Step::Refuse {
            reason,
            retry_after,
            ..
        } => (*reason, *retry_after),
        Step::Start { endpoint, .. } => panic!("started at {endpoint}"),
    }
}

#[test]
fn a_request_waits_for_the_end_of_a_short_pause() {
    let mut pool = dispatcher(&["a"]);
    let end = NOW.after(Millis(300));
    pool.set_standings(pause(&["a"], end));
    let work = Work::new("look", Tier::MOST_URGENT, Millis(500), NOW);
    assert!(pool.on_arrival(Ticket(1), work, NOW).is_empty());
    for ms in (0..300).step_by(20) {
        assert!(pool.on_tick(NOW.after(Millis(ms))).is_empty(), "{ms}");
    }
    assert_eq!(endpoint(&pool.on_tick(end)[0]), "a");
}

/// The request would give up after 1.5 s.
#[rstest]
#[case::told(Millis(1_800), Millis(1_800))]
#[case::told_the_longest(Millis(60_000), Millis(2_000))]
fn a_request_is_refused_at_once_if_it_cannot_wait_for_the_first_endpoint(
    #[case] first: Millis,
    #[case] told: Millis,
) {
    let mut pool = dispatcher(&["a", "b"]);
    let ends = [NOW.after(first), NOW.after(Millis(90_000))];
    pool.set_standings(|endpoint| pause(&["a", "b"], ends[usize::from(endpoint == "b")])(endpoint));
    let (reason, retry_after) = refusal(&arrive(&mut pool, 1, NOW));
    assert_eq!(reason, Refusal::Paused);
    assert!(
        retry_after >= told && retry_after <= Millis(2_000),
        "{retry_after}"
    );
    assert_eq!(pool.retry_after(Millis(300), NOW), told);
    assert_eq!(pool.waiting(), 0);
}

#[test]
fn requests_that_wait_are_refused_when_a_long_pause_begins() {
    let mut pool = Dispatcher::default();
    pool.set_endpoints([listed("a", 1)]);
    for ticket in 1..=2 {
        assert_eq!(endpoint(&arrive(&mut pool, ticket, NOW)), "a");
    }
    let work = Work::new("look", Tier::MOST_URGENT, Millis(500), NOW);
    assert!(pool.on_arrival(Ticket(3), work, NOW).is_empty());
    pool.set_standings(pause(&["a"], NOW.after(Millis(60_000))));
    let steps = pool.on_tick(NOW.after(Millis(20)));
    assert_eq!(refusal(&steps[0]), (Refusal::Paused, Millis(2_000)));
    assert_eq!(pool.waiting(), 0);
}

#[test]
fn the_other_endpoints_take_the_requests_and_their_slots_alone_count() {
    let mut pool = dispatcher(&["a", "b"]);
    assert_eq!(pool.slots(NOW), (6, 6));
    pool.set_standings(pause(&["a"], NOW.after(Millis(60_000))));
    assert_eq!(pool.slots(NOW), (3, 3));
    for ticket in 1..=3 {
        assert_eq!(endpoint(&arrive(&mut pool, ticket, NOW)), "b");
    }
    assert_eq!(pool.retry_after(Millis(300), NOW), Millis(300));
    let work = Work::new("look", Tier::MOST_URGENT, Millis(500), NOW);
    assert!(
        pool.on_arrival(Ticket(4), work, NOW).is_empty(),
        "it waits for b"
    );
    let steps = pool.on_end(Ticket(1), DispatchOutcome::Success, NOW);
    assert_eq!(endpoint(&steps[0]), "b");
}

/// It would be held in vain, since it goes to each endpoint once.
#[rstest]
#[case::all_tried(&["a", "b"], &["a", "b"], Millis(100))]
#[case::the_other_tried(&["a"], &["b"], Millis(60_000))]
fn a_request_is_refused_while_what_it_has_not_tried_pauses(
    #[case] tried: &[&str],
    #[case] pausing: &'static [&'static str],
    #[case] span: Millis,
) {
    let mut pool = dispatcher(&["a", "b"]);
    pool.set_standings(pause(pausing, NOW.after(span)));
    let work = Work {
        tried: tried.iter().map(|id| (*id).into()).collect(),
        ..Work::new("look", Tier::MOST_URGENT, Millis(500), NOW)
    };
    let steps = pool.on_arrival(Ticket(1), work, NOW);
    assert_eq!(refusal(&steps[0]).0, Refusal::Paused);
}
