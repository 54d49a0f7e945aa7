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
    mut job: Job<P>,
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
            result = tokio::time::timeout(remaining, relay_events(&mut job, response, first, &tx)) => {
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
    job: &mut Job<P>,
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

/// Resumes the stream at another endpoint after the last event that the caller has.
async fn resume<P: Protocol>(
    job: &mut Job<P>,
    failed: EndpointResponse<P>,
    splitter: &mut Splitter,
) -> Option<EndpointResponse<P>> {
    let EndpointResponse { conn, slot, .. } = failed;
    // Closing the connection ends the run at this endpoint before another one starts.
    drop(conn);
    slot.complete(DispatchOutcome::Failure);
    splitter.discard_partial();
    while job.route.retry_policy == RetryPolicy::Resume && job.try_acquire_rerun() {
        let slot = job.acquire().await.ok()?;
        let endpoint = slot.endpoint.clone();
        job.log("resume", &endpoint, splitter.last_id().unwrap_or_default());
        job.tried.push(endpoint);
        match job.attempt(slot, splitter.last_id()).await {
            Attempt::Responded(response) if response.head.status.is_success() => {
                job.runs += 1;
                return Some(*response);
            }
            Attempt::Responded(response) => {
                job.runs += 1;
                response.slot.complete(DispatchOutcome::Failure);
            }
            Attempt::Unknown(_) => job.runs += 1,
            Attempt::NotSent | Attempt::NotRun => {}
        }
    }
    None
}

/// Reads until at least one event is complete.
async fn read_events<P: Protocol>(
    job: &Job<P>,
    response: &mut EndpointResponse<P>,
    splitter: &mut Splitter,
) -> StreamRead {
    let timeout = stall_timeout(&job.route);
    loop {
        let next_chunk = response.conn.read_part();
        // Only a stream that can be resumed elsewhere benefits from abandoning a stalled endpoint.
        let chunk = match job.route.retry_policy == RetryPolicy::Resume {
            true => match tokio::time::timeout(timeout, next_chunk).await {
                Ok(chunk) => chunk,
                Err(_) => {
                    counter!("front_streams_silent_total").increment(1);
                    return StreamRead::Broken("the stream stalled");
                }
            },
            false => next_chunk.await,
        };
        match chunk {
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

/// Returns how long a resumable stream may be silent before it fails over.
///
/// The timeout is derived from the objectives, so as to fail over well before callers time out; their
/// deadlines are not considered.
fn stall_timeout(route: &Route) -> Duration {
    let first = route.objective.0 * STALL_FIRST_EVENT_FACTOR;
    let gap = route.gap_objective.0 * STALL_GAP_FACTOR;
    Millis(first.max(gap).max(STALL_TIMEOUT_MIN.0)).duration()
}
