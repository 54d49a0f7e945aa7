//! The configuration, indexed for request routing.

use std::collections::HashMap;
use std::rc::Rc;

use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::Tier;
use sesamehaven::unit::{Bytes, Millis};

/// Whether a request that may have run may be sent to another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request runs at most once.
    Never,
    /// The request is idempotent and may run any number of times.
    Always,
    /// A broken stream may be resumed at another endpoint after its last event.
    Resume,
}

/// The target pools and service objectives of the requests under a path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, used in logs and metrics.
    pub name: SmolStr,
    /// The host.
    pub host: SmolStr,
    /// The path prefix, with slashes at both ends.
    pub prefix: SmolStr,
    /// The target pools with their weights.
    pub pools: SmallVec<[(SmolStr, u32); 2]>,
    /// The retry policy.
    pub retry_policy: RetryPolicy,
    /// Whether the response is an event stream.
    pub is_stream: bool,
    /// The maximum time from arrival to the end of the response, streams included.
    pub timeout: Millis,
    /// The time to the response, or to the first event, that earns full credit.
    pub objective: Millis,
    /// The gap between events up to which full credit is earned.
    pub gap_objective: Millis,
    /// The maximum number of endpoints at which one request may run.
    pub max_attempts: u32,
    /// The priority tier, unless the organisation has its own.
    pub tier: Tier,
    /// Whether the route needs no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a pool by weight, given a uniformly distributed random number.
    pub fn choose_pool(&self, random: u64) -> Option<&SmolStr> {
        let sum: u64 = self.pools.iter().map(|(_, w)| u64::from(*w)).sum();
        if sum == 0 {
            return self.pools.first().map(|(pool, _)| pool);
        }
        let mut left = random % sum;
        for (pool, weight) in &self.pools {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(pool),
            }
        }
        None
    }
}

/// An organisation's rate limit across all fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// The sustained rate per second.
    pub rate_per_s: u64,
    /// The burst size.
    pub burst: u64,
    /// Whether the limit counts tokens instead of requests.
    pub counts_tokens: bool,
    /// The number of tokens charged for a request that announces none.
    pub default_tokens: u64,
}

/// A customer and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The name.
    pub name: SmolStr,
    /// The keys of its callers.
    pub keys: Vec<SmolStr>,
    /// The priority tier, which overrides that of the route.
    pub tier: Option<Tier>,
    /// The rate limit, if any.
    pub limit: Option<RateLimit>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum body size.
    pub max_body: Bytes,
    /// The idle timeout of a connection.
    pub idle_timeout: Millis,
}

/// A configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// The version, which only increases.
    pub version: u64,
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    keys: HashMap<SmolStr, Rc<Organisation>>,
    organisations: Vec<Rc<Organisation>>,
    /// The limits for callers, if configured.
    pub caller_limits: Option<CallerLimits>,
}

impl RoutingTable {
    /// Creates the table of a configuration version.
    pub fn new(version: u64, routes: Vec<Route>, organisations: Vec<Organisation>) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let organisations: Vec<_> = organisations.into_iter().map(Rc::new).collect();
        let mut keys = HashMap::new();
        for organisation in &organisations {
            for key in &organisation.keys {
                keys.insert(key.clone(), Rc::clone(organisation));
            }
        }
        RoutingTable {
            version,
            hosts,
            keys,
            organisations,
            caller_limits: None,
        }
    }

    /// Returns the route with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the organisation that owns a key.
    pub fn organisation(&self, key: &str) -> Option<&Rc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> &[Rc<Organisation>] {
        &self.organisations
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
