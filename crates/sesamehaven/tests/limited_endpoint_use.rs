//! Use of an endpoint that states a limit, over simulated processes that place requests among several endpoints.

mod common;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use sesamehaven::change_log::ChangeCursor;
use sesamehaven::digest::hash_of;
use sesamehaven::endpoint_limits::{EndpointLimits, LimitNotice, own_share};
use sesamehaven::placement::{Demand, DispatchOutcome, DispatchedLoad, Placement};
use sesamehaven::request_rate::RequestRate;
use sesamehaven::unit::{Instant, Millis};

use common::listed;

const IDS: [&str; 4] = ["limited", "b", "c", "d"];
const SLOTS: u32 = 6;
const TICK: Millis = Millis(10);
const LIMITED_AT: Instant = Instant(3_000);
const ENDED_AT: Instant = Instant(19_000);
const LENGTH: Instant = Instant(29_000);
/// The window in which a limit holds, and what may exceed it.
const WINDOW: Millis = Millis(4_000);
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How soon after a limit was stated first it counts.
const STABLE: Millis = Millis(3_000);
/// How soon after its end all processes know of it.
const NOTICED: Millis = Millis(2_000);

#[derive(Debug, Clone, Copy)]
struct Load {
    processes: usize,
    requests_per_second: f64,
    limit: RequestRate,
    /// How long each request takes.
    duration: Millis,
}

struct Process {
    placement: Placement,
    limits: EndpointLimits,
    cursor: ChangeCursor,
}

struct Outcome {
    /// When requests reached the limited endpoint.
    arrivals: Vec<Instant>,
    /// When no process assumed the limit any more.
    end_known_at: Option<Instant>,
}

fn process(p: usize) -> Process {
    let mut placement = Placement::new(hash_of(format!("process {p}")));
    placement.set_endpoints(IDS.iter().map(|id| listed(id, SLOTS)));
    Process {
        placement,
        limits: EndpointLimits::default(),
        cursor: ChangeCursor::default(),
    }
}

/// Plays a load; without `limit` the endpoint states none.
fn run(load: Load, limit: Option<RequestRate>, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limited = hash_of(IDS[0]);
    let mut processes: Vec<Process> = (0..load.processes)
        .map(|p| process(p + (seed as usize) * load.processes))
        .collect();
    let mut running: Vec<(Instant, usize, smol_str::SmolStr)> = Vec::new();
    let mut messages: Vec<(Instant, Vec<LimitNotice>)> = Vec::new();
    let mut outcome = Outcome {
        arrivals: Vec::new(),
        end_known_at: None,
    };
    for now in (0..LENGTH.0).step_by(TICK.0 as usize).map(Instant) {
        for (_, p, id) in running.extract_if(.., |(end, ..)| *end <= now) {
            let process = &mut processes[p];
            process
                .placement
                .on_end(&id, false, DispatchOutcome::Success, None, now);
            if id == IDS[0] {
                let is_limited = now >= LIMITED_AT && now < ENDED_AT;
                let limit = limit.filter(|_| is_limited);
                process.limits.on_response(limited, limit, now);
            }
        }
        for (_, notices) in messages.extract_if(.., |(at, _)| *at <= now) {
            for process in &mut processes {
                process.limits.merge(&notices, now);
            }
        }
        if now.0.is_multiple_of(100) {
            for process in &mut processes {
                let notices = process.limits.fresh(&mut process.cursor, 32, now);
                messages.push((now.after(Millis(20)), notices));
            }
        }
        if now.0.is_multiple_of(50) {
            for (n, process) in processes.iter_mut().enumerate() {
                let others = |p: &(Instant, usize, smol_str::SmolStr), hash| {
                    p.1 != n && hash_of(&p.2) == hash
                };
                let elsewhere = |hash| {
                    let count = running.iter().filter(|r| others(r, hash)).count();
                    DispatchedLoad::of_running(count as u32)
                };
                process
                    .placement
                    .set_peers(Some(1.0), Millis(300), now, elsewhere);
            }
        }
        for (n, process) in processes.iter_mut().enumerate() {
            let others = (0..load.processes as u64).filter(|o| *o != n as u64);
            let share = |hash| {
                let limit = process.limits.limit(hash, now)?;
                Some(own_share(limit, hash, n as u64, others.clone()))
            };
            process.placement.set_limits(share, now);
        }
        if rng.random::<f64>() < load.requests_per_second * TICK.0 as f64 / 1_000.0 {
            let p = rng.random_range(0..load.processes);
            let demand = Demand {
                session: None,
                is_long: false,
                first_event_ms: 50.0,
                prefill_ms: 0.0,
                slot_ms: 100.0,
                gap_objective: None,
                deadline_left: Millis(5_000),
                objective: Millis(800),
                time_left: Some(Millis(2_000)),
                tie_breaker: rng.random(),
                version: None,
            };
            let placement = &mut processes[p].placement;
            if let Some(id) = placement.choose(&demand, &[], now) {
                placement.on_start(&id, &demand, now);
                if id == IDS[0] {
                    outcome.arrivals.push(now);
                }
                running.push((now.after(load.duration), p, id));
            }
        }
        let is_known = |p: &Process| p.limits.limit(limited, now).is_none();
        if now > ENDED_AT && outcome.end_known_at.is_none() && processes.iter().all(is_known) {
            outcome.end_known_at = Some(now);
        }
    }
    outcome
}

