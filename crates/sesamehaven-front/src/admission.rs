//! Request admission: authentication, routing and body limits, applied before a request is queued.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{HttpMessage, Payload, Request, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use metrics::counter;
use smol_str::SmolStr;

use sesamehaven::backlog::Rank;
use sesamehaven::quarantine::{self, QuarantineStatus};
use sesamehaven::unit::{Instant, Millis};

use crate::body_memory::{GrowingBody, HeldBytes, Holder};
use crate::clock;
use crate::failure::{Failure, ServeResult};
use crate::front::Front;
use crate::headers::forwarded_headers;
use crate::job::{Job, RunStatus};
use crate::protocol::{Protocol, RequestMeta};
use crate::routing_table::{Organisation, Route, RoutingTable};
use crate::stop::Stop;

/// The longest accepted body if the configuration sets no limit, in bytes.
const DEFAULT_BODY_MAX_BYTES: u64 = 4 << 20;
/// Retry-After while the front has no configuration, or only a stale one.
const NOT_READY_RETRY_AFTER: Millis = Millis(400);
/// Retry-After while the memory for request bodies is exhausted.
const MEMORY_RETRY_AFTER: Millis = Millis(300);
/// The longest rest of a body that is read and dropped after a refusal, in bytes.
const DISCARDED_BODY_MAX_BYTES: usize = 32 << 20;
/// How long after a request arrived the rest of its body is read and dropped after a refusal.
const DISCARD_TIMEOUT: Millis = Millis(5_000);
/// Retry-After for a quarantined request.
pub(crate) const QUARANTINE_RETRY_AFTER: Millis = Millis(60_000);
/// The minimum and maximum Retry-After of a request over its rate limit.
const LIMIT_RETRY_AFTER: (Millis, Millis) = (Millis(100), Millis(5_000));

/// Authenticates and routes a request, and reads its body.
pub(crate) async fn admit<P: Protocol>(
    front: &Rc<Front<P>>,
    req: Request,
    payload: &mut Payload,
    arrived: Instant,
) -> ServeResult<Job<P>> {
    let head = req.head();
    let meta = P::parse_request(head).map_err(|err| {
        spdlog::info!("request rejected", kv: { reason = err.to_string() });
        Failure::client_error(
            StatusCode::BAD_REQUEST,
            "malformed",
            "a header field cannot be read; the log of the front names it",
        )
    })?;
    front.start_gate.wait().await;
    let not_ready = |code, message| Failure::unavailable(code, message, NOT_READY_RETRY_AFTER);
    let table = front
        .config
        .table()
        .ok_or_else(|| not_ready("not_configured", "this front has no configuration yet"))?;
    let path = req.uri().path();
    let route = table.route(&meta.host, path).ok_or_else(|| {
        log_denied(front, &meta, "no_route", table.version);
        Failure::client_error(
            StatusCode::NOT_FOUND,
            "no_route",
            "no route has this host and path",
        )
    })?;
    let organisation = authenticate(front, &table, route, &meta, arrived)?;
    let limit = table
        .caller_limits
        .map_or(DEFAULT_BODY_MAX_BYTES, |l| l.max_body.0);
    let path = SmolStr::new(req.uri().path_and_query().map_or(path, |p| p.as_str()));
    let headers = forwarded_headers::<P>(req.headers());
    let len = content_length(req.headers());
    let timeout = meta.timeout.unwrap_or(route.timeout).min(route.timeout);
    let (body, held) = tokio::select! {
        biased;
        read = read_body(front, payload, len, limit) => read?,
        () = tokio::time::sleep(timeout.duration()) => return Err(body_overdue()),
        () = front.stop.ended() => return Err(body_cut_off()),
    };
    let random = u64::from(rand::random::<u32>());
    let pool = route.choose_pool(random).cloned().unwrap_or_default();
    let name = organisation.as_ref().map_or("", |o| o.name.as_str());
    let fingerprint = quarantine::fingerprint(name, &path, &body);
    check_quarantine(front, &meta, fingerprint, arrived)?;
    let first_sent = match meta.timeout {
        Some(left) => {
            let retry_detector = front.retry_detector.borrow();
            retry_detector.first_sent(fingerprint, arrived.after(left), arrived)
        }
        None => arrived,
    };
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
        method: req.method().clone(),
        path,
        headers,
        body,
        held,
        fingerprint,
        arrived,
        first_sent,
        deadline: arrived.after(timeout),
        run_status: Cell::new(RunStatus::NotRun),
        version: Cell::new(None),
        running_stream: RefCell::default(),
        stream_type: RefCell::default(),
        tried: RefCell::default(),
        runs: Cell::new(0),
        failed_response: RefCell::default(),
        meta,
    };
    Ok(job)
}

/// Authenticates the caller and returns its organisation, or [`None`] for a public route.
fn authenticate<P: Protocol>(
    front: &Front<P>,
    table: &RoutingTable,
    route: &Route,
    meta: &RequestMeta,
    now: Instant,
) -> ServeResult<Option<Rc<Organisation>>> {
    if route.is_public {
        return Ok(None);
    }
    if !front.can_verify_keys(now) {
        log_denied(front, meta, "keys_not_confirmed", table.version);
        return Err(Failure::unavailable(
            "keys_not_confirmed",
            "this front cannot confirm at present which keys are valid",
            NOT_READY_RETRY_AFTER,
        ));
    }
    let key = meta.key.as_deref().unwrap_or_default();
    let Some(organisation) = table.organisation(key) else {
        log_denied(front, meta, "unknown_key", table.version);
        return Err(Failure::client_error(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
            "the key belongs to no organisation",
        ));
    };
    Ok(Some(Rc::clone(organisation)))
}

