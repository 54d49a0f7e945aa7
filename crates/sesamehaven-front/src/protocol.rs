//! The interface to a deployment: formats of requests, responses, configurations and listings.
//!
//! A protocol translates and makes no decisions. The front is generic over it, so that calls on the
//! request path are statically dispatched.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;

use actix_http::RequestHead;
use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::announcement::Announcement;
use sesamehaven::digest::hash_of;
use sesamehaven::restore::{Era, Report};
use sesamehaven::rollout::{RolloutOrder, StatusWrite};
use sesamehaven::software_version::SoftwareVersion;
use sesamehaven::unit::Millis;
use sesamehaven_wire::http1::Head;

use crate::error::Result;
use crate::routing_table::RoutingTable;
use crate::unreadable::Unreadable;

/// The digests of the parts of a prompt that other requests may share.
pub type SharedParts = SmallVec<[u64; 4]>;

/// Metadata of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMeta {
    /// The request id used by the caller, in logs and at endpoints.
    pub id: SmolStr,
    /// The requested host.
    pub host: SmolStr,
    /// The caller's remaining timeout.
    pub timeout: Option<Millis>,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// The number of prompt tokens and the maximum number of output tokens, if announced.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the number of output tokens.
    pub expected_tokens: Option<u64>,
    /// The session or prompt prefix whose cache the request can reuse.
    pub session: Option<u64>,
    /// The digests of the parts of the prompt that other requests may share, in order.
    pub shared_parts: SharedParts,
    /// The id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The id of the request that brought the first event of that stream, if the caller names it.
    pub resumes: Option<SmolStr>,
}

/// Metadata that the front adds to a forwarded request.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedMeta<'a> {
    /// The incarnation of the target endpoint.
    pub endpoint: &'a str,
    /// The time left for the endpoint to respond.
    pub timeout: Option<Millis>,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// The id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// The classification of an endpoint's response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint ran the request and this is the response.
    Valid,
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The response belongs to another request.
    Mismatched,
    /// It is unknown which request the response belongs to, whether it is intact, or whether the
    /// request has run.
    Untrusted,
}

/// An endpoint listed in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The name of this incarnation of the endpoint.
    pub id: SmolStr,
    /// The pool that it serves.
    pub pool: SmolStr,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The number of requests that it runs concurrently.
    // Fronts compare hashes of the JSON form, so its names are part of their wire format.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// When it started, by its own clock, or zero if its entry does not say.
    ///
    /// An endpoint that starts again under its name changes the listing thereby.
    pub started_at: u64,
}

/// The endpoints listed by the directory, and the entries that could not be parsed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The endpoints.
    pub entries: Vec<EndpointEntry>,
    /// The entries that could not be parsed.
    pub unreadable: Unreadable,
    /// The orders to roll out versions, read after the endpoints, so that no endpoint of a new version
    /// is known without its order.
    pub rollouts: Vec<RolloutOrder>,
}

impl Listing {
    /// Returns a hash that changes with the list.
    pub fn digest(&self) -> u64 {
        // All lists that cannot be encoded have the same hash.
        let json = serde_json::to_vec(self).unwrap_or_default();
        hash_of(json)
    }
}

/// The endpoints as read from the directory, each with its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListingRead {
    /// The endpoints.
    pub listing: Listing,
    /// The last report of each endpoint, which changes more often than the listing.
    pub reports: HashMap<SmolStr, Report>,
}

/// Entries of one kind as read from the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntriesRead<T> {
    /// The entries.
    pub entries: Vec<T>,
    /// The entries that could not be parsed.
    pub unreadable: Unreadable,
}

impl<T> Default for EntriesRead<T> {
    fn default() -> Self {
        EntriesRead {
            entries: Vec::new(),
            unreadable: Unreadable::default(),
        }
    }
}

/// An answer of the directory, with the era in which it was given.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reading<T> {
    /// What the directory answered.
    pub value: T,
    /// The era, or [`None`] if the directory has none.
    pub era: Option<Era>,
}

/// The request, response and configuration formats of a deployment.
pub trait Protocol: 'static {
    /// Parses the metadata of a request.
    ///
    /// # Errors
    ///
    /// Fails if a header is invalid; the error names the header and how to correct it.
    fn parse_request(head: &RequestHead) -> Result<RequestMeta>;

    /// Returns whether a caller's header is forwarded to the endpoint unchanged.
    fn forwards_header(name: &str) -> bool;

    /// Writes the headers that the front sets itself, each terminated by CRLF.
    fn write_headers(forwarded: &ForwardedMeta<'_>, head: &mut BytesMut);

    /// Classifies the response head of an endpoint to the request `id`.
    fn classify_response(id: &str, endpoint: &str, head: &Head) -> ResponseClass;

    /// Returns what a response head says about its endpoint.
    fn parse_announcement(head: &Head) -> Announcement;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// Fails if it is invalid; the error names the field and how to correct it.
    fn parse_config(config: &[u8]) -> Result<RoutingTable>;
}

/// The directory that holds configurations, endpoints and usage snapshots.
pub trait Directory: 'static {
    /// Reads the newest configuration in its original format, or [`None`] if there is none yet.
    fn config(&self) -> impl Future<Output = Result<Reading<Option<Bytes>>>>;

    /// Reads the list of endpoints.
    fn endpoints(&self) -> impl Future<Output = Result<Reading<ListingRead>>>;

    /// Reads the orders to roll out versions.
    fn rollouts(&self) -> impl Future<Output = Result<Reading<EntriesRead<RolloutOrder>>>>;

    /// Writes the status of a rollout if its order is still the one that the status is for; returns
    /// whether it was written.
    fn write_rollout_status(
        &self,
        write: &StatusWrite,
    ) -> impl Future<Output = Result<Reading<bool>>>;

    /// Reads the usage snapshots of all fronts.
    fn load_snapshots<T: DeserializeOwned>(
        &self,
    ) -> impl Future<Output = Result<Reading<EntriesRead<T>>>>;

    /// Saves the usage snapshot of a front, replacing its previous one.
    fn save_snapshot(
        &self,
        name: &str,
        snapshot: Bytes,
    ) -> impl Future<Output = Result<Reading<()>>>;
}
