//! Request handling, from the request head to the response.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};
use metrics::counter;
use smol_str::SmolStr;

use sesamehaven::dispatcher::Refusal;
use sesamehaven::part_quarantine::PoolId;
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::software_version::PoolVersion;
use sesamehaven::stream_origin::{StreamId, StreamOrigin};
use sesamehaven::unit::{Instant, Millis};

use crate::admission::{QUARANTINE_RETRY_AFTER, admit, charge, discard_body, log_denied};
use crate::attempt::{Attempt, EndpointResponse};
use crate::body::Body;
use crate::body_memory::read_body;
use crate::caller_stream::StreamingFlag;
use crate::clock;
use crate::failover::{self, StreamAttempt};
use crate::failure::{self, Failure, ServeResult};
use crate::front::{CounterGuard, Front};
use crate::headers::copy_response_headers;
use crate::job::{Job, RunStatus, StreamType};
use crate::origins;
use crate::protocol::Protocol;
use crate::relay;
use crate::routing_table::RetryPolicy;
use crate::source::FirstEvents;

/// The maximum number of attempts at endpoints that did not run the request; one more fails the request.
const MAX_ATTEMPTS_WITHOUT_RUN: u32 = 3;
/// The same for endpoints that could not be reached, which cost little and are known only once they were tried.
const MAX_UNREACHABLE: u32 = 32;
/// Retry-After for a request that no endpoint ran before its deadline, or before its attempts or the
/// retry budget were used up.
const REJECTED_RETRY_AFTER: Millis = Millis(300);

/// Handles a caller's request.
pub async fn serve<P: Protocol>(front: Rc<Front<P>>, mut req: Request) -> Response<Body> {
    let arrived = clock::now();
    let mut payload = req.take_payload();
    let _active = CounterGuard::new(&front.active_requests);
    let is_streaming = req.conn_data::<StreamingFlag>().cloned();
    let mut res = match admit(&front, req, &mut payload, arrived).await {
        Ok(job) => {
            let unanswered = UnansweredGuard::new(&job);
            let res = serve_job(job).await;
            unanswered.disarm();
            res
        }
        Err(failure) => {
            // A caller that is still sending would find its connection reset, and no answer. One whose time is
            // over gets it at once.
            let is_read = failure.status != StatusCode::REQUEST_TIMEOUT
                && discard_body(&mut payload, arrived, &front.stop).await;
            let res = failure.response();
            match is_read {
                true => res,
                false => res.map_body(|_, body| body.close_unread(payload)),
            }
        }
    };
    if front.stop.has_begun() {
        failure::close_connection(&mut res);
    }
    if let Some(is_streaming) = is_streaming {
        is_streaming.set(res.body().is_supervised());
    }
    let status = res.status().as_u16();
    counter!("front_responses_total", "status" => status.to_string()).increment(1);
    res
}

