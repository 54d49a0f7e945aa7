//! Compares routing policies and prefix indexes in a simulation.
//!
//! `cargo run --example weigh -- route` or `-- prefix`, with a seed as an
//! optional second argument. The output is deterministic for a given seed.

mod engine;
mod prefix_index;
mod simulation;

use sesamehaven::prefix::{CombinedPrefixIndex, LocalPrefixIndex, PrefixIndex};

use crate::engine::EngineSpec;
use crate::prefix_index::{BloomIndex, EmptyIndex, HashIndex, PairBloomIndex};
use crate::simulation::{Outcome, Policy, Scenario, Simulation, TierStats};

/// The request rate at which the prefill capacity of the engines is fully used.
const CAPACITY_PER_S: f64 = 25.0;

fn main() {
    let mut args = std::env::args().skip(1);
    let mode = args.next().unwrap_or_default();
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(7);
    match mode.as_str() {
        "route" => compare_policies(seed),
        "prefix" => compare_indexes(seed),
        _ => println!("usage: weigh route|prefix [SEED]"),
    }
}

/// Returns the scenario that the others are derived from.
fn base_scenario(seed: u64) -> Scenario {
    let fast = EngineSpec {
        prefill: 4_000.0,
        decode: 60.0,
        slowdown: 0.03,
        batch: 48,
        cached_blocks: 400,
    };
    let slow = EngineSpec {
        prefill: 2_000.0,
        decode: 35.0,
        ..fast
    };
    Scenario {
        seed,
        policy: Policy::Sesamehaven,
        entries: 3,
        engines: vec![fast, slow, slow, fast],
        duration_ms: 40_000,
        requests_per_s: CAPACITY_PER_S,
        burst: false,
        flood: false,
        slow_engine: false,
        long_share: 0.0,
        groups: 100,
        report_lag_ms: 50,
        event_lag_ms: 500,
        event_loss: 0.05,
        summary_bytes: 512,
        from_dispatches: true,
        prefix_weight: 1.0,
        reserve_percent: 10,
        preempt: false,
    }
}

/// Prints the results of each routing policy in several scenarios.
fn compare_policies(seed: u64) {
    let base = base_scenario(seed);
    let load = |factor: f64| Scenario {
        requests_per_s: CAPACITY_PER_S * factor,
        ..base.clone()
    };
    let scenarios = [
        ("steady 0.6", load(0.6)),
        ("steady 1.0", load(1.0)),
        ("steady 1.5", load(1.5)),
        ("steady 3.0", load(3.0)),
        (
            "burst 0.6",
            Scenario {
                burst: true,
                ..load(0.6)
            },
        ),
        (
            "slow engine 0.6",
            Scenario {
                slow_engine: true,
                ..load(0.6)
            },
        ),
        (
            "stale 2 s 0.6",
            Scenario {
                report_lag_ms: 2_000,
                ..load(0.6)
            },
        ),
        (
            "stale 2 s 1.5",
            Scenario {
                report_lag_ms: 2_000,
                ..load(1.5)
            },
        ),
        (
            "long 2 % 0.6",
            Scenario {
                long_share: 0.02,
                ..load(0.3)
            },
        ),
        (
            "long 2 % 1.5",
            Scenario {
                long_share: 0.02,
                ..load(0.75)
            },
        ),
        (
            "steady 3.0 prefix weight 0.2",
            Scenario {
                prefix_weight: 0.2,
                ..load(3.0)
            },
        ),
        (
            "flood 3.0",
            Scenario {
                flood: true,
                ..load(3.0)
            },
        ),
        (
            "flood 1.5",
            Scenario {
                flood: true,
                ..load(1.5)
            },
        ),
    ];
    println!(
        "case | policy | good0 good1 good2 good3 all % | p95 first0 ms | p95 between0 ms | wasted % | refused | late | offers/req | small org % | reversals"
    );
    for (name, scenario) in scenarios {
        for policy in [
            Policy::Sesamehaven,
            Policy::LeastOutstanding,
            Policy::RoundRobin,
        ] {
            let scenario = Scenario {
                policy,
                ..scenario.clone()
            };
            let outcome = Simulation::new(scenario, CombinedPrefixIndex::default).run();
            println!("{name} | {policy:?} | {}", row(&outcome));
        }
    }
}

