//! Relaying of event streams to callers.

use actix_http::{Response, StatusCode};
use metrics::counter;

use sesamehaven::placement::DispatchOutcome;

use crate::body::{Body, ChunkSender, ChunkStream, Disconnected};
use crate::clock;
use crate::failover::next_events;
use crate::front::CounterGuard;
use crate::headers::copy_response_headers;
use crate::job::Job;
use crate::protocol::Protocol;
use crate::source::{FirstEvents, StreamRead};

/// Why a stream is cut whose caller is gone.
const CALLER_DISCONNECTED: &str = "the caller disconnected";

/// Creates the streamed response to the caller, and spawns the relay task.
pub fn respond<P: Protocol>(job: Job<P>, first: FirstEvents) -> Response<Body> {
    let (tx, stream) = ChunkStream::channel(&job.front.body_memory);
    let mut res = Response::with_body(StatusCode::OK, Body::Stream(stream));
    let head = &first.response().head;
    *res.status_mut() = head.status;
    copy_response_headers(&head.headers, res.headers_mut());
    actix_rt::spawn(relay(job, first, tx));
    res
}

async fn relay<P: Protocol>(job: Job<P>, first: FirstEvents, tx: ChunkSender) {
    let front = std::rc::Rc::clone(&job.front);
    let _active = CounterGuard::new(&front.active_requests);
    let remaining = job.remaining(clock::now()).duration();
    let relaying = async {
        tokio::select! {
            () = tx.closed() => Err(CALLER_DISCONNECTED),
            result = tokio::time::timeout(remaining, relay_events(&job, first, &tx)) => {
                result.unwrap_or(Err("the deadline has passed"))
            }
        }
    };
    let result = relaying.await;
    if let Err(reason) = result {
        counter!("front_streams_cut_total", "reason" => reason).increment(1);
        job.log("stream_cut", "", reason);
        // Dropping the sender cuts the stream.
    }
}

/// Relays events until the stream is complete.
async fn relay_events<P: Protocol>(
    job: &Job<P>,
    first: FirstEvents,
    tx: &ChunkSender,
) -> Result<(), &'static str> {
    let mut next = first;
    loop {
        let FirstEvents { source, read } = next;
        match read {
            StreamRead::Events(events) => {
                source.response.slot.on_event();
                job.front.check_survival(source.response.request());
                tx.send(events)
                    .await
                    .map_err(|Disconnected| CALLER_DISCONNECTED)?;
            }
            StreamRead::Complete => {
                let response = *source.response;
                job.finish(response, DispatchOutcome::Success, "stream_whole", "");
                let completed = tx.complete().await;
                return completed.map_err(|Disconnected| CALLER_DISCONNECTED);
            }
        }
        next = next_events(job, source).await?;
    }
}
