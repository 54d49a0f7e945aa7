//! A call to an endpoint over HTTP, from dispatch to the end of the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, Message};
use actix_web::http::Method;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::unconstrained;
use tokio::time::timeout;

use sesamehaven::config::Endpoint;
use sesamehaven::id::RequestId;
use sesamehaven::request_rate::RequestRate;
use sesamehaven::unit::Millis;
use sesamehaven_wire::message::{Head, Offer};

use crate::agent::Agent;
use crate::endpoint_client::{self, EndpointClient};
use crate::header;

/// Timeout for opening the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The final event of a complete stream of server-sent events.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Length of the end of a stream that is searched for [`DONE_EVENT`].
const TAIL_BYTES: usize = 32;

/// Reports the progress of a call to the agent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CallEvent {
    /// The request.
    pub id: RequestId,
    /// The progress since the last event.
    pub progress: Progress,
}

/// The progress of a call.
#[derive(Debug)]
pub enum Progress {
    /// The endpoint turned the request away and wants no others for a time.
    Paused(Millis),
    /// The requests per second that the endpoint takes at present, if it names them.
    RateLimit(Option<RequestRate>),
    /// The head of the answer, and whether the body is a stream of server-sent
    /// events.
    Head(Head, bool),
    /// The next chunk of the answer.
    Chunk(Bytes),
    /// The call has ended.
    Ended(CallEnd),
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The answer was received completely.
    Complete,
    /// The offer is not valid HTTP, or the client reported a connect error. The
    /// request counts as not run.
    NotSent,
    /// The connection failed after the request may have been sent, or an event stream
    /// ended without `data: [DONE]`.
    Interrupted,
    /// The endpoint sent nothing for longer than the class's idle timeout.
    Stalled,
    /// The agent cancelled the call.
    Cancelled,
}

/// Pauses a call while its answer buffer is full.
#[derive(Debug, Default)]
pub struct Backpressure {
    full: Cell<bool>,
    room: Notify,
}

impl Backpressure {
    /// Sets whether the answer buffer is full.
    pub fn set_full(&self, full: bool) {
        self.full.set(full);
        if !full {
            self.room.notify_one();
        }
    }

    async fn wait(&self) {
        while self.full.get() {
            self.room.notified().await;
        }
    }
}

/// Returns whether an endpoint accepts a connection and keeps it open for `open`.
///
/// Connecting alone proves nothing, since the address of a crashed endpoint may
/// still accept connections and close them. An HTTP request would be executed as a
/// call.
pub async fn is_alive(address: SocketAddr, open: Duration) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else {
        return false;
    };
    let closed = timeout(open, stream.read(&mut [0])).await;
    closed.is_err()
}

/// A call to an endpoint that has not been started.
pub struct Call {
    /// The request.
    pub id: RequestId,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The request to send.
    pub offer: Box<Offer>,
    /// Maximum time without data from the endpoint.
    pub idle: Millis,
    /// Pauses the call while the answer buffer is full.
    pub backpressure: Rc<Backpressure>,
    /// Cancels the call when the sender sends or is dropped.
    pub cancel: oneshot::Receiver<()>,
}

impl Call {
    /// Runs the call and reports its progress and its end to the agent.
    pub async fn run(mut self, client: EndpointClient, agent: Addr<Agent>) {
        let (_tx, never) = oneshot::channel();
        let mut cancel = std::mem::replace(&mut self.cancel, never);
        let id = self.id;
        let address = self.endpoint.address;
        let end = tokio::select! {
            biased;
            end = self.exchange(&client, &agent) => end,
            // An endpoint that always has bytes ready uses up the budget of the task each time.
            _ = unconstrained(&mut cancel) => CallEnd::Cancelled,
        };
        let progress = Progress::Ended(end);
        agent.do_send(CallEvent { id, progress });
        if matches!(end, CallEnd::Cancelled | CallEnd::Stalled) {
            client.cancel(address, id).await;
        }
    }

    async fn exchange(&mut self, client: &EndpointClient, agent: &Addr<Agent>) -> CallEnd {
        let idle = self.idle.duration();
        let id = self.id;
        let address = self.endpoint.address;
        let method = Method::from_bytes(self.offer.method.as_bytes());
        let request = endpoint_client::request_head(address, id, &self.offer);
        let (Ok(method), Some(request)) = (method, request) else {
            return CallEnd::NotSent;
        };
        let Ok(mut conn) = client.acquire(address).await else {
            return CallEnd::NotSent;
        };
        conn.send(request, std::mem::take(&mut self.offer.body));
        let res = match timeout(idle, conn.read_head(&method)).await {
            Ok(Ok(res)) => res,
            Ok(Err(_)) if !conn.has_sent() => return CallEnd::NotSent,
            Ok(Err(_)) => return CallEnd::Interrupted,
            Err(_) => return CallEnd::Stalled,
        };
        if let Some(span) = header::retry_after(&res) {
            let progress = Progress::Paused(span);
            agent.do_send(CallEvent { id, progress });
        }
        let progress = Progress::RateLimit(header::request_rate_limit(&res));
        agent.do_send(CallEvent { id, progress });
        let events = header::is_event_stream(&res);
        let head = Head {
            status: res.status.as_u16(),
            headers: header::to_wire(&res.headers),
        };
        let progress = Progress::Head(head, events);
        agent.do_send(CallEvent { id, progress });
        let mut tail = StreamTail::default();
        loop {
            self.backpressure.wait().await;
            let chunk = match timeout(idle, conn.read_part()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Err(_)) => return CallEnd::Interrupted,
                Ok(Ok(None)) if events && !tail.is_done() => return CallEnd::Interrupted,
                Ok(Ok(None)) => {
                    client.release(address, conn, &res);
                    return CallEnd::Complete;
                }
                Err(_) => return CallEnd::Stalled,
            };
            tail.push(&chunk);
            let progress = Progress::Chunk(chunk);
            agent.do_send(CallEvent { id, progress });
        }
    }
}

/// The last bytes of a stream, which show whether it was complete or cut off.
#[derive(Debug, Default)]
struct StreamTail(Vec<u8>);

impl StreamTail {
    fn push(&mut self, chunk: &[u8]) {
        let keep = chunk.len().min(TAIL_BYTES);
        self.0.extend_from_slice(&chunk[chunk.len() - keep..]);
        let excess = self.0.len().saturating_sub(TAIL_BYTES);
        self.0.drain(..excess);
    }

    /// Returns whether the stream ended after its final event, and not inside it.
    fn is_done(&self) -> bool {
        let ends = [&b"\n\n"[..], b"\r\n\r\n"];
        let event = ends.iter().find_map(|end| self.0.strip_suffix(*end));
        event.is_some_and(|event| event.ends_with(DONE_EVENT))
    }
}
