//! The path of a request through a front, from its head to its answer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use actix_http::{HttpMessage, Method, Payload, Request, Response, StatusCode};
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::StreamExt;
use metrics::counter;
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::backlog::Rank;
use sesamehaven::dispatcher::Refusal;
use sesamehaven::placement::Ended;
use sesamehaven::quarantine::Standing;
use sesamehaven::unit::{Instant, Millis};

use crate::body::Body;
use crate::clock;
use crate::dialect::{Call, Dialect};
use crate::front::{Counted, Front};
use crate::job::{Answer, Attempt, Job, Phase};
use crate::relay;
use crate::reply::{self, Failure};
use crate::table::{Organisation, Repeat, Route, Table};

/// The longest body when the configuration sets no limit, in bytes.
const BODY_MAX_BYTES: u64 = 4 << 20;
/// The longest answer of a plain service, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// The most endpoints that are tried without any of them running the request.
const REJECTIONS_MAX: u32 = 3;
/// When to come back to a front that does not know the configuration, or not freshly enough.
const UNINFORMED_RETRY_AFTER: Millis = Millis(400);
/// When to come back after every endpoint rejected a request.
const REJECTED_RETRY_AFTER: Millis = Millis(300);
/// When to come back with a request that crashed endpoints.
const QUARANTINE_RETRY_AFTER: Millis = Millis(60_000);
/// The bounds of the wait for a limit to allow more.
const LIMIT_RETRY_AFTER: (Millis, Millis) = (Millis(100), Millis(5_000));

type Outcome<T> = Result<T, Failure>;

/// Serves a request of a caller.
pub async fn serve<D: Dialect>(front: Rc<Front<D>>, req: Request) -> Response<Body> {
    let arrived = clock::now();
    let _active = Counted::new(&front.active);
    let mut res = match admit(&front, req, arrived).await {
        Ok(job) => run(job).await,
        Err(failure) => failure.response(),
    };
    if front.is_draining.get() {
        reply::close(&mut res);
    }
    let status = res.status().as_u16();
    counter!("front_responses_total", "status" => status.to_string()).increment(1);
    res
}

/// Finds out whose request it is and where it goes, and reads its body.
async fn admit<D: Dialect>(
    front: &Rc<Front<D>>,
    mut req: Request,
    arrived: Instant,
) -> Outcome<Job<D>> {
    let payload = req.take_payload();
    let head = req.head();
    let call = D::call(head).map_err(|err| {
        spdlog::info!("request rejected", kv: { reason = err.to_string() });
        Failure::wrong(
            StatusCode::BAD_REQUEST,
            "malformed",
            "a header field cannot be read; the log of the front names it",
        )
    })?;
    let uninformed = |code, message| Failure::refused(code, message, UNINFORMED_RETRY_AFTER);
    let table = front
        .knowledge
        .table()
        .ok_or_else(|| uninformed("not_configured", "this front has no configuration yet"))?;
    let path = req.uri().path();
    let route = table.route(&call.host, path).ok_or_else(|| {
        log_denied(front, &call, "no_route", table.version);
        Failure::wrong(
            StatusCode::NOT_FOUND,
            "no_route",
            "no route has this host and path",
        )
    })?;
    let organisation = identify(front, &table, route, &call, arrived)?;
    let limit = table.limits.map_or(BODY_MAX_BYTES, |l| l.body.0);
    let path = SmolStr::new(req.uri().path_and_query().map_or(path, |p| p.as_str()));
    let fields = forwarded::<D>(req.headers());
    let body = read_body(front, payload, limit).await?;
    let draw = u64::from(rand::random::<u32>());
    let pool = route.pool(draw).cloned().unwrap_or_default();
    let fingerprint = fingerprint(organisation.as_deref(), &path, &body);
    refuse_quarantined(front, &call, fingerprint, arrived)?;
    let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
    let tier = organisation
        .as_ref()
        .and_then(|o| o.tier)
        .unwrap_or(route.tier);
    let job = Job {
        front: Rc::clone(front),
        route: Rc::clone(route),
        organisation,
        rank: Rank {
            tier,
            route: route.tier,
        },
        pool,
        method: method_of(&req),
        path,
        fields,
        body,
        fingerprint,
        arrived,
        until: arrived.after(patience),
        phase: std::cell::Cell::new(Phase::NotRun),
        tried: SmallVec::new(),
        runs: 0,
        call,
    };
    Ok(job)
}

