//! The input and the result of a routing decision.

use smallvec::SmallVec;

use crate::id::EndpointName;
use crate::outcome::Refused;
use crate::tier::Tier;
use crate::unit::{Instant, Tokens};

/// A request to route to an endpoint.
#[derive(Debug, Clone)]
pub struct Job {
    /// The priority tier.
    pub tier: Tier,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the response.
    pub output: Tokens,
    /// The digests of the prompt's prefixes, the shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// The deadline of the response.
    pub deadline: Instant,
    /// Whether requests with this content were running when an endpoint crashed.
    pub suspect: bool,
    /// The endpoints that lost the request before dispatch, or refused it for a reason
    /// other than [capacity](crate::outcome::Refusal::is_lack_of_capacity).
    pub excluded: SmallVec<[EndpointName; 4]>,
    /// The latest refusal of the request by an agent, if any.
    pub refused: Option<Refused>,
}

/// A routing decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Offer it to the agent of this endpoint.
    Offer(EndpointName),
    /// Refuse the request, since no endpoint of the pool can take it.
    Refuse(Refused),
}
