//! Relaying of event streams to callers.

use actix_http::{Response, StatusCode};
use metrics::counter;
use tokio::sync::mpsc;

use sesamehaven::placement::DispatchOutcome;

use crate::body::{Body, Chunk, ChunkStream};
use crate::clock;
use crate::failover::next_events;
use crate::front::CounterGuard;
use crate::headers::copy_response_headers;
use crate::job::Job;
use crate::protocol::Protocol;
use crate::source::{FirstEvents, StreamRead};

/// The maximum number of chunks buffered for a slow caller.
const CHUNK_QUEUE_CAPACITY: usize = 16;

/// Creates the streamed response to the caller, and spawns the relay task.
pub fn respond<P: Protocol>(job: Job<P>, first: FirstEvents) -> Response<Body> {
    let (tx, rx) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
    let mut res = Response::with_body(StatusCode::OK, Body::Stream(ChunkStream::new(rx)));
    let head = &first.response().head;
    *res.status_mut() = head.status;
    copy_response_headers(&head.headers, res.headers_mut());
    actix_rt::spawn(relay(job, first, tx));
    res
}

async fn relay<P: Protocol>(job: Job<P>, first: FirstEvents, tx: mpsc::Sender<Option<Chunk>>) {
    let front = std::rc::Rc::clone(&job.front);
    let _active = CounterGuard::new(&front.active_requests);
    let remaining = job.remaining(clock::now()).duration();
    let relaying = async {
        tokio::select! {
            () = tx.closed() => Err("the caller disconnected"),
            result = tokio::time::timeout(remaining, relay_events(&job, first, &tx)) => {
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
    first: FirstEvents,
    tx: &mpsc::Sender<Option<Chunk>>,
) -> Result<(), &'static str> {
    const CALLER_DISCONNECTED: &str = "the caller disconnected";
    let mut next = first;
    loop {
        let FirstEvents { source, read } = next;
        match read {
            StreamRead::Events(events) => {
                job.front.check_survival(source.response.request());
                tx.send(Some(Ok(events)))
                    .await
                    .map_err(|_| CALLER_DISCONNECTED)?;
            }
            StreamRead::Complete => {
                let response = *source.response;
                job.finish(response, DispatchOutcome::Success, "stream_whole", "");
                return tx.send(None).await.map_err(|_| CALLER_DISCONNECTED);
            }
        }
        next = next_events(job, source).await?;
    }
}
