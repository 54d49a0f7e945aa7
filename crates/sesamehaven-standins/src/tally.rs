//! Counters and histograms of a load run, and the report built from them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

use crate::caller::CompletedRequest;
use crate::request_record::{Outcome, Verdict};

/// The upper bound of the histograms: one hour; longer durations are counted as this.
const DURATION_MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations in microseconds.
#[derive(Debug, Clone)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, DURATION_MAX_US, SIGNIFICANT_DIGITS);
        // Cannot fail: the bounds are valid constants.
        Durations(histogram.unwrap_or_else(|e| panic!("histogram: {e}")))
    }
}

impl Durations {
    fn record(&mut self, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(us.max(1));
    }

    fn merge(&mut self, other: &Durations) {
        // Cannot fail: both histograms have the same bounds.
        let _ = self.0.add(&other.0);
    }

    fn quantiles(&self) -> Quantiles {
        let ms = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1e3;
        Quantiles {
            count: self.0.len(),
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
            max_ms: self.0.max() as f64 / 1e3,
        }
    }
}

/// The quantiles of a distribution, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// The number of occurrences of each code.
pub type Codes = BTreeMap<SmolStr, u64>;

/// Counters and latencies of a group of requests.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    sent: u64,
    resent: u64,
    good: u64,
    good_tokens: u64,
    late: u64,
    partial: u64,
    another: u64,
    not_run: Codes,
    unknown: Codes,
    failed: Codes,
    first_token: Durations,
    between_tokens: Durations,
    refusal: Durations,
    whole: Durations,
}

impl Tally {
    fn add(&mut self, completed: &CompletedRequest) {
        let record = &completed.record;
        self.sent += 1;
        self.resent += u64::from(record.resend);
        match (record.outcome, record.verdict) {
            (Outcome::Answered, Verdict::Whole) => self.add_answer(completed),
            (Outcome::Answered, Verdict::Mismatch) => self.another += 1,
            (Outcome::Answered, _) => self.partial += 1,
            (Outcome::NotRun, _) => {
                self.refusal.record(completed.total);
                *self.not_run.entry(record.code.clone()).or_default() += 1;
            }
            (Outcome::Unknown, _) => *self.unknown.entry(record.code.clone()).or_default() += 1,
            (Outcome::Failed, _) => *self.failed.entry(record.code.clone()).or_default() += 1,
        }
    }

    fn add_answer(&mut self, completed: &CompletedRequest) {
        if completed.record.good {
            self.good += 1;
            self.good_tokens += completed.record.tokens;
        } else {
            self.late += 1;
        }
        self.whole.record(completed.total);
        if let Some(first_token) = completed.first_token {
            self.first_token.record(first_token);
        }
        for gap_us in &completed.gaps_us {
            self.between_tokens
                .record(Duration::from_micros((*gap_us).into()));
        }
    }

    fn merge(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.resent += other.resent;
        self.good += other.good;
        self.good_tokens += other.good_tokens;
        self.late += other.late;
        self.partial += other.partial;
        self.another += other.another;
        merge_codes(&mut self.not_run, &other.not_run);
        merge_codes(&mut self.unknown, &other.unknown);
        merge_codes(&mut self.failed, &other.failed);
        self.first_token.merge(&other.first_token);
        self.between_tokens.merge(&other.between_tokens);
        self.refusal.merge(&other.refusal);
        self.whole.merge(&other.whole);
    }

    fn summary(&self) -> Summary {
        Summary {
            sent: self.sent,
            resent: self.resent,
            good: self.good,
            good_percent: 100.0 * self.good as f64 / self.sent.max(1) as f64,
            good_tokens: self.good_tokens,
            late: self.late,
            partial: self.partial,
            another: self.another,
            not_run: self.not_run.clone(),
            unknown: self.unknown.clone(),
            failed: self.failed.clone(),
            first_token: self.first_token.quantiles(),
            between_tokens: self.between_tokens.quantiles(),
            refusal: self.refusal.quantiles(),
            whole: self.whole.quantiles(),
        }
    }
}

fn merge_codes(codes: &mut Codes, others: &Codes) {
    for (code, count) in others {
        *codes.entry(code.clone()).or_default() += count;
    }
}

/// The summary of a group of requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Requests sent for the second time.
    pub resent: u64,
    /// Complete answers within the deadline.
    pub good: u64,
    /// Good answers as a percentage of the requests sent.
    pub good_percent: f64,
    /// Answer tokens of good answers.
    pub good_tokens: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Answers that appeared complete but were truncated.
    pub partial: u64,
    /// Answers that do not match the request.
    pub another: u64,
    /// Refusals by code.
    pub not_run: Codes,
    /// Unknown outcomes by code.
    pub unknown: Codes,
    /// Responses that state none of the three outcomes, by code.
    pub failed: Codes,
    /// Time to the first token of complete, streamed answers.
    pub first_token: Quantiles,
    /// Time between tokens of complete, streamed answers.
    pub between_tokens: Quantiles,
    /// Latency of refusals.
    pub refusal: Quantiles,
    /// Total latency of complete answers.
    pub whole: Quantiles,
}

