//! The configuration that operators apply and every process serves.
//!
//! The shape mirrors the world: data centres hold daemons, agents stand before
//! endpoints, pools gather endpoints, contracts grant work classes, and
//! organisations sign contracts. [`Configuration`] is what is written and read;
//! [`Index`] is what the request path looks things up in.

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

/// Everything that operators decide, as one value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The data centres of the fleet.
    pub data_centres: Vec<DataCentreName>,
    /// The entries that may serve callers, which homes of keys have to know.
    pub entries: Vec<Daemon>,
    /// The agents that stand before endpoints.
    pub agents: Vec<Daemon>,
    /// The pools of like work.
    pub pools: Vec<Pool>,
    /// The endpoints that do the work.
    pub endpoints: Vec<Endpoint>,
    /// The kinds of work that contracts grant.
    pub classes: Vec<Class>,
    /// What organisations are granted.
    pub contracts: Vec<Contract>,
    /// Who may call.
    pub organisations: Vec<Organisation>,
}

/// A daemon that the configuration counts on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// The name, as in the daemon's own settings.
    pub name: DaemonName,
    /// The data centre of the VM that it runs on.
    pub data_centre: DataCentreName,
}

/// What kind of work a pool does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// A model, reached through the completions interface.
    Model,
    /// A plain service, reached under `/services/{name}/`.
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
    /// The longest queue at each endpoint, in requests.
    #[serde(default = "default_queue_requests")]
    pub queue_requests: u32,
    /// The share of each endpoint's concurrency that is kept for the most
    /// urgent tier in use, in percent.
    #[serde(default)]
    pub reserve_percent: u8,
    /// Whether running work of the least urgent tiers may be cancelled for the
    /// most urgent one, which wastes its prefill.
    #[serde(default)]
    pub preempt: bool,
    /// How much an expected second of first-token time weighs against an
    /// expected second of repeated prefill when routing; one is even.
    #[serde(default = "default_prefix_weight")]
    pub prefix_weight: f64,
}

/// Whether an endpoint refuses orders that carry an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The endpoint refuses old numbers.
    Checked,
    /// The endpoint ignores numbers, so a new lease holder has to wait.
    #[default]
    Ignored,
}

/// A model engine or a plain service at one address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name.
    pub name: EndpointName,
    /// The pool that it serves.
    pub pool: PoolName,
    /// The agent that is the only gate to it.
    pub agent: DaemonName,
    /// The IP number and port at which the agent reaches it.
    pub address: SocketAddr,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// The greatest number of requests that it is ever given at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The models and adapters that it is ordered to hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<SmolStr>,
}

/// How often a call of a class may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The call is idempotent and may be retried and hedged.
    Idempotent,
    /// Each key is dispatched at most once, guarded in memory.
    AtMostOnce,
    /// Each key runs at most once, claimed in the platform before dispatch.
    Claimed,
}

/// A kind of work, with its rank and its objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name that callers give as `Work-Class`.
    pub name: ClassName,
    /// The rank.
    pub tier: Tier,
    /// How often a call may run.
    pub repeat: Repeat,
    /// The time in which an answer is of use, unless the caller asks for less.
    pub deadline: Millis,
    /// The longest silence of the endpoint between two parts of an answer.
    #[serde(default = "default_idle")]
    pub idle: Millis,
    /// The usual length of an answer.
    #[serde(default = "default_output")]
    pub expected_output: Tokens,
    /// The objective that the burn report counts against.
    #[serde(default)]
    pub objective: Objective,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The share of requests that must be good, in percent.
    pub percent: f64,
    /// The longest time to the first token of a good request.
    pub first_token: Millis,
    /// The longest time between tokens of a good request.
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

/// What the organisations that signed it are granted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The name.
    pub name: ContractName,
    /// The classes; the first one serves requests that name none.
    pub classes: Vec<ClassName>,
    /// The pools that may be called.
    pub pools: Vec<PoolName>,
    /// The limits of each organisation.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of one organisation across the fleet; absent means no limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The greatest rate of requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// The greatest rate of estimated tokens, prompt and answer together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// The greatest number of requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// The weight of the organisation among others of the same tier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The largest request body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<Bytes>,
}

/// A customer whose callers share keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name.
    pub name: OrganisationName,
    /// The contract that it signed.
    pub contract: ContractName,
    /// The digests of its API keys.
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

/// A configuration in force, arranged for look-ups on the request path.
///
/// The index is immutable and shared; a change of configuration replaces it
/// as a whole, so that no request sees half of two generations.
#[derive(Debug, Default)]
pub struct Index {
    /// The generation that this is.
    pub generation: Generation,
    /// The configuration that was indexed.
    pub configuration: Configuration,
    organisations_by_key: HashMap<Digest, u32>,
    contracts: HashMap<ContractName, u32>,
    classes: HashMap<ClassName, u32>,
    pools: HashMap<PoolName, u32>,
}

impl Index {
    /// Arranges a configuration that has been checked.
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

    /// Finds the organisation that an API key belongs to.
    pub fn organisation_by_key(&self, api_key: &str) -> Option<&Organisation> {
        let digest = Digest::of(api_key.as_bytes());
        let i = *self.organisations_by_key.get(&digest)?;
        self.configuration.organisations.get(i as usize)
    }

    /// Finds a contract by name.
    pub fn contract(&self, name: &ContractName) -> Option<&Contract> {
        let i = *self.contracts.get(name)?;
        self.configuration.contracts.get(i as usize)
    }

    /// Finds a work class by name.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        let i = *self.classes.get(name)?;
        self.configuration.classes.get(i as usize)
    }

    /// Finds a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        let i = *self.pools.get(name)?;
        self.configuration.pools.get(i as usize)
    }

    /// Lists the endpoints that an agent stands before.
    pub fn endpoints_of<'a>(
        &'a self,
        agent: &'a DaemonName,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let endpoints = self.configuration.endpoints.iter();
        endpoints.filter(move |e| e.agent == *agent)
    }

    /// Lists the endpoints of a pool.
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
