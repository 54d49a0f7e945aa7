//! The endpoint selection of the placement.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use sesamehaven::digest::hash_of;
use sesamehaven::placement::{Demand, DispatchOutcome, DispatchedLoad, Placement};
use sesamehaven::unit::{Instant, Millis};

use common::listed;

const IDS: [&str; 4] = ["a", "b", "c", "d"];

fn placement(slots: u32) -> Placement {
    let mut placement = Placement::default();
    placement.set_endpoints(IDS.iter().map(|id| listed(id, slots)));
    placement
}

fn demand(session: Option<u64>, tie_breaker: u64) -> Demand {
    Demand {
        session,
        is_long: false,
        first_event_ms: 100.0,
        prefill_ms: 0.0,
        slot_ms: 100.0,
        gap_objective: None,
        deadline_left: Millis(5_000),
        objective: Millis(800),
        time_left: None,
        tie_breaker,
        version: None,
    }
}

#[test]
fn a_session_returns_to_its_endpoint_while_that_has_a_free_slot() {
    let mut p = placement(6);
    let now = Instant(0);
    // Other requests occupy the endpoints that this process prefers.
    for tie_breaker in 0..9 {
        let id = p.choose(&demand(None, tie_breaker), &[], now).unwrap();
        p.on_start(&id, &demand(None, tie_breaker), now);
    }
    let session = demand(Some(7), 100);
    let first = p.choose(&session, &[], now).unwrap();
    p.on_start(&first, &session, now);
    p.on_end(&first, false, DispatchOutcome::Success, None, now);
    for tie_breaker in 0..3 {
        let id = p.choose(&demand(Some(7), tie_breaker), &[], now).unwrap();
        assert_eq!(id, first);
        p.on_start(&id, &demand(Some(7), tie_breaker), now);
    }
    let later = Instant(60_000);
    while p.choose(&session, &[], later).is_some_and(|id| id == first) {
        p.on_start(&first, &session, later);
    }
    assert!(
        p.choose(&session, &[], later).is_some(),
        "others have slots"
    );
}

