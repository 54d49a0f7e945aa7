//! The retry budget of processes that are killed and start again.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use sesamehaven::shared_retry_budget::SharedRetryBudget;
use sesamehaven::unit::{Instant, Millis};

const RATIO: f64 = 0.2;
const SLACK: f64 = 82.0;
const WINDOW: Millis = Millis(10_000);
const PROCESSES: usize = 8;
/// The processes that one which has just started knows at first, itself included, and for how long.
const FIRST_KNOWN: usize = 4;
const FIRST_KNOWN_FOR: Millis = Millis(700);
const START_TIME: Millis = Millis(500);
const LENGTH: u64 = 60_000;

struct Process {
    budget: SharedRetryBudget,
    started: Instant,
}

impl Process {
    fn start(now: Instant) -> Self {
        Process {
            budget: SharedRetryBudget::new(RATIO, SLACK, WINDOW, now),
            started: now,
        }
    }

    fn known(&self, now: Instant) -> usize {
        match now.since(self.started) < FIRST_KNOWN_FOR {
            true => FIRST_KNOWN,
            false => PROCESSES,
        }
    }
}

/// Returns how many of the sorted times are within a window from `start`.
fn within(times: &[u64], start: u64) -> f64 {
    let end = start + WINDOW.0;
    (times.partition_point(|t| *t < end) - times.partition_point(|t| *t < start)) as f64
}

/// Guards against a fleet that spends its retry budget once before it is killed and once after.
#[rstest]
#[case::no_kill(0, 1.0)]
#[case::one_kill_of_all(1, 1.0)]
#[case::kills_of_all(4, 1.0)]
#[case::kills_of_half(6, 0.5)]
fn restarts_do_not_renew_the_budget(#[case] kills: usize, #[case] share: f64) {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_kill = rng.random_range(20_000..24_000);
        let demand_from = first_kill - rng.random_range(200..4_000);
        let demand_to = demand_from + rng.random_range(3_000..20_000);
        let kills: Vec<u64> = (0..kills as u64)
            .map(|n| first_kill + n * rng.random_range(2_000..4_000))
            .collect();
        let mut processes: Vec<Process> =
            (0..PROCESSES).map(|_| Process::start(Instant(0))).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for now in 1..LENGTH {
            if kills.contains(&now) {
                let start = Instant(now).after(START_TIME);
                let killed = processes.iter_mut().filter(|_| rng.random_bool(share));
                killed.for_each(|process| *process = Process::start(start));
            }
            // 300 requests a second, with a wave.
            let wave = 1.0 + 0.55 * (now as f64 / 2_700.0).sin();
            if !rng.random_bool(0.3 * wave) {
                continue;
            }
            requests.push(now);
            let process = &mut processes[rng.random_range(0..PROCESSES)];
            let now = Instant(now);
            if now < process.started {
                continue;
            }
            let known = process.known(now);
            process.budget.on_request(known, now);
            let wanted = match (demand_from..demand_to).contains(&now.0) {
                true => 2,
                false => u32::from(rng.random_bool(0.04)),
            };
            let made = (0..wanted).filter(|_| process.budget.try_consume(known, now));
            retries.extend(made.map(|_| now.0));
        }
        for start in (0..LENGTH).step_by(50) {
            let before = [0, WINDOW.0 / 2, WINDOW.0].map(|t| start.saturating_sub(t));
            let most = before.map(|start| within(&requests, start));
            let most = most.into_iter().fold(0.0, f64::max);
            let (made, allowed) = (within(&retries, start), RATIO * most + SLACK);
            assert!(
                made <= allowed,
                "seed {seed}: {made} of {allowed:.0} from {start}, kills at {kills:?}"
            );
        }
    }
}

/// Guards against a share of which so little may be saved that no retry is ever left.
#[test]
fn a_process_with_few_requests_in_a_large_fleet_may_retry_one() {
    let mut budget = SharedRetryBudget::new(RATIO, SLACK, WINDOW, Instant(0));
    for now in (0..60_000).step_by(2_000) {
        budget.on_request(100, Instant(now));
    }
    assert!(budget.try_consume(100, Instant(60_000)));
}
