//! What endpoints say about themselves, and what the dispatcher makes of it.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use proptest::prelude::*;

use sesamehaven::Tier;
use sesamehaven::announcement::{Announcement, Announcements, Standing};
use sesamehaven::backlog::Ticket;
use sesamehaven::dispatcher::{Dispatcher, Refusal, Step, Work};
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::{Instant, Millis};

use common::listed;

const DRAINING: Announcement = Announcement { is_draining: true };
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
                    let said = Announcement { is_draining };
                    announcements.on_announcement("b", Some(1), said, now);
                }
            }
            prop_assert!(!announcements.standing("a").accepts());
        }
        announcements.on_listed("a", later);
        prop_assert!(announcements.standing("a").accepts());
        let news = announcements.on_announcement("a", Some(later), DRAINING, Instant(100));
        prop_assert_eq!(news, DRAINING);
        prop_assert!(!announcements.standing("a").accepts());
    }
}

#[test]
fn the_oldest_drains_are_forgotten_first() {
    const MANY: u64 = 5_000;
    let mut announcements = Announcements::default();
    for n in 0..MANY {
        announcements.on_announcement(&n.to_string(), Some(1), DRAINING, Instant(n));
    }
    assert!(announcements.standing("0").accepts());
    for n in MANY - 1_000..MANY {
        assert!(!announcements.standing(&n.to_string()).accepts(), "{n}");
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
    assert_eq!(pool.running().map(|(_, n)| n).sum::<u32>(), 3);
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
