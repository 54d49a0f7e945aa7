//! The choice of an endpoint for a request, on reports that are already stale.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#route).

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::config::{Pool, PoolKind};
use crate::gate::{Ended, LoadView};
use crate::id::{EndpointName, RequestId};
pub use crate::job::{Choice, Job};
use crate::outcome::{Refusal, Refused};
use crate::prefix::{CombinedPrefixIndex, PrefixIndex, covered_tokens};
use crate::replica::Replica;
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The endpoints among which the choice is made.
const CHOICES: usize = 3;
/// A choice may be worse than the best by this much, in milliseconds.
const SLACK_MS: f64 = 25.0;
/// A choice may be worse than the best by this share.
const SLACK_SHARE: f64 = 0.25;
/// How much a millisecond of decoding counts beside one of waiting.
const DECODE_WEIGHT: f64 = 0.1;
/// How much a millisecond of repeated prefill counts beside one of waiting,
/// since all that queues there waits for it as well.
const REPEATED_WEIGHT: f64 = 4.0;
/// How much a millisecond beyond the deadline counts beside one of waiting.
const LATE_WEIGHT: f64 = 4.0;
/// An offer is spared when the deadline would be missed by this factor.
const HOPELESS_FACTOR: f64 = 2.0;
/// The failures that a lost link counts for.
const LINK_LOST_FAILURES: u32 = 3;
/// When to come back if no agent said so.
const RETRY_OTHERWISE: Millis = Millis(2_000);

/// An offer that has not come to its end.
#[derive(Debug, Clone)]
struct Offered {
    endpoint: EndpointName,
    tier: Tier,
    prompt: f64,
    sent: Instant,
    dispatched: bool,
}

/// What one entry knows of the endpoints of one pool.
#[derive(Debug)]
pub struct Route<P = CombinedPrefixIndex> {
    kind: PoolKind,
    prefix_weight: f64,
    replicas: HashMap<EndpointName, Replica>,
    offered: HashMap<RequestId, Offered>,
    prefixes: P,
}

impl Route {
    /// Starts without any endpoint of a model pool.
    ///
    /// `prefix_weight` is [`Pool::prefix_weight`].
    pub fn new(prefix_weight: f64) -> Self {
        Route::with_knowledge(prefix_weight, CombinedPrefixIndex::default())
    }

    /// Starts without any endpoint of the given pool.
    pub fn for_pool(pool: &Pool) -> Self {
        let mut route = Route::new(pool.prefix_weight);
        route.set_pool(pool);
        route
    }
}

impl<P: PrefixIndex> Route<P> {
    /// Starts without any endpoint, with another kind of prefix knowledge.
    pub fn with_knowledge(prefix_weight: f64, prefixes: P) -> Self {
        Route {
            kind: PoolKind::Model,
            prefix_weight,
            replicas: HashMap::new(),
            offered: HashMap::new(),
            prefixes,
        }
    }

    /// Takes changed settings of the pool; what is known stays.
    pub fn set_pool(&mut self, pool: &Pool) {
        self.kind = pool.kind;
        self.prefix_weight = pool.prefix_weight;
    }

    /// Takes in a load report; reports that are overtaken by later ones are dropped.
    ///
    /// `seq` orders the reports of an endpoint also across restarts of its
    /// agent, so the holder starts a new run of numbers with
    /// [`Route::forget`].
    pub fn on_report(&mut self, endpoint: &EndpointName, view: LoadView, seq: u64, now: Instant) {
        match self.replicas.get_mut(endpoint) {
            Some(replica) => replica.on_report(view, seq, now),
            None => {
                let replica = Replica::new(view, seq, now);
                self.replicas.insert(endpoint.clone(), replica);
            }
        }
    }

    /// Takes in a summary of the prefixes that an endpoint's cache holds.
    ///
    /// Reports without a summary leave the last one in place.
    pub fn on_prefixes(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        if !summary.is_empty() {
            self.prefixes.on_summary(endpoint, summary);
        }
    }

    /// Forgets an endpoint that is leaving or gone.
    pub fn forget(&mut self, endpoint: &EndpointName) {
        self.replicas.remove(endpoint);
        self.prefixes.forget(endpoint);
    }

