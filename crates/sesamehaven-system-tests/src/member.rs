//! The processes of a fleet and what it takes to start them again.

use std::net::SocketAddr;

use crate::process::{Ports, Process};
use crate::settings::{Addresses, Settings};

/// What kind of daemon a process is.
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

/// A daemon under test, which can be started again at the same addresses.
#[derive(Debug)]
pub struct Daemon {
    pub(crate) role: Role,
    pub(crate) settings: Settings,
    pub(crate) addresses: Addresses,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) ports: Ports,
    /// The process that runs at present.
    pub process: Process,
}

impl Daemon {
    /// Returns where callers or entries' links are served.
    pub fn address(&self) -> SocketAddr {
        self.addresses.listen
    }

    /// Returns where operators are served.
    pub fn admin(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Returns the addresses that the daemon reported.
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
    /// The process that runs at present.
    pub process: Process,
}

impl StandIn {
    /// Returns where it serves HTTP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Returns the addresses that a daemon reported, which it keeps when it is started again.
pub(crate) fn in_use(ports: &Ports, asked: Addresses) -> Addresses {
    Addresses {
        listen: ports.http.or(ports.link).unwrap_or(asked.listen),
        admin: ports.admin.unwrap_or(asked.admin),
        reports: ports.udp.unwrap_or(asked.reports),
    }
}
