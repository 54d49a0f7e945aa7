//! Counts of what became of the requests of a rollout, at the candidate and at the baseline.
//!
//! Each process counts its own requests and sends the totals to the others; their sums are assessed by
//! [`rollout_judge`](crate::rollout_judge).

use serde::{Deserialize, Serialize};

/// How many times as long as at the baseline a response has to take to count as slow.
///
/// The machines of one pool differ by factors of up to about 2.5 for a while.
const SLOW_RATIO: f64 = 4.0;
/// The number of responses over which the baseline's mean runs.
const MEAN_RESPONSES: u32 = 32;
/// The number of the baseline's responses from which its mean is used.
const MIN_RESPONSES: u32 = 8;
/// The maximum number of classes that one process counts, so that its totals fit into a digest.
const MAX_CLASSES: usize = 32;
/// The maximum number of endpoints that one process counts, so that its totals fit into a digest.
const MAX_ENDPOINTS: usize = 16;
/// The entry under which everything beyond these numbers is counted.
const OTHERS: u32 = 0;

/// The version of the software that answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that is rolled out.
    Candidate,
    /// The version that it shall replace.
    Baseline,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered in time.
    Good,
    /// It failed.
    Failed,
    /// It was answered, but slowly; see [`SpeedReference`].
    Slow,
}

/// How many requests ended, and how many of them badly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// All requests, including the failed and the slow ones.
    pub requests: u32,
    /// The requests that failed.
    pub failed: u32,
    /// The requests that were answered slowly.
    pub slow: u32,
}

impl Outcomes {
    /// Returns the number of requests that failed or were slow.
    pub fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// Returns the sum of both counts.
    pub(crate) fn plus(self, other: Outcomes) -> Outcomes {
        Outcomes {
            requests: self.requests.saturating_add(other.requests),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    /// Returns what was counted since `earlier`, or [`None`] if a count has decreased.
    pub(crate) fn since(self, earlier: Outcomes) -> Option<Outcomes> {
        Some(Outcomes {
            requests: self.requests.checked_sub(earlier.requests)?,
            failed: self.failed.checked_sub(earlier.failed)?,
            slow: self.slow.checked_sub(earlier.slow)?,
        })
    }

    fn record(&mut self, outcome: Outcome) {
        let one = Outcomes {
            requests: 1,
            failed: u32::from(outcome == Outcome::Failed),
            slow: u32::from(outcome == Outcome::Slow),
        };
        *self = self.plus(one);
    }
}

/// The outcomes of one class of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassOutcomes {
    /// The class.
    pub class: u32,
    /// The outcomes at the candidate.
    pub candidate: Outcomes,
    /// The outcomes at the baseline.
    pub baseline: Outcomes,
}

/// The outcomes at one endpoint of the candidate, over all classes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOutcomes {
    /// The endpoint.
    pub endpoint: u32,
    /// The outcomes there.
    pub outcomes: Outcomes,
}

/// The totals of one process, or their sums over processes.
///
/// Both sides have to be counted alike: only requests that were sent after the order was known, each
/// when its outcome is. If the baseline's requests from before counted as well, the first outcomes of
/// the candidate would be compared with the usual mix, although failures are known sooner than successes.
///
/// # Example
///
/// ```
/// use sesamehaven::rollout_evidence::{Evidence, Outcome, Side};
///
/// let mut own = Evidence::default();
/// own.record(Side::Candidate, 1, 7, Outcome::Good);
/// own.record(Side::Candidate, 1, 8, Outcome::Slow);
/// own.record(Side::Baseline, 1, 3, Outcome::Good);
///
/// let mut sum = Evidence::default();
/// sum.add(&own);
/// sum.add(&own);
/// assert_eq!(sum.candidate().requests, 4);
/// assert_eq!(sum.candidate().bad(), 2);
/// assert_eq!(sum.endpoints.len(), 2);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The outcomes by class, in ascending order.
    pub classes: Vec<ClassOutcomes>,
    /// The candidate's outcomes by endpoint, in ascending order.
    pub endpoints: Vec<EndpointOutcomes>,
}

impl Evidence {
    /// Counts a request of this process.
    ///
    /// Classes beyond the first 31 and endpoints beyond the first 15 are counted together as number 0, so
    /// that no class or endpoint of its own has this number. Only the candidate's endpoints are counted.
    pub fn record(&mut self, side: Side, class: u32, endpoint: u32, outcome: Outcome) {
        let is_known = |c: &ClassOutcomes| c.class == class;
        let class = match self.classes.len() + 1 < MAX_CLASSES || self.classes.iter().any(is_known)
        {
            true => class,
            false => OTHERS,
        };
        let entry = self.class_mut(class);
        match side {
            Side::Baseline => entry.baseline.record(outcome),
            Side::Candidate => {
                entry.candidate.record(outcome);
                self.record_endpoint(endpoint, outcome);
            }
        }
    }

    /// Adds the totals of another process, by class and endpoint.
    pub fn add(&mut self, other: &Evidence) {
        for class in &other.classes {
            let entry = self.class_mut(class.class);
            entry.candidate = entry.candidate.plus(class.candidate);
            entry.baseline = entry.baseline.plus(class.baseline);
        }
        for endpoint in &other.endpoints {
            let entry = self.endpoint_mut(endpoint.endpoint);
            *entry = entry.plus(endpoint.outcomes);
        }
    }

