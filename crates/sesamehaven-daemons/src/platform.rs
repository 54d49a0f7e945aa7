//! The client of the platform's object API.
//!
//! Every call is counted in `platform_calls_total` by kind and outcome, for
//! comparison with the platform's own counts. Errors distinguish a write whose
//! response was lost from one that was refused: the former may have taken effect,
//! and the caller has to read the object back. The interface is described in
//! [`docs/INTERFACES.md`](../../../docs/INTERFACES.md).

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode, header};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use metrics::counter;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use sesamehaven::id::DataCentreName;
use sesamehaven::unit::Millis;

use crate::list::{self, SkippedEntries};
pub use crate::platform_error::{Error, Result};
use crate::platform_error::{answer_lost, malformed, no_version, refused, unavailable};
use crate::strict_eof;

const VERSION_HEADER: &str = "Object-Version";
const CONDITION_HEADER: &str = "If-Version";
/// Maximum size of a response body.
const ANSWER_MAX_BYTES: usize = 16 << 20;
const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Default timeout of a call.
pub const PLATFORM_TIMEOUT: Millis = Millis(3_000);

/// The version of an object, which increases with each write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version(pub u64);

impl Version {
    /// The version of an object that does not exist.
    pub const ABSENT: Version = Version(0);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        s.parse().map(Version)
    }
}

/// An object's value and version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// The precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The write is unconditional.
    Always,
    /// The object has this version; [`Version::ABSENT`] requires that it does not
    /// exist.
    Version(Version),
}

/// An object in a listing.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// The path.
    pub path: SmolStr,
    /// The version.
    version: u64,
}

impl Listed {
    /// Returns the version at the time of the listing.
    pub fn version(&self) -> Version {
        Version(self.version)
    }
}

/// A VM in the platform's list, which may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name.
    pub name: SmolStr,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The role of the VM.
    pub role: SmolStr,
    /// Its IP address, with a port if the platform knows one.
    pub address: SmolStr,
    /// Its state.
    pub state: VmState,
}

/// The last state of a VM known to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
    /// The VM was removed.
    Gone,
}

/// The weight store's response to a request to fetch weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fetch {
    /// The fetch may begin.
    Granted,
    /// The rate limit is exhausted.
    Wait {
        /// Delay before the next request.
        retry_after: Millis,
    },
}

/// A client of the platform, cheap to clone within one thread.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    url: SmolStr,
    timeout: Duration,
    skipped: Rc<SkippedEntries>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut f = f.debug_struct("Platform");
        f.field("url", &self.url).finish_non_exhaustive()
    }
}

