//! The concurrency limit and the estimated rates, on an engine that changes its speed.

use rstest::rstest;

use sesamehaven::estimate::RateEstimate;
use sesamehaven::limit::ConcurrencyLimit;
use sesamehaven::unit::{Instant, Millis, TokenRate};

const FLOOR: f64 = 500.0;
const CEILING: f64 = 50_000.0;

/// An engine whose time between tokens grows with its running work.
struct Engine {
    limit: ConcurrencyLimit,
    now: Instant,
}

impl Engine {
    fn new() -> Self {
        Engine {
            limit: ConcurrencyLimit::new(2_000.0, Millis(500), Millis(66)),
            now: Instant(0),
        }
    }

    /// Runs at the limit for `span`; returns the time between tokens at its end.
    fn run(&mut self, span: Millis, slowness: f64) -> f64 {
        let end = self.now.after(span);
        let mut between = 0.0;
        while self.now < end {
            let running = self.limit.tokens();
            between = 20.0 * slowness * (1.0 + running / 4_000.0);
            self.limit
                .observe_between_tokens(between, running, self.now);
            self.now = self.now.after(Millis(20));
            self.limit.evaluate(FLOOR, CEILING, self.now);
        }
        between
    }
}

#[rstest]
fn the_limit_settles_below_the_target() {
    let mut engine = Engine::new();
    let between = engine.run(Millis(30_000), 1.0);
    assert!(
        (40.0..60.0).contains(&between),
        "{between} ms between tokens"
    );
}

#[rstest]
#[case::twice(2.0)]
#[case::four_times(4.0)]
fn the_limit_decreases_within_seconds_and_recovers(#[case] slowness: f64) {
    let mut engine = Engine::new();
    engine.run(Millis(30_000), 1.0);
    let before = engine.limit.tokens();
    engine.run(Millis(3_000), slowness);
    let during = engine.limit.tokens();
    assert!(during < before / 2.0, "{before} fell only to {during}");
    let mut least = during;
    for _ in 0..60 {
        engine.run(Millis(1_000), slowness);
        least = engine.limit.tokens().min(least);
    }
    assert!(least >= FLOOR);
    engine.run(Millis(20_000), 1.0);
    let after = engine.limit.tokens();
    assert!(
        after > before * 0.7,
        "{during} rose only to {after} of {before}"
    );
}

#[rstest]
fn a_slow_engine_keeps_a_useful_limit() {
    let mut engine = Engine::new();
    engine.run(Millis(60_000), 4.0);
    let tokens = engine.limit.tokens();
    assert!(tokens > 2.0 * FLOOR, "the limit is {tokens}");
    assert!(tokens < 8_000.0, "the limit is {tokens}");
}

#[rstest]
fn a_rate_is_robust_to_single_outliers() {
    let mut rate = RateEstimate::new(TokenRate(10.0));
    for _ in 0..50 {
        rate.observe(100.0, 50.0);
    }
    rate.observe(100.0, 60_000.0);
    let after = rate.rate().0;
    assert!((1_300.0..=2_000.0).contains(&after), "{after} tokens/s");
    for _ in 0..40 {
        rate.observe(100.0, 200.0);
    }
    let slow = rate.rate().0;
    assert!((490.0..560.0).contains(&slow), "{slow} tokens/s");
}
