//! Endpoint selection at an entry, based on load reports that may be stale.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#route).

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::config::{Pool, PoolKind};
use crate::endpoint_state::EndpointState;
use crate::gate::{LoadView, RunOutcome};
use crate::id::{EndpointName, RequestId};
pub use crate::job::{Choice, Job};
use crate::outcome::{Refusal, Refused};
use crate::prefix::{CombinedPrefixIndex, PrefixIndex, covered_tokens};
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The number of best endpoints among which one is chosen at random.
const MAX_CHOICES: usize = 3;
/// The absolute margin by which a choice may be worse than the best, in milliseconds.
const MARGIN_MS: f64 = 25.0;
/// The relative margin by which a choice may be worse than the best.
const MARGIN_SHARE: f64 = 0.25;
/// The weight of a millisecond of decoding, relative to one of waiting.
const DECODE_WEIGHT: f64 = 0.1;
/// The weight of a millisecond of repeated prefill, relative to one of waiting; all
/// requests queued at the endpoint wait for it as well.
const REPEATED_WEIGHT: f64 = 4.0;
/// The weight of a millisecond beyond the deadline, relative to one of waiting.
const LATE_WEIGHT: f64 = 4.0;
/// No offer is sent if the expected time exceeds the remaining one by this factor.
const LATENESS_FACTOR: f64 = 2.0;
/// The number of failures that a lost link counts as.
const LINK_LOST_FAILURES: u32 = 3;
/// The retry delay of a refused caller if no agent gave one.
const DEFAULT_RETRY_AFTER: Millis = Millis(2_000);

/// An offer without a final outcome yet.
#[derive(Debug, Clone)]
struct PendingOffer {
    endpoint: EndpointName,
    tier: Tier,
    prompt: f64,
    sent: Instant,
    dispatched: bool,
}

/// The router of one entry for one pool, with the state of its endpoints.
#[derive(Debug)]
pub struct Router<P = CombinedPrefixIndex> {
    kind: PoolKind,
    prefix_weight: f64,
    endpoints: HashMap<EndpointName, EndpointState>,
    pending: HashMap<RequestId, PendingOffer>,
    prefixes: P,
}

impl Router {
    /// Creates a router for a model pool, without endpoints.
    ///
    /// `prefix_weight` is [`Pool::prefix_weight`].
    pub fn new(prefix_weight: f64) -> Self {
        Router::with_prefix_index(prefix_weight, CombinedPrefixIndex::default())
    }

    /// Creates a router for the given pool, without endpoints.
    pub fn for_pool(pool: &Pool) -> Self {
        let mut router = Router::new(pool.prefix_weight);
        router.set_pool(pool);
        router
    }
}

impl<P: PrefixIndex> Router<P> {
    /// Creates a router without endpoints, with another prefix index.
    pub fn with_prefix_index(prefix_weight: f64, prefixes: P) -> Self {
        Router {
            kind: PoolKind::Model,
            prefix_weight,
            endpoints: HashMap::new(),
            pending: HashMap::new(),
            prefixes,
        }
    }

    /// Applies changed settings of the pool; the state of endpoints is kept.
    pub fn set_pool(&mut self, pool: &Pool) {
        self.kind = pool.kind;
        self.prefix_weight = pool.prefix_weight;
    }

    /// Applies a load report; reports older than the last one are dropped.
    ///
    /// `seq` orders the reports of an endpoint, also across restarts of its agent; the owner
    /// calls [`Router::forget`] before a new sequence starts.
    pub fn on_report(&mut self, endpoint: &EndpointName, view: LoadView, seq: u64, now: Instant) {
        match self.endpoints.get_mut(endpoint) {
            Some(state) => state.on_report(view, seq, now),
            None => {
                let state = EndpointState::new(view, seq, now);
                self.endpoints.insert(endpoint.clone(), state);
            }
        }
    }

    /// Applies a summary of the prefixes in an endpoint's cache.
    ///
    /// An empty summary leaves the previous one in place.
    pub fn on_prefixes(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        if !summary.is_empty() {
            self.prefixes.on_summary(endpoint, summary);
        }
    }

