//! A model engine as the measurement sees it: batches, shares prefill, caches prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use sesamehaven::id::RequestId;
use sesamehaven::prefix::covered_tokens;

/// The speed and the memory of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
    pub(crate) slowdown: f64,
    pub(crate) batch: usize,
    pub(crate) cached_blocks: usize,
}

#[derive(Debug)]
struct Run {
    id: RequestId,
    prefixes: Vec<u64>,
    prefill_left: f64,
    decode_left: f64,
    started: bool,
}

/// What happened in one step.
#[derive(Debug, Default)]
pub(crate) struct Done {
    pub(crate) first: Vec<RequestId>,
    pub(crate) tokens: Vec<(RequestId, u32)>,
    pub(crate) ended: Vec<RequestId>,
}

/// A change of the prefix cache, as the engine publishes it.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CacheEvent {
    Add(u64),
    Evict(u64),
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) speed: Speed,
    pub(crate) factor: f64,
    waiting: VecDeque<(RequestId, u64, u64, Vec<u64>)>,
    running: Vec<Run>,
    cache: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    count: u64,
    pub(crate) events: Vec<CacheEvent>,
    pub(crate) prefilled: u64,
}

impl Engine {
    pub(crate) fn new(speed: Speed) -> Self {
        Engine {
            speed,
            factor: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            order: BTreeMap::new(),
            count: 0,
            events: Vec::new(),
            prefilled: 0,
        }
    }

    pub(crate) fn submit(&mut self, id: RequestId, prompt: u64, output: u64, prefixes: &[u64]) {
        self.waiting
            .push_back((id, prompt, output, prefixes.to_vec()));
    }

    pub(crate) fn holds(&self, prefixes: &[u64]) -> usize {
        let held = prefixes.iter().rposition(|p| self.cache.contains_key(p));
        held.map_or(0, |i| i + 1)
    }

    pub(crate) fn step(&mut self, millis: f64) -> Done {
        self.admit();
        let mut done = Done::default();
        let prefilling = self.running.iter().filter(|r| r.prefill_left > 0.0).count();
        let share = self.speed.prefill * self.factor * millis / 1_000.0 / prefilling.max(1) as f64;
        let decoding = (self.running.len() - prefilling).max(1) as f64;
        let each = self.speed.decode * self.factor / (1.0 + self.speed.slowdown * (decoding - 1.0));
        let mut finished = Vec::new();
        for run in &mut self.running {
            if run.prefill_left > 0.0 {
                run.prefill_left -= share;
                if run.prefill_left <= 0.0 {
                    finished.push(std::mem::take(&mut run.prefixes));
                }
                continue;
            }
            let before = run.decode_left.ceil();
            run.decode_left -= each * millis / 1_000.0;
            let tokens = (before - run.decode_left.max(0.0).ceil()) as u32;
            if tokens == 0 {
                continue;
            }
            if !std::mem::replace(&mut run.started, true) {
                done.first.push(run.id);
            } else {
                done.tokens.push((run.id, tokens));
            }
            if run.decode_left <= 0.0 {
                done.ended.push(run.id);
            }
        }
        self.running.retain(|r| r.decode_left > 0.0);
        finished.iter().for_each(|prefixes| self.touch(prefixes));
        done
    }

    fn admit(&mut self) {
        while self.running.len() < self.speed.batch
            && let Some((id, prompt, output, prefixes)) = self.waiting.pop_front()
        {
            let held = self.holds(&prefixes) as u64;
            self.touch(&prefixes[..held as usize]);
            let cached = covered_tokens(held as usize).min(prompt);
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

    fn touch(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            self.count += 1;
            match self.cache.insert(*prefix, self.count) {
                Some(old) => drop(self.order.remove(&old)),
                None => self.events.push(CacheEvent::Add(*prefix)),
            }
            self.order.insert(self.count, *prefix);
        }
        while self.cache.len() > self.speed.cached_blocks
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.cache.remove(&oldest);
            self.events.push(CacheEvent::Evict(oldest));
        }
    }
}