/// Prints the results of each prefix index for several cache sizes and event feeds.
fn compare_indexes(seed: u64) {
    println!(
        "cache blocks, event lag, event loss | prefix index | prefilled % of prompts | repeated % of prefill | good % | p95 first0 ms | summary B/s per entry"
    );
    for cached_blocks in [100, 400, 1_600] {
        for (event_lag_ms, event_loss) in [(100, 0.0), (5_000, 0.3), (0, 1.0)] {
            let mut scenario = base_scenario(seed);
            scenario.from_dispatches = false;
            scenario.requests_per_s *= 0.7;
            scenario.groups = 300;
            scenario.event_lag_ms = event_lag_ms;
            scenario.event_loss = event_loss;
            scenario
                .engines
                .iter_mut()
                .for_each(|e| e.cached_blocks = cached_blocks);
            let label = format!("{cached_blocks}, {event_lag_ms} ms, {event_loss}");
            run_with_index(&label, "none", &scenario, || EmptyIndex);
            run_with_index(&label, "hashing", &scenario, || HashIndex);
            run_with_index(&label, "guesses", &scenario, LocalPrefixIndex::default);
            run_with_index(
                &label,
                "bloom 512 B of events",
                &scenario,
                BloomIndex::default,
            );
            scenario.from_dispatches = true;
            for bytes in [128, 512, 2_048] {
                scenario.summary_bytes = bytes;
                run_with_index(
                    &label,
                    &format!("bloom {bytes} B"),
                    &scenario,
                    BloomIndex::default,
                );
                run_with_index(
                    &label,
                    &format!("group bloom {bytes} B"),
                    &scenario,
                    PairBloomIndex::default,
                );
                run_with_index(
                    &label,
                    &format!("summaries {bytes} B"),
                    &scenario,
                    CombinedPrefixIndex::default,
                );
            }
            scenario.summary_bytes = 512;
            scenario.prefix_weight = 0.2;
            run_with_index(
                &label,
                "summaries 512 B, weight 0.2",
                &scenario,
                CombinedPrefixIndex::default,
            );
        }
    }
}

/// Runs the scenario with a prefix index and prints a row of results.
fn run_with_index<P: PrefixIndex>(
    label: &str,
    name: &str,
    scenario: &Scenario,
    new_index: impl Fn() -> P,
) {
    let outcome = Simulation::new(scenario.clone(), new_index).run();
    let seconds = scenario.duration_ms / 1_000;
    let bytes = match name {
        "none" | "hashing" | "guesses" => 0,
        _ if name.starts_with("group") => outcome.summary_bytes / 2,
        _ => outcome.summary_bytes,
    };
    let bytes = bytes / seconds / scenario.entries as u64;
    let waste = percent(outcome.wasted_tokens, outcome.prefilled);
    let good: u32 = outcome.tiers.iter().map(|t| t.in_time).sum();
    let sent: u32 = outcome.tiers.iter().map(|t| t.sent).sum();
    let first = p95(&outcome.tiers[0]);
    let good = percent(good.into(), sent.into());
    let prefilled = percent(outcome.prefilled, outcome.prompts);
    println!("{label} | {name} | {prefilled:.1} | {waste:.1} | {good:.1} | {first} | {bytes}");
}

/// Formats the results of a routing policy.
fn row(outcome: &Outcome) -> String {
    let good = |t: &TierStats| format!("{:5.1}", percent(t.in_time.into(), t.sent.into()));
    let tiers: Vec<String> = outcome.tiers.iter().map(good).collect();
    let sum = |f: fn(&TierStats) -> u32| outcome.tiers.iter().map(|t| u64::from(f(t))).sum::<u64>();
    let (sent, in_time, refused) = (sum(|t| t.sent), sum(|t| t.in_time), sum(|t| t.refused));
    let late = sum(|t| t.late);
    let mut between = outcome.tiers[0].between_tokens_ms.clone();
    between.sort_by(f64::total_cmp);
    let between = between
        .get(between.len() * 95 / 100)
        .copied()
        .unwrap_or(0.0);
    format!(
        "{} {:5.1} | {} | {between:.0} | {:.1} | {refused} | {late} | {:.2} | {} | {}",
        tiers.join(" "),
        percent(in_time, sent),
        p95(&outcome.tiers[0]),
        percent(outcome.wasted_tokens, outcome.prefilled),
        outcome.offers as f64 / sent.max(1) as f64,
        good(&outcome.small_organisations),
        outcome.reversals,
    )
}

fn percent(part: u64, total: u64) -> f64 {
    part as f64 * 100.0 / total.max(1) as f64
}

/// Returns the 95th percentile of the time to first token, in milliseconds.
fn p95(stats: &TierStats) -> u64 {
    let mut sorted = stats.first_token_ms.clone();
    sorted.sort_unstable();
    sorted.get(sorted.len() * 95 / 100).copied().unwrap_or(0)
}