fn method_of(req: &Request) -> Method {
    req.method().clone()
}

/// Finds the organisation that a key belongs to.
fn identify<D: Dialect>(
    front: &Front<D>,
    table: &Table,
    route: &Route,
    call: &Call,
    now: Instant,
) -> Outcome<Option<Rc<Organisation>>> {
    if route.is_public {
        return Ok(None);
    }
    if !front.vouches_for_keys(now) {
        log_denied(front, call, "keys_not_confirmed", table.version);
        return Err(Failure::refused(
            "keys_not_confirmed",
            "this front cannot confirm at present which keys are valid",
            UNINFORMED_RETRY_AFTER,
        ));
    }
    let key = call.key.as_deref().unwrap_or_default();
    let Some(organisation) = table.organisation(key) else {
        log_denied(front, call, "unknown_key", table.version);
        return Err(Failure::wrong(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
            "the key belongs to no organisation",
        ));
    };
    Ok(Some(Rc::clone(organisation)))
}

fn refuse_quarantined<D: Dialect>(
    front: &Front<D>,
    call: &Call,
    fingerprint: u64,
    now: Instant,
) -> Outcome<()> {
    if front.quarantine.borrow().standing(fingerprint, now) != Standing::Quarantined {
        return Ok(());
    }
    log_denied(front, call, "quarantined", front.knowledge.version());
    counter!("front_quarantined_total").increment(1);
    Err(Failure::refused(
        "quarantined",
        "this request ran at endpoints that crashed, and runs no more",
        QUARANTINE_RETRY_AFTER,
    ))
}

/// Draws on the organisation's limit; returns what was drawn.
fn draw<D: Dialect>(job: &Job<D>) -> Outcome<u64> {
    let Some(organisation) = &job.organisation else {
        return Ok(0);
    };
    let Some(limit) = organisation.limit else {
        return Ok(0);
    };
    let amount = match job.call.tokens {
        _ if !limit.in_tokens => 1,
        Some((prompt, most)) => prompt + most,
        None => limit.plain_tokens,
    };
    let peers = job.front.peers.borrow();
    let mut spending = job.front.spending.borrow_mut();
    let drawn = spending.draw(&organisation.name, amount, &peers.hearing, clock::now());
    let (least, most) = LIMIT_RETRY_AFTER;
    drawn.map(|()| amount).map_err(|wait| {
        counter!("front_over_limit_total").increment(1);
        Failure {
            status: StatusCode::TOO_MANY_REQUESTS,
            code: "over_limit",
            message: "the organisation is over its limit",
            may_have_run: false,
            retry_after: Some(wait.clamp(least, most)),
        }
    })
}

