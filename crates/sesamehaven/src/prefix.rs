//! What entries take the prefix caches of endpoints to hold.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#prefix-affinity).

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::bloom::Bloom;
use crate::digest;
use crate::id::EndpointName;
use crate::lru::Lru;

/// The prefixes that are remembered of each endpoint.
const REMEMBERED: usize = 2_048;

/// The length of the shortest prefix that is digested, in bytes.
const SHORTEST_BYTES: usize = 512;
/// The prefixes that are digested of one prompt, each twice as long as the one before.
const DIGESTS_MAX: usize = 8;

/// The bytes of prompt text that are counted as one token.
pub const BYTES_PER_TOKEN: u64 = 5;

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
            digests.push(digest::truncate(&hasher.finalize()));
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

/// Estimates the tokens that the first `count` digested prefixes cover.
pub fn covered_tokens(count: usize) -> u64 {
    match u32::try_from(count) {
        Ok(0) | Err(_) => 0,
        Ok(count) => ((SHORTEST_BYTES as u64) << (count - 1).min(32)) / BYTES_PER_TOKEN,
    }
}

/// How many of a prompt's prefixes each endpoint is taken to hold.
pub type HeldPrefixes = SmallVec<[usize; 16]>;

/// Knowledge of the prompt prefixes that endpoints hold.
///
/// Prefixes are digests of the start of a prompt, the shortest first, each
/// covering the ones before it.
pub trait PrefixIndex {
    /// Notes that a prompt with these prefixes goes to an endpoint.
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]);

    /// Takes in a summary of the endpoint's cache, which replaces earlier ones.
    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]);

    /// Forgets an endpoint whose cache is gone.
    fn forget(&mut self, endpoint: &EndpointName);

    /// Returns how many of the prefixes each of the endpoints is taken to hold.
    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes;
}

/// A guess at the prefixes that endpoints hold, from what they were offered.
///
/// Each endpoint's cache is imitated by a least-recently-used list of the
/// prefixes that this process sent there.
#[derive(Debug, Default)]
pub struct LocalPrefixIndex {
    endpoints: HashMap<EndpointName, Lru>,
}

impl LocalPrefixIndex {
    fn held_by(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(lru) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let longest = prefixes.iter().rposition(|p| lru.contains(*p));
        longest.map_or(0, |i| i + 1)
    }
}

impl PrefixIndex for LocalPrefixIndex {
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
            lru.touch(*prefix, REMEMBERED);
        }
    }

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let held = endpoints.iter().map(|e| self.held_by(e, prefixes));
        held.collect()
    }
}

/// Guesses, the agents' summaries, and hashing for what neither knows.
///
/// The summaries tell an entry what others have sent to an endpoint, and the
/// guesses what it sent itself since the last summary. A prefix that nobody
/// holds goes by preference to the endpoint that it hashes to, so that entries
/// which do not know of each other's offers agree.
#[derive(Debug, Default)]
pub struct CombinedPrefixIndex {
    guesses: LocalPrefixIndex,
    summaries: HashMap<EndpointName, Bloom>,
}

impl CombinedPrefixIndex {
    fn summarised(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(bloom) = self.summaries.get(endpoint) else {
            return 0;
        };
        prefixes.iter().take_while(|p| bloom.contains(**p)).count()
    }
}

impl PrefixIndex for CombinedPrefixIndex {
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]) {
        self.guesses.on_offer(endpoint, prefixes);
    }

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        let bloom = Bloom::from_bytes(summary);
        self.summaries.insert(endpoint.clone(), bloom);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.guesses.forget(endpoint);
        self.summaries.remove(endpoint);
    }

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let mut held = self.guesses.held(endpoints, prefixes);
        for (held, endpoint) in held.iter_mut().zip(endpoints) {
            *held = self.summarised(endpoint, prefixes).max(*held);
        }
        if held.iter().all(|n| *n == 0)
            && let Some(home) = preferred_endpoint(endpoints, prefixes)
        {
            // Only the shortest one, as the endpoint has yet to prefill any.
            held[home] = 1;
        }
        held
    }
}

/// Returns the position of the endpoint that a prompt's first prefix hashes to.
pub fn preferred_endpoint(endpoints: &[&EndpointName], prefixes: &[u64]) -> Option<usize> {
    let first = *prefixes.first()?;
    (0..endpoints.len()).max_by_key(|i| rank(endpoints[*i], first))
}

fn rank(endpoint: &EndpointName, prefix: u64) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let hash = endpoint.as_str().bytes().fold(prefix, mix);
    (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
