//! Replays a load of unlike prompts on engines that read them one after the other.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use std::collections::HashMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::backlog::Ticket;
use sesamehaven::digest::hash_of;
use sesamehaven::dispatcher::{Dispatcher, Step, Work};
use sesamehaven::placement::{DispatchOutcome, DispatchedLoad};
use sesamehaven::unit::{Instant, Millis};

use common::listed;

const ENGINES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const PROCESSES: usize = 3;
const SLOTS: u32 = 12;
const REQUESTS: u64 = 3_000;
const ARRIVAL_INTERVAL_MS: u64 = 12;
/// The interval at which processes tell each other their counts.
const DIGEST_INTERVAL_MS: u64 = 50;
const OBJECTIVE: Millis = Millis(400);
/// How long an answer takes after its first event.
const DECODE_MS: u64 = 400;
/// One request in so many has a long prompt.
const LONG_EVERY: u64 = 10;

/// Returns the share of the requests whose first event is within the objective.
fn share_on_time(seed: u64, knows_prefill: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut processes: Vec<Dispatcher> = (0..PROCESSES)
        .map(|n| Dispatcher::new(hash_of(n.to_string())))
        .collect();
    for process in &mut processes {
        process.set_endpoints(ENGINES.iter().map(|id| listed(id, SLOTS)));
    }
    let mut read_until: HashMap<&str, u64> = HashMap::new();
    // The first and the last event of each running request.
    let mut running: Vec<(u64, u64, usize, Ticket)> = Vec::new();
    let mut on_time = 0;
    for now in 0..REQUESTS * ARRIVAL_INTERVAL_MS {
        let at = Instant(now);
        for (_, _, process, ticket) in running.iter().filter(|r| r.0 == now) {
            processes[*process].on_first_event(*ticket, at);
        }
        for (_, _, process, ticket) in running.extract_if(.., |r| r.1 == now) {
            processes[process].on_end(ticket, DispatchOutcome::Success, at);
        }
        if now % DIGEST_INTERVAL_MS == 0 {
            exchange(&mut processes, at);
        }
        if now % ARRIVAL_INTERVAL_MS != 0 {
            continue;
        }
        let n = now / ARRIVAL_INTERVAL_MS;
        let prefill_ms = match n % LONG_EVERY {
            0 => rng.random_range(300..500),
            _ => rng.random_range(2..20),
        };
        let process = rng.random_range(0..PROCESSES);
        let work = Work {
            first_event_ms: prefill_ms as f64,
            prefill_ms: if knows_prefill {
                prefill_ms as f64
            } else {
                0.0
            },
            ..Work::new("query", Tier::MOST_URGENT, OBJECTIVE, at)
        };
        let steps = processes[process].on_arrival(Ticket(n), work, at);
        let [Step::Start { endpoint, .. }] = &steps[..] else {
            continue;
        };
        let engine = ENGINES.iter().find(|id| *endpoint == **id).unwrap();
        let free_at = read_until.entry(engine).or_default();
        let first_event = now.max(*free_at) + prefill_ms;
        *free_at = first_event;
        running.push((first_event, first_event + DECODE_MS, process, Ticket(n)));
        on_time += u64::from(first_event - now <= OBJECTIVE.0);
    }
    on_time as f64 / REQUESTS as f64
}

/// Tells each process what the others run and read at each engine.
fn exchange(processes: &mut [Dispatcher], now: Instant) {
    let loads: Vec<HashMap<u64, DispatchedLoad>> =
        processes.iter().map(|p| p.dispatched().collect()).collect();
    for (own, process) in processes.iter_mut().enumerate() {
        process.set_peers(PROCESSES - 1, 0, now, |engine| {
            let others = loads.iter().enumerate().filter(|(at, _)| *at != own);
            let others = others.filter_map(|(_, load)| load.get(&engine));
            others.fold(DispatchedLoad::default(), |sum, load| DispatchedLoad {
                running: sum.running + load.running,
                prefill_ms: sum.prefill_ms + load.prefill_ms,
            })
        });
    }
}

/// Three processes whose engines have free slots, but read long prompts a third of the time.
#[rstest]
fn short_requests_avoid_engines_that_read_long_prompts(#[values(1, 2, 3)] seed: u64) {
    let (known, unknown) = (share_on_time(seed, true), share_on_time(seed, false));
    assert!(known > 0.9, "{known}");
    assert!(known > unknown + 0.05, "{known} against {unknown}");
}
