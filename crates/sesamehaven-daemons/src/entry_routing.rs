//! Routing, admission and retries of requests at the entry.

use metrics::counter;

use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::RunOutcome;
use sesamehaven::id::RequestId;
use sesamehaven::lifecycle::Event;
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::quarantine::QuarantineStatus;
use sesamehaven::router::Choice;
use sesamehaven_wire::message::ToAgent;

use crate::active::Active;
use crate::caller::Job;
use crate::clock;
use crate::entry::{Entry, Target, no_endpoint};

impl Entry {
    /// Checks a request against the quarantine and charges its organisation's quota.
    pub(crate) fn admit(&mut self, job: &Job) -> Result<(), Refused> {
        let now = clock::now();
        if self.quarantine.status(job.fingerprint, now) == QuarantineStatus::Quarantined {
            return Err(Refused {
                reason: Refusal::Quarantined,
                retry_after: self.quarantine.remaining(job.fingerprint, now),
                admits: None,
            });
        }
        if let Some(part) = self.part_quarantine.culprit(&job.parts) {
            return Err(Refused {
                reason: Refusal::Quarantined,
                retry_after: self.part_quarantine.remaining(part, now),
                admits: None,
            });
        }
        let organisation = OrganisationDigest::of(&job.organisation);
        let tokens = (job.prompt.0 + job.output.0) as f64;
        self.quota.admit(organisation, &job.limits, tokens, now)
    }

    /// Routes a request to another endpoint, unless it is suspected of crashing
    /// endpoints or the pool's retry budget is exhausted.
    pub(crate) fn retry(&mut self, id: RequestId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let job = &active.job;
        let is_suspect = !self.quarantine.may_rerun(job.fingerprint, clock::now())
            || self.part_quarantine.culprit(&job.parts).is_some();
        let budget = self.retries.entry(job.pool.clone()).or_default();
        if is_suspect || !budget.retry(job.repeat) {
            counter!("entry_retries_denied_total").increment(1);
            return self.on_event(id, Event::Unroutable(no_endpoint()));
        }
        counter!("entry_retries_total").increment(1);
        if let Some(active) = self.active.get_mut(&id) {
            active.start_rerun();
        }
        self.route(id);
    }

    pub(crate) fn route(&mut self, id: RequestId) {
        let now = clock::now();
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let router = self.routers.get(&active.job.pool);
        let choice = match (active.key_state.refusal, router) {
            (Some(refused), _) => Choice::Refuse(refused),
            (None, Some(router)) => router.choose(&active.route_job(), rand::random(), now),
            (None, None) => Choice::Refuse(no_endpoint()),
        };
        let event = match choice {
            Choice::Refuse(refused) => self.reject(id, refused),
            Choice::Offer(endpoint) => match self.agents_of.get(&endpoint) {
                Some(agent) => Event::Routed(Target {
                    agent: agent.clone(),
                    endpoint,
                }),
                None => Event::Unroutable(no_endpoint()),
            },
        };
        self.on_event(id, event);
    }

    /// Returns the event that rejects a request.
    ///
    /// A guarded request without a grant is first routed to a placeholder target,
    /// so that the home of its key confirms that the key was not used before.
    pub(crate) fn reject(&mut self, id: RequestId, refused: Refused) -> Event<Target> {
        let needs_proof = |a: &Active| a.guarded && !a.key_state.granted;
        if !self.active.get(&id).is_some_and(needs_proof) {
            return Event::Unroutable(refused);
        }
        let Some(target) = self.proof_target(id) else {
            return Event::Unroutable(refused);
        };
        if let Some(active) = self.active.get_mut(&id) {
            active.key_state.refusal = Some(refused);
        }
        Event::Routed(target)
    }

    pub(crate) fn offer(&mut self, id: RequestId, target: Target) {
        let now = clock::now();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if let Some(refused) = active.key_state.refusal {
            return self.on_event(id, Event::Refused(refused));
        }
        counter!("entry_offers_total").increment(1);
        active.next_chunk = 0;
        let offer = active.offer(&target, now);
        if let Some(router) = self.routers.get_mut(&active.job.pool) {
            router.on_offer(&target.endpoint, id, &active.route_job(), now);
        }
        active.excluded.push(target.endpoint.clone());
        self.send_to_agent(id, &target, ToAgent::Offer(Box::new(offer)));
    }

    pub(crate) fn end_route(&mut self, id: RequestId, outcome: RunOutcome) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Some(router) = self.routers.get_mut(&active.job.pool) {
            router.on_end(id, outcome, clock::now());
        }
    }
}
