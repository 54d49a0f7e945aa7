//! Tests the prefix cache against a naive model, and its events against its content.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamehaven_standins::prefix_cache::{BlockId, EventKind, PrefixCache, block_ids};

const SEED: u64 = 7;
const BLOCK_TOKENS: usize = 4;
const MAX_BLOCKS: usize = 12;

/// A model of the cache: a list of blocks with the least recently used first.
#[derive(Default)]
struct NaiveCache(Vec<BlockId>);

impl NaiveCache {
    fn touch(&mut self, chain: &[BlockId]) {
        for id in chain.iter().rev() {
            self.0.retain(|held| held != id);
            self.0.push(*id);
        }
        let over = self.0.len().saturating_sub(MAX_BLOCKS);
        self.0.drain(..over);
    }

    fn lookup(&mut self, chain: &[BlockId]) -> u64 {
        let held = chain.iter().take_while(|id| self.0.contains(id)).count();
        self.touch(&chain[..held]);
        (held * BLOCK_TOKENS) as u64
    }
}

#[test]
fn the_cache_and_its_events_match_a_naive_model() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut cache = PrefixCache::new(BLOCK_TOKENS, MAX_BLOCKS * BLOCK_TOKENS);
    let mut model = NaiveCache::default();
    let mut reported = BTreeSet::new();
    let mut last_seq = 0;
    let now = Instant::now();
    for _ in 0..5_000 {
        // The first words are drawn from a small set, so that prompts share prefixes.
        let len = rng.random_range(0..40);
        let words: Vec<String> = (0..len)
            .map(|at| format!("w{}", rng.random_range(0..=at / 12)))
            .collect();
        let chain = block_ids(words.iter().map(String::as_str), BLOCK_TOKENS);
        assert_eq!(cache.lookup(&chain), model.lookup(&chain));
        if rng.random_bool(0.7) {
            cache.insert(&chain, now);
            model.touch(&chain);
        }
        for event in cache.events(last_seq, Duration::ZERO, now) {
            last_seq = event.seq;
            match event.kind {
                EventKind::Add => assert!(reported.insert(event.prefix)),
                EventKind::Evict => assert!(reported.remove(&event.prefix)),
            }
        }
        assert_eq!(reported, model.0.iter().copied().collect());
    }
    assert!(cache.events(0, Duration::from_secs(1), now).is_empty());
}