fn check_quarantine<P: Protocol>(
    front: &Front<P>,
    meta: &RequestMeta,
    fingerprint: u64,
    now: Instant,
) -> ServeResult<()> {
    if front.quarantine.borrow().status(fingerprint, now) != QuarantineStatus::Quarantined {
        return Ok(());
    }
    log_denied(front, meta, "quarantined", front.config.version());
    counter!("front_quarantined_total").increment(1);
    Err(Failure::unavailable(
        "quarantined",
        "this request ran at endpoints that crashed, and runs no more",
        QUARANTINE_RETRY_AFTER,
    ))
}

/// Charges the request to its organisation's rate limit and returns the charged amount.
pub(crate) fn charge<P: Protocol>(job: &Job<P>) -> ServeResult<u64> {
    let Some(organisation) = &job.organisation else {
        return Ok(0);
    };
    let Some(limit) = organisation.limit else {
        return Ok(0);
    };
    let amount = match job.meta.tokens {
        _ if !limit.counts_tokens => 1,
        Some((prompt, max_output)) => prompt + max_output,
        None => limit.default_tokens,
    };
    let peers = job.front.peers.borrow();
    let mut shared_limits = job.front.shared_limits.borrow_mut();
    let now = clock::now();
    let charged = shared_limits.charge(&organisation.name, amount, &peers.liveness, now);
    if charged.is_err() && shared_limits.is_usage_unknown(&organisation.name, now) {
        let message = "this front does not know yet what the organisation has used";
        return Err(Failure::unavailable(
            "usage_unknown",
            message,
            NOT_READY_RETRY_AFTER,
        ));
    }
    let (min, max) = LIMIT_RETRY_AFTER;
    charged.map(|()| amount).map_err(|wait| {
        counter!("front_over_limit_total").increment(1);
        Failure {
            status: StatusCode::TOO_MANY_REQUESTS,
            code: "over_limit",
            message: "the organisation is over its limit",
            may_have_run: false,
            retry_after: Some(wait.clamp(min, max)),
        }
    })
}

fn body_overdue() -> Failure {
    let message = "the body did not arrive within the time limit of the request";
    Failure::client_error(StatusCode::REQUEST_TIMEOUT, "body_overdue", message)
}

fn body_cut_off() -> Failure {
    let message = "this front stops before the body has arrived";
    Failure::unavailable("stopping", message, NOT_READY_RETRY_AFTER)
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads the whole body, so that the request can be resent to another endpoint.
///
/// A body that does not fit into the memory is refused before it arrives, if the request tells its length.
async fn read_body<P>(
    front: &Front<P>,
    payload: &mut Payload,
    len: Option<u64>,
    limit: u64,
) -> ServeResult<(Bytes, HeldBytes)> {
    let too_long = || {
        Failure::client_error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            "the body is longer than the configuration allows",
        )
    };
    let no_room = || {
        counter!("front_bodies_refused_total").increment(1);
        let message = "this front holds too many requests in memory";
        Failure::unavailable("memory", message, MEMORY_RETRY_AFTER)
    };
    let mut held = HeldBytes::new(&front.body_memory, Holder::Request);
    let len = len.unwrap_or_default();
    if len > limit {
        return Err(too_long());
    }
    if !held.try_set(len) {
        return Err(no_room());
    }
    let mut body = GrowingBody::new(held);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| {
            Failure::client_error(
                StatusCode::BAD_REQUEST,
                "malformed",
                "the body cannot be read",
            )
        })?;
        if body.len() + chunk.len() as u64 > limit {
            return Err(too_long());
        }
        if !body.push(&chunk) {
            return Err(no_room());
        }
    }
    Ok(body.freeze())
}

/// Reads the rest of a body that nobody needs, and returns whether it has ended.
///
/// It gives up when that has taken too long since the request arrived.
pub(crate) async fn discard_body(payload: &mut Payload, arrived: Instant, stop: &Stop) -> bool {
    let mut len = 0;
    let discard = async {
        while let Some(Ok(chunk)) = payload.next().await {
            len += chunk.len();
            if len > DISCARDED_BODY_MAX_BYTES {
                return false;
            }
        }
        true
    };
    let remaining = arrived.after(DISCARD_TIMEOUT).since(clock::now());
    tokio::select! {
        biased;
        is_read = discard => is_read,
        () = tokio::time::sleep(remaining.duration()) => false,
        () = stop.ended() => false,
    }
}

pub(crate) fn log_denied<P: Protocol>(
    front: &Front<P>,
    meta: &RequestMeta,
    reason: &str,
    version: u64,
) {
    let now = clock::now();
    if front.log_limiter.try_acquire(now) {
        spdlog::info!("request denied", kv: {
            id = meta.id.as_str(),
            why = reason,
            config = version,
            config_age_ms = front.config.age(now).0
        });
    }
}