    /// Notes that the request is being offered.
    pub fn on_offer(&mut self, endpoint: &EndpointName, id: RequestId, job: &Job, now: Instant) {
        let (prompt, _) = self.size(job);
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.on_offer(job.tier, prompt, now);
        }
        self.prefixes.on_offer(endpoint, &job.prefixes);
        let offered = Offered {
            endpoint: endpoint.clone(),
            tier: job.tier,
            prompt,
            sent: now,
            dispatched: false,
        };
        self.offered.insert(id, offered);
    }

    /// Returns the endpoint that a request was last offered to.
    pub fn endpoint_of(&self, id: RequestId) -> Option<&EndpointName> {
        self.offered.get(&id).map(|o| &o.endpoint)
    }

    /// Notes that the agent queued the request.
    pub fn on_accepted(&mut self, id: RequestId, first_token: Millis, now: Instant) {
        let Some(offered) = self.offered.get(&id) else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(&offered.endpoint) else {
            return;
        };
        replica.on_accepted(offered.tier, offered.prompt, first_token, now);
    }

    /// Notes that the agent did not take the request, or handed it back.
    pub fn on_refused(&mut self, id: RequestId, refused: &Refused, now: Instant) {
        let Some(offered) = self.offered.remove(&id) else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(&offered.endpoint) else {
            return;
        };
        replica.on_not_queued(offered.tier, offered.prompt);
        match refused.reason {
            Refusal::Full => replica.on_refused_full(offered.tier, *refused, offered.sent),
            Refusal::Unavailable => replica.on_failure(1, now),
            _ => {}
        }
    }

    /// Notes that the request was withdrawn before dispatch.
    pub fn on_withdrawn(&mut self, id: RequestId) {
        let Some(offered) = self.offered.remove(&id) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(&offered.endpoint) {
            replica.on_not_queued(offered.tier, offered.prompt);
        }
    }

    /// Notes that the request has been handed to the endpoint.
    pub fn on_dispatched(&mut self, id: RequestId, _now: Instant) {
        let Some(offered) = self.offered.get_mut(&id).filter(|o| !o.dispatched) else {
            return;
        };
        offered.dispatched = true;
        if let Some(replica) = self.replicas.get_mut(&offered.endpoint) {
            replica.on_not_queued(offered.tier, offered.prompt);
            replica.on_dispatched();
        }
    }

    /// Notes how the run ended.
    pub fn on_end(&mut self, id: RequestId, ended: Ended, now: Instant) {
        let Some(offered) = self.offered.remove(&id) else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(&offered.endpoint) else {
            return;
        };
        if offered.dispatched {
            replica.on_stopped();
        } else {
            replica.on_not_queued(offered.tier, offered.prompt);
        }
        match ended {
            Ended::Whole => replica.on_success(),
            Ended::Broken | Ended::Stalled => replica.on_failure(1, now),
            Ended::Cancelled => {}
        }
    }

    /// Notes that the link to the endpoint's agent broke or went silent.
    pub fn on_link_lost(&mut self, endpoint: &EndpointName, now: Instant) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.on_failure(LINK_LOST_FAILURES, now);
        }
    }

    /// Chooses where a request goes; `draw` is a random number.
    pub fn choose(&self, job: &Job, draw: u64, now: Instant) -> Choice {
        let candidates = self.candidates(job, now);
        let Some(best) = candidates.first() else {
            return Choice::Refuse(self.refuse(job, draw, now));
        };
        if job.suspect {
            return Choice::Offer(least_running(&candidates).clone());
        }
        let allowed = best.score * (1.0 + SLACK_SHARE) + SLACK_MS;
        let close = |c: &&Candidate<'_>| c.score <= allowed && c.held >= best.held;
        let close: SmallVec<[_; CHOICES]> = candidates.iter().filter(close).take(CHOICES).collect();
        let pick = (draw % close.len().max(1) as u64) as usize;
        Choice::Offer(close.get(pick).unwrap_or(&best).endpoint.clone())
    }

    /// Lists the endpoints that the request may be offered to, the best first.
    fn candidates<'a>(&'a self, job: &'a Job, now: Instant) -> Candidates<'a> {
        let present = self.replicas.iter().filter(|(_, r)| r.is_present(now));
        let present: SmallVec<[_; 16]> = present.collect();
        let ejected = present.iter().filter(|(_, r)| r.is_ejected(now)).count();
        let eject = ejected * 2 <= self.replicas.len();
        let held = self.held(&present, job);
        let most = held.iter().max().copied().unwrap_or(0);
        let is_open = |name: &EndpointName, r: &Replica| {
            let ejected = eject && r.is_ejected(now);
            !ejected && !r.is_closed_to(job.tier, now) && !job.excluded.contains(name)
        };
        let mut candidates = Candidates::new();
        for ((name, replica), held) in present.into_iter().zip(held) {
            if is_open(name, replica) {
                candidates.push(self.rate(name, replica, job, held, most, now));
            }
        }
        candidates.sort_by(|a, b| {
            let order = a.score.total_cmp(&b.score);
            order.then_with(|| a.endpoint.cmp(b.endpoint))
        });
        self.without_hopeless(job, candidates, now)
    }

    /// Drops the endpoints where the deadline is missed by far.
    ///
    /// A request that no agent has judged yet is offered to one all the same,
    /// since the reports may be out of date.
    fn without_hopeless<'a>(
        &self,
        job: &Job,
        mut candidates: Candidates<'a>,
        now: Instant,
    ) -> Candidates<'a> {
        let most = job.deadline.since(now).0 as f64 * HOPELESS_FACTOR;
        let hopeful = candidates.iter().any(|c| c.finish <= most);
        if hopeful || job.refused.is_some() {
            candidates.retain(|c| c.finish <= most);
        } else {
            candidates.truncate(1);
        }
        candidates
    }

    /// Estimates the prompt tokens that each endpoint holds already.
    fn held(&self, present: &[(&EndpointName, &Replica)], job: &Job) -> SmallVec<[u64; 16]> {
        if job.prefixes.is_empty() || self.kind == PoolKind::Service {
            return SmallVec::from_elem(0, present.len());
        }
        let names: SmallVec<[_; 16]> = present.iter().map(|(name, _)| *name).collect();
        let held = self.prefixes.held(&names, &job.prefixes);
        held.into_iter()
            .map(|n| covered_tokens(n).min(job.prompt.0))
            .collect()
    }

    /// Returns the prompt and the answer in the units of the reports.
    fn size(&self, job: &Job) -> (f64, f64) {
        match self.kind {
            PoolKind::Model => (job.prompt.0 as f64, job.output.0 as f64),
            PoolKind::Service => (1.0, 0.0),
        }
    }

    fn rate<'a>(
        &self,
        endpoint: &'a EndpointName,
        replica: &Replica,
        job: &Job,
        held: u64,
        most: u64,
        now: Instant,
    ) -> Candidate<'a> {
        let (prompt, output) = self.size(job);
        let rate = replica.prefill_rate();
        let fresh = rate.millis_for(prompt - held as f64);
        let first_token = replica.wait(job.tier, now) + fresh;
        let repeated = rate.millis_for(most.saturating_sub(held) as f64);
        let decode = replica.decode_rate().millis_for(output);
        let overdue = first_token + decode - job.deadline.since(now).0 as f64;
        let cost = first_token + DECODE_WEIGHT * decode + LATE_WEIGHT * overdue.max(0.0);
        Candidate {
            endpoint,
            score: self.prefix_weight * cost + REPEATED_WEIGHT * repeated,
            held,
            finish: first_token + decode,
            running: replica.running(),
        }
    }

    /// Words the refusal of a request that no endpoint can take.
    ///
    /// It is for want of room only if every endpoint has promised to queue
    /// nothing less urgent; else the request could not have been run in time
    /// by those that did not.
    fn refuse(&self, job: &Job, draw: u64, now: Instant) -> Refused {
        let present = || self.replicas.values().filter(|r| r.is_present(now));
        let in_use = || present().filter(|r| !r.is_ejected(now));
        let covered = in_use().all(|r| r.is_closed_to(job.tier, now));
        let soonest = in_use().filter_map(Replica::full);
        let soonest = soonest.min_by_key(|r| r.retry_after);
        let reason = match job.refused {
            Some(refused) if covered || !refused.reason.is_capacity() => refused.reason,
            Some(_) => Refusal::DeadlineUnreachable,
            None if in_use().next().is_none() => Refusal::Unavailable,
            None if covered => Refusal::Full,
            None => Refusal::DeadlineUnreachable,
        };
        let span = match job.refused {
            Some(refused) => refused.retry_after,
            None => spread(soonest.map_or(RETRY_OTHERWISE, |r| r.retry_after), draw),
        };
        Refused {
            reason,
            retry_after: span,
            admits: job.refused.or(soonest).and_then(|r| r.admits),
        }
    }
}

/// Spreads a span by up to a quarter, so that callers do not return together.
fn spread(span: Millis, draw: u64) -> Millis {
    let quarter = span.0 / 4;
    Millis(span.0 + draw % (quarter + 1))
}

type Candidates<'a> = SmallVec<[Candidate<'a>; 16]>;

/// An endpoint with its predicted cost, in milliseconds.
struct Candidate<'a> {
    endpoint: &'a EndpointName,
    score: f64,
    held: u64,
    finish: f64,
    running: u32,
}

/// Returns the endpoint where a crash would hurt the fewest requests.
fn least_running<'a>(candidates: &[Candidate<'a>]) -> &'a EndpointName {
    let least = candidates.iter().min_by_key(|c| c.running);
    least.map_or(candidates[0].endpoint, |c| c.endpoint)
}
