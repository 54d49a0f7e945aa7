//! The load of fronts, as their digests tell it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use sesamehaven::placement::DispatchedLoad;

/// The largest sum of requests that is taken from digests, so that nothing added to it overflows.
const MAX_LOAD: u32 = 1 << 20;

/// What one front runs at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointShare {
    /// The hash of the endpoint.
    pub endpoint: u32,
    /// The number of requests.
    pub running: u32,
    /// The expected time to prefill the prompts that have no first event yet, in milliseconds.
    pub prefill_ms: u32,
}

/// The requests running and waiting at one front.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The requests in flight at each endpoint.
    pub dispatched: Vec<EndpointShare>,
    /// The weight of the requests that wait for a slot, by the hash of the pool.
    pub waiting: Vec<(u32, u32)>,
}

/// The aggregate load of several fronts.
#[derive(Debug, Default)]
pub struct Loads {
    /// The number of fronts.
    pub fronts: usize,
    /// The identities of these fronts, which stay the same across restarts.
    pub ids: Vec<u64>,
    /// The requests in flight, by the hash of the endpoint.
    pub dispatched: HashMap<u32, DispatchedLoad>,
    /// The weight of the requests that wait for a slot, by the hash of the pool.
    pub waiting: HashMap<u32, u32>,
}

impl Loads {
    pub(crate) fn add(&mut self, id: u64, load: &Load) {
        self.fronts += 1;
        self.ids.push(id);
        for share in &load.dispatched {
            let sum = self.dispatched.entry(share.endpoint).or_default();
            add_load(&mut sum.running, share.running);
            add_load(&mut sum.prefill_ms, share.prefill_ms);
        }
        for (pool, n) in &load.waiting {
            add_load(self.waiting.entry(*pool).or_default(), *n);
        }
    }
}

fn add_load(sum: &mut u32, n: u32) {
    *sum = sum.saturating_add(n).min(MAX_LOAD);
}
