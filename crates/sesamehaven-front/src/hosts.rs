//! The connections to endpoints that are kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use metrics::counter;
use smol_str::SmolStr;

use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::{Connection, Head};

use crate::clock;
use crate::dialect::Entry;

/// How long an endpoint in the same region may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection is kept whose endpoint does not say how long it may be idle.
const IDLE_UNSTATED: Millis = Millis(500);
/// How long before the endpoint's own limit an idle connection is no longer used.
const IDLE_MARGIN: Millis = Millis(400);
/// The idle connections that are kept to one endpoint.
const IDLE_MAX: usize = 12;

#[derive(Debug)]
struct Idle {
    conn: Connection,
    expires: Instant,
}

#[derive(Debug)]
struct Host {
    address: SocketAddr,
    idle: Vec<Idle>,
}

/// The endpoints by incarnation, with their idle connections.
#[derive(Debug, Default)]
pub struct Hosts {
    hosts: RefCell<HashMap<SmolStr, Host>>,
}

impl Hosts {
    /// Takes over what the directory lists; connections to endpoints that are gone are closed.
    pub fn set_entries(&self, entries: &[Entry]) {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|id, host| {
            let same = |e: &Entry| e.id == *id && e.address == host.address;
            entries.iter().any(same)
        });
        for entry in entries {
            hosts.entry(entry.id.clone()).or_insert_with(|| Host {
                address: entry.address,
                idle: Vec::new(),
            });
        }
    }

    /// Returns a connection to an endpoint, one that was kept if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint is not listed or cannot be reached.
    pub async fn connect(&self, endpoint: &str) -> io::Result<Connection> {
        if let Some(conn) = self.take_idle(endpoint)? {
            return Ok(conn);
        }
        self.open(endpoint).await
    }

    fn take_idle(&self, endpoint: &str) -> io::Result<Option<Connection>> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(endpoint).ok_or(io::ErrorKind::NotFound)?;
        let now = clock::now();
        while let Some(mut idle) = host.idle.pop() {
            if idle.expires > now && idle.conn.is_clean() {
                return Ok(Some(idle.conn));
            }
        }
        Ok(None)
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint is not listed or cannot be reached.
    pub async fn open(&self, endpoint: &str) -> io::Result<Connection> {
        let address = {
            let hosts = self.hosts.borrow();
            hosts.get(endpoint).ok_or(io::ErrorKind::NotFound)?.address
        };
        counter!("front_endpoint_connections_total").increment(1);
        Connection::open(address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection that its exchange left clean.
    pub fn keep(&self, endpoint: &str, conn: Connection, head: &Head) {
        if conn.is_reusable() {
            self.add_idle(endpoint, conn, idle_limit(head));
        }
    }

    /// Keeps a connection that has carried nothing yet.
    pub fn keep_unused(&self, endpoint: &str, conn: Connection) {
        self.add_idle(endpoint, conn, IDLE_UNSTATED);
    }

    fn add_idle(&self, endpoint: &str, conn: Connection, limit: Millis) {
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(endpoint) else {
            return;
        };
        let now = clock::now();
        host.idle.retain(|idle| idle.expires > now);
        if host.idle.len() < IDLE_MAX {
            let expires = now.after(limit);
            host.idle.push(Idle { conn, expires });
        }
    }
}

/// Reads how long the endpoint lets the connection be idle.
fn idle_limit(head: &Head) -> Millis {
    let params = head.header_str("keep-alive").unwrap_or_default().split(',');
    let timeout = params
        .filter_map(|p| p.trim().strip_prefix("timeout="))
        .next();
    match timeout.and_then(|secs| secs.trim().parse::<u64>().ok()) {
        Some(secs) => Millis((secs * 1_000).saturating_sub(IDLE_MARGIN.0)),
        None => IDLE_UNSTATED,
    }
}