    /// Returns the candidate's outcomes over all classes.
    pub fn candidate(&self) -> Outcomes {
        let sides = self.classes.iter().map(|c| c.candidate);
        sides.fold(Outcomes::default(), Outcomes::plus)
    }

    /// Returns the baseline's outcomes over all classes.
    pub fn baseline(&self) -> Outcomes {
        let sides = self.classes.iter().map(|c| c.baseline);
        sides.fold(Outcomes::default(), Outcomes::plus)
    }

    /// Returns the outcomes of a class, zero if there are none.
    pub(crate) fn class(&self, class: u32) -> ClassOutcomes {
        let at = self.classes.binary_search_by_key(&class, |c| c.class);
        let known = at.ok().and_then(|i| self.classes.get(i).copied());
        known.unwrap_or(ClassOutcomes {
            class,
            ..ClassOutcomes::default()
        })
    }

    /// Returns the candidate's outcomes at an endpoint, zero if there are none.
    pub(crate) fn endpoint(&self, endpoint: u32) -> Outcomes {
        let at = self
            .endpoints
            .binary_search_by_key(&endpoint, |e| e.endpoint);
        let known = at.ok().and_then(|i| self.endpoints.get(i));
        known.map(|e| e.outcomes).unwrap_or_default()
    }

    fn record_endpoint(&mut self, endpoint: u32, outcome: Outcome) {
        let is_known = |e: &EndpointOutcomes| e.endpoint == endpoint;
        let has_room = self.endpoints.len() + 1 < MAX_ENDPOINTS;
        let endpoint = match has_room || self.endpoints.iter().any(is_known) {
            true => endpoint,
            false => OTHERS,
        };
        self.endpoint_mut(endpoint).record(outcome);
    }

    fn class_mut(&mut self, class: u32) -> &mut ClassOutcomes {
        let at = match self.classes.binary_search_by_key(&class, |c| c.class) {
            Ok(at) => at,
            Err(at) => {
                let entry = ClassOutcomes {
                    class,
                    ..ClassOutcomes::default()
                };
                self.classes.insert(at, entry);
                at
            }
        };
        &mut self.classes[at]
    }

    fn endpoint_mut(&mut self, endpoint: u32) -> &mut Outcomes {
        let at = self
            .endpoints
            .binary_search_by_key(&endpoint, |e| e.endpoint);
        let at = match at {
            Ok(at) => at,
            Err(at) => {
                let outcomes = Outcomes::default();
                let entry = EndpointOutcomes { endpoint, outcomes };
                self.endpoints.insert(at, entry);
                at
            }
        };
        &mut self.endpoints[at].outcomes
    }
}

/// The running mean of one class.
#[derive(Debug, Clone, Copy)]
struct RunningMean {
    class: u32,
    responses: u32,
    mean: f64,
}

impl RunningMean {
    /// Returns whether the ratio is far above the mean; without enough responses, nothing is.
    fn is_slow(&self, ratio: f64) -> bool {
        self.responses >= MIN_RESPONSES && ratio > self.mean * SLOW_RATIO
    }

    fn observe(&mut self, ratio: f64) {
        // A single response that takes very long would hide the slow ones after it. A pool that
        // slows down as a whole still raises the mean within some ten responses.
        let ratio = match self.responses >= MIN_RESPONSES {
            true => ratio.min(self.mean * SLOW_RATIO),
            false => ratio,
        };
        self.responses = (self.responses + 1).min(MEAN_RESPONSES);
        self.mean += (ratio - self.mean) / f64::from(self.responses);
    }
}

/// Decides whether a response was slow, relative to the baseline's running mean of the class.
///
/// # Example
///
/// ```
/// use sesamehaven::rollout_evidence::{Side, SpeedReference};
///
/// let mut reference = SpeedReference::default();
/// for _ in 0..20 {
///     assert!(!reference.observe(Side::Baseline, 1, 1.1));
/// }
/// assert!(reference.observe(Side::Candidate, 1, 8.0));
/// assert!(!reference.observe(Side::Candidate, 1, 2.5));
/// ```
#[derive(Debug, Default)]
pub struct SpeedReference {
    classes: Vec<RunningMean>,
}

impl SpeedReference {
    /// Returns whether a response was slow; those of the baseline also change the reference.
    ///
    /// `ratio` is the time to the first event, relative to the time expected for the size of the request.
    /// One that is not a positive number is ignored. A class of which the baseline has answered fewer
    /// than eight requests has no slow responses.
    pub fn observe(&mut self, side: Side, class: u32, ratio: f64) -> bool {
        if !ratio.is_finite() || ratio <= 0.0 {
            return false;
        }
        let is_known = self.classes.iter().any(|c| c.class == class);
        let class = match is_known || self.classes.len() + 1 < MAX_CLASSES {
            true => class,
            false => OTHERS,
        };
        let known = self.classes.iter_mut().find(|c| c.class == class);
        match (known, side) {
            (Some(mean), Side::Candidate) => mean.is_slow(ratio),
            (Some(mean), Side::Baseline) => {
                let is_slow = mean.is_slow(ratio);
                mean.observe(ratio);
                is_slow
            }
            (None, Side::Candidate) => false,
            (None, Side::Baseline) => {
                self.classes.push(RunningMean {
                    class,
                    responses: 1,
                    mean: ratio,
                });
                false
            }
        }
    }
}
