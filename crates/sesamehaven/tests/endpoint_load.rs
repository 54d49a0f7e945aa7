//! Placement by the load that endpoints report about themselves.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use std::fmt::Write as _;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use sesamehaven::Tier;
use sesamehaven::backlog::Ticket;
use sesamehaven::digest::hash_of;
use sesamehaven::dispatcher::{Dispatcher, Step, Steps, Work};
use sesamehaven::endpoint_load::EndpointLoad;
use sesamehaven::placement::{Demand, DispatchOutcome, DispatchedLoad, Placement};
use sesamehaven::unit::{Instant, Millis};

use common::listed;

/// The digests of the histories, as placed before any report was read.
const EXPECTED: [u64; 4] = [
    2_010_706_260_045_168_806,
    14_989_379_518_039_799_090,
    9_533_984_383_712_697_365,
    2_395_289_490_776_583_511,
];
const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Plays a random history without load reports and returns a digest of all steps.
fn digest_of_history(seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = Dispatcher::new(seed);
    pool.set_endpoints(IDS.iter().map(|id| listed(id, 6)));
    let mut running: Vec<(Ticket, SmolStr)> = Vec::new();
    let mut history = String::new();
    for n in 1..3_000_u64 {
        let now = Instant(n * 10);
        let steps: Steps = match rng.random_range(0..10) {
            0..=4 => {
                let tier = Tier::new(rng.random_range(0..3)).unwrap();
                let mut work = Work::new("brief", tier, Millis(800), now);
                work.slot_ms = rng.random_range(100.0..900.0);
                work.session = rng.random_bool(0.2).then(|| rng.random_range(0..8));
                pool.on_arrival(Ticket(n), work, now)
            }
            5 => {
                let counts: [u32; IDS.len()] = std::array::from_fn(|_| rng.random_range(0..6));
                let at = |hash| IDS.iter().position(|id| hash_of(id) == hash).unwrap();
                pool.set_peers(5, rng.random_range(0..9), now, |hash| {
                    DispatchedLoad::of_running(counts[at(hash)])
                });
                pool.on_tick(now)
            }
            6 if !running.is_empty() => {
                let (ticket, _) = running[rng.random_range(0..running.len())];
                pool.on_first_event(ticket, now);
                Steps::new()
            }
            _ if running.is_empty() => pool.on_tick(now),
            draw => {
                let (ticket, _) = running.swap_remove(rng.random_range(0..running.len()));
                let outcome = match draw {
                    7 if n % 5 == 0 => DispatchOutcome::Failure,
                    8 if n % 7 == 0 => DispatchOutcome::Neutral,
                    _ => DispatchOutcome::Success,
                };
                pool.on_end(ticket, outcome, now)
            }
        };
        for step in steps {
            write!(history, "{step:?}").unwrap();
            if let Step::Start { ticket, endpoint } = step {
                running.push((ticket, endpoint));
            }
        }
    }
    hash_of(history)
}

/// Guards against reports changing the placement of pools whose endpoints report nothing.
#[test]
fn pools_without_reports_are_placed_as_before() {
    let digests: Vec<u64> = (0..4).map(digest_of_history).collect();
    assert_eq!(digests, EXPECTED);
}

/// Six slots, as at all endpoints here.
const SLOTS: u32 = 6;
/// What an endpoint holds at most: its slots and one request queued ahead.
const CAPACITY: u32 = SLOTS + 1;

fn report(running: u32, waiting: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting,
        slots: SLOTS,
        work_percent: Some(100),
    }
}

