//! Goodput and the burn rate of service-level objectives.
//!
//! See [`docs/SLO.md`](../../../docs/SLO.md).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::config::Objective;
use crate::id::OrganisationName;
use crate::outcome::Refusal;
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The width of the buckets for short windows.
const FINE_BUCKET: Millis = Millis(10_000);
/// The number of buckets for short windows, one more than the longest of them spans,
/// since the current bucket is partial.
const FINE_BUCKETS: usize = 31;
/// The width of the buckets for long windows.
const COARSE_BUCKET: Millis = Millis(300_000);
/// The number of buckets for long windows, one more than the longest of them spans,
/// since the current bucket is partial.
const COARSE_BUCKETS: usize = 73;
/// The maximum number of organisations that are counted individually.
const ORGANISATIONS_MAX: usize = 256;

/// The windows over which the burn rate is reported.
pub const WINDOWS: [Millis; 4] = [
    Millis(300_000),
    Millis(1_800_000),
    Millis(3_600_000),
    Millis(21_600_000),
];

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was delivered.
    Answered {
        /// Whether the last chunk arrived before the deadline.
        in_time: bool,
        /// The time to the first token.
        first_token: Millis,
        /// The mean time between tokens.
        between_tokens: Millis,
    },
    /// The response reported an unknown outcome.
    Unknown,
    /// The response reported that the request was not run.
    NotRun(Refusal),
}

/// Request counts by outcome, and the prefill that the requests required.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Answered before the deadline and within the objective.
    pub good: u64,
    /// Answered before the deadline, but the first token was late or the tokens slow.
    pub slow: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Not run, since capacity, time, endpoints or the platform were lacking.
    pub refused: u64,
    /// Not run, for a reason attributable to the caller or the request.
    pub rejected: u64,
    /// Prompt tokens that were prefilled.
    pub prefill: u64,
    /// Prefilled prompt tokens whose response was not delivered, or that were cached
    /// at another endpoint.
    pub wasted_prefill: u64,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, outcome: Outcome, objective: &Objective) {
        let count = match outcome {
            Outcome::Answered { in_time: false, .. } => &mut self.late,
            Outcome::Answered {
                first_token,
                between_tokens,
                ..
            } if first_token > objective.first_token
                || between_tokens > objective.between_tokens =>
            {
                &mut self.slow
            }
            Outcome::Answered { .. } => &mut self.good,
            Outcome::Unknown => &mut self.unknown,
            Outcome::NotRun(Refusal::Limited | Refusal::Abandoned | Refusal::Quarantined) => {
                &mut self.rejected
            }
            Outcome::NotRun(_) => &mut self.refused,
        };
        *count += 1;
    }

    /// Adds the counts of another process or bucket.
    pub fn merge(&mut self, other: &Counts) {
        self.good += other.good;
        self.slow += other.slow;
        self.late += other.late;
        self.unknown += other.unknown;
        self.refused += other.refused;
        self.rejected += other.rejected;
        self.prefill += other.prefill;
        self.wasted_prefill += other.wasted_prefill;
    }

    /// Returns the number of requests to which the objective applies.
    pub fn eligible(&self) -> u64 {
        self.good + self.slow + self.late + self.unknown + self.refused
    }

    /// Returns the share of requests that were answered before their deadline.
    pub fn goodput(&self) -> Option<f64> {
        ratio(self.good + self.slow, self.eligible())
    }

    /// Returns the share of prefill that was wasted.
    pub fn waste(&self) -> Option<f64> {
        ratio(self.wasted_prefill, self.prefill)
    }

    /// Returns the burn rate of the error budget. At a rate of one, the budget lasts
    /// exactly as long as the period of the objective.
    pub fn burn_rate(&self, objective_percent: f64) -> Option<f64> {
        let bad_ratio = ratio(self.eligible() - self.good, self.eligible())?;
        // A budget of at least 0.001 percent avoids a division by zero.
        let budget = (100.0 - objective_percent).max(0.001) / 100.0;
        Some(bad_ratio / budget)
    }
}

fn ratio(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}

/// Counts over the past several hours, in buckets of two widths.
#[derive(Debug, Clone, Default)]
pub struct WindowedCounts {
    total: Counts,
    fine: VecDeque<(u64, Counts)>,
    coarse: VecDeque<(u64, Counts)>,
}

impl WindowedCounts {
    /// Updates the counts of the current buckets and the total.
    pub fn update(&mut self, now: Instant, change: impl Fn(&mut Counts)) {
        change(&mut self.total);
        change(bucket(&mut self.fine, now.0 / FINE_BUCKET.0, FINE_BUCKETS));
        change(bucket(
            &mut self.coarse,
            now.0 / COARSE_BUCKET.0,
            COARSE_BUCKETS,
        ));
    }

    /// Returns the counts since the start of the process.
    pub fn total(&self) -> Counts {
        self.total
    }

