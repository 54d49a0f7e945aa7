//! The rates of wrong verdicts on rollouts, by simulation of a pool with 29 fronts.
//!
//! Each test guards against one of two failures: a good candidate that is rolled back, and a bad one that
//! is not, or only after many bad responses. `ROLLOUT_RUNS` sets the number of simulated runs of each kind;
//! the rates themselves show with `ROLLOUT_RUNS=4000` in a release build.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use sesamehaven::rollout_evidence::{Evidence, Outcome, Side, SpeedReference};
use sesamehaven::rollout_judge::{Assessment, Judge};
use sesamehaven::unit::Instant;

const FRONTS: usize = 29;
const REQUESTS_PER_S: u64 = 1_000;
/// The time between two assessments, in milliseconds.
const TICK: u64 = 100;
/// The time after which the candidate would be promoted if it is sound, in milliseconds.
const CANARY: u64 = 40_000;
const CANDIDATE_SHARE: f64 = 0.08;
const CLASS_PARTS: [f64; 3] = [0.6, 0.3, 0.1];
const FAILURES: [f64; 3] = [0.0, 0.004, 0.14];
const SLOW_SHARE: f64 = 0.02;
/// The weights of the candidate's endpoints, which are filled one after the other.
const ENDPOINTS: [f64; 8] = [1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.6, 0.3];
/// The endpoints that run more than four of six slots.
const BUSY_ENDPOINTS: usize = 6;
/// The fronts whose totals arrive up to a second late, and those whose totals are missing for a while.
const LATE: std::ops::Range<usize> = 0..4;
const ABSENT: std::ops::Range<usize> = 4..6;
/// The number of separate totals; those of the other fronts arrive in time and are kept as one.
const TOTALS: usize = ABSENT.end + 1;

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The candidate, wherever it runs.
    Everywhere,
    /// The candidate, on requests of one class.
    Class(u32),
    /// The candidate, from three seconds on.
    Later,
    /// The candidate, on endpoints that run more than four of six slots.
    UnderLoad,
    /// Some machines of the candidate.
    Machines(usize),
    /// Both sides, for four seconds.
    Pool,
    /// 15% of the endpoints of both sides.
    SomeOfBoth,
}

struct Run {
    /// When the candidate counted as bad.
    found_at: Option<u64>,
    /// The number of the candidate's bad responses until then.
    bad: u32,
    /// The number of bad responses that were due to the fault.
    caused: u32,
    /// Whether the candidate was sound in the end.
    is_sound: bool,
    finding: String,
}

fn runs() -> u64 {
    let runs = std::env::var("ROLLOUT_RUNS").ok();
    runs.and_then(|r| r.parse().ok()).unwrap_or(100)
}

fn pick(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut at = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        at -= weight;
        if at < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// Simulates one rollout with a fault that makes a share of the responses bad.
fn simulate(fault: Fault, outcome: Outcome, share: f64, seed: u64) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slow_share = rng.random::<f64>() * SLOW_SHARE;
    let pool_fault_at = rng.random_range(0..20_000);
    let broken = [(); ENDPOINTS.len()].map(|()| rng.random_bool(0.15));
    let machines = rng.random_range(0..ENDPOINTS.len());
    let mut own = vec![Evidence::default(); TOTALS];
    let mut heard = own.clone();
    let (mut judge, mut bad, mut caused, mut is_sound) = (Judge::default(), 0, 0, false);
    for now in (0..CANARY).step_by(TICK as usize) {
        for _ in 0..REQUESTS_PER_S * TICK / 1_000 {
            let front = rng.random_range(0..FRONTS);
            let class = pick(&mut rng, &CLASS_PARTS);
            let is_candidate = rng.random_bool(CANDIDATE_SHARE);
            let endpoint = match is_candidate {
                true => pick(&mut rng, &ENDPOINTS),
                false => 0,
            };
            let is_hit = match fault {
                Fault::None => false,
                Fault::Everywhere => is_candidate,
                Fault::Class(c) => is_candidate && class == c as usize,
                Fault::Later => is_candidate && now >= 3_000,
                Fault::UnderLoad => is_candidate && endpoint < BUSY_ENDPOINTS,
                Fault::Machines(n) => {
                    is_candidate && (endpoint + ENDPOINTS.len() - machines) % ENDPOINTS.len() < n
                }
                Fault::Pool => (pool_fault_at..pool_fault_at + 4_000).contains(&now),
                Fault::SomeOfBoth if is_candidate => broken[endpoint],
                Fault::SomeOfBoth => rng.random_bool(0.15),
            };
            let is_caused = is_hit && rng.random_bool(share);
            let outcome = match () {
                () if is_caused => outcome,
                () if rng.random_bool(FAILURES[class]) => Outcome::Failed,
                () if rng.random_bool(slow_share) => Outcome::Slow,
                () => Outcome::Good,
            };
            let side = match is_candidate {
                true => Side::Candidate,
                false => Side::Baseline,
            };
            bad += u32::from(is_candidate && outcome != Outcome::Good);
            caused += u32::from(is_candidate && is_caused);
            let (class, endpoint) = (class as u32, endpoint as u32 + 1);
            own[front.min(TOTALS - 1)].record(side, class, endpoint, outcome);
        }
        for front in 0..TOTALS {
            let offset = front as u64 * 300;
            let is_absent = ABSENT.contains(&front) && (now + offset) % 15_000 > 10_000;
            if is_absent {
                heard[front] = Evidence::default();
            } else if !LATE.contains(&front) || (now + offset).is_multiple_of(1_000) {
                heard[front] = own[front].clone();
            }
        }
        let mut totals = Evidence::default();
        heard.iter().for_each(|front| totals.add(front));
        let assessment = judge.assess(&totals, Instant(1_000_000 + now));
        is_sound = assessment == Assessment::Sound;
        if let Assessment::Bad(finding) = assessment {
            return Run {
                found_at: Some(now),
                bad,
                caused,
                is_sound,
                finding: finding.to_string(),
            };
        }
    }
    Run {
        found_at: None,
        bad,
        caused,
        is_sound,
        finding: String::new(),
    }
}

