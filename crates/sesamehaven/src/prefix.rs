//! Estimates, at entries, of the contents of the endpoints' prefix caches.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#prefix-affinity).

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::bloom::Bloom;
use crate::digest;
use crate::id::EndpointName;
use crate::lru::Lru;

/// The maximum number of prefixes tracked per endpoint.
const PREFIXES_PER_ENDPOINT_MAX: usize = 2_048;

/// The length of the shortest prefix that is digested, in bytes.
const SHORTEST_BYTES: usize = 512;
/// The maximum number of prefixes digested per prompt, each twice as long as the
/// previous one.
const DIGESTS_MAX: usize = 8;

/// The estimated length of a token in bytes of prompt text.
pub const BYTES_PER_TOKEN: u64 = 5;

/// Computes the digests of the prefixes of a prompt, the shortest first.
///
/// The prefix lengths are fixed, so prompts with a common beginning share the
/// corresponding digests. The text is passed in parts, as contained in the request.
pub fn digests<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> SmallVec<[u64; DIGESTS_MAX]> {
    let mut digests = SmallVec::new();
    let mut hasher = blake3::Hasher::new();
    let mut end = SHORTEST_BYTES;
    let mut consumed = 0;
    for mut part in parts {
        while consumed + part.len() >= end && digests.len() < DIGESTS_MAX {
            let (head, rest) = part.split_at(end - consumed);
            hasher.update(head);
            digests.push(digest::truncate(&hasher.finalize()));
            consumed = end;
            end *= 2;
            part = rest;
        }
        if digests.len() == DIGESTS_MAX {
            break;
        }
        hasher.update(part);
        consumed += part.len();
    }
    digests
}

/// Estimates the number of tokens covered by the first `count` digested prefixes.
pub fn covered_tokens(count: usize) -> u64 {
    match u32::try_from(count) {
        Ok(0) | Err(_) => 0,
        Ok(count) => ((SHORTEST_BYTES as u64) << (count - 1).min(32)) / BYTES_PER_TOKEN,
    }
}

/// The estimated number of a prompt's prefixes that each endpoint holds.
pub type HeldPrefixes = SmallVec<[usize; 16]>;

/// An index of the prompt prefixes that endpoints hold.
///
/// Prefixes are digests of the beginning of a prompt, the shortest first. Each one
/// includes the previous ones.
pub trait PrefixIndex {
    /// Records that a prompt with these prefixes was offered to an endpoint.
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]);

    /// Replaces the summary of an endpoint's cache.
    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]);

    /// Removes the records of an endpoint whose cache was lost.
    fn forget(&mut self, endpoint: &EndpointName);

    /// Returns the estimated number of the prefixes that each endpoint holds.
    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes;
}

/// An index based only on the offers of this process.
///
/// Models each endpoint's cache as a least-recently-used set of the prefixes that
/// this process offered to it.
#[derive(Debug, Default)]
pub struct LocalPrefixIndex {
    endpoints: HashMap<EndpointName, Lru>,
}

impl LocalPrefixIndex {
    fn held_count(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
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
            lru.touch(*prefix, PREFIXES_PER_ENDPOINT_MAX);
        }
    }

    fn on_summary(&mut self, _endpoint: &EndpointName, _summary: &[u8]) {}

    fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
    }

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let held = endpoints.iter().map(|e| self.held_count(e, prefixes));
        held.collect()
    }
}

/// An index that combines local offers, the agents' summaries and hashing.
///
/// Summaries include the prefixes that other entries sent to an endpoint; the local
/// index adds this entry's own offers, which a summary may not include yet. If no
/// endpoint holds any prefix of a prompt, the endpoint that its first prefix hashes to
/// is preferred, so that entries agree without being aware of each other's offers.
#[derive(Debug, Default)]
pub struct CombinedPrefixIndex {
    local: LocalPrefixIndex,
    summaries: HashMap<EndpointName, Bloom>,
}

impl CombinedPrefixIndex {
    fn summarized_count(&self, endpoint: &EndpointName, prefixes: &[u64]) -> usize {
        let Some(bloom) = self.summaries.get(endpoint) else {
            return 0;
        };
        prefixes.iter().take_while(|p| bloom.contains(**p)).count()
    }
}

impl PrefixIndex for CombinedPrefixIndex {
    fn on_offer(&mut self, endpoint: &EndpointName, prefixes: &[u64]) {
        self.local.on_offer(endpoint, prefixes);
    }

    fn on_summary(&mut self, endpoint: &EndpointName, summary: &[u8]) {
        let bloom = Bloom::from_bytes(summary);
        self.summaries.insert(endpoint.clone(), bloom);
    }

    fn forget(&mut self, endpoint: &EndpointName) {
        self.local.forget(endpoint);
        self.summaries.remove(endpoint);
    }

    fn held(&self, endpoints: &[&EndpointName], prefixes: &[u64]) -> HeldPrefixes {
        let mut held = self.local.held(endpoints, prefixes);
        for (held, endpoint) in held.iter_mut().zip(endpoints) {
            *held = self.summarized_count(endpoint, prefixes).max(*held);
        }
        if held.iter().all(|n| *n == 0)
            && let Some(preferred) = preferred_endpoint(endpoints, prefixes)
        {
            // Counts one prefix, which prefers the endpoint slightly although it holds
            // none.
            held[preferred] = 1;
        }
        held
    }
}

/// Returns the index in `endpoints` of the endpoint that a prompt's first prefix
/// hashes to (rendezvous hashing), or `None` if there is no prefix.
pub fn preferred_endpoint(endpoints: &[&EndpointName], prefixes: &[u64]) -> Option<usize> {
    let first = *prefixes.first()?;
    (0..endpoints.len()).max_by_key(|i| rank(endpoints[*i], first))
}

fn rank(endpoint: &EndpointName, prefix: u64) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let hash = endpoint.as_str().bytes().fold(prefix, mix);
    (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