/// Reads a whole body, so that it can be sent to a second endpoint.
async fn read_body<D>(front: &Front<D>, mut payload: Payload, limit: u64) -> Outcome<Bytes> {
    let mut whole = BytesMut::new();
    let most = front.settings.borrow().bodies.0;
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| {
            Failure::wrong(
                StatusCode::BAD_REQUEST,
                "malformed",
                "the body cannot be read",
            )
        })?;
        let len = (whole.len() + part.len()) as u64;
        if len > limit {
            return Err(Failure::wrong(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_long",
                "the body is longer than the configuration allows",
            ));
        }
        if front.body_bytes.get() + len > most {
            let message = "this front holds too many requests in memory";
            return Err(Failure::refused("memory", message, REJECTED_RETRY_AFTER));
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// Runs a request to its answer.
async fn run<D: Dialect>(mut job: Job<D>) -> Response<Body> {
    let now = clock::now();
    {
        let bounds = job.front.settings.borrow().bounds.clone();
        let mut spending = job.front.spending.borrow_mut();
        spending.on_request(&job.pool, &bounds, now);
    }
    let front = Rc::clone(&job.front);
    let drawn = match draw(&job) {
        Ok(drawn) => drawn,
        Err(failure) => {
            let name = job.organisation.as_ref().map_or("", |o| o.name.as_str());
            job.log("over_limit", "", name);
            return failure.response();
        }
    };
    let organisation = job.organisation.clone();
    let held = HeldBytes::new(&front.body_bytes, job.body.len() as u64);
    let left = job.left(now).duration();
    let result = tokio::time::timeout(left, to_answer(&mut job)).await;
    drop(held);
    let failure = match result {
        Ok(Ok(Served::Whole(res))) => {
            job.observe_answer();
            return res;
        }
        Ok(Ok(Served::Stream(answer, first))) => {
            job.observe_answer();
            return relay::start(job, *answer, first);
        }
        Ok(Err(failure)) => failure,
        Err(_) => timed_out(&job),
    };
    if !failure.may_have_run {
        if let Some(organisation) = organisation {
            front
                .spending
                .borrow_mut()
                .give_back(&organisation.name, drawn, clock::now());
        }
    }
    job.log("failed", "", failure.code);
    counter!("front_failures_total", "code" => failure.code).increment(1);
    failure.response()
}

/// What a request has come to when its caller can be answered.
enum Served<D: Dialect> {
    Whole(Response<Body>),
    Stream(Box<Answer<D>>, relay::First),
}

/// Tries endpoints until one has answered, or no other may be tried.
async fn to_answer<D: Dialect>(job: &mut Job<D>) -> Outcome<Served<D>> {
    let mut rejections = 0;
    loop {
        let place = match job.acquire().await {
            Ok(place) => place,
            Err(refused) if job.runs == 0 => {
                return Err(refusal(refused.why, refused.retry_after));
            }
            Err(_) => return Err(broken()),
        };
        let endpoint = place.endpoint.clone();
        job.log("dispatch", &endpoint, job.runs);
        let attempt = job.attempt(place, job.call.last_event).await;
        job.tried.push(endpoint.clone());
        let answer = match attempt {
            Attempt::Answered(answer) => answer,
            Attempt::NotSent | Attempt::NotRun => {
                rejections += 1;
                let was_sent = matches!(attempt, Attempt::NotRun);
                if rejections > REJECTIONS_MAX || (was_sent && !job.take_retry()) {
                    return Err(match job.runs {
                        0 => rejected(),
                        _ => broken(),
                    });
                }
                continue;
            }
            Attempt::Unknown(_) => {
                job.runs += 1;
                if job.may_run_again() {
                    continue;
                }
                return Err(broken());
            }
        };
        job.runs += 1;
        let served = match job.route.is_stream && answer.head.status.is_success() {
            true => first_events(job, answer).await,
            false => whole(job, *answer).await,
        };
        match served {
            Judged::Serve(served) => return Ok(served),
            Judged::Again => {}
            Judged::Spoilt if job.may_run_again() => {}
            Judged::Spoilt => return Err(broken()),
        }
    }
}

/// What is done with an endpoint's answer.
enum Judged<D: Dialect> {
    Serve(Served<D>),
    /// It failed, and the request runs once more, which the budget has granted.
    Again,
    /// It cannot be used.
    Spoilt,
}

/// Reads the first events of a stream.
async fn first_events<D: Dialect>(job: &Job<D>, mut answer: Box<Answer<D>>) -> Judged<D> {
    let first = relay::first(job, &mut answer).await;
    match first {
        Ok(first) => Judged::Serve(Served::Stream(answer, first)),
        Err(why) => {
            let endpoint = answer.place.endpoint.clone();
            job.log("stream_broken", &endpoint, why);
            answer.place.end(Ended::Badly);
            Judged::Spoilt
        }
    }
}

/// Reads a whole answer.
async fn whole<D: Dialect>(job: &Job<D>, answer: Answer<D>) -> Judged<D> {
    let Answer {
        head,
        mut conn,
        place,
        ..
    } = answer;
    let endpoint = place.endpoint.clone();
    let body = match conn.body(ANSWER_MAX_BYTES).await {
        Ok(body) => body,
        Err(err) => {
            job.log("answer_spoilt", &endpoint, &err);
            place.end(Ended::Badly);
            return Judged::Spoilt;
        }
    };
    conn.finish(&head);
    job.front.hosts.keep(&endpoint, conn, &head);
    let failed = head.status.is_server_error();
    place.end(if failed { Ended::Badly } else { Ended::Well });
    job.front
        .quarantine
        .borrow_mut()
        .on_finished(job.fingerprint);
    job.log("answered", &endpoint, head.status.as_u16());
    if failed && job.route.repeat == Repeat::Always && job.has_time_again() && job.take_retry() {
        return Judged::Again;
    }
    let mut res = Response::with_body(head.status, Body::Whole(body));
    copy_headers(&head.headers, res.headers_mut());
    Judged::Serve(Served::Whole(res))
}

impl<D: Dialect> Job<D> {
    /// Returns whether a failed request has a second attempt and the time for it.
    fn has_time_again(&self) -> bool {
        self.runs < self.route.attempts && self.left(clock::now()) > self.route.objective
    }
}

fn timed_out<D: Dialect>(job: &Job<D>) -> Failure {
    match job.phase.get() {
        Phase::NotRun => refusal(Refusal::Overdue, REJECTED_RETRY_AFTER),
        Phase::MayHaveRun => Failure::unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "timeout",
            "the endpoint did not answer in time",
        ),
    }
}

