//! One call of an endpoint over HTTP, from dispatch to the end of the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, Message};
use actix_web::http::Method;
use awc::Client;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt;
use smol_str::{SmolStr, format_smolstr};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use sesamehaven::config::Endpoint;
use sesamehaven::id::RequestId;
use sesamehaven::unit::Millis;
use sesamehaven_wire::message::{Head, Offer};

use crate::agent::Agent;
use crate::header;
use crate::strict_eof;

/// How long an idle connection to an endpoint may be used again.
///
/// Short, so that a connection that went silent is seldom met by a new call.
const KEEP_ALIVE: Duration = Duration::from_millis(1_000);
/// The longest wait for an endpoint's answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest wait for a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// What ends a whole stream of server-sent events.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// How much of the end of a stream is searched for [`DONE_EVENT`], in bytes.
const TAIL_BYTES: usize = 32;

/// What a call tells the agent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CallEvent {
    /// The request.
    pub id: RequestId,
    /// What happened.
    pub progress: Progress,
}

/// The progress of a call.
#[derive(Debug)]
pub enum Progress {
    /// The head of the answer, and whether it is a stream of events.
    Head(Head, bool),
    /// The next part of the answer.
    Chunk(Bytes),
    /// The call is over.
    Ended(CallEnd),
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The answer is whole.
    Whole,
    /// The endpoint could not be connected to, so it saw nothing of the call.
    NotSent,
    /// The endpoint broke off.
    Broken,
    /// The endpoint sent nothing for longer than the class allows.
    Stalled,
    /// The agent cancelled the call.
    Cancelled,
}

/// Holds a call back while its answer waits for readers.
#[derive(Debug, Default)]
pub struct Backpressure {
    full: Cell<bool>,
    room: Notify,
}

impl Backpressure {
    /// Says whether there is room for more of the answer.
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

/// Builds the HTTP client for endpoints.
pub fn client(connect_timeout: Millis) -> Client {
    let connector = strict_eof::connector()
        .limit(0)
        .timeout(connect_timeout.duration())
        .conn_keep_alive(KEEP_ALIVE);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Returns whether an endpoint accepts a connection and leaves it open for a while.
///
/// A connection alone is no sign of life, since a crashed endpoint's address
/// may still accept and close them; a request would be a call that the endpoint
/// runs.
pub async fn is_alive(address: SocketAddr, open: Duration) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else {
        return false;
    };
    let closed = timeout(open, stream.read(&mut [0])).await;
    closed.is_err()
}

/// A call that is about to start.
pub struct Call {
    /// The request.
    pub id: RequestId,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// What is sent.
    pub offer: Box<Offer>,
    /// The longest silence of the endpoint.
    pub idle: Millis,
    /// Holds the call back.
    pub backpressure: Rc<Backpressure>,
    /// Ends the call when the other half is used or dropped.
    pub cancel: oneshot::Receiver<()>,
}

impl Call {
    /// Runs the call and tells the agent of its progress, the end included.
    pub async fn run(mut self, client: Client, agent: Addr<Agent>) {
        let (_tx, never) = oneshot::channel();
        let mut cancel = std::mem::replace(&mut self.cancel, never);
        let id = self.id;
        let address = self.endpoint.address;
        let end = tokio::select! {
            biased;
            end = self.exchange(&client, &agent) => end,
            _ = &mut cancel => CallEnd::Cancelled,
        };
        let progress = Progress::Ended(end);
        agent.do_send(CallEvent { id, progress });
        if matches!(end, CallEnd::Cancelled | CallEnd::Stalled) {
            let url = format_smolstr!("http://{address}/cancel/{id}");
            let cancelled = client.post(url.as_str()).timeout(CANCEL_TIMEOUT).send();
            // The endpoint also notices the closed connection, so the answer does not matter.
            drop(cancelled.await);
        }
    }

    async fn exchange(&mut self, client: &Client, agent: &Addr<Agent>) -> CallEnd {
        let idle = self.idle.duration();
        let id = self.id;
        let Some(sent) = self.send(client) else {
            return CallEnd::NotSent;
        };
        let mut res = match timeout(idle, sent).await {
            Ok(Ok(res)) => res,
            Ok(Err(SendRequestError::Connect(_))) => return CallEnd::NotSent,
            Ok(Err(_)) => return CallEnd::Broken,
            Err(_) => return CallEnd::Stalled,
        };
        let events = header::is_event_stream(res.headers());
        let head = Head {
            status: res.status().as_u16(),
            headers: header::to_wire(res.headers()),
        };
        let progress = Progress::Head(head, events);
        agent.do_send(CallEvent { id, progress });
        let mut tail = StreamTail::default();
        loop {
            self.backpressure.wait().await;
            let chunk = match timeout(idle, res.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(_))) => return CallEnd::Broken,
                Ok(None) if events && !tail.is_done() => return CallEnd::Broken,
                Ok(None) => return CallEnd::Whole,
                Err(_) => return CallEnd::Stalled,
            };
            tail.push(&chunk);
            let progress = Progress::Chunk(chunk);
            agent.do_send(CallEvent { id, progress });
        }
    }

    /// Begins to send; [`None`] when the offer cannot be put into HTTP.
    fn send(&mut self, client: &Client) -> Option<awc::SendClientRequest> {
        let method = Method::from_bytes(self.offer.method.as_bytes()).ok()?;
        let url: SmolStr = format_smolstr!("http://{}{}", self.endpoint.address, self.offer.path);
        let mut req = client.request(method, url.as_str());
        for (name, value) in &self.offer.headers {
            req = req.append_header((name.as_str(), value.as_ref()));
        }
        req = req.insert_header(("request-id", self.id.to_string()));
        Some(req.send_body(std::mem::take(&mut self.offer.body)))
    }
}

/// The end of a stream, to tell whether it was ended or cut.
#[derive(Debug, Default)]
struct StreamTail(Vec<u8>);

impl StreamTail {
    fn push(&mut self, chunk: &[u8]) {
        let keep = chunk.len().min(TAIL_BYTES);
        self.0.extend_from_slice(&chunk[chunk.len() - keep..]);
        let excess = self.0.len().saturating_sub(TAIL_BYTES);
        self.0.drain(..excess);
    }

    fn is_done(&self) -> bool {
        self.0
            .windows(DONE_EVENT.len())
            .any(|window| window == DONE_EVENT)
    }
}
