//! Builders of what the fleet is made of: data centres, pools and endpoints.

use smol_str::SmolStr;

use sesamehaven::config::{Daemon, Endpoint, Fencing, Pool};
use sesamehaven::id::{DaemonName, DataCentreName};

use crate::builder::Builder;

/// Adds the daemons of a data centre.
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

    fn daemon(&self, name: Option<DaemonName>) -> Option<Daemon> {
        Some(Daemon {
            name: name?,
            data_centre: self.name.clone()?,
        })
    }
}

/// Sets how a pool queues and routes.
#[derive(Debug)]
pub struct PoolBuilder<'a>(pub(crate) Option<&'a mut Pool>);

impl PoolBuilder<'_> {
    /// Sets the longest queue at each endpoint, in requests.
    pub fn queue_requests(self, requests: u32) -> Self {
        self.with(|p| p.queue_requests = requests)
    }

    /// Keeps a share of each endpoint for the most urgent tier, in percent.
    pub fn reserve_percent(self, percent: u8) -> Self {
        self.with(|p| p.reserve_percent = percent)
    }

    /// Lets running work of the least urgent tiers be cancelled for the most urgent one.
    pub fn preempt(self) -> Self {
        self.with(|p| p.preempt = true)
    }

    /// Sets how much first-token time weighs against repeated prefill.
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

/// Sets what an endpoint can do.
#[derive(Debug)]
pub struct EndpointBuilder<'a>(pub(crate) Option<&'a mut Endpoint>);

impl EndpointBuilder<'_> {
    /// Says that the endpoint refuses orders with an old fencing number.
    pub fn checks_fencing(self) -> Self {
        self.with(|e| e.fencing = Fencing::Checked)
    }

    /// Sets the greatest number of requests that it is given at once.
    pub fn concurrency(self, requests: u32) -> Self {
        self.with(|e| e.concurrency = requests)
    }

    /// Adds a model or an adapter that it is ordered to hold.
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