fn demand(tie_breaker: u64) -> Demand {
    Demand {
        session: None,
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

fn placement(seed: u64, ids: &[&str]) -> Placement {
    let mut placement = Placement::new(seed);
    placement.set_endpoints(ids.iter().map(|id| listed(id, SLOTS)));
    placement
}

/// Starts requests until no endpoint has room, and returns how many each of them got.
fn fill(p: &mut Placement, ids: &[&str], now: Instant) -> Vec<u32> {
    let mut counts = vec![0; ids.len()];
    let mut tie_breaker = 0;
    while let Some(id) = p.choose(&demand(tie_breaker), &[], now) {
        p.on_start(&id, &demand(tie_breaker), now);
        counts[ids.iter().position(|i| *i == id).unwrap()] += 1;
        tie_breaker += 1;
    }
    counts
}

/// Endpoints that do not say how long work takes were served by counts alone before, and still are.
#[test]
fn a_report_without_the_time_of_work_changes_nothing() {
    let ids = ["a", "b"];
    let mut p = placement(1, &ids);
    let without = EndpointLoad {
        work_percent: None,
        ..report(SLOTS, 0)
    };
    p.on_load("a", without, Instant(0));
    assert_eq!(p.free(Instant(0)), 2 * CAPACITY);
}

/// Guards against ignoring the requests of processes that are not heard.
#[test]
fn an_endpoint_that_reports_requests_of_others_gets_fewer() {
    let ids = ["a", "b"];
    let mut p = placement(1, &ids);
    p.on_load("a", report(SLOTS, 0), Instant(0));
    assert_eq!(p.free(Instant(0)), 1 + CAPACITY);
    assert_eq!(fill(&mut p, &ids, Instant(0)), [1, CAPACITY]);
}

/// Guards against counting requests of this process twice, and against taking a request for reported
/// that was sent when the response was already on its way.
#[test]
fn own_requests_count_once() {
    let mut p = placement(1, &["a"]);
    for _ in 0..2 {
        p.on_start("a", &demand(0), Instant(0));
    }
    p.on_load("a", report(2, 0), Instant(100));
    assert_eq!(p.free(Instant(100)), CAPACITY - 2);
    // The endpoint had three requests of others when it made the response.
    p.on_start("a", &demand(1), Instant(199));
    p.on_load("a", report(5, 0), Instant(200));
    assert_eq!(p.free(Instant(200)), CAPACITY - 6);
    p.on_start("a", &demand(2), Instant(200));
    assert_eq!(p.free(Instant(200)), 0, "a request sent after the report");
    p.on_end("a", false, DispatchOutcome::Success, None, Instant(201));
    assert_eq!(p.free(Instant(201)), 1);
}

/// Guards against an endpoint that stopped to report being judged by an old figure.
#[test]
fn a_report_counts_less_with_its_age() {
    const PEERS: u32 = 1;
    let mut p = placement(1, &["a"]);
    let now = Instant(10_000);
    p.set_peers(Some(0.5), Millis(300), now, |_| {
        DispatchedLoad::of_running(PEERS)
    });
    p.on_load("a", report(5, 0), now);
    let free = |ms| p.free(now.after(Millis(ms)));
    assert_eq!(free(0), CAPACITY - 5);
    assert_eq!(free(150), CAPACITY - 3);
    assert_eq!(free(300), CAPACITY - PEERS);
}

/// Guards against a wrong figure closing an endpoint for good, or overflowing a count.
#[test]
fn an_absurd_report_counts_only_while_it_is_fresh() {
    let mut p = placement(1, &["a"]);
    p.on_load("a", report(u32::MAX, u32::MAX), Instant(0));
    assert_eq!(p.free(Instant(0)), 0);
    p.on_start("a", &demand(0), Instant(0));
    assert_eq!(p.free(Instant(10)), 0);
    assert_eq!(p.free(Instant(5_000)), CAPACITY - 1);
}

/// Guards against all processes choosing the endpoint that reports the least load.
#[test]
fn processes_that_read_the_same_report_choose_different_endpoints() {
    const PROCESSES: u64 = 12;
    let ids = ["a", "b", "c", "d"];
    let mut sums = [0_u32; 4];
    for process in 0..PROCESSES {
        let mut p = placement(hash_of(process.to_string()), &ids);
        p.set_peers(
            Some(1.0 / PROCESSES as f64),
            Millis(300),
            Instant(0),
            |_| DispatchedLoad::of_running(2),
        );
        p.set_others(PROCESSES as usize - 1, true);
        for id in ids {
            let load = if id == "a" {
                report(0, 0)
            } else {
                report(2, 0)
            };
            p.on_load(id, load, Instant(0));
        }
        let id = p.choose(&demand(process), &[], Instant(0)).unwrap();
        sums[ids.iter().position(|i| *i == id).unwrap()] += 1;
    }
    assert!(sums.iter().all(|n| *n <= CAPACITY), "{sums:?}");
    assert!(sums.iter().filter(|n| **n > 0).count() > 1, "{sums:?}");
}

/// Guards against reports of free slots, which all processes read, being claimed by all of them: while
/// most slots are taken, each process takes only those that it has drawn.
#[test]
fn processes_divide_the_free_slots_that_are_reported() {
    const PROCESSES: u64 = 20;
    let ids = ["a", "b", "c", "d"];
    let mut started = 0;
    for process in 0..PROCESSES {
        let mut p = placement(hash_of(process.to_string()), &ids);
        let share = Some(1.0 / PROCESSES as f64);
        p.set_peers(share, Millis(300), Instant(0), |_| {
            DispatchedLoad::of_running(CAPACITY)
        });
        // Each process hears that two slots are free at each endpoint, before its next counts.
        ids.iter()
            .for_each(|id| p.on_load(id, report(CAPACITY - 2, 0), Instant(0)));
        p.set_peers(share, Millis(300), Instant(0), |_| {
            DispatchedLoad::of_running(CAPACITY)
        });
        started += fill(&mut p, &ids, Instant(0)).iter().sum::<u32>();
    }
    // Two claims for each free slot on average.
    let free = 2 * ids.len() as u32;
    assert!(started > 0, "no free slot is used");
    assert!(
        started <= 3 * free,
        "{started} requests for {free} free slots"
    );
}
