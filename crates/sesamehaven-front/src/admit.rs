//! Who may have a request served, before anything waits or runs.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::{HttpMessage, Payload, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use metrics::counter;
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::backlog::Rank;
use sesamehaven::quarantine::{self, QuarantineStatus};
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::dialect::{Call, Dialect};
use crate::front::Front;
use crate::headers::forwarded;
use crate::job::{Job, Phase};
use crate::reply::{Failure, Outcome};
use crate::table::{Organisation, Route, Table};

/// The longest body when the configuration sets no limit, in bytes.
const BODY_MAX_BYTES: u64 = 4 << 20;
/// When to come back to a front that does not know the configuration, or not freshly enough.
const UNINFORMED_RETRY_AFTER: Millis = Millis(400);
/// When to come back to a front whose memory is full.
const MEMORY_RETRY_AFTER: Millis = Millis(300);
/// When to come back with a request that crashed endpoints.
const QUARANTINE_RETRY_AFTER: Millis = Millis(60_000);
/// The bounds of the wait for a limit to allow more.
const LIMIT_RETRY_AFTER: (Millis, Millis) = (Millis(100), Millis(5_000));

/// Finds out whose request it is and where it goes, and reads its body.
pub(crate) async fn admit<D: Dialect>(
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
    let name = organisation.as_ref().map_or("", |o| o.name.as_str());
    let fingerprint = quarantine::fingerprint(name, &path, &body);
    refuse_quarantined(front, &call, fingerprint, arrived)?;
    let first_sent = match call.patience {
        Some(left) => {
            let mut patience = front.patience.borrow_mut();
            patience.first_sent(&route.name, left, arrived)
        }
        None => arrived,
    };
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
        method: req.method().clone(),
        path,
        fields,
        body,
        fingerprint,
        arrived,
        first_sent,
        until: arrived.after(patience),
        phase: Cell::new(Phase::NotRun),
        tried: SmallVec::new(),
        runs: 0,
        call,
    };
    Ok(job)
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
    if front.quarantine.borrow().status(fingerprint, now) != QuarantineStatus::Quarantined {
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
pub(crate) fn draw<D: Dialect>(job: &Job<D>) -> Outcome<u64> {
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
            return Err(Failure::refused("memory", message, MEMORY_RETRY_AFTER));
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
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
