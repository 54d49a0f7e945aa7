//! Streams that go on at one software version, in a pool of several.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::backlog::Ticket;
use sesamehaven::dispatcher::{Dispatcher, Refusal, Step, Steps, Work};
use sesamehaven::placement::{DispatchedLoad, ListedEndpoint};
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::{Instant, Millis};

use common::listed;

const OLD: PoolVersion = PoolVersion(1);
const NEW: PoolVersion = PoolVersion(2);
const GONE: PoolVersion = PoolVersion(3);
const NOW: Instant = Instant(10_000);

/// Creates a pool with two endpoints of each version, with one slot each.
fn pool() -> Dispatcher {
    let mut pool = Dispatcher::default();
    let all = [("a", OLD), ("b", OLD), ("c", NEW), ("d", NEW)];
    pool.set_endpoints(all.map(|(id, version)| ListedEndpoint {
        version,
        ..listed(id, 1)
    }));
    pool
}

fn work(version: Option<PoolVersion>) -> Work {
    Work {
        version,
        ..Work::new("brief", Tier::MOST_URGENT, Millis(500), NOW)
    }
}

fn started(steps: &Steps) -> Vec<&str> {
    let endpoints = steps.iter().filter_map(|step| match step {
        Step::Start { endpoint, .. } => Some(endpoint.as_str()),
        Step::Refuse { .. } => None,
    });
    endpoints.collect()
}

#[rstest]
#[case::old(OLD, ["a", "b"])]
#[case::new(NEW, ["c", "d"])]
fn a_stream_goes_on_at_its_version_only(
    #[case] version: PoolVersion,
    #[case] expected: [&'static str; 2],
) {
    let mut pool = pool();
    let mut used = Vec::new();
    for ticket in 0..20 {
        let steps = pool.on_arrival(Ticket(ticket), work(Some(version)), NOW);
        used.extend(started(&steps).into_iter().map(str::to_owned));
    }
    used.sort();
    used.dedup();
    assert_eq!(used, expected);
}

#[test]
fn a_stream_that_waits_for_its_version_does_not_hold_up_others() {
    let mut pool = pool();
    let mut next = 0;
    let mut send = |version| {
        next += 1;
        pool.on_arrival(Ticket(next), work(version), NOW)
    };
    while !started(&send(Some(OLD))).is_empty() {}
    let steps = send(None);
    assert_eq!(started(&steps).len(), 1);
    assert!(["c", "d"].contains(&started(&steps)[0]));
}

#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let steps = pool().on_arrival(Ticket(1), work(Some(GONE)), NOW);
    let Some(Step::Refuse { reason, .. }) = steps.first() else {
        panic!("{steps:?}");
    };
    assert_eq!(*reason, Refusal::NoVersion);
}

/// Other processes take part of the free slots; a stream that goes on takes any at its version.
#[test]
fn a_stream_goes_on_where_processes_divide_the_free_slots() {
    let mut pool = pool();
    pool.set_peers(9, 90, NOW, |_| DispatchedLoad::of_running(1));
    let steps = pool.on_arrival(Ticket(1), work(Some(OLD)), NOW);
    assert_eq!(started(&steps).len(), 1);
}

#[test]
fn a_stream_that_was_tried_at_all_endpoints_of_its_version_is_refused_at_once() {
    let tried = Work {
        tried: ["a", "b"].map(Into::into).into_iter().collect(),
        ..work(Some(OLD))
    };
    let steps = pool().on_arrival(Ticket(1), tried, NOW);
    let Some(Step::Refuse { reason, .. }) = steps.first() else {
        panic!("{steps:?}");
    };
    assert_eq!(*reason, Refusal::NoVersion);
}
