//! What is asked of a route, and its answer.

use smallvec::SmallVec;

use crate::id::EndpointName;
use crate::outcome::Refused;
use crate::tier::Tier;
use crate::unit::{Instant, Tokens};

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
    /// Whether the content was near a crash of an endpoint before.
    pub suspect: bool,
    /// The endpoints that have lost the request before dispatch, or refused it
    /// for a reason other than [`Refusal::is_capacity`](crate::outcome::Refusal::is_capacity).
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
