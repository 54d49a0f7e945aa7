//! The lifecycle of a request: it is offered to one agent at a time, and the caller never
//! receives a wrong outcome.

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::config::Repeat;
use sesamehaven::lifecycle::{Event, ExecutionPolicy, Lifecycle, Step, UnknownReason};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::unit::{Instant, Millis};

fn policy(repeat: Repeat) -> ExecutionPolicy {
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
fn a_lost_idempotent_call_that_cannot_be_rerouted_has_an_unknown_outcome() {
    let mut lifecycle = Lifecycle::new(policy(Repeat::Idempotent));
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Dispatched, Instant(1));
    let steps = lifecycle.on(Event::AgentLost, Instant(2));
    assert!(steps.contains(&Step::Rerun), "{steps:?}");
    let steps = lifecycle.on(Event::Unroutable(refused(Refusal::Unavailable)), Instant(3));
    assert_eq!(steps[..], [Step::Unknown(UnknownReason::AgentLost)]);
}

#[test]
fn a_call_is_rerun_at_most_once() {
    let mut lifecycle = Lifecycle::new(policy(Repeat::Idempotent));
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Dispatched, Instant(1));
    lifecycle.on(Event::Interrupted, Instant(2));
    lifecycle.on(Event::Routed(2), Instant(3));
    lifecycle.on(Event::Dispatched, Instant(4));
    let steps = lifecycle.on(Event::Interrupted, Instant(5));
    assert_eq!(steps[..], [Step::Unknown(UnknownReason::EndpointFailed)]);
}

#[test]
fn a_returned_call_is_rerouted_until_its_deadline() {
    let mut lifecycle = Lifecycle::new(policy(Repeat::Claimed));
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Accepted, Instant(1));
    let steps = lifecycle.on(Event::Refused(refused(Refusal::Leaving)), Instant(2));
    assert_eq!(steps[..], [Step::Route]);
    lifecycle.on(Event::Routed(2), Instant(3));
    let steps = lifecycle.on(Event::Tick, Instant(60_000));
    assert_eq!(steps[..], [Step::Withdraw(2)]);
    let steps = lifecycle.on(Event::Withdrawn, Instant(60_001));
    assert!(matches!(steps[..], [Step::NotRun(_)]), "{steps:?}");
}

#[test]
fn a_call_that_was_not_sent_is_rerouted_unless_its_head_arrived() {
    let not_sent = Event::NotSent(refused(Refusal::Unavailable));
    let mut lifecycle = Lifecycle::new(policy(Repeat::AtMostOnce));
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Dispatched, Instant(1));
    let steps = lifecycle.on(not_sent.clone(), Instant(2));
    assert_eq!(steps[..], [Step::Route]);
    lifecycle.on(Event::Routed(2), Instant(3));
    lifecycle.on(Event::Head, Instant(4));
    assert!(lifecycle.on(not_sent, Instant(5)).is_empty());
}

#[test]
fn a_withdrawal_waits_for_an_agent_that_is_silent_for_a_moment() {
    let mut lifecycle = Lifecycle::new(policy(Repeat::AtMostOnce));
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Accepted, Instant(1));
    lifecycle.on(Event::Tick, Instant(60_000));
    assert!(lifecycle.on(Event::Tick, Instant(61_500)).is_empty());
    let steps = lifecycle.on(Event::Withdrawn, Instant(61_510));
    assert!(matches!(steps[..], [Step::NotRun(_)]), "{steps:?}");
    // Callers are told within two seconds after their deadline.
    assert!(lifecycle.wake_at() < Instant(62_000));
}

#[test]
fn a_reader_of_a_queued_run_waits_until_its_deadline() {
    let guarded = ExecutionPolicy {
        guarded: true,
        ..policy(Repeat::AtMostOnce)
    };
    let mut lifecycle = Lifecycle::new(guarded);
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Attached(2), Instant(1));
    lifecycle.on(Event::Accepted, Instant(2));
    assert_eq!(lifecycle.wake_at(), guarded.deadline);
}

#[rstest]
#[case(Repeat::AtMostOnce)]
#[case(Repeat::Claimed)]
fn an_unanswered_withdrawal_leaves_the_outcome_unknown(#[case] repeat: Repeat) {
    let mut lifecycle = Lifecycle::new(policy(repeat));
    lifecycle.on(Event::Routed(1), Instant(0));
    lifecycle.on(Event::Accepted, Instant(1));
    lifecycle.on(Event::Tick, Instant(60_000));
    let steps = lifecycle.on(Event::Tick, lifecycle.wake_at());
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
        Just(Event::NotSent(refused(Refusal::Unavailable))),
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

/// A model that tracks what the events imply about the request.
#[derive(Default)]
struct NaiveLifecycle {
    outstanding: bool,
    dispatched: bool,
    has_head: bool,
}

impl NaiveLifecycle {
    /// Updates the state of the outstanding offer.
    fn apply(&mut self, event: &Event<u8>) {
        self.has_head |= self.outstanding && *event == Event::Head;
        match event {
            Event::Dispatched | Event::AlreadyDispatched | Event::Head | Event::Completed => {
                self.dispatched |= self.outstanding;
            }
            // The agent says so only of a request that it dispatched.
            Event::NotSent(_) if self.dispatched && !self.has_head => {
                self.outstanding = false;
                self.dispatched = false;
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
    fn no_event_order_causes_a_second_offer_or_denies_a_dispatch(
        events in prop::collection::vec((event(), 0u64..9_000), 1..40),
        guarded in any::<bool>(),
    ) {
        let mut lifecycle = Lifecycle::new(ExecutionPolicy { guarded, ..policy(Repeat::AtMostOnce) });
        let mut naive = NaiveLifecycle::default();
        let mut now = Instant(0);
        let mut final_responses = 0;
        for (event, pause) in events {
            now = now.after(Millis(pause));
            naive.apply(&event);
            for step in lifecycle.on(event, now) {
                match step {
                    Step::Offer(_) => {
                        prop_assert!(!naive.outstanding, "offered while another offer is outstanding");
                        prop_assert!(!naive.dispatched, "offered after a dispatch");
                        naive.outstanding = true;
                    }
                    Step::NotRun(_) => {
                        prop_assert!(!naive.dispatched, "reported as not run after a dispatch");
                        prop_assert!(!naive.outstanding, "reported as not run while an offer is outstanding");
                        final_responses += 1;
                    }
                    Step::Unknown(_) | Step::Finish => final_responses += 1,
                    _ => {}
                }
            }
        }
        prop_assert!(final_responses <= 1, "the caller received {final_responses} final responses");
    }
}
