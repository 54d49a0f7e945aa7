//! Builders for the objects of a fleet: data centres, pools and endpoints.

use smol_str::SmolStr;

use sesamehaven::config::{Daemon, Endpoint, Fencing, Pool};
use sesamehaven::id::{DaemonName, DataCentreName};

use crate::builder::Builder;

/// Adds daemons to a data centre.
#[derive(Debug)]
pub struct DataCentreBuilder<'a> {
    pub(crate) builder: &'a mut Builder,
    pub(crate) name: Option<DataCentreName>,
}

impl DataCentreBuilder<'_> {
    /// Adds an entry.
    pub fn entry(self, name: &str) -> Self {
        let daemon = self.builder.errors.parse(format!("entry {name}"), name);
        if let Some(daemon) = self.daemon(daemon) {
            self.builder.configuration.entries.push(daemon);
        }
        self
    }

    /// Adds an agent.
    pub fn agent(self, name: &str) -> Self {
        let daemon = self.builder.errors.parse(format!("agent {name}"), name);
        if let Some(daemon) = self.daemon(daemon) {
            self.builder.configuration.agents.push(daemon);
        }
        self
    }

    /// Returns the daemon unless its name or that of the data centre is invalid.
    fn daemon(&self, name: Option<DaemonName>) -> Option<Daemon> {
        Some(Daemon {
            name: name?,
            data_centre: self.name.clone()?,
        })
    }
}

/// Sets the queueing and routing parameters of a pool.
#[derive(Debug)]
pub struct PoolBuilder<'a>(pub(crate) Option<&'a mut Pool>);

impl PoolBuilder<'_> {
    /// Sets the maximum queue length of each endpoint, in requests.
    pub fn queue_requests(self, requests: u32) -> Self {
        self.with(|p| p.queue_requests = requests)
    }

    /// Reserves a percentage of each endpoint's capacity for the most urgent tier.
    pub fn reserve_percent(self, percent: u8) -> Self {
        self.with(|p| p.reserve_percent = percent)
    }

    /// Allows running requests of the least urgent tiers to be preempted by the most urgent tier.
    pub fn preempt(self) -> Self {
        self.with(|p| p.preempt = true)
    }

    /// Sets the routing weight of the expected delay relative to the cost of repeated prefill.
    ///
    /// The delay includes decoding and lateness. The default is one; a lower value favours
    /// endpoints that have the prompt cached.
    pub fn prefix_weight(self, weight: f64) -> Self {
        self.with(|p| p.prefix_weight = weight)
    }

    fn with(mut self, set: impl FnOnce(&mut Pool)) -> Self {
        if let Some(pool) = &mut self.0 {
            set(pool);
        }
        self
    }
}

/// Sets the capabilities and limits of an endpoint.
#[derive(Debug)]
pub struct EndpointBuilder<'a>(pub(crate) Option<&'a mut Endpoint>);

impl EndpointBuilder<'_> {
    /// Declares that the endpoint rejects orders with an outdated fencing token.
    pub fn checks_fencing(self) -> Self {
        self.with(|e| e.fencing = Fencing::Checked)
    }

    /// Sets the maximum number of concurrent requests.
    pub fn concurrency(self, requests: u32) -> Self {
        self.with(|e| e.concurrency = requests)
    }

    /// Adds a model or an adapter that the endpoint is ordered to load.
    pub fn load(self, name: &str) -> Self {
        self.with(|e| e.loads.push(SmolStr::new(name)))
    }

    fn with(mut self, set: impl FnOnce(&mut Endpoint)) -> Self {
        if let Some(endpoint) = &mut self.0 {
            set(endpoint);
        }
        self
    }
}
