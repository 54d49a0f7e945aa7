//! What differs between deployments in how callers, endpoints and the directory speak.
//!
//! A dialect translates; it decides nothing. The front is generic over it, so
//! that no call on the request path is dynamic.

use std::future::Future;
use std::net::SocketAddr;

use actix_http::RequestHead;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::unit::Millis;
use sesamehaven_wire::http1::Head;

use crate::error::Result;
use crate::routing_table::RoutingTable;

/// What the front needs to know of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMeta {
    /// The number under which the caller, logs and endpoints know it.
    pub id: SmolStr,
    /// The host that the caller named.
    pub host: SmolStr,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The key that the caller showed.
    pub key: Option<SmolStr>,
    /// The tokens of the prompt and the most of the answer, when the caller says so.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the tokens of the answer.
    pub expected_tokens: Option<u64>,
    /// The session or prefix whose cached prompt the request can reuse.
    pub session: Option<u64>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// What the front adds to a request on its way to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedMeta<'a> {
    /// The incarnation of the endpoint that is meant.
    pub endpoint: &'a str,
    /// How long the endpoint may take.
    pub timeout: Option<Millis>,
    /// The organisation of the caller.
    pub organisation: Option<&'a str>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint ran the request, and this is its answer.
    Valid,
    /// The endpoint has not run the request and never will.
    NotExecuted,
    /// The answer belongs to another request.
    Mismatched,
    /// It cannot be told whose answer this is, or whether it is whole.
    Untrusted,
}

/// An endpoint in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The name of this incarnation of the endpoint.
    pub id: SmolStr,
    /// The pool that it serves.
    pub pool: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: SmolStr,
    /// The requests that it runs at once.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Whether it takes new work.
    pub is_ready: bool,
}

/// What the directory says of the endpoints, with the entries that name none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The endpoints.
    pub entries: Vec<EndpointEntry>,
    /// The entries that could not be read, each with the reason.
    pub unreadable: Vec<(SmolStr, SmolStr)>,
}

impl Listing {
    /// Returns a number that changes with the listing.
    pub fn digest(&self) -> u64 {
        // A listing that cannot be encoded is taken as changed each time.
        let json = serde_json::to_vec(self).unwrap_or_default();
        hash_of(json)
    }
}

/// How callers and endpoints of a deployment speak.
pub trait Protocol: 'static {
    /// Reads what the front needs of a request.
    ///
    /// # Errors
    ///
    /// Fails when a field cannot be read; the error names field and remedy.
    fn parse_request(head: &RequestHead) -> Result<RequestMeta>;

    /// Returns whether a caller's header field goes on to the endpoint unchanged.
    fn forwards_header(name: &str) -> bool;

    /// Writes the header fields that the front sets itself, each line with its end.
    fn write_headers(forwarded: &ForwardedMeta<'_>, head: &mut BytesMut);

    /// Judges the head of an endpoint's answer to the request `id`.
    fn classify_response(id: &str, endpoint: &str, head: &Head) -> ResponseClass;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails when it is not valid; the error names field and remedy.
    fn parse_config(config: &[u8]) -> Result<RoutingTable>;
}

/// Where configurations and endpoints are listed.
pub trait Directory: 'static {
    /// Reads the newest configuration, in its own format; [`None`] before there is one.
    fn config(&self) -> impl Future<Output = Result<Option<Bytes>>>;

    /// Reads the list of endpoints.
    fn endpoints(&self) -> impl Future<Output = Result<Listing>>;

    /// Reads what all fronts have kept.
    fn load_snapshots(&self) -> impl Future<Output = Result<Vec<Bytes>>>;

    /// Keeps a short text under the name of a front, in place of the one before.
    fn save_snapshot(&self, name: &str, snapshot: Bytes) -> impl Future<Output = Result<()>>;
}
