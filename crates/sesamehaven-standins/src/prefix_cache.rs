//! An LRU prefix cache of limited size with delayed change events.
//!
//! Prompts are split into blocks of a fixed number of words. A block is
//! identified by a hash over its words and the id of the preceding block, so
//! that an id identifies the whole prefix up to the end of the block.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

/// The maximum number of events retained for readers.
const EVENTS_MAX: usize = 65_536;

/// The id of a block, which identifies the prefix up to the end of the block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct BlockId(u64);

impl fmt::Display for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BlockId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(s, 16).map(BlockId)
    }
}

impl TryFrom<SmolStr> for BlockId {
    type Error = std::num::ParseIntError;

    fn try_from(s: SmolStr) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<BlockId> for SmolStr {
    fn from(id: BlockId) -> Self {
        id.to_smolstr()
    }
}

/// Returns the ids of the complete blocks of a prompt, in order.
///
/// The id of a block is the first eight bytes, as hexadecimal text, of the
/// BLAKE3 hash over the eight bytes of the preceding id (none for the first
/// block) and the block's words, each followed by a space.
pub fn block_ids<'a>(words: impl Iterator<Item = &'a str>, block_tokens: usize) -> Vec<BlockId> {
    let mut ids = Vec::new();
    let mut hasher = blake3::Hasher::new();
    for (count, word) in (1..).zip(words) {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        if count % block_tokens == 0 {
            let mut head = [0; 8];
            hasher.finalize_xof().fill(&mut head);
            ids.push(BlockId(u64::from_be_bytes(head)));
            hasher = blake3::Hasher::new();
            hasher.update(&head);
        }
    }
    ids
}

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The block was added.
    Add,
    /// The block was evicted.
    Evict,
}

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; missing numbers reveal lost events.
    pub seq: u64,
    /// The kind of the change.
    pub kind: EventKind,
    /// The block.
    pub prefix: BlockId,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    parent: Option<BlockId>,
    last_use: u64,
}

/// The cached blocks of prompts; the least recently used are evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    block_tokens: usize,
    max_blocks: usize,
    entries: HashMap<BlockId, Entry>,
    by_use: BTreeMap<u64, BlockId>,
    last_use: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
}

impl PrefixCache {
    /// Builds an empty cache for at most `max_tokens`.
    pub fn new(block_tokens: usize, max_tokens: usize) -> Self {
        let block_tokens = block_tokens.max(1);
        PrefixCache {
            block_tokens,
            max_blocks: max_tokens / block_tokens,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
            last_use: 0,
            events: VecDeque::new(),
            last_seq: 0,
        }
    }

    /// Returns the number of tokens in a block.
    pub fn block_tokens(&self) -> usize {
        self.block_tokens
    }

    /// Returns the number of cached tokens.
    pub fn tokens(&self) -> u64 {
        (self.entries.len() * self.block_tokens) as u64
    }

    /// Returns the number of cached tokens of a prompt and marks their blocks as used.
    pub fn lookup(&mut self, chain: &[BlockId]) -> u64 {
        let held = chain.iter().take_while(|id| self.entries.contains_key(id));
        let held = held.count();
        self.touch(&chain[..held]);
        (held * self.block_tokens) as u64
    }

    /// Adds the blocks of a prompt, as far as the capacity allows, and evicts others if necessary.
    pub fn insert(&mut self, chain: &[BlockId], now: Instant) {
        let chain = &chain[..chain.len().min(self.max_blocks)];
        let mut parent = None;
        for id in chain {
            if !self.entries.contains_key(id) {
                self.entries.insert(
                    *id,
                    Entry {
                        parent,
                        last_use: 0,
                    },
                );
                self.push_event(EventKind::Add, *id, now);
            }
            parent = Some(*id);
        }
        self.touch(chain);
        while self.entries.len() > self.max_blocks {
            self.evict(now);
        }
    }

    /// Returns the blocks of the prefix that ends with `id`, if it is completely cached.
    pub fn chain(&self, id: BlockId) -> Option<Vec<BlockId>> {
        let mut chain = vec![id];
        let mut entry = self.entries.get(&id)?;
        while let Some(parent) = entry.parent {
            chain.push(parent);
            entry = self.entries.get(&parent)?;
        }
        chain.reverse();
        Some(chain)
    }

    /// Removes all blocks and events; sequence numbers continue.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
        self.events.clear();
    }

    /// Lists the events with sequence numbers greater than `after` that are at least `lag` old.
    pub fn events(&self, after: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().take_while(|(at, _)| *at + lag <= now);
        visible
            .map(|(_, event)| *event)
            .filter(|event| event.seq > after)
            .collect()
    }

    /// Marks blocks as used, the end of the prefix as the least recent, so
    /// that it is evicted before the blocks it depends on.
    fn touch(&mut self, chain: &[BlockId]) {
        for id in chain.iter().rev() {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            self.by_use.remove(&entry.last_use);
            self.last_use += 1;
            entry.last_use = self.last_use;
            self.by_use.insert(self.last_use, *id);
        }
    }

    fn evict(&mut self, now: Instant) {
        let Some((_, id)) = self.by_use.pop_first() else {
            return;
        };
        self.entries.remove(&id);
        self.push_event(EventKind::Evict, id, now);
    }

    fn push_event(&mut self, kind: EventKind, prefix: BlockId, now: Instant) {
        self.last_seq += 1;
        let seq = self.last_seq;
        self.events
            .push_back((now, CacheEvent { seq, kind, prefix }));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
