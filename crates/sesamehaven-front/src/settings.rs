//! The settings of a front.

use std::net::{IpAddr, SocketAddr};

use smol_str::SmolStr;

use sesamehaven::unit::{Bytes, Millis};

/// Staleness bounds and the parameters of limits shared by all fronts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The maximum age of the configuration for accepting keys.
    pub key_max_age: Millis,
    /// The time from SIGTERM until the process must have exited.
    pub grace_period: Millis,
    /// The retry budget of all fronts, as a ratio of the requests to a pool.
    pub retry_ratio: f64,
    /// The constant part of the retry budget, in requests.
    pub retry_slack: f64,
    /// The window of the retry budget.
    pub retry_window: Millis,
    /// The window of the organisations' rate limits.
    pub limit_window: Millis,
    /// The fraction by which all fronts together may exceed a rate limit.
    pub limit_overage: f64,
    /// The further amount by which they may exceed a token limit, in tokens; request limits have
    /// none.
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

/// How much of a version's risk a rollout may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// The share of a pool's requests that the candidate may get, from 0 to 1.
    pub max_share: f64,
}

/// The settings of one front.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this process.
    pub name: SmolStr,
    /// The data centre of this process.
    pub data_centre: SmolStr,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// The path of the readiness check.
    pub ready_path: SmolStr,
    /// The UDP and TCP address for other fronts.
    pub peers: SocketAddr,
    /// The address for metrics.
    pub admin: Option<SocketAddr>,
    /// The initial contacts among the other fronts; they may no longer exist.
    pub seeds: Vec<IpAddr>,
    /// The interval at which the configuration and the endpoints are refreshed.
    pub refresh_interval: Millis,
    /// The maximum total size of the bodies of requests being dispatched and of one body being read;
    /// other bodies being read and those of relayed streams are not counted.
    pub max_body_memory: Bytes,
    /// The bounds and parameters shared by all fronts.
    pub bounds: Bounds,
    /// Whether organisations that have used less of their limits go first while capacity is short.
    pub has_organisation_order: bool,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// The bounds of rollouts, or [`None`] if the deployment has none.
    pub rollouts: Option<RolloutBounds>,
}
