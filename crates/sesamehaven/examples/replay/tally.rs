//! What came of the requests.

use crate::caller::Request;
use crate::scene::KINDS;

/// The greatest credit of a large request, against the mean of its kind.
const SIZE_MAX: f64 = 4.0;
/// The part of the credit that does not depend on the size.
const SIZE_FREE: f64 = 0.3;

/// What came of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) owed: u32,
    pub(crate) served: u32,
    pub(crate) in_time: u32,
    pub(crate) large_owed: u32,
    pub(crate) large_served: u32,
}

/// What came of all requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) kinds: [Count; KINDS.len()],
    pub(crate) credit: f64,
    pub(crate) credit_owed: f64,
    /// How long callers waited for their refusals, as a part of the objective.
    pub(crate) refusals: Vec<f64>,
    /// The refusals while under half of the slots were taken.
    pub(crate) refused_beside_room: u32,
    pub(crate) read: u64,
    pub(crate) wasted: u64,
}

impl Tally {
    pub(crate) fn sent(&mut self, req: &Request) {
        if req.leaves_early {
            return;
        }
        let count = &mut self.kinds[req.kind];
        count.owed += 1;
        count.large_owed += u32::from(req.is_large);
        self.credit_owed += credit(req, KINDS[req.kind].credit.0);
    }

    pub(crate) fn refused(&mut self, req: &Request, now: u64, beside_room: bool) {
        let held = (now - req.sent) as f64 / KINDS[req.kind].objective_ms as f64;
        self.refusals.push(held);
        self.refused_beside_room += u32::from(beside_room);
    }

    pub(crate) fn serve(&mut self, req: &Request) {
        if req.leaves_early {
            return;
        }
        let count = &mut self.kinds[req.kind];
        count.served += 1;
        count.in_time += u32::from(!req.is_late);
        count.large_served += u32::from(req.is_large);
        let (full, late) = KINDS[req.kind].credit;
        self.credit += credit(req, if req.is_late { late } else { full });
    }

    pub(crate) fn fail(&mut self, req: &Request) {
        if req.first_event.is_some() {
            self.wasted += req.prompt;
        }
    }

    /// Returns the credit that was earned, as a part of what could be.
    pub(crate) fn worth(&self) -> f64 {
        self.credit / self.credit_owed.max(1.0)
    }

    /// Returns how often a kind was served.
    pub(crate) fn served(&self, kind: usize) -> f64 {
        share(self.kinds[kind].served, self.kinds[kind].owed)
    }

    /// Returns how often the largest requests of a kind were served.
    pub(crate) fn large_served(&self, kind: usize) -> f64 {
        share(self.kinds[kind].large_served, self.kinds[kind].large_owed)
    }

    /// Returns how often all requests were served.
    pub(crate) fn all_served(&self) -> f64 {
        let sum = |f: fn(&Count) -> u32| self.kinds.iter().map(f).sum();
        share(sum(|c| c.served), sum(|c| c.owed))
    }

    /// Returns the wait before a refusal that one in twenty exceeds, as a part of the objective.
    pub(crate) fn refusal_p95(&self) -> f64 {
        let mut sorted = self.refusals.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * 95 / 100).copied().unwrap_or(0.0)
    }
}

fn credit(req: &Request, full: f64) -> f64 {
    let size = req.prompt as f64 / KINDS[req.kind].prompt as f64;
    full * (SIZE_FREE + (1.0 - SIZE_FREE) * size).min(SIZE_MAX)
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
