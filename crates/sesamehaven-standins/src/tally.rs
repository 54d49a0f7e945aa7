//! Counts and histograms of a load run, and the report over them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

use crate::caller::CompletedRequest;
use crate::request_record::{Outcome, Verdict};

const LONGEST_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Durations, counted in buckets of microseconds.
#[derive(Debug, Clone)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS);
        // The bounds are constants that the library accepts.
        Durations(histogram.unwrap_or_else(|e| panic!("histogram: {e}")))
    }
}

impl Durations {
    fn record(&mut self, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(us.max(1));
    }

    fn merge(&mut self, other: &Durations) {
        // Both have the same bounds, so that nothing is out of range.
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

/// A distribution in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many values there were.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The value that 95 in 100 do not exceed.
    pub p95_ms: f64,
    /// The value that 99 in 100 do not exceed.
    pub p99_ms: f64,
    /// The greatest value.
    pub max_ms: f64,
}

/// How often each code occurred.
pub type Codes = BTreeMap<SmolStr, u64>;

/// Counts and times of like requests.
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
    fn add(&mut self, finished: &CompletedRequest) {
        let record = &finished.record;
        self.sent += 1;
        self.resent += u64::from(record.resend);
        match (record.outcome, record.verdict) {
            (Outcome::Answered, Verdict::Whole) => self.add_answer(finished),
            (Outcome::Answered, Verdict::Mismatch) => self.another += 1,
            (Outcome::Answered, _) => self.partial += 1,
            (Outcome::NotRun, _) => {
                self.refusal.record(finished.total);
                *self.not_run.entry(record.code.clone()).or_default() += 1;
            }
            (Outcome::Unknown, _) => *self.unknown.entry(record.code.clone()).or_default() += 1,
            (Outcome::Failed, _) => *self.failed.entry(record.code.clone()).or_default() += 1,
        }
    }

    fn add_answer(&mut self, finished: &CompletedRequest) {
        if finished.record.good {
            self.good += 1;
            self.good_tokens += finished.record.tokens;
        } else {
            self.late += 1;
        }
        self.whole.record(finished.total);
        if let Some(first_token) = finished.first_token {
            self.first_token.record(first_token);
        }
        for gap_us in &finished.gaps_us {
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

/// The outcome of like requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Requests that were sent.
    pub sent: u64,
    /// Those of them that were sent for the second time.
    pub resent: u64,
    /// Whole answers within the deadline.
    pub good: u64,
    /// The share of good ones.
    pub good_percent: f64,
    /// Answer tokens of good ones.
    pub good_tokens: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Answers that looked complete and were not.
    pub partial: u64,
    /// Answers to something else.
    pub another: u64,
    /// Refusals by code.
    pub not_run: Codes,
    /// Unknown outcomes by code.
    pub unknown: Codes,
    /// Answers that are none of the three outcomes, by code.
    pub failed: Codes,
    /// Time to the first token of whole, streamed answers.
    pub first_token: Quantiles,
    /// Time between tokens of whole, streamed answers.
    pub between_tokens: Quantiles,
    /// Time to refusals.
    pub refusal: Quantiles,
    /// Time to the end of whole answers.
    pub whole: Quantiles,
}

/// Everything that one run counted.
#[derive(Debug, Clone, Default)]
pub struct Tallies {
    by_stream: BTreeMap<SmolStr, Tally>,
    by_tier: BTreeMap<u8, Tally>,
    total: Tally,
    lateness: Durations,
}

impl Tallies {
    /// Counts a request.
    pub fn add(&mut self, finished: &CompletedRequest) {
        let stream = finished.record.stream.clone();
        self.by_stream.entry(stream).or_default().add(finished);
        self.by_tier
            .entry(finished.record.tier)
            .or_default()
            .add(finished);
        self.total.add(finished);
        self.lateness.record(finished.lateness);
    }

    /// Adds the counts of another thread.
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

/// What was run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunInfo {
    /// The seed.
    pub seed: u64,
    /// Where requests went.
    pub policy: String,
    /// How long requests were sent, in seconds.
    pub duration_s: f64,
    /// How many times the plan's rates were sent.
    pub rate_factor: f64,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// What was run.
    pub run: RunInfo,
    /// Outcomes by stream of the plan.
    pub streams: BTreeMap<SmolStr, Summary>,
    /// Outcomes by tier.
    pub tiers: BTreeMap<u8, Summary>,
    /// All outcomes.
    pub total: Summary,
    /// How late requests were sent, which shows whether the tool kept up.
    pub lateness: Quantiles,
}

impl Report {
    /// Writes the report as a table for people.
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
            text.push_str(&line(name, summary));
        }
        for (tier, summary) in &self.tiers {
            text.push_str(&line(&format!("tier {tier}"), summary));
        }
        text.push_str(&line("all", &self.total));
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

fn line(name: &str, summary: &Summary) -> String {
    let sum = |codes: &Codes| codes.values().sum::<u64>();
    let spread = |q: &Quantiles| format!("{:.1}/{:.1}/{:.1}", q.p50_ms, q.p95_ms, q.p99_ms);
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
        spread(&summary.first_token),
        spread(&summary.between_tokens),
        summary.refusal.p99_ms,
    );
    for (what, codes) in [
        ("not run", &summary.not_run),
        ("unknown", &summary.unknown),
        ("failed", &summary.failed),
    ] {
        for (code, count) in codes {
            let _ = writeln!(text, "    {what}: {code} {count}");
        }
    }
    text
}
