//! What the prefix caches of endpoints are taken to hold.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#prefix-affinity).

use std::collections::{BTreeMap, HashMap};

use crate::id::EndpointName;
use crate::unit::Tokens;

/// The prefixes that are remembered of each endpoint.
const REMEMBERED: usize = 2_048;

/// A guess at the prefixes that endpoints hold, from what they were offered.
///
/// Each endpoint's cache is imitated by a least-recently-used list of the
/// prefixes that this process sent there.
#[derive(Debug, Default)]
pub struct PrefixGuesses {
    endpoints: HashMap<EndpointName, Lru>,
}

impl PrefixGuesses {
    /// Notes that a prompt with these prefixes goes to an endpoint.
    pub fn insert(&mut self, endpoint: &EndpointName, prefixes: &[u64]) {
        if prefixes.is_empty() {
            return;
        }
        if !self.endpoints.contains_key(endpoint) {
            self.endpoints.insert(endpoint.clone(), Lru::default());
        }
        let Some(lru) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        prefixes.iter().rev().for_each(|p| lru.touch(*p));
    }

    /// Forgets an endpoint whose cache is gone.
    pub fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    /// Estimates the prompt tokens that the endpoint holds already.
    ///
    /// The prefixes are taken to divide the prompt evenly.
    pub fn held(&self, endpoint: &EndpointName, prefixes: &[u64], prompt: Tokens) -> u64 {
        let Some(lru) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let longest = prefixes.iter().rposition(|p| lru.ages.contains_key(p));
        let held = longest.map_or(0, |i| i as u64 + 1);
        prompt.0 * held / (prefixes.len() as u64).max(1)
    }
}

#[derive(Debug, Default)]
struct Lru {
    ages: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    count: u64,
}

impl Lru {
    fn touch(&mut self, prefix: u64) {
        self.count += 1;
        if let Some(old) = self.ages.insert(prefix, self.count) {
            self.order.remove(&old);
        }
        self.order.insert(self.count, prefix);
        if self.ages.len() > REMEMBERED
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.ages.remove(&oldest);
        }
    }
}
