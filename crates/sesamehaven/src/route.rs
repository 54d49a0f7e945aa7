//! The choice of an endpoint for a request, on reports that are already stale.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#route).

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::gate::{Ended, LoadView};
use crate::id::{EndpointName, RequestId};
use crate::outcome::{Refusal, Refused};
use crate::prefix::PrefixGuesses;
use crate::replica::Replica;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, Tokens};

/// The endpoints among which the choice is made.
const CHOICES: usize = 3;
/// A choice may be worse than the best by this much, in milliseconds.
const SLACK_MS: f64 = 25.0;
/// A choice may be worse than the best by this share.
const SLACK_SHARE: f64 = 0.25;
/// How much a millisecond of decoding counts beside one of waiting.
const DECODE_WEIGHT: f64 = 0.1;
/// An offer is spared when the deadline would be missed by this factor.
const HOPELESS_FACTOR: f64 = 2.0;
/// The failures that a lost link counts for.
const LINK_LOST_FAILURES: u32 = 3;
/// When to come back if no agent said so.
const RETRY_OTHERWISE: Millis = Millis(2_000);

/// A request that needs an endpoint.
#[derive(Debug, Clone)]
pub struct Job {
    /// The rank.
    pub tier: Tier,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the answer.
    pub output: Tokens,
    /// The digests of the prompt's prefixes, the shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// When the answer is due.
    pub deadline: Instant,
    /// The endpoints that have refused the request or lost it before dispatch.
    pub excluded: SmallVec<[EndpointName; 4]>,
    /// The last refusal of the request by an agent.
    pub refused: Option<Refused>,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Offer it to the agent of this endpoint.
    Offer(EndpointName),
    /// No endpoint of the pool can take it.
    Refuse(Refused),
}

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
pub struct Route {
    prefix_weight: f64,
    replicas: HashMap<EndpointName, Replica>,
    offered: HashMap<RequestId, Offered>,
    prefixes: PrefixGuesses,
}

impl Route {
    /// Starts without any endpoint.
    ///
    /// `prefix_weight` is [`crate::config::Pool::prefix_weight`].
    pub fn new(prefix_weight: f64) -> Self {
        Route {
            prefix_weight,
            replicas: HashMap::new(),
            offered: HashMap::new(),
            prefixes: PrefixGuesses::default(),
        }
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

    /// Forgets an endpoint that is leaving or gone.
    pub fn forget(&mut self, endpoint: &EndpointName) {
        self.replicas.remove(endpoint);
        self.prefixes.forget(endpoint);
    }

    /// Notes that the request is being offered.
    pub fn on_offer(&mut self, endpoint: &EndpointName, id: RequestId, job: &Job, now: Instant) {
        let prompt = job.prompt.0 as f64;
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.on_offer(job.tier, prompt, now);
        }
        self.prefixes.insert(endpoint, &job.prefixes);
        let offered = Offered {
            endpoint: endpoint.clone(),
            tier: job.tier,
            prompt,
            sent: now,
            dispatched: false,
        };
        self.offered.insert(id, offered);
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
        let Some(best) = candidates.first().map(|c| c.score) else {
            return Choice::Refuse(self.refuse(job, draw, now));
        };
        let allowed = best * (1.0 + SLACK_SHARE) + SLACK_MS;
        let close = candidates.iter().take(CHOICES);
        let close = close.take_while(|c| c.score <= allowed).count().max(1);
        let pick = (draw % close as u64) as usize;
        Choice::Offer(candidates[pick].endpoint.clone())
    }

    /// Lists the endpoints that the request may be offered to, the best first.
    fn candidates<'a>(&'a self, job: &'a Job, now: Instant) -> Vec<Candidate<'a>> {
        let present = || {
            let replicas = self.replicas.iter();
            replicas.filter(|(name, r)| r.is_present(now) && !job.excluded.contains(name))
        };
        let known = self.replicas.len();
        let ejected = present().filter(|(_, r)| r.is_ejected(now)).count();
        let eject = ejected * 2 <= known;
        let open = present().filter(|(_, r)| !(eject && r.is_ejected(now)));
        let open = open.filter(|(_, r)| !r.is_closed_to(job.tier, now));
        let held = |name| self.prefixes.held(name, &job.prefixes, job.prompt);
        let most = present().map(|(name, _)| held(name)).max().unwrap_or(0);
        let remaining = job.deadline.since(now).0 as f64;
        let mut candidates: Vec<Candidate<'_>> = open
            .map(|(name, r)| self.rate(name, r, job, held(name), most, now))
            .filter(|c| c.finish <= remaining * HOPELESS_FACTOR)
            .collect();
        candidates.sort_by(|a, b| {
            let order = a.score.total_cmp(&b.score);
            order.then_with(|| a.endpoint.cmp(b.endpoint))
        });
        candidates
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
        let fresh = job.prompt.0.saturating_sub(held) as f64;
        let rate = replica.prefill_rate();
        let first_token = replica.wait(job.tier, now) + rate.millis_for(fresh);
        let repeated = rate.millis_for(most.saturating_sub(held) as f64);
        let decode = replica.decode_rate().millis_for(job.output.0 as f64);
        Candidate {
            endpoint,
            score: self.prefix_weight * (first_token + DECODE_WEIGHT * decode) + repeated,
            finish: first_token + decode,
        }
    }

    /// Words the refusal of a request that no endpoint can take.
    fn refuse(&self, job: &Job, draw: u64, now: Instant) -> Refused {
        if let Some(refused) = job.refused {
            return refused;
        }
        let present = || self.replicas.values().filter(|r| r.is_present(now));
        let closed = present().filter(|r| r.is_closed_to(job.tier, now));
        let full = closed.filter_map(Replica::full);
        let soonest = full.min_by_key(|r| r.retry_after);
        let reason = match soonest {
            Some(_) => Refusal::Full,
            None if present().next().is_some() => Refusal::Doomed,
            None => Refusal::Unavailable,
        };
        let span = soonest.map_or(RETRY_OTHERWISE, |r| r.retry_after);
        Refused {
            reason,
            retry_after: spread(span, draw),
            admits: soonest.and_then(|r| r.admits),
        }
    }
}

/// Spreads a span by up to a quarter, so that callers do not return together.
fn spread(span: Millis, draw: u64) -> Millis {
    let quarter = span.0 / 4;
    Millis(span.0 + draw % (quarter + 1))
}

/// An endpoint with its predicted cost, in milliseconds.
struct Candidate<'a> {
    endpoint: &'a EndpointName,
    score: f64,
    finish: f64,
}
