//! Weighs ways of routing and of knowing prefixes on small fakes.
//!
//! `cargo run --example weigh -- route` or `-- prefix`, with a seed as an
//! optional second argument. The same seed prints the same figures.

mod engine;
mod knowledge;
mod world;

use sesamehaven::prefix::{CombinedPrefixIndex, LocalPrefixIndex, PrefixIndex};

use crate::engine::Speed;
use crate::knowledge::{Blooms, GroupBlooms, Hashing, Nothing};
use crate::world::{Case, Outcome, Policy, Tally, World};

/// Requests a second that the engines can just prefill.
const CAPACITY_PER_S: f64 = 25.0;

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(7);
    match what.as_str() {
        "route" => routes(seed),
        "prefix" => prefixes(seed),
        _ => println!("give `route` or `prefix`, and a seed"),
    }
}

fn case(seed: u64) -> Case {
    let fast = Speed {
        prefill: 4_000.0,
        decode: 60.0,
        slowdown: 0.03,
        batch: 48,
        cached_blocks: 400,
    };
    let slow = Speed {
        prefill: 2_000.0,
        decode: 35.0,
        ..fast
    };
    Case {
        seed,
        policy: Policy::Sesamehaven,
        entries: 3,
        engines: vec![fast, slow, slow, fast],
        span_ms: 40_000,
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

fn routes(seed: u64) {
    let base = case(seed);
    let load = |factor: f64| Case {
        requests_per_s: CAPACITY_PER_S * factor,
        ..base.clone()
    };
    let cases = [
        ("steady 0.6", load(0.6)),
        ("steady 1.0", load(1.0)),
        ("steady 1.5", load(1.5)),
        ("steady 3.0", load(3.0)),
        (
            "burst 0.6",
            Case {
                burst: true,
                ..load(0.6)
            },
        ),
        (
            "slow engine 0.6",
            Case {
                slow_engine: true,
                ..load(0.6)
            },
        ),
        (
            "stale 2 s 0.6",
            Case {
                report_lag_ms: 2_000,
                ..load(0.6)
            },
        ),
        (
            "stale 2 s 1.5",
            Case {
                report_lag_ms: 2_000,
                ..load(1.5)
            },
        ),
        (
            "long 2 % 0.6",
            Case {
                long_share: 0.02,
                ..load(0.3)
            },
        ),
        (
            "long 2 % 1.5",
            Case {
                long_share: 0.02,
                ..load(0.75)
            },
        ),
        (
            "steady 3.0 waste first",
            Case {
                prefix_weight: 0.2,
                ..load(3.0)
            },
        ),
        (
            "flood 3.0",
            Case {
                flood: true,
                ..load(3.0)
            },
        ),
        (
            "flood 1.5",
            Case {
                flood: true,
                ..load(1.5)
            },
        ),
    ];
    println!(
        "case | policy | good0 good1 good2 good3 all % | p95 first0 ms | p95 between0 ms | wasted % | refused | late | offers/req | small org % | reversals"
    );
    for (name, case) in cases {
        for policy in [
            Policy::Sesamehaven,
            Policy::LeastOutstanding,
            Policy::RoundRobin,
        ] {
            let case = Case {
                policy,
                ..case.clone()
            };
            let outcome = World::new(case, CombinedPrefixIndex::default).run();
            println!("{name} | {policy:?} | {}", row(&outcome));
        }
    }
}

fn prefixes(seed: u64) {
    println!(
        "cache blocks, event lag, event loss | knowledge | prefilled % of prompts | repeated % of prefill | good % | p95 first0 ms | summary B/s per entry"
    );
    for cached_blocks in [100, 400, 1_600] {
        for (event_lag_ms, event_loss) in [(100, 0.0), (5_000, 0.3), (0, 1.0)] {
            let mut case = case(seed);
            case.from_dispatches = false;
            case.requests_per_s *= 0.7;
            case.groups = 300;
            case.event_lag_ms = event_lag_ms;
            case.event_loss = event_loss;
            case.engines
                .iter_mut()
                .for_each(|s| s.cached_blocks = cached_blocks);
            let label = format!("{cached_blocks}, {event_lag_ms} ms, {event_loss}");
            weigh(&label, "none", &case, || Nothing);
            weigh(&label, "hashing", &case, || Hashing);
            weigh(&label, "guesses", &case, LocalPrefixIndex::default);
            weigh(&label, "bloom 512 B of events", &case, Blooms::default);
            case.from_dispatches = true;
            for bytes in [128, 512, 2_048] {
                case.summary_bytes = bytes;
                weigh(&label, &format!("bloom {bytes} B"), &case, Blooms::default);
                weigh(
                    &label,
                    &format!("group bloom {bytes} B"),
                    &case,
                    GroupBlooms::default,
                );
                weigh(
                    &label,
                    &format!("summaries {bytes} B"),
                    &case,
                    CombinedPrefixIndex::default,
                );
            }
            case.summary_bytes = 512;
            case.prefix_weight = 0.2;
            weigh(
                &label,
                "summaries 512 B, weight 0.2",
                &case,
                CombinedPrefixIndex::default,
            );
        }
    }
}

fn weigh<P: PrefixIndex>(label: &str, name: &str, case: &Case, knowledge: impl Fn() -> P) {
    let outcome = World::new(case.clone(), knowledge).run();
    let seconds = case.span_ms / 1_000;
    let bytes = match name {
        "none" | "hashing" | "guesses" => 0,
        _ if name.starts_with("group") => outcome.summary_bytes / 2,
        _ => outcome.summary_bytes,
    };
    let bytes = bytes / seconds / case.entries as u64;
    let waste = percent(outcome.wasted, outcome.prefilled);
    let good: u32 = outcome.tiers.iter().map(|t| t.in_time).sum();
    let sent: u32 = outcome.tiers.iter().map(|t| t.sent).sum();
    let first = p95(&outcome.tiers[0]);
    let good = percent(good.into(), sent.into());
    let prefilled = percent(outcome.prefilled, outcome.prompts);
    println!("{label} | {name} | {prefilled:.1} | {waste:.1} | {good:.1} | {first} | {bytes}");
}

fn row(outcome: &Outcome) -> String {
    let good = |t: &Tally| format!("{:5.1}", percent(t.in_time.into(), t.sent.into()));
    let tiers: Vec<String> = outcome.tiers.iter().map(good).collect();
    let sum = |f: fn(&Tally) -> u32| outcome.tiers.iter().map(|t| u64::from(f(t))).sum::<u64>();
    let (sent, in_time, refused) = (sum(|t| t.sent), sum(|t| t.in_time), sum(|t| t.refused));
    let late = sum(|t| t.late);
    let mut between = outcome.tiers[0].between.clone();
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
        percent(outcome.wasted, outcome.prefilled),
        outcome.offers as f64 / sent.max(1) as f64,
        good(&outcome.small),
        outcome.reversals,
    )
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

fn p95(tally: &Tally) -> u64 {
    let mut sorted = tally.first_token.clone();
    sorted.sort_unstable();
    sorted.get(sorted.len() * 95 / 100).copied().unwrap_or(0)
}
