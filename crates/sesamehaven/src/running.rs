//! The requests that run at an endpoint.

use std::collections::{BTreeSet, HashMap};

use crate::config::Repeat;
use crate::id::RequestId;
use crate::tier::Tier;
use crate::unit::Instant;

/// A request that has been dispatched.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// The tier.
    pub tier: Tier,
    /// The work that counts against the limit, in tokens.
    pub counted_tokens: u64,
    /// The estimated length of the prompt, in tokens.
    pub prompt: u64,
    /// The part of the prompt that counts against the prefill window, in tokens.
    pub prefill: u64,
    /// Whether it was queued in the lane for long requests.
    pub long: bool,
    /// Whether it is suspect: an endpoint crashed while an equal request was running there.
    pub suspect: bool,
    /// How often the call may run and how that is enforced.
    pub repeat: Repeat,
    /// The digest of the content.
    pub fingerprint: u64,
    /// When it was dispatched.
    pub dispatched: Instant,
    /// The cumulative prefill time per waiting run at the time of dispatch, in milliseconds.
    pub prefill_clock: f64,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// When the last measured token arrived.
    pub last_token: Instant,
    /// The number of tokens that arrived since then.
    pub unmeasured: u32,
    /// Whether it is being preempted by more urgent work.
    pub cancelling: bool,
    /// Whether its late first token has been counted.
    pub late: bool,
}

/// The requests that run at one endpoint, with totals by tier.
#[derive(Debug, Default)]
pub struct Running {
    runs: HashMap<RequestId, Run>,
    waiting: BTreeSet<(Instant, RequestId)>,
    counted_tokens: [u64; Tier::COUNT],
    prefill: [u64; Tier::COUNT],
    long: [u32; Tier::COUNT],
    long_prefill: [u32; Tier::COUNT],
    suspect_runs: u32,
    prefill_clock: f64,
    prefill_clock_at: Instant,
}

impl Running {
    /// Adds a run that has just been dispatched.
    pub fn insert(&mut self, id: RequestId, mut run: Run) {
        self.advance(run.dispatched);
        run.prefill_clock = self.prefill_clock;
        let i = run.tier.index();
        self.counted_tokens[i] += run.counted_tokens;
        self.prefill[i] += run.prefill;
        self.long[i] += u32::from(run.long);
        self.long_prefill[i] += u32::from(run.long);
        self.suspect_runs += u32::from(run.suspect);
        self.waiting.insert((run.dispatched, id));
        self.runs.insert(id, run);
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, id: RequestId, now: Instant) -> Option<Run> {
        self.advance(now);
        let run = self.runs.remove(&id)?;
        let i = run.tier.index();
        self.counted_tokens[i] -= run.counted_tokens;
        self.long[i] -= u32::from(run.long);
        self.suspect_runs -= u32::from(run.suspect);
        if run.first_token.is_none() {
            self.end_prefill(id, &run);
        }
        Some(run)
    }

    /// Records the first token of a run; returns the run as it was before and the prefill
    /// time attributed to it, in milliseconds.
    pub fn first_token(&mut self, id: RequestId, now: Instant) -> Option<(Run, f64)> {
        self.advance(now);
        let run = self.runs.get_mut(&id)?;
        if run.first_token.is_some() {
            return None;
        }
        let previous = *run;
        run.first_token = Some(now);
        run.last_token = now;
        self.end_prefill(id, &previous);
        Some((previous, self.prefill_clock - previous.prefill_clock))
    }

    /// Records further tokens; returns the number of tokens and the time in which they
    /// arrived, in milliseconds.
    ///
    /// Tokens that arrive within a millisecond are counted with the following ones;
    /// tokens that arrive with the first one have no duration of their own and are not counted.
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

    /// Divides the time since the last change evenly among the waiting runs.
    ///
    /// An engine may prefill prompts one after the other: the times of single runs are
    /// then too long or too short, but their sum still equals the time that the engine
    /// was busy.
    fn advance(&mut self, now: Instant) {
        let span = now.since(self.prefill_clock_at).0 as f64;
        self.prefill_clock_at = now.max(self.prefill_clock_at);
        if !self.waiting.is_empty() {
            self.prefill_clock += span / self.waiting.len() as f64;
        }
    }

    fn end_prefill(&mut self, id: RequestId, run: &Run) {
        let i = run.tier.index();
        self.prefill[i] -= run.prefill;
        self.long_prefill[i] -= u32::from(run.long);
        self.waiting.remove(&(run.dispatched, id));
    }

    /// Returns a run by its id.
    pub fn get(&self, id: RequestId) -> Option<&Run> {
        self.runs.get(&id)
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns an iterator over the runs.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Run)> {
        self.runs.iter().map(|(id, run)| (*id, run))
    }

    /// Returns the total work that counts against the limit, in tokens.
    pub fn counted_tokens(&self) -> u64 {
        self.counted_tokens.iter().sum()
    }

    /// Returns the prompt tokens that count against the prefill window, summed over the runs
    /// of this tier and more urgent ones that wait for their first token.
    pub fn prefill_down_to(&self, tier: Tier) -> u64 {
        self.prefill[..=tier.index()].iter().sum()
    }

    /// Returns the number of long runs in this tier and more urgent ones.
    pub fn long_down_to(&self, tier: Tier) -> u32 {
        self.long[..=tier.index()].iter().sum()
    }

    /// Returns the number of long runs waiting for their first token in this tier and
    /// more urgent ones.
    pub fn long_prefill_down_to(&self, tier: Tier) -> u32 {
        self.long_prefill[..=tier.index()].iter().sum()
    }

    /// Returns whether a suspect request is running.
    pub fn has_suspect(&self) -> bool {
        self.suspect_runs > 0
    }

    /// Returns the run that has waited longest for its first token.
    pub fn oldest_waiting(&self) -> Option<(Instant, RequestId)> {
        self.waiting.first().copied()
    }

    /// Marks a run's first token as late; returns false if it was already marked.
    pub fn mark_late(&mut self, id: RequestId) -> bool {
        let Some(run) = self.runs.get_mut(&id) else {
            return false;
        };
        !std::mem::replace(&mut run.late, true)
    }

    /// Selects a run to cancel in favour of a more urgent tier and marks it.
    ///
    /// At most one run is cancelled at a time. Only idempotent runs qualify. The most
    /// recently dispatched run of the least urgent tier is selected, since this wastes the
    /// least prefill.
    pub fn preempt(&mut self, tier: Tier) -> Option<RequestId> {
        if self.runs.values().any(|r| r.cancelling) {
            return None;
        }
        let is_preemptible = |r: &Run| tier.outranks(r.tier) && r.repeat == Repeat::Idempotent;
        let candidates = self.runs.iter_mut().filter(|(_, r)| is_preemptible(r));
        let (id, run) = candidates.max_by_key(|(id, r)| (r.tier, r.dispatched, **id))?;
        run.cancelling = true;
        Some(*id)
    }
}
