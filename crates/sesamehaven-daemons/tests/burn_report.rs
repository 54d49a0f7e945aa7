//! The burn-rate report computed from fixed counters.

#![allow(clippy::unwrap_used)] // A panic fails the test.

use sesamehaven::burn::{Alert, Outcome, SloCounters, Snapshot};
use sesamehaven::config::Objective;
use sesamehaven::outcome::Refusal;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_daemons::ctl_report::BurnReport;

const ENTRY: &str = "# TYPE entry_outcomes_total counter\n\
    entry_outcomes_total{tier=\"0\",outcome=\"good\"} 90\n\
    entry_outcomes_total{tier=\"0\",outcome=\"slow\"} 5\n\
    entry_outcomes_total{tier=\"0\",outcome=\"refused\"} 5\n\
    entry_outcomes_total{tier=\"0\",outcome=\"rejected\"} 40\n\
    entry_requests_total{tier=\"3\"} 7\n";
const AGENT: &str = "agent_prefill_tokens_total{tier=\"0\"} 1000\n\
    agent_wasted_prefill_tokens_total{tier=\"0\"} 20\n";

fn past() -> Snapshot {
    let mut burn = SloCounters::default();
    let organisation = "org-1".parse().unwrap();
    let objective = Objective::default();
    let tier = "0".parse().unwrap();
    let good = Outcome::Answered {
        in_time: true,
        first_token: Millis(100),
        between_tokens: Millis(20),
    };
    for i in 0..10 {
        let outcome = if i == 0 {
            good
        } else {
            Outcome::NotRun(Refusal::Full)
        };
        burn.add(tier, &organisation, outcome, &objective, Instant(1_000));
    }
    burn.snapshot(Instant(2_000))
}

#[test]
fn metrics_are_summed_and_burn_rates_raise_an_alert() {
    let texts = [ENTRY.into(), ENTRY.into(), AGENT.into()];
    let report = BurnReport::new(&texts, &[past(), Snapshot::default()], 95.0);
    assert_eq!(report.tiers.len(), 1, "{report:?}");
    let tier = &report.tiers[0];
    assert_eq!((tier.counts.good, tier.counts.rejected), (180, 80));
    assert_eq!(tier.goodput, Some(0.95));
    assert_eq!(tier.waste, Some(0.02));
    // Nine of ten requests are bad, and the objective allows one in twenty.
    assert!((tier.burn[0].unwrap() - 18.0).abs() < 1e-9, "{tier:?}");
    assert_eq!(tier.alert, Alert::Page);
    assert!(report.is_burning());
    assert_eq!(report.organisations[0].1.eligible(), 10);
    assert!(report.text().contains("95.00%"), "{}", report.text());
}

#[test]
fn missing_counts_raise_no_alert() {
    let report = BurnReport::new(&[String::new()], &[], 95.0);
    assert!(report.tiers.is_empty() && !report.is_burning());
}
