//! Where the load tool sends requests: entries, or endpoints directly by a baseline policy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use smol_str::SmolStr;

use crate::error::Result;
use crate::server::check_loopback;

/// How a request finds its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Through the entries, in turn, as the balancer does.
    Entries,
    /// To the endpoints in turn, first come first served, with retries.
    Naive,
    /// To the endpoint with the fewest requests of this tool in flight, with retries.
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
        const REMEDY: &str = "write POOL=IP:PORT, such as model-a=127.0.0.1:8000";
        let Some((pool, address)) = s.split_once('=') else {
            return Err(REMEDY.into());
        };
        let address = address.parse().map_err(|_| REMEDY.to_owned())?;
        Ok(PoolAddress {
            pool: pool.into(),
            address,
        })
    }
}

#[derive(Debug)]
struct Slot {
    address: SocketAddr,
    outstanding: AtomicUsize,
}

/// The addresses that requests go to.
#[derive(Debug)]
pub struct Targets {
    policy: Policy,
    entries: Vec<Arc<Slot>>,
    pools: HashMap<SmolStr, Vec<Arc<Slot>>>,
    turn: AtomicUsize,
}

impl Targets {
    /// Builds the targets of a run.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address.
    pub fn new(policy: Policy, entries: &[SocketAddr], endpoints: &[PoolAddress]) -> Result<Self> {
        let mut pools: HashMap<SmolStr, Vec<Arc<Slot>>> = HashMap::new();
        for endpoint in endpoints {
            let slots = pools.entry(endpoint.pool.clone()).or_default();
            slots.push(slot(endpoint.address)?);
        }
        Ok(Targets {
            policy,
            entries: entries.iter().map(|a| slot(*a)).collect::<Result<_>>()?,
            pools,
            turn: AtomicUsize::new(0),
        })
    }

    /// Returns the policy.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// Chooses where the next request for a pool goes, if there is anywhere.
    pub fn select(&self, pool: &str) -> Option<SelectedTarget> {
        let slots = match self.policy {
            Policy::Entries => &self.entries,
            Policy::Naive | Policy::LeastOutstanding => self.pools.get(pool)?,
        };
        if slots.is_empty() {
            return None;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let in_turn = |offset: usize| &slots[(turn + offset) % slots.len()];
        let slot = match self.policy {
            Policy::Entries | Policy::Naive => in_turn(0),
            Policy::LeastOutstanding => (0..slots.len())
                .map(in_turn)
                .min_by_key(|slot| slot.outstanding.load(Ordering::Relaxed))?,
        };
        slot.outstanding.fetch_add(1, Ordering::Relaxed);
        Some(SelectedTarget(slot.clone()))
    }
}

fn slot(address: SocketAddr) -> Result<Arc<Slot>> {
    check_loopback(address)?;
    Ok(Arc::new(Slot {
        address,
        outstanding: AtomicUsize::new(0),
    }))
}

/// A chosen address, counted as in flight until it is dropped.
#[derive(Debug)]
pub struct SelectedTarget(Arc<Slot>);

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
