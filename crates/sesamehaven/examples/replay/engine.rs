//! A model engine that batches: it admits in order of arrival and computes in steps.
//!
//! A step gives each run whose prompt is read one token, and reads a chunk of the
//! oldest prompts that are not. Running requests and kept prompts share the memory.

use std::collections::{HashMap, VecDeque};

/// The time of a step with one run, in milliseconds.
const STEP_MS: f64 = 4.37;
/// What each further run adds to a step, in milliseconds.
const STEP_MS_PER_RUN: f64 = 0.11;
/// The tokens in one event of a stream, one a step.
pub(crate) const TOKENS_PER_EVENT: u64 = 5;
/// The time that a request is prepared for, in its place, before its prompt is read.
const PREPARE_MS: f64 = 83.0;
/// The prompt tokens that are read in a millisecond.
const PREFILL_PER_MS: f64 = 93.6;
/// The prompt tokens that are read in one step at most.
const CHUNK: u64 = 1_024;
/// The requests that wait in an engine at most.
const WAITING_MAX: usize = 36;
/// How much slower an engine is while it warms up.
const COLD_FACTOR: f64 = 3.0;

/// The number of a request, the same everywhere.
pub(crate) type Id = usize;

/// A request as the engine gets it.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    pub(crate) id: Id,
    pub(crate) session: u64,
    pub(crate) tokens: u64,
    /// The events of the answer.
    pub(crate) events: u64,
}

#[derive(Debug)]
struct Run {
    prompt: Prompt,
    unread: u64,
    made: u64,
    tokens: u64,
    prepared_at: f64,
}

impl Run {
    fn memory(&self) -> u64 {
        self.prompt.tokens + self.tokens
    }
}

/// What a step gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Event(Id),
    Ended(Id),
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) slots: usize,
    pub(crate) memory: u64,
    /// How much slower than the sheet it is.
    pub(crate) factor: f64,
    pub(crate) cold_until: f64,
    pub(crate) is_up: bool,
    pub(crate) is_ready: bool,
    /// The share of its requests that it fails.
    pub(crate) failing: f64,
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    kept: HashMap<u64, (u64, u64)>,
    clock: u64,
    next_step: f64,
    /// The prompt tokens that were read, and those of them that were read again after a preemption.
    pub(crate) read: u64,
    pub(crate) read_again: u64,
}

impl Engine {
    pub(crate) fn new(slots: usize, memory: u64, factor: f64) -> Self {
        Engine {
            slots,
            memory,
            factor,
            cold_until: 0.0,
            is_up: true,
            is_ready: true,
            failing: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            clock: 0,
            next_step: 0.0,
            read: 0,
            read_again: 0,
        }
    }

    /// Takes a request; returns whether there was room.
    pub(crate) fn submit(&mut self, prompt: Prompt, now: f64) -> bool {
        let full = self.running.len() >= self.slots && self.waiting.len() >= WAITING_MAX;
        if full || prompt.tokens + prompt.events > self.memory {
            return false;
        }
        if self.running.is_empty() {
            self.next_step = self.next_step.max(now);
        }
        self.waiting.push_back(Run {
            unread: prompt.tokens,
            prompt,
            made: 0,
            tokens: 0,
            prepared_at: 0.0,
        });
        true
    }

    /// Drops a request whose caller has left.
    pub(crate) fn cancel(&mut self, id: Id) {
        self.waiting.retain(|r| r.prompt.id != id);
        self.running.retain(|r| r.prompt.id != id);
    }

    /// Ends the engine, and returns what it was given.
    pub(crate) fn crash(&mut self) -> Vec<Id> {
        self.is_up = false;
        self.kept.clear();
        let waiting = self.waiting.drain(..).map(|r| r.prompt.id);
        let running = self.running.drain(..).map(|r| r.prompt.id);
        waiting.chain(running).collect()
    }

    /// Returns the slots that are taken.
    pub(crate) fn taken(&self) -> usize {
        (self.waiting.len() + self.running.len()).min(self.slots)
    }

    /// Returns whether nothing runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Computes up to `now`.
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
            let kept = self.kept.get(&run.prompt.session);
            let kept = kept.map_or(0, |(tokens, _)| *tokens);
            run.unread -= kept.min(run.prompt.tokens - 1);
            run.prepared_at = self.next_step + PREPARE_MS;
            self.running.push(run);
        }
    }

    /// Computes one step; returns its length.
    fn step(&mut self, progress: &mut Vec<Progress>) -> f64 {
        let runs = self.running.len() as f64;
        let mut chunk = CHUNK;
        for run in &mut self.running {
            if run.prepared_at > self.next_step {
                continue;
            }
            if run.unread > 0 {
                let tokens = run.unread.min(chunk);
                run.unread -= tokens;
                chunk -= tokens;
                self.read += tokens;
                if run.unread > 0 || tokens > 0 {
                    continue;
                }
            }
            run.tokens += 1;
            if run.tokens % TOKENS_PER_EVENT != 1 {
                continue;
            }
            run.made += 1;
            progress.push(Progress::Event(run.prompt.id));
            if run.made >= run.prompt.events {
                progress.push(Progress::Ended(run.prompt.id));
            }
        }
        self.keep_ended();
        self.preempt();
        let cold = if self.next_step < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let decode = STEP_MS + STEP_MS_PER_RUN * (runs - 1.0);
        (decode + (CHUNK - chunk) as f64 / PREFILL_PER_MS) * self.factor * cold
    }

    /// Keeps the prompts of runs that have ended while there is memory for them.
    fn keep_ended(&mut self) {
        let ended = self.running.extract_if(.., |r| r.made >= r.prompt.events);
        for run in ended.collect::<Vec<_>>() {
            self.clock += 1;
            let entry = (run.prompt.tokens, self.clock);
            self.kept.insert(run.prompt.session, entry);
        }
        loop {
            let running: u64 = self.running.iter().map(Run::memory).sum();
            let kept: u64 = self.kept.values().map(|(tokens, _)| tokens).sum();
            if running + kept <= self.memory {
                return;
            }
            let oldest = self.kept.iter().min_by_key(|(_, (_, at))| *at);
            let Some(session) = oldest.map(|(session, _)| *session) else {
                return;
            };
            self.kept.remove(&session);
        }
    }

    /// Sends the newest run back to the queue when memory has run out.
    fn preempt(&mut self) {
        while self.running.len() > 1
            && self.running.iter().map(Run::memory).sum::<u64>() > self.memory
        {
            let Some(mut run) = self.running.pop() else {
                return;
            };
            self.read_again += run.memory() - run.unread;
            run.unread = run.memory();
            self.waiting.push_front(run);
        }
    }
}
