//! What a front is told at its start, in the product's own terms.

use std::net::{IpAddr, SocketAddr};

use smol_str::SmolStr;

use sesamehaven::unit::{Bytes, Millis};

/// How long a front may trust what it knows, and what it shares with the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// How long after it was last confirmed a configuration vouches for keys.
    pub key_max_age: Millis,
    /// How long before the process must be gone after SIGTERM.
    pub grace_period: Millis,
    /// The second sends that all fronts together may make, for each request to a pool.
    pub retry_ratio: f64,
    /// The second sends beyond that.
    pub retry_slack: f64,
    /// The window over which second sends are counted.
    pub retry_window: Millis,
    /// The window over which the limits of organisations are counted.
    pub limit_window: Millis,
    /// The part of a limit by which all fronts together may pass it.
    pub limit_overage: f64,
    /// The amount beyond that.
    pub limit_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            key_max_age: Millis(5_000),
            grace_period: Millis(8_000),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Millis(10_000),
            limit_window: Millis(8_000),
            limit_overage: 0.1,
            limit_slack: 0.0,
        }
    }
}

/// The settings of one front.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this daemon.
    pub name: SmolStr,
    /// The data centre that it stands in.
    pub data_centre: SmolStr,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the front takes callers.
    pub ready: SocketAddr,
    /// The path that the balancer asks for.
    pub ready_path: SmolStr,
    /// Where the other fronts talk to this one, over UDP and TCP.
    pub peers: SocketAddr,
    /// Where metrics and the status are served.
    pub admin: Option<SocketAddr>,
    /// Other fronts that are asked first; they may be gone.
    pub seeds: Vec<IpAddr>,
    /// How often the configuration and the endpoints are read again.
    pub refresh_interval: Millis,
    /// The bodies that all requests together may hold in memory.
    pub max_body_memory: Bytes,
    /// What the fronts promise together.
    pub bounds: Bounds,
}
