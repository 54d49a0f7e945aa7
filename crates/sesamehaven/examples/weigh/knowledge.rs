//! Other kinds of prefix knowledge, to be weighed against guesses.

use std::collections::{BTreeMap, HashMap};

use sesamehaven::bloom::Bloom;
use sesamehaven::id::EndpointName;
use sesamehaven::prefix::{PrefixGuesses, PrefixKnowledge};

/// Knows nothing.
pub(crate) struct Nothing;

impl PrefixKnowledge for Nothing {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, _endpoint: &EndpointName) {}

    fn held(&self, _endpoint: &EndpointName, _prefixes: &[u64]) -> usize {
        0
    }
}

/// Takes the endpoint that the first prefix hashes to as holding all of it.
#[derive(Default)]
pub(crate) struct Hashing {
    endpoints: Vec<EndpointName>,
}

impl PrefixKnowledge for Hashing {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, endpoint: &EndpointName, _summary: &[u8]) {
        if !self.endpoints.contains(endpoint) {
            self.endpoints.push(endpoint.clone());
        }
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.retain(|e| e != endpoint);
    }

    fn held(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(first) = prefixes.first() else {
            return 0;
        };
        let home = self.endpoints.iter().max_by_key(|e| rank(e, *first));
        match home == Some(endpoint) {
            true => prefixes.len() - 1,
            false => 0,
        }
    }
}

fn rank(endpoint: &EndpointName, prefix: u64) -> u64 {
    let name = endpoint.as_str().bytes();
    let seed = name.fold(prefix, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    (seed ^ (seed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Believes the agents' summaries of their engines' caches.
#[derive(Default)]
pub(crate) struct Blooms {
    endpoints: HashMap<EndpointName, Bloom>,
}

impl PrefixKnowledge for Blooms {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        let bloom = Bloom::from_bytes(summary);
        self.endpoints.insert(endpoint.clone(), bloom);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    fn held(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(bloom) = self.endpoints.get(endpoint) else {
            return 0;
        };
        prefixes.iter().take_while(|p| bloom.contains(**p)).count()
    }
}

/// Knows only one composite summary for each two endpoints; which of them
/// holds a prefix is settled by hashing.
#[derive(Default)]
pub(crate) struct GroupBlooms {
    members: BTreeMap<EndpointName, Bloom>,
}

impl PrefixKnowledge for GroupBlooms {
    fn on_offer(&mut self, _endpoint: &EndpointName, _prefixes: &[u64]) {}

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        let bloom = Bloom::from_bytes(summary);
        self.members.insert(endpoint.clone(), bloom);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.members.remove(endpoint);
    }

    fn held(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(place) = self.members.keys().position(|e| e == endpoint) else {
            return 0;
        };
        let group: Vec<_> = self.members.iter().skip(place / 2 * 2).take(2).collect();
        let Some(first) = prefixes.first() else {
            return 0;
        };
        let home = group.iter().max_by_key(|(e, _)| rank(e, *first));
        if home.is_none_or(|(e, _)| *e != endpoint) {
            return 0;
        }
        let mut composite = group[0].1.clone();
        group.iter().for_each(|(_, bloom)| composite.merge(bloom));
        let held = prefixes.iter().take_while(|p| composite.contains(**p));
        held.count()
    }
}

/// Guesses, corrected by the agents' summaries.
#[derive(Default)]
pub(crate) struct GuessedBlooms {
    guesses: PrefixGuesses,
    blooms: Blooms,
}

impl PrefixKnowledge for GuessedBlooms {
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]) {
        self.guesses.on_offer(endpoint, prefixes);
    }

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        self.blooms.on_summary(endpoint, summary);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.guesses.forget(endpoint);
        self.blooms.forget(endpoint);
    }

    fn held(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let guessed = self.guesses.held(endpoint, prefixes);
        guessed.max(self.blooms.held(endpoint, prefixes))
    }
}