/// Handles an admitted request.
async fn serve_job<P: Protocol>(mut job: Job<P>) -> Response<Body> {
    match origins::continuation(&job).await {
        Ok(None) => {}
        Ok(Some((pool, version))) => {
            job.pool = pool;
            job.version.set(Some(version));
            if let Some(first) = &job.meta.resumes {
                let stream = StreamId::new(first);
                let running = job.front.origins.go_on(StreamOrigin { stream, version });
                job.running_stream.replace(Some(running));
            }
        }
        Err(failure) => {
            job.log("failed", "", failure.code);
            counter!("front_failures_total", "code" => failure.code).increment(1);
            return failure.response();
        }
    }
    let now = clock::now();
    if job
        .front
        .is_quarantined(&job.part_ids(PoolId::new(&job.pool)))
    {
        job.log("failed", "", QUARANTINED);
        return quarantined(&job).response();
    }
    {
        let bounds = job.front.settings.borrow().bounds;
        let peers = job.front.peers.borrow();
        let mut shared_limits = job.front.shared_limits.borrow_mut();
        shared_limits.record_request(&job.pool, &bounds, &peers.liveness, now);
    }
    let front = Rc::clone(&job.front);
    let sent = SentRequest::new(&job);
    let charged = match charge(&job) {
        Ok(charged) => charged,
        Err(failure) => {
            let name = job.organisation.as_ref().map_or("", |o| o.name.as_str());
            job.log("over_limit", "", name);
            sent.record_refusal(&front, &failure);
            return failure.response();
        }
    };
    let organisation = job.organisation.clone();
    let remaining = job.remaining(now).duration();
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout(remaining, dispatch(&job)) => result.ok(),
        () = front.stop.ended() => None,
    };
    let failure = match result {
        Some(Ok(Served::Full(res))) => {
            job.record_response_latency();
            return res;
        }
        Some(Ok(Served::Stream(first))) => {
            job.record_response_latency();
            return relay::respond(job, *first);
        }
        Some(Err(failure)) => failure,
        None => timed_out(&job),
    };
    if let Some(res) = job.failed_response.take() {
        job.log("retry_in_vain", "", failure.code);
        return res;
    }
    if let Some(organisation) = organisation.filter(|_| !failure.may_have_run) {
        let mut shared_limits = front.shared_limits.borrow_mut();
        shared_limits.refund(&organisation.name, charged, clock::now());
    }
    job.log("failed", "", failure.code);
    sent.record_refusal(&front, &failure);
    counter!("front_failures_total", "code" => failure.code).increment(1);
    failure.response()
}

/// Logs an admitted request whose connection is gone before there is a response.
struct UnansweredGuard<P: Protocol> {
    front: Rc<Front<P>>,
    id: SmolStr,
    arrived: Instant,
    is_answered: bool,
}

impl<P: Protocol> UnansweredGuard<P> {
    fn new(job: &Job<P>) -> Self {
        UnansweredGuard {
            front: Rc::clone(&job.front),
            id: job.meta.id.clone(),
            arrived: job.arrived,
            is_answered: false,
        }
    }

    fn disarm(mut self) {
        self.is_answered = true;
    }
}

impl<P: Protocol> Drop for UnansweredGuard<P> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        counter!("front_requests_unanswered_total").increment(1);
        let now = clock::now();
        if self.front.log_limiter.try_acquire(now) {
            spdlog::info!("request unanswered", kv: {
                id = self.id.as_str(),
                elapsed_ms = now.since(self.arrived).0,
                panicking = std::thread::panicking()
            });
        }
    }
}

/// A response that is ready for the caller.
enum Served {
    Full(Response<Body>),
    Stream(Box<FirstEvents>),
}

/// What identifies a request when its caller sends it again.
struct SentRequest {
    fingerprint: u64,
    first_sent: Instant,
    /// When the caller stops waiting, or [`None`] if it does not say.
    caller_deadline: Option<Instant>,
}

impl SentRequest {
    fn new<P: Protocol>(job: &Job<P>) -> Self {
        SentRequest {
            fingerprint: job.fingerprint,
            first_sent: job.first_sent,
            caller_deadline: job.meta.timeout.map(|t| job.arrived.after(t)),
        }
    }

    /// Remembers the request if its caller was told to come back.
    fn record_refusal<P: Protocol>(&self, front: &Front<P>, failure: &Failure) {
        if let (Some(deadline), Some(_)) = (self.caller_deadline, failure.retry_after) {
            let mut detector = front.retry_detector.borrow_mut();
            detector.on_refused(self.fingerprint, self.first_sent, deadline, clock::now());
        }
    }
}

