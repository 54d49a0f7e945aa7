//! The agent's HTTP client for its endpoints.
//!
//! It is that of fronts, [`http1`](sesamehaven_wire::http1), which reads bodies that end
//! with their connection, tells these from truncated ones, and bounds what is no
//! answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::header::{HeaderName, HeaderValue};
use bytes::{BufMut, Bytes, BytesMut};

use sesamehaven::id::RequestId;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::{Connection, Head, Result};
use sesamehaven_wire::message::Offer;

use crate::clock;

/// Time for which an idle connection to an endpoint is kept for reuse.
///
/// It is short to make it unlikely that a new call meets a connection whose peer
/// has gone silent.
const KEEP_ALIVE: Millis = Millis(1_000);
/// Timeout of the cancellation request to an endpoint.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The connections of an agent to its endpoints.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    connect_timeout: Duration,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    expires_at: Instant,
}

impl EndpointClient {
    /// Creates a client without connections.
    pub fn new(connect_timeout: Millis) -> Self {
        EndpointClient {
            connect_timeout: connect_timeout.duration(),
            idle: Rc::default(),
        }
    }

    /// Returns an idle connection to an endpoint, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached; nothing has been sent then.
    pub async fn acquire(&self, address: SocketAddr) -> io::Result<Connection> {
        if let Some(conn) = self.take_idle(address) {
            return Ok(conn);
        }
        Connection::open(address, self.connect_timeout).await
    }

    /// Keeps a connection for reuse if its exchange has left it reusable.
    pub fn release(&self, address: SocketAddr, mut conn: Connection, head: &Head) {
        conn.finish(head);
        if !conn.is_reusable() {
            return;
        }
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, idle| {
            idle.retain(|i| i.expires_at > now);
            !idle.is_empty()
        });
        let expires_at = now.after(KEEP_ALIVE);
        let idle = idle.entry(address).or_default();
        idle.push(IdleConnection { conn, expires_at });
    }

    /// Asks an endpoint to cancel a run.
    ///
    /// The endpoint also detects the closed connection, so the outcome is ignored.
    pub async fn cancel(&self, address: SocketAddr, id: RequestId) {
        let cancel = async {
            let mut conn = self.acquire(address).await?;
            let head = format!(
                "POST /cancel/{id} HTTP/1.1\r\nhost: {address}\r\ncontent-length: 0\r\n\r\n"
            );
            conn.send(Bytes::from(head), Bytes::new());
            conn.read_head(&Method::POST).await.map(drop)
        };
        let cancelled: std::result::Result<Result<()>, _> =
            tokio::time::timeout(CANCEL_TIMEOUT, cancel).await;
        drop(cancelled);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&address)?;
        let now = clock::now();
        while let Some(mut i) = idle.pop() {
            if i.expires_at > now && i.conn.is_clean() {
                return Some(i.conn);
            }
        }
        None
    }
}

/// Serializes the head of a call; returns [`None`] if the offer is not valid HTTP.
pub fn request_head(address: SocketAddr, id: RequestId, offer: &Offer) -> Option<Bytes> {
    let is_target = |c: char| c.is_ascii_graphic();
    if !offer.path.starts_with('/') || !offer.path.chars().all(is_target) {
        return None;
    }
    let (method, path, len) = (&offer.method, &offer.path, offer.body.len());
    let mut head = BytesMut::new();
    head.put_slice(format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n").as_bytes());
    for (name, value) in &offer.headers {
        HeaderName::from_bytes(name.as_bytes()).ok()?;
        HeaderValue::from_bytes(value).ok()?;
        head.put_slice(name.as_bytes());
        head.put_slice(b": ");
        head.put_slice(value);
        head.put_slice(b"\r\n");
    }
    head.put_slice(format!("request-id: {id}\r\ncontent-length: {len}\r\n\r\n").as_bytes());
    Some(head.freeze())
}