/// The tallies of a run by stream and by tier, with totals.
#[derive(Debug, Clone, Default)]
pub struct Tallies {
    by_stream: BTreeMap<SmolStr, Tally>,
    by_tier: BTreeMap<u8, Tally>,
    total: Tally,
    lateness: Durations,
}

impl Tallies {
    /// Adds a completed request.
    pub fn add(&mut self, completed: &CompletedRequest) {
        let stream = completed.record.stream.clone();
        self.by_stream.entry(stream).or_default().add(completed);
        self.by_tier
            .entry(completed.record.tier)
            .or_default()
            .add(completed);
        self.total.add(completed);
        self.lateness.record(completed.lateness);
    }

    /// Adds the tallies of another thread.
    pub fn merge(&mut self, other: &Tallies) {
        for (stream, tally) in &other.by_stream {
            self.by_stream
                .entry(stream.clone())
                .or_default()
                .merge(tally);
        }
        for (tier, tally) in &other.by_tier {
            self.by_tier.entry(*tier).or_default().merge(tally);
        }
        self.total.merge(&other.total);
        self.lateness.merge(&other.lateness);
    }

    /// Builds the report.
    pub fn report(&self, run: RunInfo) -> Report {
        let streams = self.by_stream.iter();
        let tiers = self.by_tier.iter();
        Report {
            run,
            streams: streams
                .map(|(name, t)| (name.clone(), t.summary()))
                .collect(),
            tiers: tiers.map(|(tier, t)| (*tier, t.summary())).collect(),
            total: self.total.summary(),
            lateness: self.lateness.quantiles(),
        }
    }
}

/// The settings of a run, as shown in its report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunInfo {
    /// The seed.
    pub seed: u64,
    /// The policy that selected the targets of requests.
    pub policy: String,
    /// The time during which requests were sent, in seconds.
    pub duration_s: f64,
    /// The factor applied to the rates of the plan.
    pub rate_factor: f64,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The settings of the run.
    pub run: RunInfo,
    /// Summaries by stream of the plan.
    pub streams: BTreeMap<SmolStr, Summary>,
    /// Summaries by tier.
    pub tiers: BTreeMap<u8, Summary>,
    /// The summary of all requests.
    pub total: Summary,
    /// The delay of sends behind schedule, which shows whether the tool kept up.
    pub lateness: Quantiles,
}

impl Report {
    /// Renders the report as a human-readable table.
    pub fn text(&self) -> String {
        let RunInfo {
            seed,
            policy,
            duration_s,
            rate_factor,
        } = &self.run;
        let mut text = format!(
            "policy {policy}, seed {seed}, {duration_s} s, {rate_factor} times the plan's rates\n\n"
        );
        let _ = writeln!(text, "{HEADINGS}");
        for (name, summary) in &self.streams {
            text.push_str(&row(name, summary));
        }
        for (tier, summary) in &self.tiers {
            text.push_str(&row(&format!("tier {tier}"), summary));
        }
        text.push_str(&row("all", &self.total));
        let Quantiles { p50_ms, p99_ms, .. } = self.lateness;
        let _ = writeln!(
            text,
            "\nsent late by p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms"
        );
        text
    }
}

const HEADINGS: &str = "stream             sent   good  good%   late notrun unknwn failed \
                        wrong | first token p50/p95/p99 ms | between p50/p95/p99 ms | refusal p99";

/// Renders the table row of a summary, followed by its error codes.
fn row(name: &str, summary: &Summary) -> String {
    let sum = |codes: &Codes| codes.values().sum::<u64>();
    let quantiles = |q: &Quantiles| format!("{:.1}/{:.1}/{:.1}", q.p50_ms, q.p95_ms, q.p99_ms);
    let mut text = format!(
        "{name:<16} {:>6} {:>6} {:>6.2} {:>6} {:>6} {:>6} {:>6} {:>5} | {:>26} | {:>22} | {:>11.1}\n",
        summary.sent,
        summary.good,
        summary.good_percent,
        summary.late,
        sum(&summary.not_run),
        sum(&summary.unknown),
        sum(&summary.failed),
        summary.partial + summary.another,
        quantiles(&summary.first_token),
        quantiles(&summary.between_tokens),
        summary.refusal.p99_ms,
    );
    for (label, codes) in [
        ("not run", &summary.not_run),
        ("unknown", &summary.unknown),
        ("failed", &summary.failed),
    ] {
        for (code, count) in codes {
            let _ = writeln!(text, "    {label}: {code} {count}");
        }
    }
    text
}
