//! Parses callers' HTTP requests and checks them against the configuration.

use std::str::FromStr;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::http::header::AUTHORIZATION;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Deserialize;
use serde::de::IgnoredAny;
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::config::{Class, Contract, Index, Organisation, Pool, PoolKind};
use sesamehaven::id::{ClassName, PoolName};
use sesamehaven::key::Key;
use sesamehaven::part_quarantine::{PartId, PoolId};
use sesamehaven::unit::{Millis, Tokens};
use sesamehaven::{digest, prefix, quarantine};

use crate::caller::Job;
use crate::clock;
use crate::header;
use crate::reply::BadRequest;

/// The result of parsing a request.
pub type Result<T> = std::result::Result<T, BadRequest>;

/// Maximum time to the deadline of a request; a longer `Request-Timeout` or class
/// deadline is shortened to it.
const REQUEST_TIMEOUT_MAX: Millis = Millis(24 * 3_600_000);

/// Maximum number of texts of a prompt that count as parts that other requests may share.
const SHARED_PARTS_MAX: usize = 64;

/// The fields of a completions request that routing needs.
#[derive(Debug, Deserialize)]
struct Completion {
    model: SmolStr,
    #[serde(default)]
    messages: Option<Vec<ChatMessage>>,
    #[serde(default)]
    prompt: Option<Text>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    #[allow(dead_code)] // Read for its type only; the endpoint acts on it.
    stream: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: Option<Text>,
}

/// Text, or a list of parts that contain text.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Text {
    Plain(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Part {
    Plain(String),
    Typed { text: String },
    Other(IgnoredAny),
}

impl Text {
    /// Appends the parts of the text in order.
    fn collect<'a>(&'a self, texts: &mut Texts<'a>) {
        match self {
            Text::Plain(text) => texts.push(text.as_bytes()),
            Text::Parts(parts) => texts.extend(parts.iter().filter_map(Part::text)),
        }
    }
}

impl Part {
    fn text(&self) -> Option<&[u8]> {
        match self {
            Part::Plain(text) | Part::Typed { text } => Some(text.as_bytes()),
            Part::Other(IgnoredAny) => None,
        }
    }
}

/// The texts of a prompt, in order.
type Texts<'a> = SmallVec<[&'a [u8]; 4]>;

impl Completion {
    fn texts(&self) -> Texts<'_> {
        let mut texts = Texts::new();
        let messages = self.messages.iter().flatten();
        let contents = messages.filter_map(|message| message.content.as_ref());
        contents.for_each(|content| content.collect(&mut texts));
        if self.messages.is_none()
            && let Some(prompt) = &self.prompt
        {
            prompt.collect(&mut texts);
        }
        texts
    }
}

/// The expected size of a request, and its prompt prefixes.
struct WorkEstimate {
    prompt: Tokens,
    output: Tokens,
    prefixes: SmallVec<[u64; 8]>,
    /// The digests of the parts of the prompt that other requests may share.
    shared_parts: SmallVec<[u64; 8]>,
}

/// The caller, as identified by its API key and the `Work-Class` header.
struct AuthorizedCaller<'a> {
    organisation: &'a Organisation,
    contract: &'a Contract,
    class: &'a Class,
}