/// Guards against an endpoint whose stated limit keeps it from any request, because the few processes that hold a part
/// of the limit prefer other endpoints, so that its capacity is lost and the end of the limit unnoticed.
#[rstest]
#[case::six_at_one(Load { processes: 6, requests_per_second: 83.0, limit: RequestRate::per_1000_s(1_100), duration: Millis(60) })]
#[case::six_busy_at_one(Load { processes: 6, requests_per_second: 83.0, limit: RequestRate::per_1000_s(1_100), duration: Millis(240) })]
#[case::four_at_four(Load { processes: 4, requests_per_second: 40.0, limit: RequestRate::per_1000_s(4_100), duration: Millis(200) })]
fn a_limited_endpoint_is_used_and_the_end_of_its_limit_is_noticed(#[case] load: Load) {
    for seed in 0..10 {
        let Outcome {
            arrivals,
            end_known_at,
        } = run(load, Some(load.limit), seed);
        let within = |from: Instant, span: Millis| {
            let to = from.after(span);
            arrivals
                .iter()
                .filter(|at| **at >= from && **at < to)
                .count()
        };
        let stable = LIMITED_AT.after(STABLE);
        for at in (stable.0..ENDED_AT.0 - WINDOW.0).step_by(20).map(Instant) {
            let allowed = TOLERANCE * load.limit.per_second() * WINDOW.0 as f64 / 1_000.0 + SLACK;
            let count = within(at, WINDOW);
            assert!(count as f64 <= allowed, "seed {seed}: {count} from {at:?}");
        }
        let span = ENDED_AT.since(stable);
        let used = within(stable, span) as f64;
        let allowed = load.limit.per_second() * span.0 as f64 / 1_000.0;
        assert!(used >= 0.6 * allowed, "seed {seed}: {used} of {allowed}");
        let noticed_after = end_known_at.map(|at| at.since(ENDED_AT));
        assert!(
            noticed_after.is_some_and(|span| span <= NOTICED),
            "seed {seed}: {noticed_after:?}"
        );
        // Where endpoints are mostly free, each process uses those that it prefers, limited or not.
        let unlimited = run(load, None, seed).arrivals;
        let from = ENDED_AT.after(NOTICED);
        let usual = unlimited.iter().filter(|at| **at >= from).count() as f64;
        let after = within(from, LENGTH.since(from)) as f64;
        assert!(after >= 0.8 * usual, "seed {seed}: {after} of {usual}");
    }
}