/// Tries endpoints until one has responded or no further attempt is allowed.
async fn dispatch<P: Protocol>(job: &Job<P>) -> ServeResult<Served> {
    let (mut attempts_without_run, mut unreachable) = (0, 0);
    // Whether an endpoint has had the request since the retry budget was last charged.
    let mut is_retry = false;
    loop {
        let slot = tokio::select! {
            biased;
            () = job.too_late() => Err(None),
            slot = job.acquire() => slot.map_err(Some),
        };
        let slot = match slot {
            Ok(slot) => slot,
            Err(None) if job.runs.get() == 0 => return Err(stopping(job)),
            Err(Some(rejection)) if job.runs.get() == 0 => {
                return Err(rejected(rejection.reason, rejection.retry_after));
            }
            Err(_) => return Err(endpoint_failed()),
        };
        // Charged after the wait, since the budget bounds arrivals within a window.
        if std::mem::take(&mut is_retry) && !job.try_acquire_retry() {
            return Err(not_retried(job));
        }
        let endpoint = slot.endpoint.clone();
        job.log("dispatch", &endpoint, job.runs.get());
        let attempt = match failover::attempt(job, slot, job.meta.last_event_id).await {
            StreamAttempt::Events(first) => return Ok(serve_stream(job, first)),
            StreamAttempt::Endpoint(attempt) => attempt,
        };
        let response = match attempt {
            Attempt::Responded(response) => response,
            Attempt::NotSent | Attempt::NotRun => {
                is_retry = matches!(attempt, Attempt::NotRun);
                let (attempts, max) = match is_retry {
                    true => (&mut attempts_without_run, MAX_ATTEMPTS_WITHOUT_RUN),
                    false => (&mut unreachable, MAX_UNREACHABLE),
                };
                *attempts += 1;
                if *attempts > max || (is_retry && !job.has_retry()) {
                    return Err(not_retried(job));
                }
                continue;
            }
            Attempt::Quarantined if job.runs.get() == 0 => return Err(quarantined(job)),
            Attempt::Quarantined => return Err(endpoint_failed()),
            Attempt::Unknown(_) if job.may_rerun() => {
                is_retry = true;
                continue;
            }
            Attempt::Unknown(_) => return Err(endpoint_failed()),
        };
        let served = match job.route.is_stream && response.head.status.is_success() {
            true => read_first_events(job, response).await,
            false => read_full_response(job, *response).await,
        };
        match served {
            ResponseAction::Serve(served) => return Ok(served),
            ResponseAction::Retry => is_retry = true,
            ResponseAction::Unusable if job.may_rerun() => is_retry = true,
            ResponseAction::Unusable => return Err(endpoint_failed()),
        }
    }
}

/// How an endpoint's response is handled.
enum ResponseAction {
    Serve(Served),
    /// The endpoint reported a failure, which is kept, and the request is sent again.
    Retry,
    /// The response cannot be used.
    Unusable,
}

/// Reads the first events of a stream.
async fn read_first_events<P: Protocol>(
    job: &Job<P>,
    response: Box<EndpointResponse>,
) -> ResponseAction {
    match failover::read_first_events(job, response).await {
        Ok(first) => ResponseAction::Serve(serve_stream(job, Box::new(first))),
        Err(_) => ResponseAction::Unusable,
    }
}

/// Binds a stream to the endpoint that sent its first events.
fn serve_stream<P: Protocol>(job: &Job<P>, first: Box<FirstEvents>) -> Served {
    first.response().slot.on_first_event();
    let stream_type = StreamType::of(&first.response().head);
    job.stream_type.replace(Some(stream_type));
    bind_version(job, first.response().slot.version);
    Served::Stream(first)
}

/// Binds a stream to the version of the endpoint that began it, and remembers it for its caller.
fn bind_version<P: Protocol>(job: &Job<P>, version: Option<PoolVersion>) {
    let (None, Some(version)) = (job.version.get(), version) else {
        return;
    };
    job.version.set(Some(version));
    if job.route.retry_policy == RetryPolicy::Resume {
        let stream = StreamId::new(&job.meta.id);
        let running = job.front.origins.begin(StreamOrigin { stream, version });
        job.running_stream.replace(Some(running));
    }
}

