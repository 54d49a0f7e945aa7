//! A request at the entry that has not had its final word.

use smallvec::SmallVec;
use tokio::sync::mpsc;

use sesamehaven::id::EndpointName;
use sesamehaven::lifecycle::Lifecycle;
use sesamehaven::outcome::Refused;
use sesamehaven::router::{self};
use sesamehaven::unit::Instant;
use sesamehaven_wire::message::Offer;

use crate::caller::{Job, ToCaller};
use crate::entry::Place;
use crate::keys::Keyed;
use crate::score::Score;

/// A request that has not had its final word.
pub(crate) struct Active {
    pub(crate) flight: Lifecycle<Place>,
    pub(crate) job: Box<Job>,
    pub(crate) tx: mpsc::Sender<ToCaller>,
    /// Whether the dispatch has to be granted by the home of the key.
    pub(crate) guarded: bool,
    pub(crate) keyed: Keyed,
    pub(crate) admitted: bool,
    pub(crate) excluded: SmallVec<[EndpointName; 4]>,
    pub(crate) refused: Option<Refused>,
    pub(crate) next_chunk: u64,
    pub(crate) upto: u64,
    pub(crate) first_token: bool,
    /// What the outcome is counted by, until the caller is told it.
    pub(crate) score: Option<Score>,
    /// How often the request got a new id, because an agent takes the old one no more.
    pub(crate) attempt: u8,
}

impl Active {
    /// Lets the request be offered again where it was not heard of.
    ///
    /// A guarded request keeps its number, by which its home and the readers of
    /// its answer know it, and goes to another endpoint.
    pub(crate) fn renumber(&mut self) {
        if self.guarded {
            return;
        }
        self.attempt = self.attempt.saturating_add(1);
        self.excluded.pop();
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

    pub(crate) fn offer(&self, place: &Place, now: Instant) -> Offer {
        let job = &self.job;
        Offer {
            pool: job.pool.clone(),
            endpoint: place.endpoint.clone(),
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
            window_end: self.upto,
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        }
    }
}
