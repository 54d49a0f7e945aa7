//! What is said to a gate and by it.

use smallvec::SmallVec;

use crate::config::{Endpoint, Index, Objective, Pool, PoolKind, Repeat};
use crate::fair::OrganisationDigest;
use crate::id::RequestId;
use crate::outcome::Refused;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate, Tokens};

/// What a gate is told about its endpoint.
#[derive(Debug, Clone)]
pub struct GateConfig {
    /// The kind of work.
    pub kind: PoolKind,
    /// The longest queue, in requests.
    pub queue_requests: u32,
    /// The greatest number of requests that run at once.
    pub concurrency: u32,
    /// The share of the limit that is kept for the most urgent tier, in percent.
    pub reserve_percent: u8,
    /// Whether running work is cancelled for the most urgent tier.
    pub preempt: bool,
    /// The most urgent tier in use.
    pub most_urgent: Tier,
    /// The response times that the limit aims at.
    pub objective: Objective,
}

impl GateConfig {
    /// Takes the settings of a pool and one of its endpoints.
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

    /// Takes the settings of a pool and one of its endpoints, and the most
    /// urgent class that contracts grant there.
    ///
    /// The limit aims at the objective of that class.
    pub fn from_index(index: &Index, pool: &Pool, endpoint: &Endpoint) -> Self {
        let mut cfg = GateConfig::new(pool, endpoint);
        let contracts = index.configuration.contracts.iter();
        let granting = contracts.filter(|c| c.pools.contains(&pool.name));
        let classes = granting.flat_map(|c| &c.classes);
        let classes = classes.filter_map(|name| index.class(name));
        if let Some(class) = classes.min_by_key(|c| c.tier) {
            cfg.most_urgent = class.tier;
            cfg.objective = class.objective.clone();
        }
        cfg
    }
}

/// A request as it is offered to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The request.
    pub id: RequestId,
    /// The rank.
    pub tier: Tier,
    /// The organisation that asks.
    pub organisation: OrganisationDigest,
    /// The weight of the organisation among others of its tier.
    pub weight: u32,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the answer.
    pub output: Tokens,
    /// When the answer is due.
    pub deadline: Instant,
    /// How often the call may run.
    pub repeat: Repeat,
    /// The digest of the content.
    pub fingerprint: u64,
    /// Whether the content was near a crash of an endpoint before.
    pub suspect: bool,
}

/// The answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The work is queued.
    Accepted {
        /// The estimated time to the first token.
        first_token: Millis,
        /// Queued work that had to give way, which is to be handed back.
        evicted: SmallVec<[(RequestId, Refused); 2]>,
    },
    /// The work is not taken.
    Refused(Refused),
}

/// The answer to a withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The work was queued and has been taken out.
    Withdrawn,
    /// The work runs.
    AlreadyDispatched,
    /// The work is neither queued nor running.
    Unknown,
}

/// What the holder of a gate has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send the request to the endpoint.
    Dispatch(RequestId),
    /// Hand the queued request back.
    Refuse(RequestId, Refused),
    /// Cancel the running request in favour of more urgent work.
    Cancel(RequestId),
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The whole answer was received.
    Completed,
    /// The endpoint broke off.
    Failed,
    /// The run was cancelled.
    Cancelled,
    /// The endpoint was silent for too long.
    Stalled,
}

/// The load of an endpoint as it is reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Whether the endpoint answers.
    pub healthy: bool,
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens that are queued, by tier.
    pub queued: [u32; Tier::COUNT],
    /// The least urgent tier that is accepted, if any.
    pub admits: Option<Tier>,
    /// The learned prefill rate.
    pub prefill_rate: TokenRate,
    /// The learned decode rate of one stream.
    pub decode_rate: TokenRate,
    /// The requests that may run at once.
    pub limit: u32,
}
