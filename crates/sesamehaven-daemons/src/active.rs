//! Requests at the entry whose outcome has not been sent to the caller yet.

use smallvec::SmallVec;
use tokio::sync::mpsc;

use sesamehaven::id::EndpointName;
use sesamehaven::lifecycle::Lifecycle;
use sesamehaven::outcome::Refused;
use sesamehaven::router::{self};
use sesamehaven::unit::Instant;
use sesamehaven_wire::message::Offer;

use crate::caller::{Job, ToCaller};
use crate::entry::Target;
use crate::keys::KeyState;
use crate::slo::SloTracker;

/// A request whose outcome has not been sent to the caller yet.
pub(crate) struct Active {
    pub(crate) lifecycle: Lifecycle<Target>,
    pub(crate) job: Box<Job>,
    pub(crate) tx: mpsc::Sender<ToCaller>,
    /// Whether the home of the request's key has to grant the dispatch.
    pub(crate) guarded: bool,
    pub(crate) key_state: KeyState,
    pub(crate) admitted: bool,
    pub(crate) excluded: SmallVec<[EndpointName; 4]>,
    pub(crate) refused: Option<Refused>,
    pub(crate) next_chunk: u64,
    pub(crate) window_end: u64,
    pub(crate) first_token: bool,
    /// Records the outcome for the service-level objectives; taken once it is
    /// recorded.
    pub(crate) slo: Option<SloTracker>,
    /// Number of times the request was renumbered because an agent no longer
    /// accepts the previous id, or because it runs again.
    pub(crate) attempt: u8,
}

impl Active {
    /// Renumbers the request so that it can be offered again to the agent that
    /// never received the offer.
    ///
    /// A guarded request keeps its id, which the home of its key and the readers of
    /// its answer refer to; it goes to another endpoint instead.
    pub(crate) fn renumber(&mut self) {
        if self.guarded {
            return;
        }
        self.attempt = self.attempt.saturating_add(1);
        self.excluded.pop();
    }

    /// Gives the next run of the request an id of its own.
    ///
    /// Its agent would otherwise take the offer for a repetition of the earlier one,
    /// and what is left of the earlier run could be taken for the answer of this one.
    pub(crate) fn start_rerun(&mut self) {
        self.attempt = self.attempt.saturating_add(1);
    }

    pub(crate) fn route_job(&self) -> router::Job {
        router::Job {
            tier: self.job.tier,
            prompt: self.job.prompt,
            output: self.job.output,
            prefixes: self.job.prefixes.clone(),
            deadline: self.job.deadline,
            suspect: false,
            excluded: self.excluded.clone(),
            refused: self.refused,
        }
    }

    pub(crate) fn offer(&self, target: &Target, now: Instant) -> Offer {
        let job = &self.job;
        Offer {
            pool: job.pool.clone(),
            endpoint: target.endpoint.clone(),
            organisation: job.organisation.clone(),
            class: job.class.clone(),
            tier: job.tier,
            key: job.key,
            remaining: job.deadline.since(now),
            prompt: job.prompt,
            output: job.output,
            prefixes: job.prefixes.clone(),
            weight: job.weight,
            fingerprint: job.fingerprint,
            parts: job.parts.clone(),
            window_end: self.window_end,
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        }
    }
}
