//! Typed messages exchanged by entries and agents.

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
use sesamehaven::part_quarantine::{PartIds, PartNotice};
use sesamehaven::quarantine::Notice;
use sesamehaven::unit::{Millis, Tokens};

use crate::guard::GuardMessage;

/// The protocol version that this build implements.
pub const VERSION: u16 = 2;

/// The first message that each side sends on a new link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's protocol version.
    pub version: u16,
    /// A bit set of optional features; a link uses those that both sides set.
    pub features: u32,
    /// The sender's role.
    pub role: Role,
    /// The sender's name.
    pub name: DaemonName,
    /// The sender's data centre.
    pub data_centre: DataCentreName,
    /// The incarnation of the sender, which identifies one run of its process.
    pub incarnation: Incarnation,
    /// The generation of the configuration that the sender has in force.
    pub generation: Generation,
    /// A random nonce that the peer's [`Proof`] covers, which prevents replay.
    pub nonce: [u8; 16],
}

/// The role of a process on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts requests from callers and routes them to agents.
    Entry,
    /// Queues requests and dispatches them to endpoints.
    Agent,
}

/// A keyed hash of both hellos, which proves that the sender holds the pre-shared key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof(pub [u8; 32]);

/// A message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens the handshake.
    Hello(Hello),
    /// Completes the handshake, in answer to the peer's hello.
    Proof(Proof),
    /// Requests a [`Frame::Pong`]; the heartbeat of the link.
    Ping {
        /// The sequence number of the ping, echoed in the pong.
        count: u64,
        /// The generation of the configuration that the sender has in force.
        generation: Generation,
    },
    /// Answers a [`Frame::Ping`].
    Pong {
        /// The sequence number of the ping.
        count: u64,
        /// The generation of the configuration that the sender has in force.
        generation: Generation,
    },
    /// A message from an entry to an agent about one request.
    Request(RequestId, ToAgent),
    /// A message from an agent to an entry about one request.
    Reply(RequestId, ToEntry),
    /// Announces that the sender is draining and accepts no further offers on this link.
    Leaving,
    /// Requests the configuration that the receiver has in force.
    FetchConfig {
        /// The generation that the sender has in force, or zero if it has none.
        generation: Generation,
    },
    /// Answers a [`Frame::FetchConfig`].
    ///
    /// The missing parts may be split over several such frames.
    Config {
        /// The head of the configuration in its stored encoding.
        head: Bytes,
        /// Some of the parts that the head lists, in their stored encoding.
        parts: Vec<Bytes>,
    },
    /// Reports requests that were running on endpoints when these crashed.
    Notices(Vec<Notice>),
    /// A message of the protocol between entries and the homes of idempotency keys.
    Guard(GuardMessage),
    /// Reports to an agent the state in which the platform lists its VM.
    Listed(VmState),
    /// Reports parts of prompts whose requests were running on endpoints when these crashed.
    PartNotices(Vec<PartNotice>),
}

/// The state in which the platform lists a VM.
///
/// The platform's list may be stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is scheduled for removal.
    Leaving,
    /// The VM has been removed.
    Gone,
}

/// A message from an entry to an agent about one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Offers the request.
    ///
    /// Answered by [`ToEntry::Accepted`] or [`ToEntry::Refused`].
    Offer(Box<Offer>),
    /// Withdraws the request unless it has been dispatched.
    ///
    /// Answered by [`ToEntry::Withdrawn`] or [`ToEntry::AlreadyDispatched`].
    Withdraw,
    /// Cancels the request because its caller has disconnected.
    Cancel,
    /// Grants flow-control credit and acknowledges chunks.
    ///
    /// The agent may send chunks with numbers below `window_end` and may discard
    /// those below `acked`.
    Credit {
        /// The first chunk that has not been received.
        acked: u64,
        /// The first chunk that may not be sent yet.
        #[serde(rename = "upto")]
        window_end: u64,
    },
    /// Resumes the response stream of a request that was offered on another link.
    ///
    /// Answered by [`ToEntry::UnknownRequest`] when the agent has never received an
    /// offer of the request; the agent refuses later offers of it.
    Resume {
        /// The first chunk that has not been received.
        next: u64,
        /// The first chunk that may not be sent yet.
        #[serde(rename = "upto")]
        window_end: u64,
    },
}

