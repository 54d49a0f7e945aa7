//! The configuration that operators apply and every process serves.
//!
//! Data centres contain daemons, agents proxy endpoints, pools group endpoints,
//! contracts grant work classes, and organisations sign contracts.
//! [`Configuration`] is the serialized form; [`Index`] provides the lookups of the
//! request path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id::{
    ClassName, ContractName, DaemonName, DataCentreName, Digest, EndpointName, Generation,
    OrganisationName, PoolName,
};
use crate::tier::Tier;
use crate::unit::{Bytes, Millis, Tokens};

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The data centres of the fleet.
    pub data_centres: Vec<DataCentreName>,
    /// The entries that may serve callers. Homes of keys need the complete list.
    pub entries: Vec<Daemon>,
    /// The agents that forward requests to endpoints.
    pub agents: Vec<Daemon>,
    /// The pools of endpoints that serve the same model or service.
    pub pools: Vec<Pool>,
    /// The endpoints that execute requests.
    pub endpoints: Vec<Endpoint>,
    /// The work classes that contracts grant.
    pub classes: Vec<Class>,
    /// The contracts that organisations sign.
    pub contracts: Vec<Contract>,
    /// The organisations that may send requests.
    pub organisations: Vec<Organisation>,
}

/// A daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// The name, as in the daemon's own settings.
    pub name: DaemonName,
    /// The data centre of the VM that it runs on.
    pub data_centre: DataCentreName,
}

/// The kind of work that a pool serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// A model, exposed through the completions API.
    Model,
    /// A plain HTTP service, exposed under `/services/{name}/`.
    Service,
}

/// Endpoints that serve the same model or plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name that callers use as the model or the service.
    pub name: PoolName,
    /// The kind of work.
    pub kind: PoolKind,
    /// The maximum queue length at each endpoint, in requests.
    #[serde(default = "default_queue_requests")]
    pub queue_requests: u32,
    /// The share of each endpoint's concurrency that is reserved for the most
    /// urgent tier in use, in percent.
    #[serde(default)]
    pub reserve_percent: u8,
    /// Whether running work of the least urgent tiers may be cancelled for the
    /// most urgent one, which wastes its prefill.
    #[serde(default)]
    pub preempt: bool,
    /// The routing weight of the expected latency (waiting, prefill, decoding and
    /// lateness) relative to repeated prefill.
    ///
    /// Larger values favour short waits over cached prefixes; zero routes by cached
    /// prefixes only.
    #[serde(default = "default_prefix_weight")]
    pub prefix_weight: f64,
}

/// Whether an endpoint rejects orders that carry a stale fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The endpoint rejects stale tokens.
    Checked,
    /// The endpoint ignores tokens, so a new lease holder must wait before it
    /// sends orders.
    #[default]
    Ignored,
}

/// A model engine or a plain service at one address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name.
    pub name: EndpointName,
    /// The pool that the endpoint belongs to.
    pub pool: PoolName,
    /// The agent through which all requests reach the endpoint.
    pub agent: DaemonName,
    /// The IP address and port at which the agent reaches the endpoint.
    pub address: SocketAddr,
    /// Whether the endpoint checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// The maximum number of concurrent requests at the endpoint.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The models and adapters that the endpoint is ordered to load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<SmolStr>,
}

/// The execution guarantee of a work class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Requests are idempotent and may be retried and hedged.
    Idempotent,
    /// Each key is dispatched at most once, guarded by in-memory records.
    AtMostOnce,
    /// Each key runs at most once, guarded by a durable claim in the platform before
    /// dispatch.
    Claimed,
}

/// A work class, with its priority and objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name that callers send in the `Work-Class` header.
    pub name: ClassName,
    /// The priority tier.
    pub tier: Tier,
    /// The execution guarantee.
    pub repeat: Repeat,
    /// The time within which a response is useful, unless the caller sends a
    /// `Request-Timeout`.
    pub deadline: Millis,
    /// The idle timeout between two chunks of a response.
    #[serde(default = "default_idle")]
    pub idle: Millis,
    /// The typical length of a response.
    #[serde(default = "default_output")]
    pub expected_output: Tokens,
    /// The objective against which the burn report is computed.
    #[serde(default)]
    pub objective: Objective,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The share of requests that must be good, in percent.
    pub percent: f64,
    /// The maximum time to first token of a good request.
    pub first_token: Millis,
    /// The maximum mean time between tokens of a good request.
    pub between_tokens: Millis,
}