/// Reads the body of a request within its size and time limits.
///
/// # Errors
///
/// Fails when the body is larger than `max_bytes`, is incomplete, or does not arrive
/// in time.
pub async fn read_body(mut payload: Payload, max_bytes: usize, limit: Duration) -> Result<Bytes> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let Ok(chunk) = chunk else {
                return Err(BadRequest::new(
                    "body_broken",
                    "the body broke off; send it whole",
                ));
            };
            if body.len() + chunk.len() > max_bytes {
                return Err(too_large(max_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match tokio::time::timeout(limit, read).await {
        Ok(body) => body,
        Err(_) => {
            let message =
                format_smolstr!("the body did not arrive within {limit:?}; send it faster");
            Err(BadRequest::new("body_timeout", message).with_status(StatusCode::REQUEST_TIMEOUT))
        }
    }
}

fn too_large(max_bytes: usize) -> BadRequest {
    let message = format_smolstr!("the body is over the limit of {max_bytes} bytes; send less");
    BadRequest::new("body_too_large", message).with_status(StatusCode::PAYLOAD_TOO_LARGE)
}

/// Builds the job of a completions request.
///
/// # Errors
///
/// Fails with one message that names the field and the remedy.
pub fn completion(index: &Index, req: &HttpRequest, body: Bytes) -> Result<Job> {
    let caller = caller(index, req)?;
    let completion: Completion = serde_json::from_slice(&body).map_err(|err| {
        BadRequest::new(
            "invalid_body",
            format_smolstr!("the body is not a completions request: {err}"),
        )
    })?;
    let pool = pool(index, caller.contract, &completion.model, PoolKind::Model)?;
    let texts = completion.texts();
    let len: usize = texts.iter().map(|text| text.len()).sum();
    if len == 0 {
        let message = "`messages` or `prompt` is empty or missing; send the text to complete";
        return Err(BadRequest::new("invalid_body", message));
    }
    let output = match completion.max_tokens {
        Some(0) => {
            return Err(BadRequest::new(
                "invalid_body",
                "`max_tokens` is 0; ask for 1 or more",
            ));
        }
        Some(max) => Tokens(max.min(caller.class.expected_output.0)),
        None => caller.class.expected_output,
    };
    let work = WorkEstimate {
        prompt: Tokens((len as u64).div_ceil(prefix::BYTES_PER_TOKEN)),
        output,
        shared_parts: shared_parts(&texts),
        prefixes: prefix::digests(texts),
    };
    job(&caller, pool, req, req.uri().path(), work, body)
}

/// Builds the job of a call to a plain service.
///
/// # Errors
///
/// Fails with one message that names the field and the remedy.
pub fn service(
    index: &Index,
    req: &HttpRequest,
    name: &str,
    tail: &str,
    body: Bytes,
) -> Result<Job> {
    let caller = caller(index, req)?;
    let pool = pool(index, caller.contract, name, PoolKind::Service)?;
    let query = req.uri().query();
    let path = match query {
        Some(query) => format!("/{tail}?{query}"),
        None => format!("/{tail}"),
    };
    let work = WorkEstimate {
        prompt: Tokens(1),
        output: Tokens(1),
        prefixes: SmallVec::new(),
        shared_parts: SmallVec::new(),
    };
    job(&caller, pool, req, &path, work, body)
}

/// Returns the models that the caller may use.
///
/// # Errors
///
/// Fails when the caller cannot be authenticated.
pub fn models(index: &Index, req: &HttpRequest) -> Result<Vec<PoolName>> {
    let caller = caller(index, req)?;
    let pools = caller
        .contract
        .pools
        .iter()
        .filter_map(|name| index.pool(name));
    let models = pools.filter(|pool| pool.kind == PoolKind::Model);
    Ok(models.map(|pool| pool.name.clone()).collect())
}

fn caller<'a>(index: &'a Index, req: &HttpRequest) -> Result<AuthorizedCaller<'a>> {
    let key = bearer(req)?;
    let Some(organisation) = index.organisation_by_key(key) else {
        return Err(unauthorized(
            "the API key is not known; check `Authorization`",
        ));
    };
    let Some(contract) = index.contract(&organisation.contract) else {
        return Err(unauthorized("the organisation has no contract"));
    };
    let class = class(index, contract, req)?;
    Ok(AuthorizedCaller {
        organisation,
        contract,
        class,
    })
}

fn bearer(req: &HttpRequest) -> Result<&str> {
    let value = req.headers().get(AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.ok_or_else(|| unauthorized("send `Authorization: Bearer` and the API key"))
}

fn unauthorized(message: &'static str) -> BadRequest {
    BadRequest::new("unauthorized", message).with_status(StatusCode::UNAUTHORIZED)
}

fn class<'a>(index: &'a Index, contract: &'a Contract, req: &HttpRequest) -> Result<&'a Class> {
    let requested = text_header(req, "work-class")?;
    let granted = |name: &str| contract.classes.iter().find(|c| c.as_str() == name);
    let name: Option<&ClassName> = match requested {
        Some(requested) => granted(requested),
        None => contract.classes.first(),
    };
    let class = name.and_then(|name| index.class(name));
    class.ok_or_else(|| {
        let classes: Vec<_> = contract.classes.iter().map(ClassName::as_str).collect();
        let message = format_smolstr!(
            "`Work-Class` is none of the contract's; use one of: {}",
            classes.join(", ")
        );
        BadRequest::new("unknown_class", message)
    })
}

fn pool<'a>(index: &'a Index, contract: &Contract, name: &str, kind: PoolKind) -> Result<&'a Pool> {
    let parsed = PoolName::from_str(name).ok();
    let granted = parsed.filter(|name| contract.pools.contains(name));
    let pool = granted.and_then(|name| index.pool(&name));
    pool.filter(|pool| pool.kind == kind).ok_or_else(|| {
        let (code, message) = match kind {
            PoolKind::Model => (
                "unknown_model",
                format_smolstr!("`model` {name:?} is not granted; ask `GET /v1/models`"),
            ),
            PoolKind::Service => (
                "unknown_service",
                format_smolstr!("the service {name:?} is not granted; check the path"),
            ),
        };
        BadRequest::new(code, message).with_status(StatusCode::NOT_FOUND)
    })
}

