//! A simulated model engine with batching, shared prefill and a prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};

use sesamehaven::id::RequestId;
use sesamehaven::prefix::covered_tokens;

/// The performance and the capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineSpec {
    /// The prefill rate of the engine, in tokens per second.
    pub(crate) prefill: f64,
    /// The decode rate of a single stream, in tokens per second.
    pub(crate) decode: f64,
    /// The relative slowdown of decoding for each further stream.
    pub(crate) slowdown: f64,
    /// The maximum number of running requests.
    pub(crate) batch: usize,
    /// The capacity of the prefix cache, in blocks.
    pub(crate) cached_blocks: usize,
}

/// A running request.
#[derive(Debug)]
struct Run {
    id: RequestId,
    prefixes: Vec<u64>,
    prefill_left: f64,
    decode_left: f64,
    started: bool,
}

/// The events of one simulation step.
#[derive(Debug, Default)]
pub(crate) struct StepEvents {
    pub(crate) first_tokens: Vec<RequestId>,
    pub(crate) tokens: Vec<(RequestId, u32)>,
    pub(crate) ended: Vec<RequestId>,
}

/// A change of the prefix cache that the engine publishes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CacheEvent {
    Add(u64),
    Evict(u64),
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    /// The current speed relative to `spec`.
    pub(crate) speed_factor: f64,
    waiting: VecDeque<(RequestId, u64, u64, Vec<u64>)>,
    running: Vec<Run>,
    /// The cached prefixes with the time of their last use.
    cache: HashMap<u64, u64>,
    /// The cached prefixes by the time of their last use, for LRU eviction.
    by_last_use: BTreeMap<u64, u64>,
    /// A logical clock that counts uses of the cache.
    uses: u64,
    pub(crate) events: Vec<CacheEvent>,
    /// The total number of prefilled tokens.
    pub(crate) prefilled: u64,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Engine {
            spec,
            speed_factor: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            by_last_use: BTreeMap::new(),
            uses: 0,
            events: Vec::new(),
            prefilled: 0,
        }
    }

    /// Queues a request.
    pub(crate) fn submit(&mut self, id: RequestId, prompt: u64, output: u64, prefixes: &[u64]) {
        self.waiting
            .push_back((id, prompt, output, prefixes.to_vec()));
    }

    /// Returns the number of prefixes up to the longest one that is cached.
    pub(crate) fn cached_prefixes(&self, prefixes: &[u64]) -> usize {
        let longest = prefixes.iter().rposition(|p| self.cache.contains_key(p));
        longest.map_or(0, |i| i + 1)
    }

    /// Advances the simulation by `millis` milliseconds.
    pub(crate) fn step(&mut self, millis: f64) -> StepEvents {
        self.admit();
        let mut events = StepEvents::default();
        let prefilling = self.running.iter().filter(|r| r.prefill_left > 0.0).count();
        let prefill_share =
            self.spec.prefill * self.speed_factor * millis / 1_000.0 / prefilling.max(1) as f64;
        let decoding = (self.running.len() - prefilling).max(1) as f64;
        let decode_rate =
            self.spec.decode * self.speed_factor / (1.0 + self.spec.slowdown * (decoding - 1.0));
        let mut prefilled = Vec::new();
        for run in &mut self.running {
            if run.prefill_left > 0.0 {
                run.prefill_left -= prefill_share;
                if run.prefill_left <= 0.0 {
                    prefilled.push(std::mem::take(&mut run.prefixes));
                }
                continue;
            }
            let before = run.decode_left.ceil();
            run.decode_left -= decode_rate * millis / 1_000.0;
            let tokens = (before - run.decode_left.max(0.0).ceil()) as u32;
            if tokens == 0 {
                continue;
            }
            if !std::mem::replace(&mut run.started, true) {
                events.first_tokens.push(run.id);
            } else {
                events.tokens.push((run.id, tokens));
            }
            if run.decode_left <= 0.0 {
                events.ended.push(run.id);
            }
        }
        self.running.retain(|r| r.decode_left > 0.0);
        prefilled.iter().for_each(|prefixes| self.touch(prefixes));
        events
    }

    /// Starts queued requests while the batch has room.
    fn admit(&mut self) {
        while self.running.len() < self.spec.batch
            && let Some((id, prompt, output, prefixes)) = self.waiting.pop_front()
        {
            let cached_prefixes = self.cached_prefixes(&prefixes) as u64;
            self.touch(&prefixes[..cached_prefixes as usize]);
            let cached = covered_tokens(cached_prefixes as usize).min(prompt);
            self.prefilled += prompt - cached;
            self.running.push(Run {
                id,
                prefixes,
                prefill_left: (prompt - cached) as f64 + 1.0,
                decode_left: output as f64,
                started: false,
            });
        }
    }

    /// Marks prefixes as used, caches new ones and evicts the least recently used ones.
    ///
    /// Longer prefixes count as used earlier, so that they are evicted before the shorter
    /// ones that they extend.
    fn touch(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            self.uses += 1;
            match self.cache.insert(*prefix, self.uses) {
                Some(last_use) => drop(self.by_last_use.remove(&last_use)),
                None => self.events.push(CacheEvent::Add(*prefix)),
            }
            self.by_last_use.insert(self.uses, *prefix);
        }
        while self.cache.len() > self.spec.cached_blocks
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.cache.remove(&oldest);
            self.events.push(CacheEvent::Evict(oldest));
        }
    }
}
