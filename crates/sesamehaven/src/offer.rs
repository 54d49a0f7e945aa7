//! The inputs and outputs of a [`Gate`](crate::gate::Gate).

use smallvec::SmallVec;

use crate::config::{Endpoint, Index, Objective, Pool, PoolKind, Repeat};
use crate::fair::OrganisationDigest;
use crate::id::RequestId;
use crate::outcome::Refused;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate, Tokens};

/// The settings of a gate.
#[derive(Debug, Clone)]
pub struct GateConfig {
    /// The kind of pool.
    pub kind: PoolKind,
    /// The maximum queue length, in requests.
    pub queue_requests: u32,
    /// The maximum number of concurrent requests.
    pub concurrency: u32,
    /// The share of the limit reserved for the most urgent tier, in percent.
    pub reserve_percent: u8,
    /// Whether running work is cancelled in favour of the most urgent tier.
    pub preempt: bool,
    /// The most urgent tier in use.
    pub most_urgent: Tier,
    /// The target response times of the limit.
    pub objective: Objective,
}

impl GateConfig {
    /// Creates the settings from those of a pool and one of its endpoints.
    pub fn new(pool: &Pool, endpoint: &Endpoint) -> Self {
        GateConfig {
            kind: pool.kind,
            queue_requests: pool.queue_requests,
            concurrency: endpoint.concurrency,
            reserve_percent: pool.reserve_percent,
            preempt: pool.preempt,
            most_urgent: Tier::MOST_URGENT,
            objective: Objective::default(),
        }
    }

    /// Creates the settings from those of a pool and one of its endpoints, and from the
    /// most urgent class that contracts grant there.
    ///
    /// The target response times are those of that class.
    pub fn from_index(index: &Index, pool: &Pool, endpoint: &Endpoint) -> Self {
        let mut cfg = GateConfig::new(pool, endpoint);
        let contracts = index.configuration.contracts.iter();
        let granting_contracts = contracts.filter(|c| c.pools.contains(&pool.name));
        let classes = granting_contracts.flat_map(|c| &c.classes);
        let classes = classes.filter_map(|name| index.class(name));
        if let Some(class) = classes.min_by_key(|c| c.tier) {
            cfg.most_urgent = class.tier;
            cfg.objective = class.objective.clone();
        }
        cfg
    }
}

/// A request that is offered to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The request.
    pub id: RequestId,
    /// The tier.
    pub tier: Tier,
    /// The organisation that sent the request.
    pub organisation: OrganisationDigest,
    /// The weight of the organisation within its tier.
    pub weight: u32,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the response.
    pub output: Tokens,
    /// When the response is due.
    pub deadline: Instant,
    /// How often the call may run and how that is enforced.
    pub repeat: Repeat,
    /// The digest of the content.
    pub fingerprint: u64,
    /// Whether a request with this content was running at an endpoint that crashed.
    pub suspect: bool,
}

/// The response to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The work is queued.
    Accepted {
        /// The estimated time to the first token.
        first_token: Millis,
        /// Queued work that was evicted and must be returned to its entries.
        evicted: SmallVec<[(RequestId, Refused); 2]>,
    },
    /// The work is refused.
    Refused(Refused),
}

/// The response to a withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The work was queued and has been removed.
    Withdrawn,
    /// The work is running.
    AlreadyDispatched,
    /// The work is neither queued nor running.
    Unknown,
}

/// An action for the owner of a gate to execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send the request to the endpoint.
    Dispatch(RequestId),
    /// Return the queued request with a refusal.
    Refuse(RequestId, Refused),
    /// Cancel the running request in favour of more urgent work.
    Cancel(RequestId),
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The complete response was received.
    Completed,
    /// The endpoint failed before the response was complete.
    Failed,
    /// The run was cancelled.
    Cancelled,
    /// The endpoint sent nothing for longer than the timeout.
    Stalled,
}

/// The load of an endpoint, as reported to entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Whether the endpoint responds to health checks.
    pub healthy: bool,
    /// The number of running requests.
    pub running: u32,
    /// The queued work by tier, as the number of prompt tokens whose prefill takes as long;
    /// for a plain service, in requests.
    pub queued: [u32; Tier::COUNT],
    /// The least urgent tier that is accepted, if any.
    pub admits: Option<Tier>,
    /// The measured prefill rate; for a plain service, the rate at which requests complete.
    pub prefill_rate: TokenRate,
    /// The measured decode rate of one stream.
    pub decode_rate: TokenRate,
    /// The current concurrency limit, in requests of mean size.
    pub limit: u32,
}
