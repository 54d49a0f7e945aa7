//! What the prefix caches of endpoints are taken to hold.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#prefix-affinity).

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use crate::id::EndpointName;

/// The prefixes that are remembered of each endpoint.
const REMEMBERED: usize = 2_048;

/// The length of the shortest prefix that is digested, in bytes.
const SHORTEST_BYTES: usize = 512;
/// The prefixes that are digested of one prompt, each twice as long as the one before.
const DIGESTS_MAX: usize = 8;

/// Digests the prefixes of a prompt, the shortest first.
///
/// The lengths do not depend on the prompt, so that two prompts have in common
/// the digests of what they share. The text is taken in parts, as it stands in
/// the request.
pub fn digests<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> SmallVec<[u64; DIGESTS_MAX]> {
    let mut digests = SmallVec::new();
    let mut hasher = blake3::Hasher::new();
    let mut end = SHORTEST_BYTES;
    let mut taken = 0;
    for mut part in parts {
        while taken + part.len() >= end && digests.len() < DIGESTS_MAX {
            let (head, rest) = part.split_at(end - taken);
            hasher.update(head);
            let digest = hasher.finalize().as_bytes().first_chunk().copied();
            digests.push(u64::from_le_bytes(digest.unwrap_or_default()));
            taken = end;
            end *= 2;
            part = rest;
        }
        if digests.len() == DIGESTS_MAX {
            break;
        }
        hasher.update(part);
        taken += part.len();
    }
    digests
}

/// Knowledge of the prompt prefixes that endpoints hold.
///
/// Prefixes are digests of the start of a prompt, the shortest first, each
/// covering the ones before it.
pub trait PrefixKnowledge {
    /// Notes that a prompt with these prefixes goes to an endpoint.
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]);

    /// Takes in what the endpoint's agent reported about its cache.
    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]);

    /// Forgets an endpoint whose cache is gone.
    fn forget(&mut self, endpoint: &EndpointName);

    /// Returns how many of the prefixes the endpoint is taken to hold.
    fn held(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize;
}

/// A guess at the prefixes that endpoints hold, from what they were offered.
///
/// Each endpoint's cache is imitated by a least-recently-used list of the
/// prefixes that this process sent there.
#[derive(Debug)]
pub struct PrefixGuesses {
    remembered: usize,
    endpoints: HashMap<EndpointName, Lru>,
}

impl Default for PrefixGuesses {
    fn default() -> Self {
        PrefixGuesses::new(REMEMBERED)
    }
}

impl PrefixGuesses {
    /// Starts with nothing known; `remembered` bounds the list of each endpoint.
    pub fn new(remembered: usize) -> Self {
        PrefixGuesses {
            remembered,
            endpoints: HashMap::new(),
        }
    }
}

impl PrefixKnowledge for PrefixGuesses {
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]) {
        if prefixes.is_empty() {
            return;
        }
        if !self.endpoints.contains_key(endpoint) {
            self.endpoints.insert(endpoint.clone(), Lru::default());
        }
        let Some(lru) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        for prefix in prefixes.iter().rev() {
            lru.touch(*prefix, self.remembered);
        }
    }

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    fn held(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(lru) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let longest = prefixes.iter().rposition(|p| lru.ages.contains_key(p));
        longest.map_or(0, |i| i + 1)
    }
}

#[derive(Debug, Default)]
struct Lru {
    ages: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    count: u64,
}

impl Lru {
    fn touch(&mut self, prefix: u64, most: usize) {
        self.count += 1;
        if let Some(old) = self.ages.insert(prefix, self.count) {
            self.order.remove(&old);
        }
        self.order.insert(self.count, prefix);
        if self.ages.len() > most
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.ages.remove(&oldest);
        }
    }
}