    /// Removes an endpoint that is leaving or gone.
    pub fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
        self.prefixes.forget(endpoint);
    }

    /// Records that the request is being offered.
    pub fn on_offer(&mut self, endpoint: &EndpointName, id: RequestId, job: &Job, now: Instant) {
        let (prompt, _) = self.size(job);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.on_offer(job.tier, prompt, now);
        }
        self.prefixes.on_offer(endpoint, &job.prefixes);
        let offer = PendingOffer {
            endpoint: endpoint.clone(),
            tier: job.tier,
            prompt,
            sent: now,
            dispatched: false,
        };
        self.pending.insert(id, offer);
    }

    /// Returns the endpoint that a request was last offered to.
    pub fn endpoint_of(&self, id: RequestId) -> Option<&EndpointName> {
        self.pending.get(&id).map(|o| &o.endpoint)
    }

    /// Records that the agent queued the request.
    pub fn on_accepted(&mut self, id: RequestId, first_token: Millis, now: Instant) {
        let Some(offer) = self.pending.get(&id) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&offer.endpoint) else {
            return;
        };
        state.on_accepted(offer.tier, offer.prompt, first_token, now);
    }

    /// Records that the agent refused or returned the request.
    pub fn on_refused(&mut self, id: RequestId, refused: &Refused, now: Instant) {
        let Some(offer) = self.pending.remove(&id) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&offer.endpoint) else {
            return;
        };
        state.on_not_queued(offer.tier, offer.prompt);
        match refused.reason {
            Refusal::Full => state.on_refused_full(offer.tier, *refused, offer.sent),
            Refusal::Unavailable => state.on_failure(1, now),
            _ => {}
        }
    }

    /// Records that the request was withdrawn before dispatch.
    pub fn on_withdrawn(&mut self, id: RequestId) {
        let Some(offer) = self.pending.remove(&id) else {
            return;
        };
        if let Some(state) = self.endpoints.get_mut(&offer.endpoint) {
            state.on_not_queued(offer.tier, offer.prompt);
        }
    }

    /// Records that the request was dispatched to the endpoint.
    pub fn on_dispatched(&mut self, id: RequestId, _now: Instant) {
        let Some(offer) = self.pending.get_mut(&id).filter(|o| !o.dispatched) else {
            return;
        };
        offer.dispatched = true;
        if let Some(state) = self.endpoints.get_mut(&offer.endpoint) {
            state.on_not_queued(offer.tier, offer.prompt);
            state.on_dispatched();
        }
    }

    /// Records the outcome of the run.
    pub fn on_end(&mut self, id: RequestId, outcome: RunOutcome, now: Instant) {
        let Some(offer) = self.pending.remove(&id) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&offer.endpoint) else {
            return;
        };
        if offer.dispatched {
            state.on_ended();
        } else {
            state.on_not_queued(offer.tier, offer.prompt);
        }
        match outcome {
            RunOutcome::Completed => state.on_success(),
            RunOutcome::Failed | RunOutcome::Stalled => state.on_failure(1, now),
            RunOutcome::Cancelled => {}
        }
    }

    /// Records that the link to the endpoint's agent was lost, because it broke or timed out.
    pub fn on_link_lost(&mut self, endpoint: &EndpointName, now: Instant) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.on_failure(LINK_LOST_FAILURES, now);
        }
    }

    /// Chooses the endpoint for a request; `draw` is a random number.
    pub fn choose(&self, job: &Job, draw: u64, now: Instant) -> Choice {
        let candidates = self.candidates(job, now);
        let Some(best) = candidates.first() else {
            return Choice::Refuse(self.refuse(job, draw, now));
        };
        if job.suspect {
            return Choice::Offer(least_running(&candidates).clone());
        }
        let allowed = best.score * (1.0 + MARGIN_SHARE) + MARGIN_MS;
        let close = |c: &&Candidate<'_>| c.score <= allowed && c.cached >= best.cached;
        let close: SmallVec<[_; MAX_CHOICES]> =
            candidates.iter().filter(close).take(MAX_CHOICES).collect();
        let pick = (draw % close.len().max(1) as u64) as usize;
        Choice::Offer(close.get(pick).unwrap_or(&best).endpoint.clone())
    }

    /// Returns the endpoints that the request may be offered to, the best first.
    fn candidates<'a>(&'a self, job: &'a Job, now: Instant) -> Candidates<'a> {
        let present = self.endpoints.iter().filter(|(_, r)| r.is_present(now));
        let present: SmallVec<[_; 16]> = present.collect();
        let ejected = present.iter().filter(|(_, r)| r.is_ejected(now)).count();
        // Ejections are ignored while more than half of the endpoints are ejected.
        let eject = ejected * 2 <= self.endpoints.len();
        let cached = self.cached_tokens(&present, job);
        let max_cached = cached.iter().max().copied().unwrap_or(0);
        let is_open = |name: &EndpointName, r: &EndpointState| {
            let ejected = eject && r.is_ejected(now);
            !ejected && !r.is_closed_to(job.tier, now) && !job.excluded.contains(name)
        };
        let mut candidates = Candidates::new();
        for ((name, state), cached) in present.into_iter().zip(cached) {
            if is_open(name, state) {
                candidates.push(self.score(name, state, job, cached, max_cached, now));
            }
        }
        candidates.sort_by(|a, b| {
            let order = a.score.total_cmp(&b.score);
            order.then_with(|| a.endpoint.cmp(b.endpoint))
        });
        self.without_too_late(job, candidates, now)
    }

    /// Removes the endpoints that would miss the deadline by far.
    ///
    /// If all would, a request that no agent has refused yet is still offered to the best
    /// one, since the reports may be out of date.
    fn without_too_late<'a>(
        &self,
        job: &Job,
        mut candidates: Candidates<'a>,
        now: Instant,
    ) -> Candidates<'a> {
        let max_completion = job.deadline.since(now).0 as f64 * LATENESS_FACTOR;
        let any_in_time = candidates.iter().any(|c| c.completion <= max_completion);
        if any_in_time || job.refused.is_some() {
            candidates.retain(|c| c.completion <= max_completion);
        } else {
            candidates.truncate(1);
        }
        candidates
    }

    /// Estimates the number of prompt tokens that each endpoint has cached.
    fn cached_tokens(
        &self,
        present: &[(&EndpointName, &EndpointState)],
        job: &Job,
    ) -> SmallVec<[u64; 16]> {
        if job.prefixes.is_empty() || self.kind == PoolKind::Service {
            return SmallVec::from_elem(0, present.len());
        }
        let names: SmallVec<[_; 16]> = present.iter().map(|(name, _)| *name).collect();
        let cached = self.prefixes.held(&names, &job.prefixes);
        cached
            .into_iter()
            .map(|n| covered_tokens(n).min(job.prompt.0))
            .collect()
    }

    /// Returns the prompt and output sizes in the units of the reports.
    fn size(&self, job: &Job) -> (f64, f64) {
        match self.kind {
            PoolKind::Model => (job.prompt.0 as f64, job.output.0 as f64),
            PoolKind::Service => (1.0, 0.0),
        }
    }

    fn score<'a>(
        &self,
        endpoint: &'a EndpointName,
        state: &EndpointState,
        job: &Job,
        cached: u64,
        max_cached: u64,
        now: Instant,
    ) -> Candidate<'a> {
        let (prompt, output) = self.size(job);
        let rate = state.prefill_rate();
        let fresh = rate.millis_for(prompt - cached as f64);
        let first_token = state.wait(job.tier, now) + fresh;
        let repeated = rate.millis_for(max_cached.saturating_sub(cached) as f64);
        let decode = state.decode_rate().millis_for(output);
        let overdue = first_token + decode - job.deadline.since(now).0 as f64;
        let cost = first_token + DECODE_WEIGHT * decode + LATE_WEIGHT * overdue.max(0.0);
        Candidate {
            endpoint,
            // A lower `prefix_weight` gives cached prefixes more influence.
            score: self.prefix_weight * cost + REPEATED_WEIGHT * repeated,
            cached,
            completion: first_token + decode,
            running: state.running(),
        }
    }

    /// Builds the refusal of a request that no endpoint can take.
    ///
    /// The reason is lack of room only if every endpoint is closed to the tier; otherwise
    /// the endpoints that are not could not have run the request in time.
    fn refuse(&self, job: &Job, draw: u64, now: Instant) -> Refused {
        let present = || self.endpoints.values().filter(|r| r.is_present(now));
        let in_use = || present().filter(|r| !r.is_ejected(now));
        let all_closed = in_use().all(|r| r.is_closed_to(job.tier, now));
        let earliest = in_use().filter_map(EndpointState::last_full);
        let earliest = earliest.min_by_key(|r| r.retry_after);
        let reason = match job.refused {
            Some(refused) if all_closed || !refused.reason.is_lack_of_capacity() => refused.reason,
            Some(_) => Refusal::DeadlineUnreachable,
            None if in_use().next().is_none() => Refusal::Unavailable,
            None if all_closed => Refusal::Full,
            None => Refusal::DeadlineUnreachable,
        };
        let span = match job.refused {
            Some(refused) => refused.retry_after,
            None => jitter(
                earliest.map_or(DEFAULT_RETRY_AFTER, |r| r.retry_after),
                draw,
            ),
        };
        Refused {
            reason,
            retry_after: span,
            admits: job.refused.or(earliest).and_then(|r| r.admits),
        }
    }
}

/// Adds a jitter of up to a quarter, so that callers do not return together.
fn jitter(span: Millis, draw: u64) -> Millis {
    let quarter = span.0 / 4;
    Millis(span.0 + draw % (quarter + 1))
}

type Candidates<'a> = SmallVec<[Candidate<'a>; 16]>;

/// An endpoint with its predicted cost, in milliseconds.
struct Candidate<'a> {
    endpoint: &'a EndpointName,
    score: f64,
    cached: u64,
    completion: f64,
    running: u32,
}

/// Returns the endpoint with the fewest running requests, where a crash does least harm.
fn least_running<'a>(candidates: &[Candidate<'a>]) -> &'a EndpointName {
    let candidate = candidates.iter().min_by_key(|c| c.running);
    candidate.map_or(candidates[0].endpoint, |c| c.endpoint)
}
