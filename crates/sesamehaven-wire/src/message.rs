//! The typed messages between entries and agents.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::Tier;
use sesamehaven::id::{
    ClassName, DaemonName, DataCentreName, EndpointName, Generation, Incarnation, KeyDigest,
    OrganisationName, PoolName, RequestId,
};
use sesamehaven::outcome::Refused;
use sesamehaven::quarantine::Notice;
use sesamehaven::unit::{Millis, Tokens};

use crate::guard::GuardMessage;

/// The version of the protocol that this build speaks.
pub const VERSION: u16 = 1;

/// The first message in either direction on a new link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the protocol.
    pub version: u16,
    /// Optional features, one bit each; a link uses those that both sides set.
    pub features: u32,
    /// What kind of process this is.
    pub role: Role,
    /// The sender's name.
    pub name: DaemonName,
    /// The sender's data centre.
    pub data_centre: DataCentreName,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The generation of the configuration that the sender serves.
    pub generation: Generation,
    /// A random number that the peer's [`Proof`] has to cover.
    pub nonce: [u8; 16],
}

/// The kinds of processes on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands before endpoints.
    Agent,
}

/// Shows that the sender holds the pre-shared key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof(pub [u8; 32]);

/// One message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens the link.
    Hello(Hello),
    /// Follows the peer's hello.
    Proof(Proof),
    /// Asks for a [`Frame::Pong`] and keeps the link alive.
    Ping {
        /// Returned in the answer.
        count: u64,
        /// The generation that the sender serves.
        generation: Generation,
    },
    /// Answers a [`Frame::Ping`].
    Pong {
        /// The number of the ping.
        count: u64,
        /// The generation that the sender serves.
        generation: Generation,
    },
    /// From an entry to an agent, about one request.
    Request(RequestId, ToAgent),
    /// From an agent to an entry, about one request.
    Reply(RequestId, ToEntry),
    /// The sender accepts no further offers on this link.
    Leaving,
    /// Asks for the configuration that the receiver serves.
    FetchConfig {
        /// The generation that the sender serves, zero for none.
        generation: Generation,
    },
    /// Answers a [`Frame::FetchConfig`]; several of them together hold what the asker lacks.
    Config {
        /// The head, as it is stored.
        head: Bytes,
        /// Some of the parts that the head names, as they are stored.
        parts: Vec<Bytes>,
    },
    /// Tells of requests that were near crashes of endpoints.
    Notices(Vec<Notice>),
    /// About the homes of idempotency keys.
    Guard(GuardMessage),
    /// Tells an agent how the platform lists its VM.
    Listed(VmState),
}

/// How the platform lists a VM; the list lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
    /// The VM is no more.
    Gone,
}

/// What an entry says to an agent about a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Offers the request; answered by accepted or refused.
    Offer(Box<Offer>),
    /// Asks for the request back, if it has not been dispatched.
    Withdraw,
    /// Cancels: the caller is gone.
    Cancel,
    /// Allows chunks with numbers below `window_end`; everything before `acked` may be dropped.
    Credit {
        /// The first chunk that has not been received.
        acked: u64,
        /// The first chunk that may not be sent yet.
        #[serde(rename = "upto")]
        window_end: u64,
    },
    /// Takes up the stream of a request that was offered on another link.
    ///
    /// Answered by [`ToEntry::UnknownRequest`] when the agent has never been offered
    /// the request; such a request is refused from then on.
    Resume {
        /// The first chunk that has not been received.
        next: u64,
        /// The first chunk that may not be sent yet.
        #[serde(rename = "upto")]
        window_end: u64,
    },
}

/// What an agent says to an entry about a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The offer is accepted and queued.
    Accepted {
        /// The estimated time to the first token.
        first_token: Millis,
    },
    /// The request was not dispatched and is the entry's again.
    ///
    /// Answers an offer, and hands back queued work later on.
    Refused(Refused),
    /// The request was withdrawn before it was dispatched.
    Withdrawn,
    /// The request has been dispatched and cannot be withdrawn.
    AlreadyDispatched,
    /// The agent was never offered this request and will not take it any more.
    #[serde(rename = "Unheard")]
    UnknownRequest,
    /// The request has been handed to the endpoint.
    Dispatched {
        /// The endpoint that runs it.
        endpoint: EndpointName,
    },
    /// The endpoint's answer begins.
    Head(Head),
    /// The next part of the answer.
    Chunk {
        /// The number of the part, from zero.
        seq: u64,
        /// The bytes of the body.
        data: Bytes,
    },
    /// The answer is over.
    End {
        /// How many chunks there were.
        chunks: u64,
        /// How it ended.
        end: End,
    },
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// All of it was received from the endpoint.
    #[serde(rename = "Whole")]
    Complete,
    /// The endpoint broke off after dispatch; what it did is not known.
    #[serde(rename = "Broken")]
    Interrupted,
    /// The endpoint was silent for longer than the class allows.
    Stalled,
    /// The work was cancelled for more urgent work or a lost caller.
    Cancelled,
    /// The buffered answer is not held any more.
    #[serde(rename = "Forgotten")]
    Evicted,
}

/// A request as it is offered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The pool whose endpoints can run it.
    pub pool: PoolName,
    /// The endpoint that the entry's route chose.
    pub endpoint: EndpointName,
    /// The organisation that asks.
    pub organisation: OrganisationName,
    /// The work class.
    pub class: ClassName,
    /// The rank.
    pub tier: Tier,
    /// The digest of the idempotency key, if the caller gave one.
    pub key: Option<KeyDigest>,
    /// The time that is left to answer.
    pub remaining: Millis,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the answer.
    pub output: Tokens,
    /// The digests of the prompt's prefixes, the shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// The weight of the organisation among others of its tier.
    pub weight: u32,
    /// The digest of the content, by which crashing requests are known.
    pub fingerprint: u64,
    /// The first chunk that may not be sent before further credit.
    #[serde(rename = "upto")]
    pub window_end: u64,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query at the endpoint.
    pub path: SmolStr,
    /// The headers that are passed through.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

/// Names and values of HTTP headers.
pub type Headers = Vec<(SmolStr, Bytes)>;

/// The first part of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed through.
    pub headers: Headers,
}

/// What an agent tells its entries by UDP, several times a second.
///
/// A report replaces earlier ones of the same incarnation; `seq` puts them in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: DaemonName,
    /// The agent's data centre.
    pub data_centre: DataCentreName,
    /// The agent's run.
    pub incarnation: Incarnation,
    /// The number of the report within the run.
    pub seq: u64,
    /// Where the agent accepts links.
    pub address: SocketAddr,
    /// The generation that the agent serves.
    pub generation: Generation,
    /// Whether the agent refuses new work.
    pub leaving: bool,
    /// The load of each endpoint.
    pub endpoints: Vec<Load>,
}

/// The load of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The pool that it serves.
    pub pool: PoolName,
    /// Whether it answers.
    pub healthy: bool,
    /// Requests that run.
    pub running: u32,
    /// Estimated tokens of the prompts that are queued, by tier.
    pub queued: [u32; Tier::COUNT],
    /// The least urgent tier that is still accepted, if any.
    pub admits: Option<Tier>,
    /// The learned prefill rate, in tokens a second.
    pub prefill_rate: f32,
    /// The learned decode rate of one stream, in tokens a second.
    pub decode_rate: f32,
    /// The requests that may run at once.
    pub limit: u32,
    /// A summary of the prompt prefixes that the engine holds.
    pub prefixes: Bytes,
}
