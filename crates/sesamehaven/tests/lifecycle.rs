//! The life of a request: offered to one at a time, and told the truth about.

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::config::Repeat;
use sesamehaven::lifecycle::{Event, ExecutionPolicy, Lifecycle, Step, UnknownReason};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::unit::{Instant, Millis};

fn terms(repeat: Repeat) -> ExecutionPolicy {
    ExecutionPolicy {
        repeat,
        guarded: false,
        deadline: Instant(60_000),
    }
}

fn refused(reason: Refusal) -> Refused {
    Refused {
        reason,
        retry_after: Millis(1_000),
        admits: None,
    }
}

#[test]
fn a_lost_idempotent_call_that_finds_no_second_place_is_not_called_not_run() {
    let mut flight = Lifecycle::new(terms(Repeat::Idempotent));
    flight.on(Event::Routed(1), Instant(0));
    flight.on(Event::Dispatched, Instant(1));
    let steps = flight.on(Event::AgentLost, Instant(2));
    assert!(steps.contains(&Step::Rerun), "{steps:?}");
    let steps = flight.on(Event::Unroutable(refused(Refusal::Unavailable)), Instant(3));
    assert_eq!(steps[..], [Step::Unknown(UnknownReason::AgentLost)]);
}

#[test]
fn a_call_is_run_again_once_at_most() {
    let mut flight = Lifecycle::new(terms(Repeat::Idempotent));
    flight.on(Event::Routed(1), Instant(0));
    flight.on(Event::Dispatched, Instant(1));
    flight.on(Event::Interrupted, Instant(2));
    flight.on(Event::Routed(2), Instant(3));
    flight.on(Event::Dispatched, Instant(4));
    let steps = flight.on(Event::Interrupted, Instant(5));
    assert_eq!(steps[..], [Step::Unknown(UnknownReason::EndpointFailed)]);
}

#[test]
fn a_handed_back_call_goes_elsewhere_until_its_deadline() {
    let mut flight = Lifecycle::new(terms(Repeat::Claimed));
    flight.on(Event::Routed(1), Instant(0));
    flight.on(Event::Accepted, Instant(1));
    let steps = flight.on(Event::Refused(refused(Refusal::Leaving)), Instant(2));
    assert_eq!(steps[..], [Step::Route]);
    flight.on(Event::Routed(2), Instant(3));
    let steps = flight.on(Event::Tick, Instant(60_000));
    assert_eq!(steps[..], [Step::Withdraw(2)]);
    let steps = flight.on(Event::Withdrawn, Instant(60_001));
    assert!(matches!(steps[..], [Step::NotRun(_)]), "{steps:?}");
}

#[rstest]
#[case(Repeat::AtMostOnce)]
#[case(Repeat::Claimed)]
fn a_silent_withdrawal_leaves_the_outcome_unknown(#[case] repeat: Repeat) {
    let mut flight = Lifecycle::new(terms(repeat));
    flight.on(Event::Routed(1), Instant(0));
    flight.on(Event::Accepted, Instant(1));
    flight.on(Event::Tick, Instant(60_000));
    let steps = flight.on(Event::Tick, flight.wake_at());
    assert_eq!(steps[..], [Step::Unknown(UnknownReason::NoReply)]);
}

fn event() -> impl Strategy<Value = Event<u8>> {
    prop_oneof![
        (0u8..4).prop_map(Event::Routed),
        Just(Event::Unroutable(refused(Refusal::Full))),
        Just(Event::Granted),
        Just(Event::Undecided),
        Just(Event::Accepted),
        Just(Event::Refused(refused(Refusal::Evicted))),
        Just(Event::Withdrawn),
        Just(Event::AlreadyDispatched),
        Just(Event::NeverOffered),
        Just(Event::Dispatched),
        Just(Event::Head),
        Just(Event::Completed),
        Just(Event::Interrupted),
        Just(Event::LinkLost),
        Just(Event::LinkUp),
        Just(Event::AgentLost),
        Just(Event::CallerGone),
        Just(Event::Tick),
    ]
}

/// A naive account of what the events have shown.
#[derive(Default)]
struct Witness {
    outstanding: bool,
    dispatched: bool,
}

impl Witness {
    /// Notes what an event shows about the offer that is outstanding.
    fn see(&mut self, event: &Event<u8>) {
        match event {
            Event::Dispatched | Event::AlreadyDispatched | Event::Head | Event::Completed => {
                self.dispatched |= self.outstanding;
            }
            Event::Refused(_) | Event::Withdrawn | Event::NeverOffered if !self.dispatched => {
                self.outstanding = false;
            }
            _ => {}
        }
    }
}

proptest! {
    #[test]
    fn no_order_of_events_offers_twice_or_denies_a_dispatch(
        events in prop::collection::vec((event(), 0u64..9_000), 1..40),
        guarded in any::<bool>(),
    ) {
        let mut flight = Lifecycle::new(ExecutionPolicy { guarded, ..terms(Repeat::AtMostOnce) });
        let mut witness = Witness::default();
        let mut now = Instant(0);
        let mut final_words = 0;
        for (event, pause) in events {
            now = now.after(Millis(pause));
            witness.see(&event);
            for step in flight.on(event, now) {
                match step {
                    Step::Offer(_) => {
                        prop_assert!(!witness.outstanding, "offered while another offer stands");
                        prop_assert!(!witness.dispatched, "offered after a dispatch");
                        witness.outstanding = true;
                    }
                    Step::NotRun(_) => {
                        prop_assert!(!witness.dispatched, "a dispatch is denied");
                        prop_assert!(!witness.outstanding, "an offer stands");
                        final_words += 1;
                    }
                    Step::Unknown(_) | Step::Finish => final_words += 1,
                    _ => {}
                }
            }
        }
        prop_assert!(final_words <= 1, "the caller was told {final_words} times");
    }
}
