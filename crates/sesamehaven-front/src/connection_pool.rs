//! Idle connections to endpoints, kept for reuse.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use smol_str::SmolStr;

use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::{Connection, Head, ReceiveObserver};

use crate::clock;
use crate::protocol::EndpointEntry;

/// The connect timeout for an endpoint in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The idle timeout of a connection whose endpoint does not announce one.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(500);
/// How long before the endpoint's idle timeout a connection is no longer reused, so that a request
/// does not meet a closing connection.
const IDLE_TIMEOUT_MARGIN: Millis = Millis(400);
/// The maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 12;

/// When an endpoint last sent a byte to this front, on any connection.
#[derive(Debug, Clone, Default)]
pub struct LastReceived(Rc<Cell<Option<Instant>>>);

impl LastReceived {
    /// Returns the time, or [`None`] if nothing has been received.
    pub fn get(&self) -> Option<Instant> {
        self.0.get()
    }
}

impl ReceiveObserver for LastReceived {
    fn on_received(&self) {
        self.0.set(Some(clock::now()));
    }
}

/// A connection to an endpoint.
pub type EndpointConnection = Connection<LastReceived>;

#[derive(Debug)]
struct IdleConnection {
    conn: EndpointConnection,
    expires_at: Instant,
}

#[derive(Debug)]
struct EndpointConnections {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
    last_received: LastReceived,
}

/// Idle connections, by the incarnation of their endpoint.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    endpoints: RefCell<HashMap<SmolStr, EndpointConnections>>,
}

impl ConnectionPool {
    /// Replaces the known endpoints and closes the connections to those no longer listed.
    pub fn set_endpoints(&self, entries: &[EndpointEntry]) {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.retain(|id, endpoint_conns| {
            let is_same = |e: &EndpointEntry| e.id == *id && e.address == endpoint_conns.address;
            entries.iter().any(is_same)
        });
        for entry in entries {
            endpoints
                .entry(entry.id.clone())
                .or_insert_with(|| EndpointConnections {
                    address: entry.address,
                    idle: Vec::new(),
                    last_received: LastReceived::default(),
                });
        }
    }

    /// Returns an idle connection to an endpoint, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is not listed or cannot be reached.
    pub async fn acquire(&self, endpoint: &str) -> io::Result<EndpointConnection> {
        if let Some(conn) = self.take_idle(endpoint)? {
            return Ok(conn);
        }
        self.open(endpoint).await
    }

    fn take_idle(&self, endpoint: &str) -> io::Result<Option<EndpointConnection>> {
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint_conns = endpoints.get_mut(endpoint).ok_or(io::ErrorKind::NotFound)?;
        let now = clock::now();
        while let Some(mut idle) = endpoint_conns.idle.pop() {
            if idle.expires_at > now && idle.conn.is_clean() {
                return Ok(Some(idle.conn));
            }
        }
        Ok(None)
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is not listed or cannot be reached.
    pub async fn open(&self, endpoint: &str) -> io::Result<EndpointConnection> {
        let (address, last_received) = {
            let endpoints = self.endpoints.borrow();
            let found = endpoints.get(endpoint).ok_or(io::ErrorKind::NotFound)?;
            (found.address, found.last_received.clone())
        };
        counter!("front_endpoint_connections_total").increment(1);
        let conn = Connection::open(address, CONNECT_TIMEOUT).await?;
        Ok(conn.with_observer(last_received))
    }

    /// Returns a connection to the pool if its last exchange left it reusable.
    pub fn release(&self, endpoint: &str, conn: EndpointConnection, head: &Head) {
        if conn.is_reusable() {
            self.add_idle(endpoint, conn, idle_timeout(head));
        }
    }

    /// Adds a connection that has carried no request yet.
    pub fn release_unused(&self, endpoint: &str, conn: EndpointConnection) {
        self.add_idle(endpoint, conn, DEFAULT_IDLE_TIMEOUT);
    }

    fn add_idle(&self, endpoint: &str, conn: EndpointConnection, timeout: Millis) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(endpoint_conns) = endpoints.get_mut(endpoint) else {
            return;
        };
        let now = clock::now();
        endpoint_conns.idle.retain(|idle| idle.expires_at > now);
        if endpoint_conns.idle.len() < MAX_IDLE_PER_ENDPOINT {
            let expires_at = now.after(timeout);
            endpoint_conns
                .idle
                .push(IdleConnection { conn, expires_at });
        }
    }
}

/// Reads the endpoint's idle timeout from the `Keep-Alive` header.
fn idle_timeout(head: &Head) -> Millis {
    let params = head.header_str("keep-alive").unwrap_or_default().split(',');
    let timeout = params
        .filter_map(|p| p.trim().strip_prefix("timeout="))
        .next();
    match timeout.and_then(|secs| secs.trim().parse::<u64>().ok()) {
        Some(secs) => {
            let timeout = secs.saturating_mul(1_000);
            Millis(timeout.saturating_sub(IDLE_TIMEOUT_MARGIN.0))
        }
        None => DEFAULT_IDLE_TIMEOUT,
    }
}
