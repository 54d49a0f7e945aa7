//! Alternative prefix indexes, to compare with the one in use.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use sesamehaven::bloom::Bloom;
use sesamehaven::id::EndpointName;
use sesamehaven::prefix::{HeldPrefixes, PrefixIndex, preferred_endpoint};

/// Assumes that no endpoint has cached any prefix.
pub(crate) struct EmptyIndex;

impl PrefixIndex for EmptyIndex {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, _endpoint: &EndpointName) {}

    fn held(&self, endpoints: &[&EndpointName], _prefixes: &[u64]) -> HeldPrefixes {
        SmallVec::from_elem(0, endpoints.len())
    }
}

/// Assumes that the endpoint which the first prefix hashes to has cached all
/// prefixes that may be shared.
pub(crate) struct HashIndex;

impl PrefixIndex for HashIndex {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, _endpoint: &EndpointName) {}

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let mut held: HeldPrefixes = SmallVec::from_elem(0, endpoints.len());
        if let Some(preferred) = preferred_endpoint(endpoints, prefixes) {
            held[preferred] = prefixes.len().saturating_sub(1).max(1);
        }
        held
    }
}

/// Uses the Bloom filters that agents send of their engines' caches.
#[derive(Default)]
pub(crate) struct BloomIndex {
    endpoints: HashMap<EndpointName, Bloom>,
}

impl PrefixIndex for BloomIndex {
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

/// Uses one merged Bloom filter for each pair of endpoints; hashing decides which
/// endpoint of the pair is assumed to have cached a prefix.
#[derive(Default)]
pub(crate) struct PairBloomIndex {
    members: BTreeMap<EndpointName, Bloom>,
}

impl PrefixIndex for PairBloomIndex {
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
        for pair in members.chunks(2) {
            let names: Vec<_> = pair.iter().map(|(name, _)| *name).collect();
            let mut merged = pair[0].1.clone();
            pair.iter().for_each(|(_, bloom)| merged.merge(bloom));
            let count = prefixes.iter().take_while(|p| merged.contains(**p));
            let count = count.count();
            let preferred = preferred_endpoint(&names, prefixes).map(|i| names[i]);
            if let Some(i) = endpoints.iter().position(|e| Some(*e) == preferred) {
                held[i] = count;
            }
        }
        held
    }
}