fn refusal(why: Refusal, retry_after: Millis) -> Failure {
    let message = match why {
        Refusal::Overload => "more is waiting than can be served in time",
        Refusal::Overdue => "no endpoint became free in time",
        Refusal::NoEndpoint => "no endpoint takes work",
    };
    Failure::refused(why.as_str(), message, retry_after)
}

fn rejected() -> Failure {
    let message = "the endpoints that were tried took no more work";
    Failure::refused("rejected", message, REJECTED_RETRY_AFTER)
}

fn broken() -> Failure {
    let message = "the endpoint broke off; the request may have run";
    Failure::unknown(StatusCode::BAD_GATEWAY, "endpoint_failed", message)
}

/// Writes the caller's header fields that go on to the endpoint.
fn forwarded<D: Dialect>(headers: &HeaderMap) -> Bytes {
    let named = connection_options(headers);
    let mut fields = BytesMut::with_capacity(512);
    for (name, value) in headers {
        let name = name.as_str();
        if is_hop_by_hop(name) || named.iter().any(|n| n == name) || !D::passes(name) {
            continue;
        }
        fields.put_slice(name.as_bytes());
        fields.put_slice(b": ");
        fields.put_slice(value.as_bytes());
        fields.put_slice(b"\r\n");
    }
    fields.freeze()
}

fn connection_options(headers: &HeaderMap) -> SmallVec<[SmolStr; 2]> {
    let values = headers.get_all(CONNECTION).filter_map(|v| v.to_str().ok());
    let options = values.flat_map(|v| v.split(','));
    options
        .map(|o| SmolStr::new(o.trim().to_ascii_lowercase()))
        .collect()
}

fn is_hop_by_hop(name: &str) -> bool {
    let known = [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ];
    known.iter().any(|k| k.as_str() == name)
        || matches!(
            name,
            "keep-alive" | "proxy-connection" | "proxy-authorization"
        )
}

/// Copies the header fields of an endpoint's answer, but for those of its connection.
pub fn copy_headers(from: &http::HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !is_hop_by_hop(name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Digests what makes two requests the same to an endpoint.
fn fingerprint(organisation: Option<&Organisation>, path: &str, body: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(organisation.map_or("", |o| o.name.as_str()).as_bytes());
    hasher.update(&[0]);
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    let head = hasher.finalize().as_bytes().first_chunk().copied();
    u64::from_le_bytes(head.unwrap_or_default())
}

fn log_denied<D: Dialect>(front: &Front<D>, call: &Call, why: &str, version: u64) {
    let now = clock::now();
    if front.lines.take(now) {
        spdlog::info!("request denied", kv: {
            id = call.id.as_str(),
            why,
            config = version,
            config_age_ms = front.knowledge.age(now).0
        });
    }
}

/// The bytes of a body that are held in memory.
struct HeldBytes<'a> {
    held: &'a std::cell::Cell<u64>,
    bytes: u64,
}

impl<'a> HeldBytes<'a> {
    fn new(held: &'a std::cell::Cell<u64>, bytes: u64) -> Self {
        held.set(held.get() + bytes);
        HeldBytes { held, bytes }
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

/// How long a stream may be silent, given the objectives of its route.
pub fn silence_limit(route: &Route) -> Duration {
    const LEAST: Millis = Millis(1_000);
    Millis(
        (route.objective.0 * 2)
            .max(route.pause_objective.0 * 4)
            .max(LEAST.0),
    )
    .duration()
}
