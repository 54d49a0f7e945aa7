//! A simulated model engine with continuous batching, which admits requests in order of
//! arrival and computes in steps.
//!
//! A step generates one token for each run whose prompt has been prefilled, and prefills a
//! chunk of the oldest other prompts. Running requests and cached prompts share the memory.

use std::collections::{HashMap, VecDeque};

use sesamehaven::endpoint_load::EndpointLoad;

/// The duration of a step with one run, in milliseconds.
const STEP_MS: f64 = 4.37;
/// The additional duration of a step per further run, in milliseconds.
const STEP_MS_PER_RUN: f64 = 0.11;
/// The number of tokens in one stream event, one token per step.
pub(crate) const TOKENS_PER_EVENT: u64 = 5;
/// The time that a request is prepared in its slot before prefill starts, in milliseconds.
const PREPARE_MS: f64 = 83.0;
/// The number of prompt tokens prefilled per millisecond.
const PREFILL_PER_MS: f64 = 93.6;
/// The maximum number of prompt tokens prefilled in one step.
const CHUNK_TOKENS: u64 = 1_024;
/// The maximum number of requests waiting in an engine.
const MAX_WAITING: usize = 36;
/// The factor by which an engine is slower while it warms up.
const COLD_FACTOR: f64 = 3.0;

/// The identifier of a request.
pub(crate) type Id = usize;

/// A request as the engine receives it.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    pub(crate) id: Id,
    pub(crate) session: u64,
    pub(crate) tokens: u64,
    /// The number of response events.
    pub(crate) events: u64,
}

#[derive(Debug)]
struct Run {
    prompt: Prompt,
    pending_tokens: u64,
    events_sent: u64,
    tokens: u64,
    prepared_at: f64,
}

impl Run {
    fn memory(&self) -> u64 {
        self.prompt.tokens + self.tokens
    }
}

/// A result of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Event(Id),
    Ended(Id),
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) slots: usize,
    /// The memory for running requests and cached prompts, in tokens.
    pub(crate) memory: u64,
    /// The factor by which a step takes longer than specified.
    pub(crate) time_factor: f64,
    /// The same for a short time, by a fluctuation.
    pub(crate) fluctuation: f64,
    pub(crate) cold_until: f64,
    pub(crate) is_up: bool,
    pub(crate) is_ready: bool,
    /// The share of its requests that fail.
    pub(crate) failure_share: f64,
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    cache: HashMap<u64, (u64, u64)>,
    clock: u64,
    next_step: f64,
    /// The number of prefilled tokens.
    pub(crate) prefilled: u64,
    /// The number of tokens prefilled again after a preemption.
    pub(crate) prefilled_again: u64,
}

impl Engine {
    pub(crate) fn new(slots: usize, memory: u64, time_factor: f64) -> Self {
        Engine {
            slots,
            memory,
            time_factor,
            fluctuation: 1.0,
            cold_until: 0.0,
            is_up: true,
            is_ready: true,
            failure_share: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            clock: 0,
            next_step: 0.0,
            prefilled: 0,
            prefilled_again: 0,
        }
    }

    /// Queues a request; returns false if there is no room.
    pub(crate) fn submit(&mut self, prompt: Prompt, now: f64) -> bool {
        let full = self.running.len() >= self.slots && self.waiting.len() >= MAX_WAITING;
        if full || prompt.tokens + prompt.events > self.memory {
            return false;
        }
        if self.running.is_empty() {
            self.next_step = self.next_step.max(now);
        }
        self.waiting.push_back(Run {
            pending_tokens: prompt.tokens,
            prompt,
            events_sent: 0,
            tokens: 0,
            prepared_at: 0.0,
        });
        true
    }

    /// Removes a request whose caller has disconnected.
    pub(crate) fn cancel(&mut self, id: Id) {
        self.waiting.retain(|r| r.prompt.id != id);
        self.running.retain(|r| r.prompt.id != id);
    }

