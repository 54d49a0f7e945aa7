//! The targets of the load tool: entries, or endpoints selected by a baseline policy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use smol_str::SmolStr;

use crate::error::Result;
use crate::server::check_loopback;

/// How the target of a request is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Round robin over the entries, as a load balancer does.
    Entries,
    /// Round robin over the endpoints of the pool, with retries.
    Naive,
    /// The endpoint with the fewest outstanding requests of this tool, with retries.
    LeastOutstanding,
}

impl FromStr for Policy {
    type Err = &'static str;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        match s {
            "naive" => Ok(Policy::Naive),
            "least-outstanding" => Ok(Policy::LeastOutstanding),
            _ => Err("use `naive` or `least-outstanding`"),
        }
    }
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Policy::Entries => "entries",
            Policy::Naive => "naive",
            Policy::LeastOutstanding => "least-outstanding",
        })
    }
}

/// An endpoint of a pool, written as `POOL=ADDRESS`.
#[derive(Debug, Clone)]
pub struct PoolAddress {
    /// The pool.
    pub pool: SmolStr,
    /// The endpoint's address.
    pub address: SocketAddr,
}

impl FromStr for PoolAddress {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        const HINT: &str = "write POOL=IP:PORT, such as model-a=127.0.0.1:8000";
        let Some((pool, address)) = s.split_once('=') else {
            return Err(HINT.into());
        };
        let address = address.parse().map_err(|_| HINT.to_owned())?;
        Ok(PoolAddress {
            pool: pool.into(),
            address,
        })
    }
}

/// An address with the number of its outstanding requests.
#[derive(Debug)]
struct TargetState {
    address: SocketAddr,
    outstanding: AtomicUsize,
}

/// The addresses that requests are sent to, with their outstanding requests.
#[derive(Debug)]
pub struct Targets {
    policy: Policy,
    entries: Vec<Arc<TargetState>>,
    pools: HashMap<SmolStr, Vec<Arc<TargetState>>>,
    next_index: AtomicUsize,
}

impl Targets {
    /// Builds the targets of a run; `entries` serve all pools.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address.
    pub fn new(policy: Policy, entries: &[SocketAddr], endpoints: &[PoolAddress]) -> Result<Self> {
        let mut pools: HashMap<SmolStr, Vec<Arc<TargetState>>> = HashMap::new();
        for endpoint in endpoints {
            let candidates = pools.entry(endpoint.pool.clone()).or_default();
            candidates.push(new_target(endpoint.address)?);
        }
        Ok(Targets {
            policy,
            entries: entries
                .iter()
                .map(|a| new_target(*a))
                .collect::<Result<_>>()?,
            pools,
            next_index: AtomicUsize::new(0),
        })
    }

    /// Returns the policy.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// Selects the target of the next request for a pool, or `None` if the pool has no targets.
    pub fn select(&self, pool: &str) -> Option<SelectedTarget> {
        let candidates = match self.policy {
            Policy::Entries => &self.entries,
            Policy::Naive | Policy::LeastOutstanding => self.pools.get(pool)?,
        };
        if candidates.is_empty() {
            return None;
        }
        let start = self.next_index.fetch_add(1, Ordering::Relaxed);
        let round_robin = |offset: usize| &candidates[(start + offset) % candidates.len()];
        let target = match self.policy {
            Policy::Entries | Policy::Naive => round_robin(0),
            Policy::LeastOutstanding => (0..candidates.len())
                .map(round_robin)
                .min_by_key(|target| target.outstanding.load(Ordering::Relaxed))?,
        };
        target.outstanding.fetch_add(1, Ordering::Relaxed);
        Some(SelectedTarget(target.clone()))
    }
}

fn new_target(address: SocketAddr) -> Result<Arc<TargetState>> {
    check_loopback(address)?;
    Ok(Arc::new(TargetState {
        address,
        outstanding: AtomicUsize::new(0),
    }))
}

/// A selected target, whose request counts as outstanding until this is dropped.
#[derive(Debug)]
pub struct SelectedTarget(Arc<TargetState>);

impl SelectedTarget {
    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }
}

impl Drop for SelectedTarget {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}
