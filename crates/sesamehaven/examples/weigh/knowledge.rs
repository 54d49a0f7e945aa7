//! Other kinds of prefix knowledge, to be weighed against the one in use.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use sesamehaven::bloom::Bloom;
use sesamehaven::id::EndpointName;
use sesamehaven::prefix::{HeldPrefixes, PrefixIndex, preferred_endpoint};

/// Knows nothing.
pub(crate) struct Nothing;

impl PrefixIndex for Nothing {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, _endpoint: &EndpointName) {}

    fn held(&self, endpoints: &[&EndpointName], _prefixes: &[u64]) -> HeldPrefixes {
        SmallVec::from_elem(0, endpoints.len())
    }
}

/// Takes the endpoint that the first prefix hashes to as holding all that may
/// be shared.
pub(crate) struct Hashing;

impl PrefixIndex for Hashing {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, _endpoint: &EndpointName) {}

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let mut held: HeldPrefixes = SmallVec::from_elem(0, endpoints.len());
        if let Some(home) = preferred_endpoint(endpoints, prefixes) {
            held[home] = prefixes.len().saturating_sub(1).max(1);
        }
        held
    }
}

/// Believes the agents' summaries of their engines' caches.
#[derive(Default)]
pub(crate) struct Blooms {
    endpoints: HashMap<EndpointName, Bloom>,
}

impl PrefixIndex for Blooms {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        let bloom = Bloom::from_bytes(summary);
        self.endpoints.insert(endpoint.clone(), bloom);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let count = |bloom: &Bloom| prefixes.iter().take_while(|p| bloom.contains(**p)).count();
        let held = |e: &&EndpointName| self.endpoints.get(*e).map_or(0, count);
        endpoints.iter().map(held).collect()
    }
}

/// Knows only one composite summary for each two endpoints; which of them
/// holds a prefix is settled by hashing.
#[derive(Default)]
pub(crate) struct GroupBlooms {
    members: BTreeMap<EndpointName, Bloom>,
}

impl PrefixIndex for GroupBlooms {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        let bloom = Bloom::from_bytes(summary);
        self.members.insert(endpoint.clone(), bloom);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.members.remove(endpoint);
    }

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let mut held: HeldPrefixes = SmallVec::from_elem(0, endpoints.len());
        let members: Vec<_> = self.members.iter().collect();
        for group in members.chunks(2) {
            let names: Vec<_> = group.iter().map(|(name, _)| *name).collect();
            let mut composite = group[0].1.clone();
            group.iter().for_each(|(_, bloom)| composite.merge(bloom));
            let count = prefixes.iter().take_while(|p| composite.contains(**p));
            let count = count.count();
            let home = preferred_endpoint(&names, prefixes).map(|i| names[i]);
            if let Some(i) = endpoints.iter().position(|e| Some(*e) == home) {
                held[i] = count;
            }
        }
        held
    }
}
