//! The prefix cache against a naive one, and its events against its content.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamehaven_standins::prefix_cache::{BlockId, EventKind, PrefixCache, block_ids};

const SEED: u64 = 7;
const BLOCK_TOKENS: usize = 4;
const MAX_BLOCKS: usize = 12;

/// A list of blocks with the least recently used first.
#[derive(Default)]
struct Naive(Vec<BlockId>);

impl Naive {
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
fn the_cache_holds_what_a_naive_one_holds_and_tells_of_it() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut cache = PrefixCache::new(BLOCK_TOKENS, MAX_BLOCKS * BLOCK_TOKENS);
    let mut naive = Naive::default();
    let mut told = BTreeSet::new();
    let mut seen = 0;
    let now = Instant::now();
    for _ in 0..5_000 {
        // Prompts share beginnings, since their first words are few.
        let len = rng.random_range(0..40);
        let words: Vec<String> = (0..len)
            .map(|at| format!("w{}", rng.random_range(0..=at / 12)))
            .collect();
        let chain = block_ids(words.iter().map(String::as_str), BLOCK_TOKENS);
        assert_eq!(cache.lookup(&chain), naive.lookup(&chain));
        if rng.random_bool(0.7) {
            cache.insert(&chain, now);
            naive.touch(&chain);
        }
        for event in cache.events(seen, Duration::ZERO, now) {
            seen = event.seq;
            match event.kind {
                EventKind::Add => assert!(told.insert(event.prefix)),
                EventKind::Evict => assert!(told.remove(&event.prefix)),
            }
        }
        assert_eq!(told, naive.0.iter().copied().collect());
    }
    assert!(cache.events(0, Duration::from_secs(1), now).is_empty());
}
