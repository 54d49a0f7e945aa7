//! Simulates the worst load scenarios on batching engines and compares dispatch policies.
//!
//! `cargo run --release -p sesamehaven --example replay -- [SEED] [SCENARIO]`. The same seed
//! gives the same results. See `docs/POLICY.md`.

mod caller;
mod disturbance;
mod engine;
mod reporting;
mod scenario;
mod simulation;
mod tally;

use crate::scenario::{CLASSES, scenarios};
use crate::simulation::{Policy, Simulation};
use crate::tally::Tally;

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let filter = args.next().unwrap_or_default();
    println!(
        "scenario | policy | credit share | served % | served, in time % by class | large served % | refused | p95 wait before refusal / objective | refused with free slots | wasted %"
    );
    let mut sums = [[0.0; 4]; 2];
    for mut scenario in scenarios() {
        if !scenario.name.contains(&filter) {
            continue;
        }
        scenario.seed = seed;
        for policy in [
            Policy::Sesamehaven,
            Policy::IgnoringReports,
            Policy::LeastOutstanding,
            Policy::RoundRobin,
        ] {
            if policy == Policy::IgnoringReports && scenario.reports.is_none() {
                continue;
            }
            let tally = Simulation::new(scenario.clone(), policy).run();
            sums[usize::from(scenario.reports.is_some())][policy as usize] += tally.credit_share();
            println!("{} | {policy:?} | {}", scenario.name, row(&tally));
        }
    }
    println!("sum without reports {:.3?}", sums[0]);
    println!("sum with reports {:.3?}", sums[1]);
}

fn row(tally: &Tally) -> String {
    let classes = (0..CLASSES.len()).map(|class| {
        let count = &tally.classes[class];
        let in_time = 100.0 * f64::from(count.in_time) / f64::from(count.expected.max(1));
        format!("{:.0} {in_time:.0}", 100.0 * tally.served(class))
    });
    let classes: Vec<String> = classes.collect();
    let large = (0..CLASSES.len()).map(|class| format!("{:.0}", 100.0 * tally.large_served(class)));
    let large: Vec<String> = large.collect();
    format!(
        "{:.3} | {:.0} | {} | {} | {} | {:.2} | {} | {:.1}",
        tally.credit_share(),
        100.0 * tally.all_served(),
        classes.join(", "),
        large.join(" "),
        tally.refusals.len(),
        tally.refusal_p95(),
        tally.refused_with_free_slots,
        100.0 * tally.wasted as f64 / tally.prefilled.max(1) as f64,
    )
}
