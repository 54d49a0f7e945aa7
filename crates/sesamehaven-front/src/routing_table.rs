//! The configuration in the form that requests are looked up in.

use std::collections::HashMap;
use std::rc::Rc;

use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::Tier;
use sesamehaven::unit::{Bytes, Millis};

/// What may be sent to an endpoint more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run once at most.
    Never,
    /// The request may run any number of times.
    Always,
    /// A broken stream may go on at another endpoint after its last event.
    Resume,
}

/// Where the requests under a path go, and what they are promised.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: SmolStr,
    /// The host that it belongs to.
    pub host: SmolStr,
    /// The start of the paths that it takes, with slashes at both ends.
    pub prefix: SmolStr,
    /// The pools that share its requests, each with its weight.
    pub pools: SmallVec<[(SmolStr, u32); 2]>,
    /// What may be sent more than once.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// How long a request may stay unanswered.
    pub timeout: Millis,
    /// The time to the answer, or to the first event, that earns full credit.
    pub objective: Millis,
    /// The longest pause between events that earns full credit.
    pub gap_objective: Millis,
    /// The most endpoints that one request is sent to.
    pub max_attempts: u32,
    /// The rank, unless the organisation has its own.
    pub tier: Tier,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a pool by a number that is spread evenly.
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

/// The limit of an organisation over all fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// What it may use in a second.
    pub rate_per_s: u64,
    /// What it may use at once.
    pub burst: u64,
    /// Whether use is counted in tokens, not in requests.
    pub counts_tokens: bool,
    /// The tokens that a request without a count stands for.
    pub default_tokens: u64,
}

/// A customer and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The name.
    pub name: SmolStr,
    /// The keys that its callers show.
    pub keys: Vec<SmolStr>,
    /// The rank that goes before that of the route.
    pub tier: Option<Tier>,
    /// The limit, if there is one.
    pub limit: Option<RateLimit>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest body.
    pub max_body: Bytes,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
}

/// A configuration, ready for look-ups.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// The version, which only grows.
    pub version: u64,
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    keys: HashMap<SmolStr, Rc<Organisation>>,
    organisations: Vec<Rc<Organisation>>,
    /// What callers may send, when the configuration says so.
    pub caller_limits: Option<CallerLimits>,
}

impl RoutingTable {
    /// Builds the table of a version.
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

    /// Finds the route with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Finds the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Rc<Organisation>> {
        self.keys.get(key)
    }

    /// Lists the organisations.
    pub fn organisations(&self) -> &[Rc<Organisation>] {
        &self.organisations
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