impl Platform {
    /// Creates a client that waits at most `timeout` for each response.
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        Self::with_url(&format!("http://{address}"), timeout)
    }

    /// Creates a client from a URL without a path, such as `http://10.0.0.1:80`.
    pub fn with_url(url: &str, timeout: Millis) -> Self {
        let builder = Client::builder().connector(strict_eof::connector());
        Platform {
            client: builder.disable_redirects().finish(),
            url: url.trim_end_matches('/').into(),
            timeout: timeout.duration(),
            skipped: Rc::default(),
        }
    }

    /// Reads an object; returns [`None`] if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, rejects the call or sends a malformed
    /// response.
    pub async fn get(&self, path: &str) -> Result<Option<Object>> {
        let req = self.request(Method::GET, &format!("/objects/{path}"));
        counted("get", self.read_object(path, req, Duration::ZERO).await)
    }

    /// Waits up to `wait` until an object has a version above `after`.
    ///
    /// Returns [`None`] on a timeout.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, rejects the call or sends a malformed
    /// response.
    pub async fn watch(&self, path: &str, after: Version, wait: Millis) -> Result<Option<Object>> {
        let url = format!("/watch/{path}?after={after}&wait_ms={}", wait.0);
        let req = self.request(Method::GET, &url);
        counted("watch", self.read_object(path, req, wait.duration()).await)
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when the condition does not hold, and otherwise as
    /// reads do. [`Error::is_answer_lost`] returns whether the write may have taken
    /// effect.
    pub async fn put(&self, path: &str, value: Bytes, condition: Condition) -> Result<Version> {
        let req = self.request(Method::PUT, &format!("/objects/{path}"));
        let req = condition.apply(req);
        counted("put", self.write(path, req, value).await)
            .and_then(|(_, version)| version.ok_or_else(|| no_version(path)))
    }

    /// Deletes an object and returns whether it existed.
    ///
    /// # Errors
    ///
    /// Fails as [`Platform::put`] does.
    pub async fn delete(&self, path: &str, condition: Condition) -> Result<bool> {
        let req = self.request(Method::DELETE, &format!("/objects/{path}"));
        let req = condition.apply(req);
        let (status, _) = counted("delete", self.write(path, req, Bytes::new()).await)?;
        Ok(status != StatusCode::NOT_FOUND)
    }

    /// Lists the objects whose paths start with `prefix`, ordered by path.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, rejects the call or sends a malformed
    /// response.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Listed>> {
        let req = self.request(Method::GET, "/objects");
        let req = req
            .query(&[("prefix", prefix)])
            .map_err(|err| malformed(prefix, err))?;
        counted("list", self.read_list(prefix, req).await)
    }

    /// Reads the list of VMs, which may be stale.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable, rejects the call or sends a malformed
    /// response.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let req = self.request(Method::GET, "/vms");
        counted("vms", self.read_list("vms", req).await)
    }

    /// Requests permission from the weight store to fetch a model or an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable or rejects the call.
    pub async fn request_weight_fetch(&self, name: &str) -> Result<Fetch> {
        let req = self.request(Method::POST, &format!("/weights/{name}"));
        counted("weights", self.fetch_weights(name, req).await)
    }

    fn request(&self, method: Method, path_and_query: &str) -> ClientRequest {
        let url = format!("{}{path_and_query}", self.url);
        self.client.request(method, url).timeout(self.timeout)
    }

    async fn read_object(
        &self,
        path: &str,
        req: ClientRequest,
        wait: Duration,
    ) -> Result<Option<Object>> {
        let response = self.read(path, req, wait).await?;
        match response.status {
            StatusCode::OK => {
                let version = response.version.ok_or_else(|| no_version(path))?;
                let value = response.body;
                Ok(Some(Object { version, value }))
            }
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
            status => Err(refused(path, status)),
        }
    }

    /// Reads a list; entries that cannot be parsed are logged once each and left out.
    async fn read_list<T: DeserializeOwned>(
        &self,
        path: &str,
        req: ClientRequest,
    ) -> Result<Vec<T>> {
        let response = self.read(path, req, Duration::ZERO).await?;
        if response.status != StatusCode::OK {
            return Err(refused(path, response.status));
        }
        let text = list::text(&response.body);
        let entries: Vec<&RawValue> =
            serde_json::from_str(&text).map_err(|err| malformed(path, err))?;
        let parsed = entries.iter().filter_map(|entry| {
            let parsed = serde_json::from_str(entry.get());
            parsed
                .inspect_err(|err| self.skipped.log_once(path, entry.get(), err))
                .ok()
        });
        Ok(parsed.collect())
    }

    async fn fetch_weights(&self, name: &str, req: ClientRequest) -> Result<Fetch> {
        let response = self.read(name, req, Duration::ZERO).await?;
        match response.status {
            StatusCode::OK => Ok(Fetch::Granted),
            StatusCode::TOO_MANY_REQUESTS => Ok(Fetch::Wait {
                retry_after: response.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            }),
            status => Err(refused(name, status)),
        }
    }

    /// Sends an idempotent request and reads the whole response.
    async fn read(&self, path: &str, req: ClientRequest, wait: Duration) -> Result<Response> {
        let sent = req.timeout(self.timeout + wait).send().await;
        let res = sent.map_err(|err| unavailable(path, err))?;
        let mut res = res.timeout(self.timeout);
        let head = Response::new(res.status(), res.headers());
        if is_outage(head.status) {
            return Err(unavailable(path, head.status));
        }
        let body = res.body().limit(ANSWER_MAX_BYTES).await;
        let body = body.map_err(|err| unavailable(path, err))?;
        Ok(Response { body, ..head })
    }

    async fn write(
        &self,
        path: &str,
        req: ClientRequest,
        value: Bytes,
    ) -> Result<(StatusCode, Option<Version>)> {
        let res = match req.send_body(value).await {
            Ok(res) => res,
            Err(err) if never_sent(&err) => return Err(unavailable(path, err)),
            Err(err) => return Err(answer_lost(path, err)),
        };
        let response = Response::new(res.status(), res.headers());
        match response.status {
            StatusCode::CONFLICT => Err(Error::Conflict {
                path: path.into(),
                version: response.version.unwrap_or_default(),
            }),
            StatusCode::SERVICE_UNAVAILABLE => Err(unavailable(path, response.status)),
            status if status.is_server_error() => Err(answer_lost(path, status)),
            status if status.is_success() => Ok((status, response.version)),
            StatusCode::NOT_FOUND => Ok((response.status, None)),
            status => Err(refused(path, status)),
        }
    }
}

impl Condition {
    fn apply(self, req: ClientRequest) -> ClientRequest {
        match self {
            Condition::Always => req,
            Condition::Version(version) => {
                req.insert_header((CONDITION_HEADER, version.to_string()))
            }
        }
    }
}

/// The relevant parts of a response.
struct Response {
    status: StatusCode,
    version: Option<Version>,
    retry_after: Option<Millis>,
    body: Bytes,
}

impl Response {
    fn new(status: StatusCode, headers: &header::HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let secs = text("Retry-After").and_then(|v| v.parse::<u64>().ok());
        Response {
            status,
            version: text(VERSION_HEADER).and_then(|v| v.parse().ok()),
            retry_after: secs.map(|s| Millis(s.saturating_mul(1_000))),
            body: Bytes::new(),
        }
    }
}

fn is_outage(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Returns whether a request failed before any byte of it was sent.
///
/// [`ConnectError::Disconnected`] does not count, since it also reports a
/// connection that closes before the response.
fn never_sent(err: &SendRequestError) -> bool {
    match err {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(err) => !matches!(err, ConnectError::Disconnected),
        _ => false,
    }
}

fn counted<T>(call: &'static str, result: Result<T>) -> Result<T> {
    let outcome = result.as_ref().err().map_or("ok", Error::code);
    counter!("platform_calls_total", "call" => call, "outcome" => outcome).increment(1);
    result
}
