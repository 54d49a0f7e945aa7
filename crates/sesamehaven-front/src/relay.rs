//! Relaying of event streams to callers, with failover to another endpoint.

use std::time::Duration;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use metrics::counter;
use tokio::sync::mpsc;

use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::Millis;

use crate::body::{Body, Chunk, ChunkStream};
use crate::clock;
use crate::events::Splitter;
use crate::front::CounterGuard;
use crate::headers::copy_response_headers;
use crate::job::{Attempt, EndpointResponse, Job};
use crate::protocol::Protocol;
use crate::routing_table::{RetryPolicy, Route};

/// The maximum number of chunks buffered for a slow caller.
const CHUNK_QUEUE_CAPACITY: usize = 16;

/// The minimum stall timeout of a stream.
const STALL_TIMEOUT_MIN: Millis = Millis(1_000);
/// The stall timeout as a multiple of the objective for the first event.
const STALL_FIRST_EVENT_FACTOR: u64 = 2;
/// The stall timeout as a multiple of the objective for gaps between events.
const STALL_GAP_FACTOR: u64 = 4;

/// The first events of a stream.
#[derive(Debug)]
pub struct FirstEvents {
    events: Bytes,
    splitter: Splitter,
    is_complete: bool,
}

/// The result of reading from a stream.
enum StreamRead {
    Events(Bytes),
    Complete,
    Broken(&'static str),
}

/// Waits for the first events of a stream.
///
/// # Errors
///
/// Returns the reason if the stream fails before the first event.
pub async fn read_first_events<P: Protocol>(
    job: &Job<P>,
    response: &mut EndpointResponse<P>,
) -> Result<FirstEvents, &'static str> {
    let mut splitter = Splitter::resume_after(job.meta.last_event_id);
    match read_events(job, response, &mut splitter).await {
        StreamRead::Events(events) => Ok(FirstEvents {
            events,
            splitter,
            is_complete: false,
        }),
        StreamRead::Complete => Ok(FirstEvents {
            events: Bytes::new(),
            splitter,
            is_complete: true,
        }),
        StreamRead::Broken(reason) => Err(reason),
    }
}

/// Creates the streamed response to the caller, and spawns the relay task.
pub fn respond<P: Protocol>(
    job: Job<P>,
    response: EndpointResponse<P>,
    first: FirstEvents,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
    let mut res = Response::with_body(StatusCode::OK, Body::Stream(ChunkStream::new(rx)));
    *res.status_mut() = response.head.status;
    copy_response_headers(&response.head.headers, res.headers_mut());
    actix_rt::spawn(relay(job, response, first, tx));
    res
}

async fn relay<P: Protocol>(
    job: Job<P>,
    response: EndpointResponse<P>,
    first: FirstEvents,
    tx: mpsc::Sender<Option<Chunk>>,
) {
    let front = std::rc::Rc::clone(&job.front);
    let _active = CounterGuard::new(&front.active_requests);
    let remaining = job.remaining(clock::now()).duration();
    let relaying = async {
        tokio::select! {
            () = tx.closed() => Err("the caller disconnected"),
            result = tokio::time::timeout(remaining, relay_events(&job, response, first, &tx)) => {
                result.unwrap_or(Err("the deadline has passed"))
            }
        }
    };
    let result = relaying.await;
    if let Err(reason) = result {
        counter!("front_streams_cut_total", "reason" => reason).increment(1);
        job.log("stream_cut", "", reason);
        // If the caller has disconnected, there is no receiver for the error.
        let _ = tx.try_send(Some(Err(std::io::ErrorKind::ConnectionAborted.into())));
    }
}

/// Relays events until the stream is complete.
async fn relay_events<P: Protocol>(
    job: &Job<P>,
    mut response: EndpointResponse<P>,
    first: FirstEvents,
    tx: &mpsc::Sender<Option<Chunk>>,
) -> Result<(), &'static str> {
    const CALLER_DISCONNECTED: &str = "the caller disconnected";
    let mut splitter = first.splitter;
    let mut read = match first.is_complete {
        true => StreamRead::Complete,
        false => StreamRead::Events(first.events),
    };
    loop {
        match read {
            StreamRead::Events(events) => {
                tx.send(Some(Ok(events)))
                    .await
                    .map_err(|_| CALLER_DISCONNECTED)?;
            }
            StreamRead::Complete => {
                job.finish(response, DispatchOutcome::Success, "stream_whole", "");
                return tx.send(None).await.map_err(|_| CALLER_DISCONNECTED);
            }
            StreamRead::Broken(reason) => {
                job.log("stream_broken", &response.slot.endpoint, reason);
                response = resume(job, response, &mut splitter).await.ok_or(reason)?;
            }
        }
        read = read_events(job, &mut response, &mut splitter).await;
    }
}

