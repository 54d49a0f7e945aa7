//! The worst load scenarios, simulated on a small pool of batching engines.
//!
//! Checks the users' requirements: no class starves, and callers are served better than by
//! simple load-balancing policies. The example `replay` prints the results for a larger pool.

#![allow(dead_code)] // The example prints more than is checked here.

#[path = "../examples/replay/caller.rs"]
mod caller;
#[path = "../examples/replay/disturbance.rs"]
mod disturbance;
#[path = "../examples/replay/engine.rs"]
mod engine;
#[path = "../examples/replay/reporting.rs"]
mod reporting;
#[path = "../examples/replay/scenario.rs"]
mod scenario;
#[path = "../examples/replay/simulation.rs"]
mod simulation;
#[path = "../examples/replay/tally.rs"]
mod tally;

use rstest::rstest;

use scenario::{CLASSES, Scenario, scenarios};
use simulation::{Policy, Simulation};
use tally::Tally;

/// The share of the full pool that is simulated here.
const POOL_SHARE: f64 = 0.36;
/// The minimum served share of a class, relative to all requests, that users require.
const MIN_CLASS_SHARE: f64 = 0.25;
/// The minimum served share of the largest tenth of a class, relative to the class.
const MIN_LARGE_SHARE: f64 = 0.5;

fn full(name: &str) -> Scenario {
    let scenario = scenarios().into_iter().find(|s| s.name == name);
    scenario.unwrap_or_else(|| panic!("unknown scenario: {name}"))
}

fn small(name: &str) -> Scenario {
    let mut scenario = full(name);
    scenario.fronts = (scenario.fronts as f64 * POOL_SHARE) as usize;
    scenario.engines = (scenario.engines as f64 * POOL_SHARE) as usize;
    scenario.load *= POOL_SHARE;
    scenario
}

fn simulate(scenario: &Scenario, policy: Policy) -> Tally {
    Simulation::new(scenario.clone(), policy).run()
}

/// The seeds over which the gain by reports is summed.
const REPORT_SEEDS: std::ops::Range<u64> = 1..5;
/// The minimum gain in credit by reports of engines while other fronts are heard late or not at all.
const MIN_REPORT_GAIN: f64 = 0.05;
/// The maximum loss in credit while the counts of other fronts arrive in time and reports add little.
const MAX_REPORT_LOSS: f64 = 0.02;

/// Returns the mean gain in credit by reports of engines.
fn report_gain(scenario: &Scenario) -> f64 {
    let gain = |seed| {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let credit = |policy| simulate(&scenario, policy).credit_share();
        credit(Policy::Sesamehaven) - credit(Policy::IgnoringReports)
    };
    let seeds = REPORT_SEEDS.count() as f64;
    REPORT_SEEDS.map(gain).sum::<f64>() / seeds
}

/// Guards against ignoring reports where they are the only recent figures.
#[rstest]
#[case::stale_counts(small("reported, stale counts"), MIN_REPORT_GAIN)]
#[case::few_fronts_apart(full("reported, few fronts apart"), MIN_REPORT_GAIN)]
#[case::steady(small("reported, steady"), -MAX_REPORT_LOSS)]
#[case::burst(small("reported, burst"), -MAX_REPORT_LOSS)]
#[case::late(small("reported late"), -MAX_REPORT_LOSS)]
#[case::slow_engines(small("reported, slow engines"), -MAX_REPORT_LOSS)]
fn reports_of_engines_serve_callers_better(#[case] scenario: Scenario, #[case] min_gain: f64) {
    let gain = report_gain(&scenario);
    assert!(gain >= min_gain, "{}: {gain:.3} gained", scenario.name);
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
fn callers_are_served_better_and_no_class_starves(#[case] name: &str) {
    let scenario = small(name);
    let own = simulate(&scenario, Policy::Sesamehaven);
    for (class, cfg) in CLASSES.iter().enumerate() {
        let (served, all) = (own.served(class), own.all_served());
        let class_name = cfg.name;
        assert!(
            served >= MIN_CLASS_SHARE * all,
            "{class_name}: {served:.2} served, of all {all:.2}"
        );
        let large = own.large_served(class);
        assert!(
            large >= MIN_LARGE_SHARE * served,
            "{class_name}: {large:.2} of the large ones served, of all {served:.2}"
        );
    }
    assert_eq!(
        own.refused_with_free_slots, 0,
        "refused while slots were free"
    );
    for policy in [Policy::LeastOutstanding, Policy::RoundRobin] {
        let other = simulate(&scenario, policy);
        assert!(
            own.credit_share() >= other.credit_share(),
            "{:.3} of the credit, by {policy:?} {:.3}",
            own.credit_share(),
            other.credit_share()
        );
    }
}
