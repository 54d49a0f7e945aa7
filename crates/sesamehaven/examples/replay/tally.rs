//! The results of a simulation.

use crate::caller::Request;
use crate::scenario::CLASSES;

/// The maximum credit of a large request, relative to the mean of its class.
const MAX_SIZE_CREDIT: f64 = 4.0;
/// The share of the credit that does not depend on the request size.
const FIXED_CREDIT_SHARE: f64 = 0.3;

/// The results of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) expected: u32,
    pub(crate) served: u32,
    pub(crate) in_time: u32,
    pub(crate) large_expected: u32,
    pub(crate) large_served: u32,
}

/// The results of all requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) classes: [Count; CLASSES.len()],
    pub(crate) credit: f64,
    pub(crate) possible_credit: f64,
    /// The waiting times before refusals, as shares of the objective.
    pub(crate) refusals: Vec<f64>,
    /// The number of refusals while fewer than half of the slots were taken.
    pub(crate) refused_with_free_slots: u32,
    pub(crate) prefilled: u64,
    pub(crate) wasted: u64,
}

impl Tally {
    pub(crate) fn sent(&mut self, req: &Request) {
        if req.disconnects_early {
            return;
        }
        let count = &mut self.classes[req.class];
        count.expected += 1;
        count.large_expected += u32::from(req.is_large);
        self.possible_credit += credit(req, CLASSES[req.class].credit.0);
    }

    pub(crate) fn refused(&mut self, req: &Request, now: u64, has_free_slots: bool) {
        let waited = (now - req.sent) as f64 / CLASSES[req.class].objective_ms as f64;
        self.refusals.push(waited);
        self.refused_with_free_slots += u32::from(has_free_slots);
    }

    pub(crate) fn serve(&mut self, req: &Request) {
        if req.disconnects_early {
            return;
        }
        let count = &mut self.classes[req.class];
        count.served += 1;
        count.in_time += u32::from(!req.is_late);
        count.large_served += u32::from(req.is_large);
        let (full, late) = CLASSES[req.class].credit;
        self.credit += credit(req, if req.is_late { late } else { full });
    }

    pub(crate) fn fail(&mut self, req: &Request) {
        if req.first_event.is_some() {
            self.wasted += req.prompt;
        }
    }

    /// Returns the earned credit as a share of the possible credit.
    pub(crate) fn credit_share(&self) -> f64 {
        self.credit / self.possible_credit.max(1.0)
    }

    /// Returns the served share of a class.
    pub(crate) fn served(&self, class: usize) -> f64 {
        share(self.classes[class].served, self.classes[class].expected)
    }

    /// Returns the served share of the largest requests of a class.
    pub(crate) fn large_served(&self, class: usize) -> f64 {
        share(
            self.classes[class].large_served,
            self.classes[class].large_expected,
        )
    }

    /// Returns the served share of all requests.
    pub(crate) fn all_served(&self) -> f64 {
        let sum = |f: fn(&Count) -> u32| self.classes.iter().map(f).sum();
        share(sum(|c| c.served), sum(|c| c.expected))
    }

    /// Returns the 95th percentile of the wait before a refusal, as a share of the objective.
    pub(crate) fn refusal_p95(&self) -> f64 {
        let mut sorted = self.refusals.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * 95 / 100).copied().unwrap_or(0.0)
    }
}

fn credit(req: &Request, full: f64) -> f64 {
    let size = req.prompt as f64 / CLASSES[req.class].prompt as f64;
    full * (FIXED_CREDIT_SHARE + (1.0 - FIXED_CREDIT_SHARE) * size).min(MAX_SIZE_CREDIT)
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