/// Resumes a broken stream at another endpoint after the last event that the caller has.
async fn resume<P: Protocol>(
    job: &Job<P>,
    failed: EndpointResponse<P>,
    splitter: &mut Splitter,
) -> Option<EndpointResponse<P>> {
    // Closing the connection ends the run at this endpoint before another one starts.
    abandon(failed);
    splitter.discard_partial();
    let substitute = find_substitute(job, splitter.last_id()).await;
    substitute.map(|response| *response)
}

/// Closes the connection to an endpoint that failed, and releases its slot.
fn abandon<P: Protocol>(failed: EndpointResponse<P>) {
    let EndpointResponse { conn, slot, .. } = failed;
    drop(conn);
    slot.complete(DispatchOutcome::Failure);
}

/// Sends the request to other endpoints, while attempts are left, until one goes on after the event
/// `last_id`.
async fn find_substitute<P: Protocol>(
    job: &Job<P>,
    last_id: Option<u64>,
) -> Option<Box<EndpointResponse<P>>> {
    while job.route.retry_policy == RetryPolicy::Resume && job.try_acquire_rerun() {
        let slot = job.acquire(job.arrived).await.ok()?;
        job.log("resume", &slot.endpoint, last_id.unwrap_or_default());
        match job.attempt(slot, last_id).await {
            Attempt::Responded(response) if response.head.status.is_success() => {
                return Some(response);
            }
            Attempt::Responded(response) => response.slot.complete(DispatchOutcome::Failure),
            Attempt::Unknown(_) | Attempt::NotSent | Attempt::NotRun => {}
        }
    }
    None
}

/// Reads until at least one event is complete, also from another endpoint if this one is silent.
async fn read_events<P: Protocol>(
    job: &Job<P>,
    response: &mut EndpointResponse<P>,
    splitter: &mut Splitter,
) -> StreamRead {
    if job.route.retry_policy != RetryPolicy::Resume {
        return read_from(job, response, splitter).await;
    }
    let timeout = stall_timeout(&job.route);
    loop {
        let reading = read_from(job, response, splitter);
        if let Ok(read) = tokio::time::timeout(timeout, reading).await {
            return read;
        }
        counter!("front_streams_silent_total").increment(1);
        job.log(
            "stream_silent",
            &response.slot.endpoint,
            timeout.as_millis(),
        );
        match race_substitute(job, response, splitter).await {
            Some(Winner::Current(read)) => return read,
            Some(Winner::Substitute(substitute)) => {
                job.log("substituted", &substitute.slot.endpoint, "");
                abandon(std::mem::replace(response, *substitute));
                splitter.discard_partial();
            }
            None => {}
        }
    }
}

/// The endpoint that serves the rest of a stream after a silence.
enum Winner<P: Protocol> {
    /// The one that was silent, with what was read from it.
    Current(StreamRead),
    /// Another one, which has started to respond.
    Substitute(Box<EndpointResponse<P>>),
}

/// Looks for another endpoint to go on with a silent stream, until either of the two responds.
///
/// A sound endpoint may be silent for a moment, so its connection is kept until another endpoint has
/// taken over. Returns [`None`] if no other endpoint takes over and this one is still silent.
async fn race_substitute<P: Protocol>(
    job: &Job<P>,
    response: &mut EndpointResponse<P>,
    splitter: &mut Splitter,
) -> Option<Winner<P>> {
    let substitute = find_substitute(job, splitter.last_id());
    tokio::pin!(substitute);
    let read = tokio::select! {
        biased;
        read = read_from(job, response, splitter) => read,
        found = &mut substitute => return found.map(Winner::Substitute),
    };
    let found = match read {
        StreamRead::Broken(_) => substitute.await,
        StreamRead::Events(_) | StreamRead::Complete => None,
    };
    Some(found.map_or(Winner::Current(read), Winner::Substitute))
}

/// Reads from the endpoint until at least one event is complete.
async fn read_from<P: Protocol>(
    job: &Job<P>,
    response: &mut EndpointResponse<P>,
    splitter: &mut Splitter,
) -> StreamRead {
    loop {
        match response.conn.read_part().await {
            Ok(Some(bytes)) => match splitter.push(&bytes) {
                Ok(Some(events)) => return StreamRead::Events(events),
                Ok(None) => {}
                Err(_) => return StreamRead::Broken("an event is missing or too long"),
            },
            Ok(None) if splitter.has_partial_event() => {
                return StreamRead::Broken("the stream ended inside an event");
            }
            Ok(None) => return StreamRead::Complete,
            Err(err) => {
                job.front.probe_for_crash(&response.slot.endpoint, &err);
                return StreamRead::Broken("the endpoint dropped the connection");
            }
        }
    }
}

/// Returns how long a resumable stream may be silent before another endpoint is asked to go on with it.
///
/// The timeout is derived from the objectives, so as to fail over well before callers time out; their
/// deadlines are not considered.
fn stall_timeout(route: &Route) -> Duration {
    let first = route.objective.0 * STALL_FIRST_EVENT_FACTOR;
    let gap = route.gap_objective.0 * STALL_GAP_FACTOR;
    Millis(first.max(gap).max(STALL_TIMEOUT_MIN.0)).duration()
}