/// Prints and returns how many runs found the candidate bad, and how many were not sound in the end.
fn condemned(fault: Fault, outcome: Outcome, share: f64) -> (u64, u64) {
    let (mut condemned, mut unsound) = (0, 0);
    for seed in 0..runs() {
        let run = simulate(fault, outcome, share, seed);
        condemned += u64::from(run.found_at.is_some());
        unsound += u64::from(!run.is_sound);
        if let Some(at) = run.found_at {
            println!("seed {seed} at {at} ms: {}", run.finding);
        }
    }
    println!(
        "{fault:?} {outcome:?} {share}: {condemned} condemned, {unsound} not sound, of {}",
        runs()
    );
    (condemned, unsound)
}

#[rstest]
#[case::without_a_fault(Fault::None, Outcome::Failed, 0.0)]
#[case::one_slow_machine(Fault::Machines(1), Outcome::Slow, 0.7)]
#[case::one_broken_machine(Fault::Machines(1), Outcome::Failed, 1.0)]
#[case::two_slow_machines(Fault::Machines(2), Outcome::Slow, 0.5)]
#[case::two_broken_machines(Fault::Machines(2), Outcome::Failed, 1.0)]
#[case::failures_of_the_pool(Fault::Pool, Outcome::Failed, 0.45)]
#[case::broken_endpoints_on_both_sides(Fault::SomeOfBoth, Outcome::Failed, 1.0)]
#[case::slow_endpoints_on_both_sides(Fault::SomeOfBoth, Outcome::Slow, 0.7)]
fn a_good_candidate_is_not_condemned(
    #[case] fault: Fault,
    #[case] outcome: Outcome,
    #[case] share: f64,
) {
    let (condemned, unsound) = condemned(fault, outcome, share);
    assert!(
        condemned * 1_000 < runs().max(1_000),
        "{condemned} of {}",
        runs()
    );
    assert!(unsound * 20 <= runs(), "{unsound} of {} not sound", runs());
}

#[rstest]
fn a_bad_candidate_is_found(
    #[values(
        Fault::Everywhere,
        Fault::Class(0),
        Fault::Class(1),
        Fault::Class(2),
        Fault::Later,
        Fault::UnderLoad
    )]
    fault: Fault,
    #[values(Outcome::Failed, Outcome::Slow)] outcome: Outcome,
    #[values(0.3, 0.44, 1.0)] share: f64,
) {
    let mut missed = 0;
    let mut bad: Vec<u32> = Vec::new();
    let mut caused: Vec<u32> = Vec::new();
    let mut found_at: Vec<u64> = Vec::new();
    for seed in 0..runs() {
        let run = simulate(fault, outcome, share, 10_000 + seed);
        missed += u64::from(run.found_at.is_none());
        bad.push(run.bad);
        caused.push(run.caused);
        found_at.push(run.found_at.unwrap_or(CANARY));
    }
    bad.sort();
    caused.sort();
    found_at.sort();
    let at = |n: usize| n * 99 / 100;
    println!(
        "{fault:?} {outcome:?} {share}: missed {missed} of {}, median at {} ms with {} bad ({} caused), 99% at {} ms with {} ({})",
        runs(),
        found_at[found_at.len() / 2],
        bad[bad.len() / 2],
        caused[caused.len() / 2],
        found_at[at(found_at.len())],
        bad[at(bad.len())],
        caused[at(caused.len())],
    );
    assert!(missed * 100 < runs().max(100), "missed {missed}");
    let early = bad.iter().filter(|b| **b < 50).count() as u64;
    assert!(early * 2 > runs(), "only {early} of {}", runs());
}

#[test]
fn a_pool_that_slows_down_as_a_whole_is_not_slow_for_long() {
    let mut reference = SpeedReference::default();
    (0..20).for_each(|_| assert!(!reference.observe(Side::Baseline, 0, 1.0)));
    let slow = (0..100).filter(|_| reference.observe(Side::Baseline, 0, 10.0));
    assert!(slow.count() < 20);
    assert!(!reference.observe(Side::Candidate, 0, 12.0));
}

/// Guards against totals that do not fit into a digest, and against requests that are not counted at all.
#[test]
fn what_exceeds_a_digest_is_counted_under_entry_0() {
    let mut own = Evidence::default();
    for n in 1..=100 {
        own.record(Side::Candidate, n, n, Outcome::Failed);
        own.record(Side::Baseline, n, 0, Outcome::Good);
    }
    assert_eq!(own.classes.len(), 32);
    assert_eq!(own.endpoints.len(), 16);
    assert_eq!(own.candidate().failed, 100);
    assert_eq!(own.classes[0].class, 0);
    assert_eq!(own.classes[0].candidate.requests, 69);
    assert_eq!(own.classes[0].baseline.requests, 69);
    assert_eq!(own.endpoints[0].outcomes.requests, 85);
}
