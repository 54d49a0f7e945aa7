//! What runs at an endpoint.

use std::collections::{BTreeSet, HashMap};

use crate::config::Repeat;
use crate::id::RequestId;
use crate::tier::Tier;
use crate::unit::Instant;

/// A request that has been dispatched.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// The rank.
    pub tier: Tier,
    /// The work as it counts against the limit, in tokens.
    pub counted: u64,
    /// The estimated length of the prompt, in tokens.
    pub prompt: u64,
    /// The prompt as it counts against the prefill window, in tokens.
    pub prefill: u64,
    /// Whether it came out of the lane for long work.
    pub long: bool,
    /// Whether it was near a crash of an endpoint before.
    pub suspect: bool,
    /// How often the call may run.
    pub repeat: Repeat,
    /// The digest of the content.
    pub fingerprint: u64,
    /// When it was dispatched.
    pub dispatched: Instant,
    /// The prefill time that each waiting run had been given by then.
    pub served: f64,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// When the last token arrived that was measured.
    pub last_token: Instant,
    /// Tokens that arrived since then.
    pub unmeasured: u32,
    /// Whether it is being cancelled for more urgent work.
    pub cancelling: bool,
    /// Whether its late first token has been counted.
    pub late: bool,
}

/// The requests that run at one endpoint, with sums by tier.
#[derive(Debug, Default)]
pub struct Running {
    runs: HashMap<RequestId, Run>,
    waiting: BTreeSet<(Instant, RequestId)>,
    counted: [u64; Tier::COUNT],
    prefill: [u64; Tier::COUNT],
    long: [u32; Tier::COUNT],
    long_prefill: [u32; Tier::COUNT],
    suspects: u32,
    served: f64,
    served_at: Instant,
}

impl Running {
    /// Adds a run that is dispatched now.
    pub fn insert(&mut self, id: RequestId, mut run: Run) {
        self.advance(run.dispatched);
        run.served = self.served;
        let i = run.tier.index();
        self.counted[i] += run.counted;
        self.prefill[i] += run.prefill;
        self.long[i] += u32::from(run.long);
        self.long_prefill[i] += u32::from(run.long);
        self.suspects += u32::from(run.suspect);
        self.waiting.insert((run.dispatched, id));
        self.runs.insert(id, run);
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, id: RequestId, now: Instant) -> Option<Run> {
        self.advance(now);
        let run = self.runs.remove(&id)?;
        let i = run.tier.index();
        self.counted[i] -= run.counted;
        self.long[i] -= u32::from(run.long);
        self.suspects -= u32::from(run.suspect);
        if run.first_token.is_none() {
            self.end_prefill(id, &run);
        }
        Some(run)
    }

    /// Notes a first token; returns the run as it was before, and the prefill
    /// time that went to it.
    pub fn first_token(&mut self, id: RequestId, now: Instant) -> Option<(Run, f64)> {
        self.advance(now);
        let run = self.runs.get_mut(&id)?;
        if run.first_token.is_some() {
            return None;
        }
        let before = *run;
        run.first_token = Some(now);
        run.last_token = now;
        self.end_prefill(id, &before);
        Some((before, self.served - before.served))
    }

    /// Notes further tokens; returns how many came in what time, in milliseconds.
    ///
    /// Tokens that arrive within a millisecond are counted with those that
    /// follow; those that come with the first token took no time of their own.
    pub fn tokens(&mut self, id: RequestId, count: u32, now: Instant) -> Option<(u32, u64)> {
        let run = self.runs.get_mut(&id)?;
        let first_token = run.first_token?;
        if now == first_token {
            return None;
        }
        run.unmeasured = run.unmeasured.saturating_add(count);
        let gap = now.since(run.last_token).0;
        if gap == 0 || run.unmeasured == 0 {
            return None;
        }
        run.last_token = now;
        Some((std::mem::take(&mut run.unmeasured), gap))
    }

    /// Shares the time since the last change evenly among the waiting runs.
    ///
    /// An engine may also prefill one prompt after the other: single times are
    /// then too long or too short, but they still add up to the time that the
    /// engine was busy.
    fn advance(&mut self, now: Instant) {
        let span = now.since(self.served_at).0 as f64;
        self.served_at = now.max(self.served_at);
        if !self.waiting.is_empty() {
            self.served += span / self.waiting.len() as f64;
        }
    }

    fn end_prefill(&mut self, id: RequestId, run: &Run) {
        let i = run.tier.index();
        self.prefill[i] -= run.prefill;
        self.long_prefill[i] -= u32::from(run.long);
        self.waiting.remove(&(run.dispatched, id));
    }

    /// Returns a run.
    pub fn get(&self, id: RequestId) -> Option<&Run> {
        self.runs.get(&id)
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Lists the runs.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Run)> {
        self.runs.iter().map(|(id, run)| (*id, run))
    }

    /// Returns all work that runs, as it counts against the limit.
    pub fn counted(&self) -> u64 {
        self.counted.iter().sum()
    }

    /// Returns the prompts of a tier and above that wait for their first token.
    pub fn prefill_down_to(&self, tier: Tier) -> u64 {
        self.prefill[..=tier.index()].iter().sum()
    }

    /// Returns the long runs of a tier and above.
    pub fn long_down_to(&self, tier: Tier) -> u32 {
        self.long[..=tier.index()].iter().sum()
    }

    /// Returns the long runs of a tier and above that wait for their first token.
    pub fn long_prefill_down_to(&self, tier: Tier) -> u32 {
        self.long_prefill[..=tier.index()].iter().sum()
    }

    /// Returns whether a suspect runs.
    pub fn has_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// Returns the run that has waited longest for its first token.
    pub fn oldest_waiting(&self) -> Option<(Instant, RequestId)> {
        self.waiting.first().copied()
    }

    /// Marks a run's first token as late; returns whether it was not before.
    pub fn mark_late(&mut self, id: RequestId) -> bool {
        let Some(run) = self.runs.get_mut(&id) else {
            return false;
        };
        !std::mem::replace(&mut run.late, true)
    }

    /// Picks a run to cancel for work of a more urgent tier.
    ///
    /// Only idempotent work is picked: of the least urgent tier, that which
    /// was dispatched last, since the least prefill is lost with it.
    pub fn preempt(&mut self, tier: Tier) -> Option<RequestId> {
        if self.runs.values().any(|r| r.cancelling) {
            return None;
        }
        let may_go = |r: &Run| tier.outranks(r.tier) && r.repeat == Repeat::Idempotent;
        let candidates = self.runs.iter_mut().filter(|(_, r)| may_go(r));
        let (id, run) = candidates.max_by_key(|(id, r)| (r.tier, r.dispatched, **id))?;
        run.cancelling = true;
        Some(*id)
    }
}