/// Reads a complete response.
async fn read_full_response<P: Protocol>(
    job: &Job<P>,
    mut response: EndpointResponse,
) -> ResponseAction {
    let (body, held) = match read_body(&job.front, &mut response.conn).await {
        Ok(body) => body,
        Err(err) => {
            let endpoint = response.slot.endpoint.clone();
            job.log("answer_spoilt", &endpoint, &err);
            job.front.probe_for_crash(&endpoint, &err);
            response.slot.complete(DispatchOutcome::Failure);
            return ResponseAction::Unusable;
        }
    };
    response.slot.on_first_event();
    if response.head.status.is_success() {
        job.front.record_begun(response.request());
    }
    let (status, failed) = (response.head.status, response.head.status.is_server_error());
    let mut res = Response::with_body(status, Body::Held(body, held));
    copy_response_headers(&response.head.headers, res.headers_mut());
    let outcome = if failed {
        DispatchOutcome::Failure
    } else {
        DispatchOutcome::Success
    };
    job.finish(response, outcome, "answered", status.as_u16());
    if failed
        && job.route.retry_policy == RetryPolicy::Always
        && job.has_time_for_retry()
        && job.has_retry()
    {
        job.failed_response.replace(Some(res));
        return ResponseAction::Retry;
    }
    ResponseAction::Serve(Served::Full(res))
}

impl<P: Protocol> Job<P> {
    /// Waits until the front stops too soon for one more attempt.
    async fn too_late(&self) {
        let expected = || {
            let remaining = self.remaining(clock::now());
            let run_times = self.front.run_times.borrow();
            run_times.expected(&self.route.name, remaining)
        };
        self.front.stop.too_late_for(expected).await;
    }

    /// Returns whether a failed request has an attempt left and enough time for it.
    fn has_time_for_retry(&self) -> bool {
        self.has_attempts() && self.remaining(clock::now()) > self.route.objective
    }
}

fn stopping<P: Protocol>(job: &Job<P>) -> Failure {
    let message = "this front stops before the request could end";
    Failure::unavailable("stopping", message, rejected_retry_after(job))
}

fn timed_out<P: Protocol>(job: &Job<P>) -> Failure {
    match job.run_status.get() {
        RunStatus::NotRun if job.front.stop.has_begun() => stopping(job),
        RunStatus::NotRun => rejected(Refusal::Overdue, rejected_retry_after(job)),
        RunStatus::MayHaveRun(_) => Failure::outcome_unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "timeout",
            "the endpoint did not answer in time",
        ),
    }
}

fn rejected(reason: Refusal, retry_after: Millis) -> Failure {
    let message = match reason {
        Refusal::Overload => "more is waiting than can be served in time",
        Refusal::Overdue => "no endpoint became free in time",
        Refusal::NoEndpoint => "no endpoint takes work",
        Refusal::NoVersion => "no endpoint of the version that began the stream takes work",
        Refusal::Paused => "all endpoints asked for a pause, or are at the limits that they named",
    };
    Failure::unavailable(reason.as_str(), message, retry_after)
}

fn rejected_retry_after<P: Protocol>(job: &Job<P>) -> Millis {
    let pools = &job.front.pools;
    pools.retry_after(&job.pool, REJECTED_RETRY_AFTER)
}

/// Returns the failure of a request that may not be sent once more.
fn not_retried<P: Protocol>(job: &Job<P>) -> Failure {
    match job.runs.get() {
        0 => all_rejected(job),
        _ => endpoint_failed(),
    }
}

fn all_rejected<P: Protocol>(job: &Job<P>) -> Failure {
    let message = "the endpoints that were tried took no more work";
    Failure::unavailable("rejected", message, rejected_retry_after(job))
}

/// The error code of a request that crashes endpoints.
const QUARANTINED: &str = "quarantined";

fn quarantined<P: Protocol>(job: &Job<P>) -> Failure {
    counter!("front_quarantined_total").increment(1);
    log_denied(
        &job.front,
        &job.meta,
        QUARANTINED,
        job.front.config.version(),
    );
    let message = "prompts with a part of this one crash endpoints, and run no more";
    Failure::unavailable(QUARANTINED, message, QUARANTINE_RETRY_AFTER)
}

fn endpoint_failed() -> Failure {
    let message = "the endpoint broke off; the request may have run";
    Failure::outcome_unknown(StatusCode::BAD_GATEWAY, "endpoint_failed", message)
}
