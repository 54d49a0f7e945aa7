//! The worst loads, replayed on a small pool of batching engines.
//!
//! What must hold is what the users ask for: nobody is starved, and callers are
//! better served than by simple ways of placing. The example `replay` prints the
//! figures on a larger pool.

#![allow(dead_code)] // The example prints more than what is checked here.

#[path = "../examples/replay/caller.rs"]
mod caller;
#[path = "../examples/replay/engine.rs"]
mod engine;
#[path = "../examples/replay/scene.rs"]
mod scene;
#[path = "../examples/replay/tally.rs"]
mod tally;
#[path = "../examples/replay/trouble.rs"]
mod trouble;
#[path = "../examples/replay/world.rs"]
mod world;

use rstest::rstest;

use scene::{KINDS, Scene, scenes};
use tally::Tally;
use world::{Policy, World};

/// The part of the pool that is replayed here.
const PART: f64 = 0.36;
/// The least share of a kind of request, against all requests, by the users' rules.
const KIND_LEAST: f64 = 0.25;
/// The least share of the largest tenth of a kind, against the kind.
const LARGE_LEAST: f64 = 0.5;

fn small(name: &str) -> Scene {
    let scene = scenes().into_iter().find(|s| s.name == name);
    let mut scene = scene.unwrap_or_else(|| panic!("no scene is called {name}"));
    scene.fronts = (scene.fronts as f64 * PART) as usize;
    scene.engines = (scene.engines as f64 * PART) as usize;
    scene.load *= PART;
    scene
}

fn play(scene: &Scene, policy: Policy) -> Tally {
    World::new(scene.clone(), policy).run()
}

#[rstest]
#[case::quiet("quiet")]
#[case::burst_of_all("burst of all")]
#[case::burst_of_briefs("burst of briefs")]
#[case::burst_of_roundups("burst of roundups")]
#[case::burst_of_guidance("burst of guidance")]
#[case::hot_session("hot session")]
#[case::impatient_callers("impatient callers")]
#[case::callers_leave("callers leave")]
#[case::long_prompts("long prompts")]
#[case::slow_engines("slow engines")]
#[case::grey_engines("grey engines")]
#[case::a_third_lost("a third lost")]
#[case::release("release")]
#[case::front_lost_in_a_burst("front lost in a burst")]
#[case::stale_counts("stale counts")]
#[case::two_tiers("two tiers, burst of all")]
#[case::hot_organisation("hot organisation")]
fn callers_are_served_better_and_nobody_is_starved(#[case] name: &str) {
    let scene = small(name);
    let own = play(&scene, Policy::Sesamehaven);
    for (kind, cfg) in KINDS.iter().enumerate() {
        let (served, all) = (own.served(kind), own.all_served());
        let kind_name = cfg.name;
        assert!(
            served >= KIND_LEAST * all,
            "{kind_name}: {served:.2} served, of all {all:.2}"
        );
        let large = own.large_served(kind);
        assert!(
            large >= LARGE_LEAST * served,
            "{kind_name}: {large:.2} of the large ones served, of all {served:.2}"
        );
    }
    assert_eq!(own.refused_beside_room, 0, "refused while places were free");
    for policy in [Policy::LeastOutstanding, Policy::RoundRobin] {
        let other = play(&scene, policy);
        assert!(
            own.worth() >= other.worth(),
            "{:.3} of the credit, by {policy:?} {:.3}",
            own.worth(),
            other.worth()
        );
    }
}