/// A message from an agent to an entry about one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The offer was accepted and the request queued.
    Accepted {
        /// The estimated time to first token.
        first_token: Millis,
    },
    /// The request was refused without having been dispatched; the entry may route it elsewhere.
    ///
    /// Answers an offer, or returns a request that was queued earlier.
    Refused(Refused),
    /// The request was withdrawn before it was dispatched.
    Withdrawn,
    /// The request cannot be withdrawn because it has been dispatched.
    AlreadyDispatched,
    /// The agent has never received an offer of this request and will refuse it from now on.
    #[serde(rename = "Unheard")]
    UnknownRequest,
    /// The request has been dispatched to the endpoint.
    Dispatched {
        /// The endpoint that runs the request.
        endpoint: EndpointName,
    },
    /// The status and headers of the endpoint's response.
    Head(Head),
    /// The next chunk of the response body.
    Chunk {
        /// The number of the chunk, starting at zero.
        seq: u64,
        /// The bytes of the chunk.
        data: Bytes,
    },
    /// The response has ended; no chunk follows.
    End {
        /// The total number of chunks.
        chunks: u64,
        /// The reason for the end.
        end: End,
    },
}

/// The way in which a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The complete response was received from the endpoint.
    #[serde(rename = "Whole")]
    Complete,
    /// The endpoint failed after dispatch; the effect of the request is unknown.
    #[serde(rename = "Broken")]
    Interrupted,
    /// The endpoint sent nothing for longer than the idle timeout of the work class.
    Stalled,
    /// The request was preempted by more urgent work, or its caller disconnected.
    Cancelled,
    /// The buffered response has been evicted.
    #[serde(rename = "Forgotten")]
    Evicted,
}

/// The contents of an offered request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The pool whose endpoints can run the request.
    pub pool: PoolName,
    /// The endpoint that the entry selected.
    pub endpoint: EndpointName,
    /// The organisation that sent the request.
    pub organisation: OrganisationName,
    /// The work class.
    pub class: ClassName,
    /// The priority tier.
    pub tier: Tier,
    /// The digest of the idempotency key, if the caller sent one.
    pub key: Option<KeyDigest>,
    /// The time left until the deadline.
    pub remaining: Millis,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the response.
    pub output: Tokens,
    /// The digests of the prompt's prefixes, shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// The fair-queueing weight of the organisation within its tier.
    pub weight: u32,
    /// The digest of the content, which identifies requests that crash endpoints.
    pub fingerprint: u64,
    /// The parts of the prompt that other requests may share.
    pub parts: PartIds,
    /// The first chunk that may not be sent without further credit.
    #[serde(rename = "upto")]
    pub window_end: u64,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query string at the endpoint.
    pub path: SmolStr,
    /// The forwarded headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

/// The names and values of HTTP headers.
pub type Headers = Vec<(SmolStr, Bytes)>;

/// The head of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status code.
    pub status: u16,
    /// The forwarded headers.
    pub headers: Headers,
}

/// A load report, which an agent sends to entries over UDP several times a second.
///
/// A report supersedes those of the same incarnation with a lower `seq`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's name.
    pub agent: DaemonName,
    /// The agent's data centre.
    pub data_centre: DataCentreName,
    /// The incarnation of the agent, which identifies one run of its process.
    pub incarnation: Incarnation,
    /// The sequence number of the report within the incarnation.
    pub seq: u64,
    /// The address on which the agent accepts links.
    pub address: SocketAddr,
    /// The generation of the configuration that the agent has in force.
    pub generation: Generation,
    /// Whether the agent is draining and refuses new requests.
    pub leaving: bool,
    /// The load of each endpoint.
    pub endpoints: Vec<Load>,
}

/// The load of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// The pool that the endpoint belongs to.
    pub pool: PoolName,
    /// Whether the endpoint is considered healthy.
    pub healthy: bool,
    /// The number of running requests.
    pub running: u32,
    /// The estimated prompt tokens in the queue, by tier.
    pub queued: [u32; Tier::COUNT],
    /// The least urgent tier that is admitted, if any.
    pub admits: Option<Tier>,
    /// The estimated prefill rate, in tokens per second.
    pub prefill_rate: f32,
    /// The estimated decode rate of one stream, in tokens per second.
    pub decode_rate: f32,
    /// The concurrency limit, in requests.
    pub limit: u32,
    /// A summary of the prompt prefixes in the engine's cache.
    pub prefixes: Bytes,
}
