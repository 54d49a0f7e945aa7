//! Replays the worst loads on batching engines, and compares ways of waiting and placing.
//!
//! `cargo run --release -p sesamehaven --example replay -- [SEED] [SCENE]`. The
//! same seed prints the same figures. See `docs/POLICY.md`.

mod caller;
mod engine;
mod scene;
mod tally;
mod trouble;
mod world;

use crate::scene::{KINDS, scenes};
use crate::tally::Tally;
use crate::world::{Policy, World};

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let wanted = args.next().unwrap_or_default();
    println!(
        "scene | policy | worth | served % | served, in time % by kind | large served % | refused | p95 held | beside room | wasted %"
    );
    let mut sum = [0.0; 3];
    for mut scene in scenes() {
        if !scene.name.contains(&wanted) {
            continue;
        }
        scene.seed = seed;
        for policy in [
            Policy::Sesamehaven,
            Policy::LeastOutstanding,
            Policy::RoundRobin,
        ] {
            let tally = World::new(scene.clone(), policy).run();
            sum[policy as usize] += tally.worth();
            println!("{} | {policy:?} | {}", scene.name, row(&tally));
        }
    }
    println!("sum {sum:.3?}");
}

fn row(tally: &Tally) -> String {
    let kinds = (0..KINDS.len()).map(|kind| {
        let count = &tally.kinds[kind];
        let in_time = 100.0 * f64::from(count.in_time) / f64::from(count.owed.max(1));
        format!("{:.0} {in_time:.0}", 100.0 * tally.served(kind))
    });
    let kinds: Vec<String> = kinds.collect();
    let large = (0..KINDS.len()).map(|kind| format!("{:.0}", 100.0 * tally.large_served(kind)));
    let large: Vec<String> = large.collect();
    format!(
        "{:.3} | {:.0} | {} | {} | {} | {:.2} | {} | {:.1}",
        tally.worth(),
        100.0 * tally.all_served(),
        kinds.join(", "),
        large.join(" "),
        tally.refusals.len(),
        tally.refusal_p95(),
        tally.refused_beside_room,
        100.0 * tally.wasted as f64 / tally.read.max(1) as f64,
    )
}
