//! The processes of a fleet and the state needed to restart them.

use std::net::SocketAddr;

use crate::process::{Ports, Process};
use crate::settings::{Addresses, Settings};

/// The kind of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Entry,
    Agent,
}

impl Role {
    pub(crate) fn program(self) -> &'static str {
        match self {
            Role::Entry => "sesame-entry",
            Role::Agent => "sesame-agent",
        }
    }
}

/// A daemon under test, which can be restarted at the same addresses.
#[derive(Debug)]
pub struct Daemon {
    pub(crate) role: Role,
    pub(crate) settings: Settings,
    pub(crate) addresses: Addresses,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) ports: Ports,
    /// The running process.
    pub process: Process,
}

impl Daemon {
    /// Returns the address for callers (entry) or for links from entries (agent).
    pub fn address(&self) -> SocketAddr {
        self.addresses.listen
    }

    /// Returns the address of the admin server.
    pub fn admin(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Returns the addresses in the ports file of the running process.
    pub fn ports(&self) -> Ports {
        self.ports
    }
}

/// A stand-in and its address.
#[derive(Debug)]
pub struct StandIn {
    pub(crate) program: &'static str,
    pub(crate) args: Vec<String>,
    pub(crate) address: SocketAddr,
    /// The running process.
    pub process: Process,
}

impl StandIn {
    /// Returns the address of the HTTP server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Returns the addresses that a daemon bound, which its restarts reuse.
///
/// An address that is missing in `ports` is taken from `requested`.
pub(crate) fn bound_addresses(ports: &Ports, requested: Addresses) -> Addresses {
    Addresses {
        listen: ports.http.or(ports.link).unwrap_or(requested.listen),
        admin: ports.admin.unwrap_or(requested.admin),
        reports: ports.udp.unwrap_or(requested.reports),
    }
}
