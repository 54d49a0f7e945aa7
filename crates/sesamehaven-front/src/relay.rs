//! Streams of events from endpoints to callers, which go on at another endpoint when one breaks off.

use std::time::Duration;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use tokio::sync::mpsc;

use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::Millis;

use crate::body::{Body, Part, Stream};
use crate::clock;
use crate::dialect::Dialect;
use crate::events::Splitter;
use crate::front::Counted;
use crate::headers::copy_headers;
use crate::job::{Answer, Attempt, Job};
use crate::table::{Repeat, Route};

/// The parts that wait for a caller that reads slowly.
const PARTS_WAITING: usize = 16;

/// The least time for which a stream may be silent.
const SILENCE_MIN: Millis = Millis(1_000);
/// How often the objective of the first event a stream may be silent.
const SILENCE_OBJECTIVES: u64 = 2;
/// How often the objective of pauses between events a stream may be silent.
const SILENCE_PAUSES: u64 = 4;

/// The first events of a stream.
#[derive(Debug)]
pub struct First {
    events: Bytes,
    splitter: Splitter,
    is_whole: bool,
}

/// What the next read of a stream gave.
enum Next {
    Events(Bytes),
    Whole,
    Broken(&'static str),
}

/// Waits for the first events of a stream.
///
/// # Errors
///
/// Returns why the stream broke off before any.
pub async fn first<D: Dialect>(
    job: &Job<D>,
    answer: &mut Answer<D>,
) -> Result<First, &'static str> {
    let mut splitter = Splitter::after(job.call.last_event);
    match next(job, answer, &mut splitter).await {
        Next::Events(events) => Ok(First {
            events,
            splitter,
            is_whole: false,
        }),
        Next::Whole => Ok(First {
            events: Bytes::new(),
            splitter,
            is_whole: true,
        }),
        Next::Broken(why) => Err(why),
    }
}

/// Answers the caller with a stream, and goes on relaying it.
pub fn start<D: Dialect>(job: Job<D>, answer: Answer<D>, first: First) -> Response<Body> {
    let (tx, rx) = mpsc::channel(PARTS_WAITING);
    let mut res = Response::with_body(StatusCode::OK, Body::Stream(Stream::new(rx)));
    *res.status_mut() = answer.head.status;
    copy_headers(&answer.head.headers, res.headers_mut());
    actix_rt::spawn(relay(job, answer, first, tx));
    res
}

async fn relay<D: Dialect>(
    mut job: Job<D>,
    answer: Answer<D>,
    first: First,
    tx: mpsc::Sender<Option<Part>>,
) {
    let front = std::rc::Rc::clone(&job.front);
    let _active = Counted::new(&front.active);
    let left = job.left(clock::now()).duration();
    let relayed = async {
        tokio::select! {
            () = tx.closed() => Err("the caller left"),
            ended = tokio::time::timeout(left, pump(&mut job, answer, first, &tx)) => {
                ended.unwrap_or(Err("the time is over"))
            }
        }
    };
    let ended = relayed.await;
    if let Err(why) = ended {
        job.log("stream_cut", "", why);
        // The caller may have left already; then there is nobody to tell.
        let _ = tx.try_send(Some(Err(std::io::ErrorKind::ConnectionAborted.into())));
    }
}

/// Relays events until the stream is whole.
async fn pump<D: Dialect>(
    job: &mut Job<D>,
    mut answer: Answer<D>,
    first: First,
    tx: &mpsc::Sender<Option<Part>>,
) -> Result<(), &'static str> {
    const LEFT: &str = "the caller left";
    let mut splitter = first.splitter;
    let mut step = match first.is_whole {
        true => Next::Whole,
        false => Next::Events(first.events),
    };
    loop {
        match step {
            Next::Events(events) => {
                tx.send(Some(Ok(events))).await.map_err(|_| LEFT)?;
            }
            Next::Whole => {
                job.finish(answer, DispatchOutcome::Success, "stream_whole", "");
                return tx.send(None).await.map_err(|_| LEFT);
            }
            Next::Broken(why) => {
                job.log("stream_broken", &answer.place.endpoint, why);
                answer = resume(job, answer, &mut splitter).await.ok_or(why)?;
            }
        }
        step = next(job, &mut answer, &mut splitter).await;
    }
}

/// Goes on at another endpoint after the last event that the caller has.
async fn resume<D: Dialect>(
    job: &mut Job<D>,
    broken: Answer<D>,
    splitter: &mut Splitter,
) -> Option<Answer<D>> {
    let Answer { conn, place, .. } = broken;
    // Closing the connection ends the run there before another one goes on.
    drop(conn);
    place.end(DispatchOutcome::Failure);
    splitter.restart();
    while job.route.repeat == Repeat::Resume && job.may_run_again() {
        let place = job.acquire().await.ok()?;
        let endpoint = place.endpoint.clone();
        job.log("resume", &endpoint, splitter.last_id().unwrap_or_default());
        job.tried.push(endpoint);
        match job.attempt(place, splitter.last_id()).await {
            Attempt::Answered(answer) if answer.head.status.is_success() => {
                job.runs += 1;
                return Some(*answer);
            }
            Attempt::Answered(answer) => {
                job.runs += 1;
                answer.place.end(DispatchOutcome::Failure);
            }
            Attempt::Unknown(_) => job.runs += 1,
            Attempt::NotSent | Attempt::NotRun => {}
        }
    }
    None
}

/// Reads on until there are whole events.
async fn next<D: Dialect>(job: &Job<D>, answer: &mut Answer<D>, splitter: &mut Splitter) -> Next {
    let limit = silence_limit(&job.route);
    loop {
        let read = answer.conn.read_part();
        // Only a stream that can go on elsewhere gains by giving up on a silent endpoint.
        let part = match job.route.repeat == Repeat::Resume {
            true => match tokio::time::timeout(limit, read).await {
                Ok(part) => part,
                Err(_) => return Next::Broken("the endpoint fell silent"),
            },
            false => read.await,
        };
        match part {
            Ok(Some(bytes)) => match splitter.push(&bytes) {
                Ok(Some(events)) => return Next::Events(events),
                Ok(None) => {}
                Err(_) => return Next::Broken("an event is missing or never ends"),
            },
            Ok(None) if splitter.is_inside_event() => {
                return Next::Broken("the stream ended inside an event");
            }
            Ok(None) => return Next::Whole,
            Err(err) => {
                job.front.suspect_crash(&answer.place.endpoint, &err);
                return Next::Broken("the endpoint broke off");
            }
        }
    }
}

/// How long a stream may be silent before it goes on elsewhere, well before callers give up.
fn silence_limit(route: &Route) -> Duration {
    let first = route.objective.0 * SILENCE_OBJECTIVES;
    let pause = route.pause_objective.0 * SILENCE_PAUSES;
    Millis(first.max(pause).max(SILENCE_MIN.0)).duration()
}