    /// Stops the engine and returns its requests.
    pub(crate) fn crash(&mut self) -> Vec<Id> {
        self.is_up = false;
        self.cache.clear();
        let waiting = self.waiting.drain(..).map(|r| r.prompt.id);
        let running = self.running.drain(..).map(|r| r.prompt.id);
        waiting.chain(running).collect()
    }

    /// Returns the number of occupied slots.
    pub(crate) fn occupied(&self) -> usize {
        (self.waiting.len() + self.running.len()).min(self.slots)
    }

    /// Returns whether nothing runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Computes all steps up to `now`.
    pub(crate) fn advance(&mut self, now: f64, progress: &mut Vec<Progress>) {
        while self.is_up && !self.is_idle() && self.next_step <= now {
            self.admit();
            let took = self.step(progress);
            self.next_step += took;
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots {
            let used: u64 = self.running.iter().map(Run::memory).sum();
            let fits = |r: &Run| used + r.memory() <= self.memory || self.running.is_empty();
            if !self.waiting.front().is_some_and(fits) {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else {
                return;
            };
            let cached = self.cache.get(&run.prompt.session);
            let cached = cached.map_or(0, |(tokens, _)| *tokens);
            run.pending_tokens -= cached.min(run.prompt.tokens - 1);
            run.prepared_at = self.next_step + PREPARE_MS;
            self.running.push(run);
        }
    }

    /// Computes one step; returns its duration.
    fn step(&mut self, progress: &mut Vec<Progress>) -> f64 {
        let runs = self.running.len() as f64;
        let mut chunk = CHUNK_TOKENS;
        for run in &mut self.running {
            if run.prepared_at > self.next_step {
                continue;
            }
            if run.pending_tokens > 0 {
                let tokens = run.pending_tokens.min(chunk);
                run.pending_tokens -= tokens;
                chunk -= tokens;
                self.prefilled += tokens;
                if run.pending_tokens > 0 || tokens > 0 {
                    continue;
                }
            }
            run.tokens += 1;
            if run.tokens % TOKENS_PER_EVENT != 1 {
                continue;
            }
            run.events_sent += 1;
            progress.push(Progress::Event(run.prompt.id));
            if run.events_sent >= run.prompt.events {
                progress.push(Progress::Ended(run.prompt.id));
            }
        }
        self.cache_ended();
        self.preempt();
        let decode = STEP_MS + STEP_MS_PER_RUN * (runs - 1.0);
        (decode + (CHUNK_TOKENS - chunk) as f64 / PREFILL_PER_MS) * self.current_factor()
    }

    /// Returns the factor by which a step takes longer than specified at the time.
    fn current_factor(&self) -> f64 {
        let cold = if self.next_step < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        self.time_factor * self.fluctuation * cold
    }

    /// Returns the load that the engine reports.
    pub(crate) fn load(&self) -> EndpointLoad {
        EndpointLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
            work_percent: Some((self.current_factor() * 100.0) as u32),
        }
    }

    /// Caches the prompts of runs that have ended, evicting the oldest if memory runs out.
    fn cache_ended(&mut self) {
        let ended = self
            .running
            .extract_if(.., |r| r.events_sent >= r.prompt.events);
        for run in ended.collect::<Vec<_>>() {
            self.clock += 1;
            let entry = (run.prompt.tokens, self.clock);
            self.cache.insert(run.prompt.session, entry);
        }
        loop {
            let running: u64 = self.running.iter().map(Run::memory).sum();
            let cached: u64 = self.cache.values().map(|(tokens, _)| tokens).sum();
            if running + cached <= self.memory {
                return;
            }
            let oldest = self.cache.iter().min_by_key(|(_, (_, at))| *at);
            let Some(session) = oldest.map(|(session, _)| *session) else {
                return;
            };
            self.cache.remove(&session);
        }
    }

    /// Returns the newest run to the queue while memory is exhausted.
    fn preempt(&mut self) {
        while self.running.len() > 1
            && self.running.iter().map(Run::memory).sum::<u64>() > self.memory
        {
            let Some(mut run) = self.running.pop() else {
                return;
            };
            self.prefilled_again += run.memory() - run.pending_tokens;
            run.pending_tokens = run.memory();
            self.waiting.push_front(run);
        }
    }
}