impl Default for Objective {
    fn default() -> Self {
        Objective {
            percent: 95.0,
            first_token: Millis(500),
            between_tokens: Millis(66),
        }
    }
}

/// A contract, which grants pools and work classes to the organisations that signed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The name.
    pub name: ContractName,
    /// The granted classes. The first one is the default for requests without a class.
    pub classes: Vec<ClassName>,
    /// The granted pools.
    pub pools: Vec<PoolName>,
    /// The limits that apply to each organisation.
    #[serde(default)]
    pub limits: Limits,
}

/// The fleet-wide limits of one organisation. [`None`] means no limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum request rate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// The maximum rate of estimated tokens, prompt and response combined.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// The maximum number of requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// The fair-queueing weight of the organisation within a tier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The maximum size of a request body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<Bytes>,
}

/// A customer whose callers share API keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name.
    pub name: OrganisationName,
    /// The contract that the organisation signed.
    pub contract: ContractName,
    /// The digests of the organisation's API keys.
    pub key_digests: Vec<Digest>,
}

fn default_queue_requests() -> u32 {
    256
}

fn default_prefix_weight() -> f64 {
    1.0
}

fn default_concurrency() -> u32 {
    64
}

fn default_idle() -> Millis {
    Millis(30_000)
}

fn default_output() -> Tokens {
    Tokens(128)
}

/// An active configuration, indexed for lookups on the request path.
///
/// The index is immutable and shared. A change of the configuration replaces it as
/// a whole, so no request sees a mix of two generations.
#[derive(Debug, Default)]
pub struct Index {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The indexed configuration.
    pub configuration: Configuration,
    organisations_by_key: HashMap<Digest, u32>,
    contracts: HashMap<ContractName, u32>,
    classes: HashMap<ClassName, u32>,
    pools: HashMap<PoolName, u32>,
}

impl Index {
    /// Indexes a configuration that has passed [`check`](crate::check::check).
    pub fn new(generation: Generation, configuration: Configuration) -> Arc<Self> {
        let mut organisations_by_key = HashMap::new();
        for (i, organisation) in (0..).zip(&configuration.organisations) {
            organisations_by_key.extend(organisation.key_digests.iter().map(|d| (*d, i)));
        }
        let contracts = positions(configuration.contracts.iter().map(|c| &c.name));
        let classes = positions(configuration.classes.iter().map(|c| &c.name));
        let pools = positions(configuration.pools.iter().map(|p| &p.name));
        Arc::new(Index {
            generation,
            organisations_by_key,
            contracts,
            classes,
            pools,
            configuration,
        })
    }

    /// Returns the organisation that an API key belongs to.
    pub fn organisation_by_key(&self, api_key: &str) -> Option<&Organisation> {
        let digest = Digest::of(api_key.as_bytes());
        let i = *self.organisations_by_key.get(&digest)?;
        self.configuration.organisations.get(i as usize)
    }

    /// Returns a contract by name.
    pub fn contract(&self, name: &ContractName) -> Option<&Contract> {
        let i = *self.contracts.get(name)?;
        self.configuration.contracts.get(i as usize)
    }

    /// Returns a work class by name.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        let i = *self.classes.get(name)?;
        self.configuration.classes.get(i as usize)
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        let i = *self.pools.get(name)?;
        self.configuration.pools.get(i as usize)
    }

    /// Returns the endpoints that an agent forwards requests to.
    pub fn endpoints_of<'a>(
        &'a self,
        agent: &'a DaemonName,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let endpoints = self.configuration.endpoints.iter();
        endpoints.filter(move |e| e.agent == *agent)
    }

    /// Returns the endpoints of a pool.
    pub fn endpoints_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let endpoints = self.configuration.endpoints.iter();
        endpoints.filter(move |e| e.pool == *pool)
    }
}

fn positions<'a, N: Clone + Eq + std::hash::Hash + 'a>(
    names: impl Iterator<Item = &'a N>,
) -> HashMap<N, u32> {
    names.cloned().zip(0..).collect()
}