fn job(
    caller: &AuthorizedCaller<'_>,
    pool: &Pool,
    req: &HttpRequest,
    path: &str,
    work: WorkEstimate,
    body: Bytes,
) -> Result<Job> {
    let now = clock::now();
    check_not_resumed(req)?;
    let class = caller.class;
    let remaining = timeout(req)?
        .unwrap_or(class.deadline)
        .min(REQUEST_TIMEOUT_MAX);
    let organisation = caller.organisation.name.clone();
    let pool_id = PoolId::new(pool.name.as_str());
    let parts = work.shared_parts.iter().map(|p| PartId::new(pool_id, *p));
    let key = idempotency_key(req)?;
    Ok(Job {
        pool: pool.name.clone(),
        class: class.name.clone(),
        tier: class.tier,
        repeat: class.repeat,
        key: key.as_ref().map(|key| key.digest(&organisation)),
        key_time: key.as_ref().and_then(Key::time),
        deadline: now.after(remaining),
        received: now,
        prompt: work.prompt,
        output: work.output,
        prefixes: work.prefixes,
        weight: caller.contract.limits.weight.unwrap_or(1),
        fingerprint: quarantine::fingerprint(organisation.as_str(), pool.name.as_str(), &body),
        parts: parts.collect(),
        limits: caller.contract.limits.clone(),
        organisation,
        method: req.method().as_str().into(),
        path: path.into(),
        headers: header::to_wire(req.headers()),
        body,
    })
}

/// Returns the digests of the texts before the last one, which belongs to the request itself; of a
/// prompt of one text, those of its prefixes.
fn shared_parts(texts: &Texts<'_>) -> SmallVec<[u64; 8]> {
    let Some((_, shared @ [_, ..])) = texts.split_last() else {
        return prefix::digests(texts.iter().copied());
    };
    let shared = shared.iter().take(SHARED_PARTS_MAX);
    let mut parts: SmallVec<[u64; 8]> = shared.map(digest::hash_of).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

fn timeout(req: &HttpRequest) -> Result<Option<Millis>> {
    let Some(text) = text_header(req, "request-timeout")? else {
        return Ok(None);
    };
    match text.parse::<f64>() {
        Ok(secs) if secs.is_finite() && secs > 0.0 => {
            Ok(Some(Millis((secs * 1_000.0).ceil() as u64)))
        }
        _ => {
            let message = format_smolstr!(
                "`Request-Timeout` is {text:?}; use seconds over zero, such as 2.5"
            );
            Err(BadRequest::new("invalid_timeout", message))
        }
    }
}

/// Refuses a request that takes up a stream again.
///
/// It would go on at any endpoint of the pool, which may run another software version
/// than the one that began the stream.
fn check_not_resumed(req: &HttpRequest) -> Result<()> {
    if !req.headers().contains_key("last-event-id") {
        return Ok(());
    }
    let message = "streams cannot be taken up again; send the request without `Last-Event-ID`";
    Err(BadRequest::new("stream_not_resumable", message))
}

fn idempotency_key(req: &HttpRequest) -> Result<Option<Key>> {
    let Some(value) = req.headers().get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().parse();
    let malformed = |err: sesamehaven::Error| {
        BadRequest::new("invalid_key", format_smolstr!("`Idempotency-Key`: {err}"))
    };
    key.map(Some).map_err(malformed)
}

fn text_header<'a>(req: &'a HttpRequest, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => {
            let message = format_smolstr!("`{name}` is not text; use visible ASCII characters");
            Err(BadRequest::new("invalid_header", message))
        }
    }
}
