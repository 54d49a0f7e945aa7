//! The path of a request through a front, from its head to its answer.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};
use metrics::counter;

use sesamehaven::dispatcher::Refusal;
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::Millis;

use crate::admit::{admit, draw};
use crate::body::Body;
use crate::clock;
use crate::dialect::Dialect;
use crate::front::{Counted, Front};
use crate::headers::copy_headers;
use crate::job::{Answer, Attempt, Job, Phase};
use crate::relay;
use crate::reply::{self, Failure, Outcome};
use crate::table::Repeat;

/// The longest answer of a plain service, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// The most endpoints that are tried without any of them running the request.
const REJECTIONS_MAX: u32 = 3;
/// When to come back after every endpoint rejected a request.
const REJECTED_RETRY_AFTER: Millis = Millis(300);

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

/// Runs a request to its answer.
async fn run<D: Dialect>(mut job: Job<D>) -> Response<Body> {
    let now = clock::now();
    {
        let bounds = job.front.settings.borrow().bounds;
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
    if let Some(organisation) = organisation.filter(|_| !failure.may_have_run) {
        let mut spending = front.spending.borrow_mut();
        spending.give_back(&organisation.name, drawn, clock::now());
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
            answer.place.end(DispatchOutcome::Failure);
            Judged::Spoilt
        }
    }
}

/// Reads a whole answer.
async fn whole<D: Dialect>(job: &Job<D>, mut answer: Answer<D>) -> Judged<D> {
    let body = match answer.conn.read_body(ANSWER_MAX_BYTES).await {
        Ok(body) => body,
        Err(err) => {
            let endpoint = answer.place.endpoint.clone();
            job.log("answer_spoilt", &endpoint, &err);
            job.front.suspect_crash(&endpoint, &err);
            answer.place.end(DispatchOutcome::Failure);
            return Judged::Spoilt;
        }
    };
    let (status, failed) = (answer.head.status, answer.head.status.is_server_error());
    let mut res = Response::with_body(status, Body::Whole(body));
    copy_headers(&answer.head.headers, res.headers_mut());
    let ended = if failed {
        DispatchOutcome::Failure
    } else {
        DispatchOutcome::Success
    };
    job.finish(answer, ended, "answered", status.as_u16());
    if failed && job.route.repeat == Repeat::Always && job.has_time_again() && job.take_retry() {
        return Judged::Again;
    }
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

/// The bytes of a body that are held in memory.
struct HeldBytes<'a> {
    held: &'a Cell<u64>,
    bytes: u64,
}

impl<'a> HeldBytes<'a> {
    fn new(held: &'a Cell<u64>, bytes: u64) -> Self {
        held.set(held.get() + bytes);
        HeldBytes { held, bytes }
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}
