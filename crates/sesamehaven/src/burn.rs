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

/// The length of the buckets for short windows.
const FINE: Millis = Millis(10_000);
/// The number of buckets for short windows.
const FINE_LEN: usize = 31;
/// The length of the buckets for long windows.
const COARSE: Millis = Millis(300_000);
/// The number of buckets for long windows.
const COARSE_LEN: usize = 73;
/// The organisations that are counted one by one.
const ORGANISATIONS: usize = 256;

/// The windows over which the burn rate is given.
pub const WINDOWS: [Millis; 4] = [
    Millis(300_000),
    Millis(1_800_000),
    Millis(3_600_000),
    Millis(21_600_000),
];

/// How a request came out for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered {
        /// Whether the last part arrived before the deadline.
        in_time: bool,
        /// The time to the first token.
        first_token: Millis,
        /// The mean time between tokens.
        between_tokens: Millis,
    },
    /// The caller was told that the outcome is unknown.
    Unknown,
    /// The caller was told that the request was not run.
    NotRun(Refusal),
}

/// Requests by how they came out, and the prefill that they took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Answered inside the deadline and within the objective.
    pub good: u64,
    /// Answered inside the deadline, with a late first token or slow tokens.
    pub slow: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Not run, for want of room, time or an endpoint.
    pub refused: u64,
    /// Not run, for a reason that lies with the caller.
    pub rejected: u64,
    /// Prompt tokens that were prefilled.
    pub prefill: u64,
    /// Prompt tokens whose answer nobody got, or that a cache elsewhere held.
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

    /// Returns the requests that the objective speaks of.
    pub fn eligible(&self) -> u64 {
        self.good + self.slow + self.late + self.unknown + self.refused
    }

    /// Returns the share of requests that were answered inside their deadline.
    pub fn goodput(&self) -> Option<f64> {
        ratio(self.good + self.slow, self.eligible())
    }

    /// Returns the share of all prefill that was wasted.
    pub fn waste(&self) -> Option<f64> {
        ratio(self.wasted_prefill, self.prefill)
    }

    /// Returns how fast the error budget is spent; at one it lasts just as
    /// long as the objective's period.
    pub fn burn_rate(&self, objective_percent: f64) -> Option<f64> {
        let missed = ratio(self.eligible() - self.good, self.eligible())?;
        let budget = (100.0 - objective_percent).max(0.001) / 100.0;
        Some(missed / budget)
    }
}

fn ratio(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}

/// Counts over a past of several hours, in buckets of two lengths.
#[derive(Debug, Clone, Default)]
pub struct History {
    total: Counts,
    fine: VecDeque<(u64, Counts)>,
    coarse: VecDeque<(u64, Counts)>,
}

impl History {
    /// Changes the counts of the present.
    pub fn update(&mut self, now: Instant, change: impl Fn(&mut Counts)) {
        change(&mut self.total);
        change(bucket(&mut self.fine, now.0 / FINE.0, FINE_LEN));
        change(bucket(&mut self.coarse, now.0 / COARSE.0, COARSE_LEN));
    }

    /// Returns the counts since the start of the process.
    pub fn total(&self) -> Counts {
        self.total
    }

    /// Returns the counts of the last `window`, rounded up to whole buckets.
    pub fn window(&self, window: Millis, now: Instant) -> Counts {
        let (buckets, span) = if window <= WINDOWS[0] {
            (&self.fine, FINE)
        } else {
            (&self.coarse, COARSE)
        };
        let first = now.0.saturating_sub(window.0) / span.0;
        let mut sum = Counts::default();
        let recent = buckets.iter().filter(|(number, _)| *number >= first);
        recent.for_each(|(_, counts)| sum.merge(counts));
        sum
    }
}

fn bucket(buckets: &mut VecDeque<(u64, Counts)>, number: u64, most: usize) -> &mut Counts {
    if buckets.back().is_none_or(|(last, _)| *last < number) {
        buckets.push_back((number, Counts::default()));
        if buckets.len() > most {
            buckets.pop_front();
        }
    }
    let last = buckets.len() - 1;
    &mut buckets[last].1
}

/// The counters of one process, by tier and by organisation.
#[derive(Debug, Default)]
pub struct SloCounters {
    tiers: [History; Tier::COUNT],
    organisations: BTreeMap<OrganisationName, Counts>,
    others: Counts,
}

impl SloCounters {
    /// Counts a request that has come out.
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

    /// Counts prefill, and how much of it was wasted.
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

    /// Returns the counts as a value that can be summed over processes.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let tier = |history: &History| TierCounts {
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
        let known = self.organisations.contains_key(name);
        if !known && self.organisations.len() >= ORGANISATIONS {
            return &mut self.others;
        }
        self.organisations.entry(name.clone()).or_default()
    }
}

/// The counts of one tier.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TierCounts {
    /// Since the start of the processes.
    pub total: Counts,
    /// Over each of [`WINDOWS`].
    pub windows: [Counts; WINDOWS.len()],
}

/// The counters of one or more processes at one time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// By tier, the most urgent first.
    pub tiers: Vec<TierCounts>,
    /// By organisation, for those that are counted one by one.
    pub organisations: BTreeMap<OrganisationName, Counts>,
    /// All further organisations.
    pub others: Counts,
}

impl Snapshot {
    /// Adds the counters of another process.
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

    /// Judges a tier against its objective.
    pub fn alert(&self, tier: Tier, objective_percent: f64) -> Alert {
        let Some(counts) = self.tiers.get(tier.index()) else {
            return Alert::None;
        };
        let burn = counts.windows.map(|w| w.burn_rate(objective_percent));
        let above = |window: Option<f64>, rate| window.is_some_and(|b| b > rate);
        let [five_min, half_hour, hour, six_hours] = burn;
        if above(five_min, PAGE_BURN) && above(hour, PAGE_BURN) {
            return Alert::Page;
        }
        if above(half_hour, TICKET_BURN) && above(six_hours, TICKET_BURN) {
            return Alert::Ticket;
        }
        Alert::None
    }
}

/// The burn rate at which a month's budget lasts for two days.
const PAGE_BURN: f64 = 14.4;
/// The burn rate at which a month's budget lasts for five days.
const TICKET_BURN: f64 = 6.0;

/// Whether somebody has to act on a burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// The objective is met.
    None,
    /// Somebody has to look into it during working hours.
    Ticket,
    /// Somebody has to be woken.
    Page,
}
