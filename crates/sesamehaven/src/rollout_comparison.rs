//! The comparison of a candidate's bad responses with the baseline's, and of its endpoints with each other.

use smallvec::SmallVec;

use crate::rollout_evidence::{ClassOutcomes, Evidence, Outcomes};

/// The part of the candidate's endpoints that may be slow or broken while the version is good.
const EXCLUDED_PART: usize = 4;
/// The chance with which more endpoints are broken than are excluded, if the baseline's bad responses are
/// due to broken endpoints.
const EXCLUSION_CHANCE: f64 = 0.001;

/// The candidate's bad responses in comparison with the baseline.
///
/// Each slice of time is compared on its own: if both sides fail more for a while, and the candidate has
/// more requests then than at other times, the totals alone would show a difference that there is not.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Comparison {
    /// The candidate's requests.
    pub(crate) requests: f64,
    bad: f64,
    /// The bad responses that the candidate would have had at the baseline's rates.
    expected: f64,
    /// The sum of `requests² / baseline requests`, from which the precision of `expected` follows.
    imprecision: f64,
}

impl Comparison {
    /// Compares what happened in one slice; nothing is known without responses of the baseline.
    pub(crate) fn of(slice: ClassOutcomes) -> Self {
        if slice.baseline.requests == 0 {
            return Comparison::default();
        }
        let [requests, bad] = counts(slice.candidate);
        let [base_requests, base_bad] = counts(slice.baseline);
        Comparison {
            requests,
            bad,
            expected: requests * base_bad / base_requests,
            imprecision: requests * requests / base_requests,
        }
    }

    /// Returns the comparison over both slices or classes.
    pub(crate) fn plus(self, other: Comparison) -> Comparison {
        Comparison {
            requests: self.requests + other.requests,
            bad: self.bad + other.bad,
            expected: self.expected + other.expected,
            imprecision: self.imprecision + other.imprecision,
        }
    }

    /// Returns the bad responses above the expected ones.
    pub(crate) fn excess(self) -> f64 {
        self.bad - self.expected
    }

    /// Returns the excess per request.
    pub(crate) fn excess_share(self) -> f64 {
        ratio(self.excess(), self.requests)
    }

    /// Returns the share of bad responses that the baseline would have had.
    pub(crate) fn expected_share(self) -> f64 {
        ratio(self.expected, self.requests)
    }

    /// Returns the log-likelihood ratio of different rates at both sides against the same one, zero if the
    /// candidate is not worse.
    pub(crate) fn score(self) -> f64 {
        if self.excess() <= 0.0 {
            return 0.0;
        }
        let baseline = ratio(self.requests * self.requests, self.imprecision);
        let (share, base_share) = (ratio(self.bad, self.requests), self.expected_share());
        let common = ratio(self.bad + baseline * base_share, self.requests + baseline);
        self.requests * divergence(share, common) + baseline * divergence(base_share, common)
    }

    /// Returns the comparison without some endpoints, all of whose bad responses above the expected ones are
    /// deducted.
    pub(crate) fn without(self, excluded: Excluded) -> Comparison {
        let kept = (1.0 - excluded.part).max(0.0);
        let expected = self.expected * kept;
        Comparison {
            requests: self.requests * kept,
            bad: (expected + self.excess() - excluded.excess).clamp(0.0, self.requests * kept),
            expected,
            imprecision: self.imprecision * kept * kept,
        }
    }
}

/// The endpoints that are excluded as the worst ones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Excluded {
    /// Their part of the candidate's requests.
    part: f64,
    /// Their bad responses above the expected ones.
    excess: f64,
}

/// How many of the candidate's endpoints are excluded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exclusion {
    /// A quarter.
    Quarter,
    /// As many as may be broken by chance, at least a quarter.
    Chance,
}

/// Returns the worst of the candidate's endpoints, by their bad responses above the expected ones.
pub(crate) fn excluded(evidence: &Evidence, expected_share: f64, exclusion: Exclusion) -> Excluded {
    let used = evidence.endpoints.iter().map(|e| counts(e.outcomes));
    let mut used: SmallVec<[(f64, f64); 16]> = used
        .filter(|[requests, _]| *requests > 0.0)
        .map(|[requests, bad]| (bad - requests * expected_share, requests))
        .collect();
    used.sort_by(|a, b| b.0.total_cmp(&a.0));
    let all: f64 = used.iter().map(|(_, requests)| requests).sum();
    let count = match exclusion {
        Exclusion::Quarter => quarter(used.len()),
        Exclusion::Chance => quarter(used.len()).max(broken_by_chance(used.len(), expected_share)),
    };
    let worst = used.iter().take(count.min(used.len().saturating_sub(1)));
    let (excess, requests) = worst.fold((0.0, 0.0), |sum, e| (sum.0 + e.0.max(0.0), sum.1 + e.1));
    Excluded {
        part: ratio(requests, all),
        excess,
    }
}

fn quarter(endpoints: usize) -> usize {
    endpoints.div_ceil(EXCLUDED_PART)
}

/// Returns how many of some endpoints may be broken, if a share of all endpoints is.
fn broken_by_chance(endpoints: usize, share: f64) -> usize {
    let share = share.clamp(0.0, 1.0);
    let mut chance_of_more = 1.0;
    let mut count = 0;
    for broken in 0..endpoints {
        chance_of_more -= binomial(endpoints, broken, share);
        count = broken;
        if chance_of_more <= EXCLUSION_CHANCE {
            break;
        }
    }
    count
}

/// Returns the chance of `k` successes of `n`.
fn binomial(n: usize, k: usize, share: f64) -> f64 {
    let ways = (0..k).fold(1.0, |ways, i| ways * (n - i) as f64 / (i + 1) as f64);
    ways * share.powi(k as i32) * (1.0 - share).powi((n - k) as i32)
}

/// Returns the numbers of requests and of bad ones among them.
fn counts(outcomes: Outcomes) -> [f64; 2] {
    let requests = outcomes.requests;
    [requests, outcomes.bad().min(requests)].map(f64::from)
}

/// Returns the Kullback-Leibler divergence between two shares.
fn divergence(share: f64, from: f64) -> f64 {
    let term = |a: f64, b: f64| match a > 0.0 {
        true => a * (a / b).ln(),
        false => 0.0,
    };
    term(share, from) + term(1.0 - share, 1.0 - from)
}

fn ratio(a: f64, b: f64) -> f64 {
    match b > 0.0 {
        true => a / b,
        false => 0.0,
    }
}