    /// Returns the counts of the latest `window`, rounded up to whole buckets.
    pub fn window(&self, window: Millis, now: Instant) -> Counts {
        let (buckets, span) = if window <= WINDOWS[0] {
            (&self.fine, FINE_BUCKET)
        } else {
            (&self.coarse, COARSE_BUCKET)
        };
        let first = now.0.saturating_sub(window.0) / span.0;
        let mut sum = Counts::default();
        let recent = buckets.iter().filter(|(number, _)| *number >= first);
        recent.for_each(|(_, counts)| sum.merge(counts));
        sum
    }
}

fn bucket(buckets: &mut VecDeque<(u64, Counts)>, number: u64, max_buckets: usize) -> &mut Counts {
    if buckets.back().is_none_or(|(last, _)| *last < number) {
        buckets.push_back((number, Counts::default()));
        if buckets.len() > max_buckets {
            buckets.pop_front();
        }
    }
    let last = buckets.len() - 1;
    &mut buckets[last].1
}

/// The SLO counters of one process, by tier and by organisation.
#[derive(Debug, Default)]
pub struct SloCounters {
    tiers: [WindowedCounts; Tier::COUNT],
    organisations: BTreeMap<OrganisationName, Counts>,
    others: Counts,
}

impl SloCounters {
    /// Counts a completed request.
    pub fn add(
        &mut self,
        tier: Tier,
        organisation: &OrganisationName,
        outcome: Outcome,
        objective: &Objective,
        now: Instant,
    ) {
        self.tiers[tier.index()].update(now, |c| c.add(outcome, objective));
        self.organisation(organisation).add(outcome, objective);
    }

    /// Counts prefilled tokens and the wasted part of them.
    pub fn add_prefill(
        &mut self,
        tier: Tier,
        organisation: &OrganisationName,
        prefill: u64,
        wasted: u64,
        now: Instant,
    ) {
        let change = |c: &mut Counts| {
            c.prefill += prefill;
            c.wasted_prefill += wasted;
        };
        self.tiers[tier.index()].update(now, change);
        change(self.organisation(organisation));
    }

    /// Returns a snapshot that can be merged with those of other processes.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let tier = |history: &WindowedCounts| TierCounts {
            total: history.total(),
            windows: WINDOWS.map(|w| history.window(w, now)),
        };
        Snapshot {
            tiers: self.tiers.iter().map(tier).collect(),
            organisations: self.organisations.clone(),
            others: self.others,
        }
    }

    fn organisation(&mut self, name: &OrganisationName) -> &mut Counts {
        let is_tracked = self.organisations.contains_key(name);
        if !is_tracked && self.organisations.len() >= ORGANISATIONS_MAX {
            return &mut self.others;
        }
        self.organisations.entry(name.clone()).or_default()
    }
}

/// The counts of one tier.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TierCounts {
    /// The counts since the start of the processes.
    pub total: Counts,
    /// The counts over each of [`WINDOWS`].
    pub windows: [Counts; WINDOWS.len()],
}

/// The SLO counters of one or more processes at a point in time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The counts by tier, the most urgent first.
    pub tiers: Vec<TierCounts>,
    /// The counts of the organisations that are counted individually.
    pub organisations: BTreeMap<OrganisationName, Counts>,
    /// The combined counts of all other organisations.
    pub others: Counts,
}

impl Snapshot {
    /// Merges the counters of another process.
    pub fn merge(&mut self, other: &Snapshot) {
        let len = self.tiers.len().max(other.tiers.len());
        self.tiers.resize_with(len, TierCounts::default);
        for (own, theirs) in self.tiers.iter_mut().zip(&other.tiers) {
            own.total.merge(&theirs.total);
            let windows = own.windows.iter_mut().zip(&theirs.windows);
            windows.for_each(|(a, b)| a.merge(b));
        }
        for (name, counts) in &other.organisations {
            let own = self.organisations.entry(name.clone()).or_default();
            own.merge(counts);
        }
        self.others.merge(&other.others);
    }

    /// Returns the alert level of a tier, given its objective.
    pub fn alert(&self, tier: Tier, objective_percent: f64) -> Alert {
        let Some(counts) = self.tiers.get(tier.index()) else {
            return Alert::None;
        };
        let burn = counts.windows.map(|w| w.burn_rate(objective_percent));
        let above = |window: Option<f64>, rate| window.is_some_and(|b| b > rate);
        let [five_min, half_hour, hour, six_hours] = burn;
        if above(five_min, PAGE_BURN_RATE) && above(hour, PAGE_BURN_RATE) {
            return Alert::Page;
        }
        if above(half_hour, TICKET_BURN_RATE) && above(six_hours, TICKET_BURN_RATE) {
            return Alert::Ticket;
        }
        Alert::None
    }
}

/// The burn rate at which the error budget of a month lasts two days.
const PAGE_BURN_RATE: f64 = 14.4;
/// The burn rate at which the error budget of a month lasts five days.
const TICKET_BURN_RATE: f64 = 6.0;

/// The alert level of a burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No action required.
    None,
    /// Requires attention during working hours.
    Ticket,
    /// Requires immediate attention; pages the on-call engineer.
    Page,
}
