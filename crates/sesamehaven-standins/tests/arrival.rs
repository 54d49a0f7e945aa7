//! Tests that arrivals follow the load plan, and that those of a stream depend on the
//! seed but not on other streams.

use std::time::Duration;

use sesamehaven_standins::arrival::{Content, arrivals};
use sesamehaven_standins::load_plan::Plan;

const PLAN: &str = "
streams:
  - name: steady
    tier: 0
    api_key: key-1
    pool: model-a
    rate: 200
    deadline: 5 s
    key: uuid7
    resend_percent: 10
    resend_after: 30 ms
    prefix: {count: 3, tokens: 8}
    prompt_tokens: {median: 10, spread: 0.5, long_percent: 2}
  - name: bursting
    tier: 3
    api_key: key-2
    pool: model-a
    rate: 100
    deadline: 5 s
    bursts: [{at: 4 s, length: 2 s, factor: 5}]
";

const DURATION: Duration = Duration::from_secs(10);
const SEED: u64 = 3;

#[test]
fn rates_bursts_and_resends_follow_the_plan_and_resends_repeat_the_content() {
    println!("seed {SEED}");
    let plan = Plan::parse(PLAN).unwrap();
    let all = arrivals(&plan, SEED, 1.0, DURATION);
    let first_sends = |stream| {
        all.iter()
            .filter(move |a| a.stream == stream && !a.is_resend())
    };
    // Four standard deviations of a Poisson count.
    let assert_near = |count: usize, expected: f64| {
        let deviation = (count as f64 - expected).abs();
        assert!(
            deviation < 4.0 * expected.sqrt(),
            "{count} deviates too far from {expected}"
        );
    };
    assert_near(first_sends(0).count(), 2_000.0);
    let resent: Vec<_> = all.iter().filter(|a| a.is_resend()).collect();
    assert_near(resent.len(), 200.0);
    let in_burst = |at: Duration| (4..6).contains(&at.as_secs());
    assert_near(first_sends(1).filter(|a| in_burst(a.at)).count(), 1_000.0);
    assert_near(first_sends(1).filter(|a| !in_burst(a.at)).count(), 800.0);

    let first = all.iter().find(|a| a.seed == resent[0].seed).unwrap();
    let contents = [first, resent[0]].map(|a| Content::new(&plan.streams[0], a, 1_000));
    assert_eq!(contents[0].key, contents[1].key);
    assert_eq!(contents[0].prompt, contents[1].prompt);
    assert!(contents[0].prompt.ends_with(contents[0].echo.as_str()));
}

#[test]
fn arrivals_of_a_stream_depend_on_the_seed_but_not_on_other_streams() {
    let plan = Plan::parse(PLAN).unwrap();
    let mut single = plan.clone();
    single.streams.truncate(1);
    let seeds = |plan: &Plan, seed| -> Vec<u64> {
        let all = arrivals(plan, seed, 1.0, DURATION);
        let own = all.iter().filter(|a| a.stream == 0);
        own.map(|a| a.seed).collect()
    };
    assert_eq!(seeds(&plan, SEED), seeds(&single, SEED));
    assert_ne!(seeds(&plan, SEED), seeds(&plan, SEED + 1));
}

#[test]
fn an_unknown_field_in_a_plan_is_rejected_by_name() {
    let message = Plan::parse(&PLAN.replace("rate: 200", "rat: 200")).unwrap_err();
    assert!(message.contains("rat"), "{message}");
}
