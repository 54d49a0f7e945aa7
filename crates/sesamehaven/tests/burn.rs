//! Goodput and burn rates over windows, and their aggregation over processes.

use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::burn::{Alert, Outcome, SloCounters, Snapshot};
use sesamehaven::config::Objective;
use sesamehaven::id::OrganisationName;
use sesamehaven::outcome::Refusal;
use sesamehaven::unit::{Instant, Millis};

const MINUTE: u64 = 60_000;

fn organisation(i: u32) -> OrganisationName {
    format!("o{i}").parse().expect("a valid name")
}

fn answered(in_time: bool, first_token: u64) -> Outcome {
    Outcome::Answered {
        in_time,
        first_token: Millis(first_token),
        between_tokens: Millis(30),
    }
}

/// Counts six hours with 20 requests per minute, of which `missed` are refused in each
/// of the last `minutes`.
fn counters_after(missed: u64, minutes: u64) -> (SloCounters, Instant) {
    let (mut counters, objective) = (SloCounters::default(), Objective::default());
    let end = 360 * MINUTE;
    for minute in 0..360 {
        let now = Instant(minute * MINUTE + 1);
        for i in 0..20 {
            let miss = minute >= 360 - minutes && i < missed;
            let outcome = match miss {
                true => Outcome::NotRun(Refusal::Full),
                false => answered(true, 100),
            };
            counters.add(
                Tier::MOST_URGENT,
                &organisation(1),
                outcome,
                &objective,
                now,
            );
        }
    }
    (counters, Instant(end))
}

#[rstest]
#[case::all_well(0, 0, Alert::None)]
#[case::short_blip(20, 3, Alert::None)]
#[case::outage(20, 60, Alert::Page)]
#[case::slow_loss(8, 360, Alert::Ticket)]
#[case::long_over(0, 360, Alert::None)]
fn alerts_require_a_short_and_a_long_window(
    #[case] missed: u64,
    #[case] minutes: u64,
    #[case] alert: Alert,
) {
    let (counters, now) = counters_after(missed, minutes);
    let snapshot = counters.snapshot(now);
    assert_eq!(snapshot.alert(Tier::MOST_URGENT, 95.0), alert);
}

#[rstest]
fn outcomes_are_counted_separately() {
    let (mut counters, objective) = (SloCounters::default(), Objective::default());
    let now = Instant(1);
    let outcomes = [
        answered(true, 100),
        answered(true, 900),
        answered(false, 100),
        Outcome::Unknown,
        Outcome::NotRun(Refusal::Full),
        Outcome::NotRun(Refusal::Limited),
    ];
    for outcome in outcomes {
        counters.add(
            Tier::MOST_URGENT,
            &organisation(1),
            outcome,
            &objective,
            now,
        );
    }
    counters.add_prefill(Tier::MOST_URGENT, &organisation(1), 1_000, 20, now);
    let counts = counters.snapshot(now).tiers[0].windows[0];
    let by_outcome = [
        counts.good,
        counts.slow,
        counts.late,
        counts.unknown,
        counts.refused,
        counts.rejected,
    ];
    assert_eq!(by_outcome, [1; 6]);
    assert_eq!(counts.goodput(), Some(0.4));
    assert_eq!(counts.waste(), Some(0.02));
    let burn_rate = counts.burn_rate(95.0).expect("requests were counted");
    assert!((burn_rate - 16.0).abs() < 1e-9, "{burn_rate}");
}

#[rstest]
fn snapshots_merge_and_round_trip_through_json() {
    let (counters, now) = counters_after(20, 60);
    let text = serde_json::to_string(&counters.snapshot(now)).expect("a snapshot as JSON");
    let one: Snapshot = serde_json::from_str(&text).expect("the same snapshot");
    let mut sum = one.clone();
    sum.merge(&one);
    let (counts, single) = (sum.tiers[0].total, one.tiers[0].total);
    assert_eq!(counts.good, 2 * single.good);
    assert_eq!(counts.refused, 2 * single.refused);
    let windows = sum.tiers[0].windows[2].burn_rate(95.0);
    assert_eq!(windows, one.tiers[0].windows[2].burn_rate(95.0));
}

#[rstest]
fn excess_organisations_are_counted_together() {
    let (mut counters, objective) = (SloCounters::default(), Objective::default());
    for i in 0..1_000 {
        let outcome = answered(true, 1);
        counters.add(
            Tier::MOST_URGENT,
            &organisation(i),
            outcome,
            &objective,
            Instant(1),
        );
    }
    let snapshot = counters.snapshot(Instant(1));
    assert_eq!(
        snapshot.organisations.len() as u64 + snapshot.others.good,
        1_000
    );
    assert!(snapshot.organisations.len() <= 256);
}