/// Eight processes with stale counts of each other's requests share four endpoints.
#[test]
fn processes_with_stale_counts_choose_different_endpoints() {
    const SLOTS: u32 = 12;
    const EACH: u64 = 3;
    let mut sums = [0_u32; IDS.len()];
    for process in 0..8_u64 {
        let mut p = Placement::new(process.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        p.set_endpoints(IDS.iter().map(|id| listed(id, SLOTS)));
        for tie_breaker in 0..EACH {
            let id = p
                .choose(&demand(None, tie_breaker), &[], Instant(0))
                .unwrap();
            p.on_start(&id, &demand(None, tie_breaker), Instant(0));
            sums[IDS.iter().position(|i| *i == id).unwrap()] += 1;
        }
    }
    assert_eq!(sums.iter().sum::<u32>(), 24);
    assert!(sums.iter().all(|n| *n <= SLOTS), "{sums:?}");
}

#[test]
fn no_endpoint_gets_more_than_its_slots_while_others_are_free() {
    let mut p = placement(6);
    let mut taken = [0_u32; IDS.len()];
    while let Some(id) = p.choose(&demand(None, 1), &[], Instant(0)) {
        p.on_start(&id, &demand(None, 1), Instant(0));
        taken[IDS.iter().position(|i| *i == id).unwrap()] += 1;
    }
    // One request is queued beyond the slots, so that the batch stays full.
    assert_eq!(taken, [7; IDS.len()]);
}

/// One endpoint passes its health checks but fails four requests in ten.
#[test]
fn an_endpoint_that_fails_more_often_than_the_others_is_ejected() {
    let mut p = placement(6);
    let mut now = Instant(0);
    for n in 0..40 {
        now = Instant(n * 20);
        for id in IDS {
            p.on_start(id, &demand(None, 0), now);
            let failed = id == "a" && n % 5 < 2;
            let ended = if failed {
                DispatchOutcome::Failure
            } else {
                DispatchOutcome::Success
            };
            p.on_end(id, false, ended, None, now);
        }
    }
    for tie_breaker in 0..50 {
        assert_ne!(p.choose(&demand(None, tie_breaker), &[], now).unwrap(), "a");
    }
}

#[test]
fn endpoints_that_fail_equally_often_are_not_ejected() {
    let mut p = placement(6);
    for n in 0..100 {
        for id in IDS {
            p.on_start(id, &demand(None, 0), Instant(n));
            let ended = if n % 7 == 0 {
                DispatchOutcome::Failure
            } else {
                DispatchOutcome::Success
            };
            p.on_end(id, false, ended, None, Instant(n));
        }
    }
    assert!(p.choose(&demand(None, 3), &[], Instant(100)).is_some());
}

#[test]
fn a_slow_endpoint_runs_one_request_at_a_time() {
    let mut p = placement(6);
    let now = Instant(0);
    for _ in 0..30 {
        for id in IDS {
            p.on_start(id, &demand(None, 0), now);
            let factor = if id == "b" { 8.0 } else { 1.0 };
            p.on_end(id, false, DispatchOutcome::Success, Some(factor), now);
        }
    }
    let mut at_b = 0;
    while let Some(id) = p.choose(&demand(None, at_b), &[], now) {
        p.on_start(&id, &demand(None, 0), now);
        at_b += u64::from(id == "b");
    }
    assert!(at_b <= 1, "{at_b} requests at the slow endpoint");
}

/// An endpoint was so slow for a while that no stream would end there in time, and all others are full.
#[test]
fn an_endpoint_that_was_too_slow_is_probed() {
    let mut p = placement(2);
    let stream = Demand {
        slot_ms: 1_000.0,
        gap_objective: Some(Millis(300)),
        ..demand(None, 0)
    };
    let now = Instant(10_000);
    for id in IDS {
        p.on_start(id, &stream, now);
        p.on_event_interval(id, if id == "b" { 400.0 } else { 20.0 });
        p.on_end(id, false, DispatchOutcome::Success, None, now);
    }
    while let Some(id) = p.choose(&stream, &[], now) {
        assert_ne!(
            id, "b",
            "the stream would take longer than its caller waits"
        );
        p.on_start(&id, &stream, now);
    }
    let later = Instant(15_000);
    assert_eq!(p.choose(&stream, &[], later).unwrap(), "b");
    p.on_start("b", &stream, later);
    assert_eq!(p.choose(&stream, &[], later), None, "one probe is enough");
}

/// The first event takes four times as long at one endpoint, as on deployments whose engines are
/// unlike, and all others are full most of the time.
#[test]
fn a_long_prompt_leaves_a_slow_endpoint_to_requests_that_are_on_time_there() {
    let mut p = placement(6);
    let now = Instant(0);
    for _ in 0..60 {
        for id in IDS {
            p.on_first_event(id, if id == "d" { 4.0 } else { 1.0 });
        }
    }
    let short = Demand {
        first_event_ms: 100.0,
        time_left: Some(Millis(800)),
        ..demand(None, 1)
    };
    let long = Demand {
        first_event_ms: 300.0,
        ..short
    };
    while let Some(id) = p.choose(&long, &[], now) {
        assert_ne!(id, "d", "the first event is expected after the objective");
        p.on_start(&id, &long, now);
    }
    assert_eq!(p.choose(&short, &[], now).unwrap(), "d");
    // A late request has nothing to lose at the slow endpoint.
    let late = Demand {
        time_left: None,
        ..long
    };
    assert_eq!(p.choose(&late, &[], now).unwrap(), "d");
    // The same holds for a prompt that is too long for every endpoint.
    let too_long = Demand {
        first_event_ms: 900.0,
        ..long
    };
    assert_eq!(p.choose(&too_long, &[], now).unwrap(), "d");
}

/// Long prompts arrive while slots are free everywhere.
#[test]
fn a_short_request_does_not_wait_behind_a_long_prompt() {
    let mut p = placement(6);
    let now = Instant(0);
    let short = Demand {
        prefill_ms: 5.0,
        ..demand(None, 1)
    };
    let long = Demand {
        prefill_ms: 600.0,
        ..short
    };
    let preferred = p.choose(&short, &[], now).unwrap();
    p.on_start(&preferred, &long, now);
    let reading = |p: &Placement| p.dispatched().filter(|(_, d)| d.prefill_ms > 0).count();
    let busy = reading(&p);
    let other = p.choose(&short, &[], now).unwrap();
    assert_ne!(other, preferred, "the long prompt is still read there");
    p.on_prefill_end(&preferred, 600.0);
    p.on_end(&preferred, false, DispatchOutcome::Success, None, now);
    assert_eq!((busy, reading(&p)), (1, 0));
    assert_eq!(p.choose(&short, &[], now).unwrap(), preferred);
    // The long prompt of another process counts the same.
    p.set_peers(None, Millis(300), now, |endpoint| DispatchedLoad {
        running: 0,
        prefill_ms: match endpoint == hash_of(&preferred) {
            true => 600,
            false => 0,
        },
    });
    assert_eq!(p.choose(&short, &[], now).unwrap(), other);
}

#[test]
fn tried_endpoints_are_skipped() {
    let p = placement(6);
    let tried = ["a".into(), "b".into(), "c".into()];
    assert_eq!(p.choose(&demand(None, 0), &tried, Instant(0)).unwrap(), "d");
}
