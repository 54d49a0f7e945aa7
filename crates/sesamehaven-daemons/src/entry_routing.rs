//! Where a request is offered, and whether it is run again.

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
use crate::entry::{Entry, Place, nowhere};

impl Entry {
    /// Refuses what the organisation's limits and the quarantine do not allow.
    pub(crate) fn admit(&mut self, job: &Job) -> Result<(), Refused> {
        let now = clock::now();
        if self.quarantine.status(job.fingerprint, now) == QuarantineStatus::Quarantined {
            return Err(Refused {
                reason: Refusal::Quarantined,
                retry_after: self.quarantine.remaining(job.fingerprint, now),
                admits: None,
            });
        }
        let organisation = OrganisationDigest::of(&job.organisation);
        let tokens = (job.prompt.0 + job.output.0) as f64;
        self.quota.admit(organisation, &job.limits, tokens, now)
    }

    /// Chooses a place for a second run if the pool's retry budget allows it.
    pub(crate) fn rerun(&mut self, id: RequestId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let job = &active.job;
        let suspect =
            self.quarantine.status(job.fingerprint, clock::now()) != QuarantineStatus::Clear;
        let budget = self.retries.entry(job.pool.clone()).or_default();
        if suspect || !budget.retry(job.repeat) {
            counter!("entry_retries_denied_total").increment(1);
            return self.drive(id, Event::Unroutable(nowhere()));
        }
        counter!("entry_retries_total").increment(1);
        self.route(id);
    }

    pub(crate) fn route(&mut self, id: RequestId) {
        let now = clock::now();
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let route = self.routes.get(&active.job.pool);
        let choice = match (active.keyed.refusal, route) {
            (Some(refused), _) => Choice::Refuse(refused),
            (None, Some(route)) => route.choose(&active.route_job(), rand::random(), now),
            (None, None) => Choice::Refuse(nowhere()),
        };
        let event = match choice {
            Choice::Refuse(refused) => self.unroutable(id, refused),
            Choice::Offer(endpoint) => match self.agents_of.get(&endpoint) {
                Some(agent) => Event::Routed(Place {
                    agent: agent.clone(),
                    endpoint,
                }),
                None => Event::Unroutable(nowhere()),
            },
        };
        self.drive(id, event);
    }

    /// Refuses a request, after its key was shown to be fresh if it has one.
    pub(crate) fn unroutable(&mut self, id: RequestId, refused: Refused) -> Event<Place> {
        let needs_proof = |a: &Active| a.guarded && !a.keyed.granted;
        if !self.active.get(&id).is_some_and(needs_proof) {
            return Event::Unroutable(refused);
        }
        let Some(place) = self.proving_place(id) else {
            return Event::Unroutable(refused);
        };
        if let Some(active) = self.active.get_mut(&id) {
            active.keyed.refusal = Some(refused);
        }
        Event::Routed(place)
    }

    pub(crate) fn offer(&mut self, id: RequestId, place: Place) {
        let now = clock::now();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if let Some(refused) = active.keyed.refusal {
            return self.drive(id, Event::Refused(refused));
        }
        counter!("entry_offers_total").increment(1);
        active.next_chunk = 0;
        let offer = active.offer(&place, now);
        if let Some(route) = self.routes.get_mut(&active.job.pool) {
            route.on_offer(&place.endpoint, id, &active.route_job(), now);
        }
        active.excluded.push(place.endpoint.clone());
        self.request(id, &place, ToAgent::Offer(Box::new(offer)));
    }

    pub(crate) fn settle_route(&mut self, id: RequestId, ended: RunOutcome) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Some(route) = self.routes.get_mut(&active.job.pool) {
            route.on_end(id, ended, clock::now());
        }
    }
}
