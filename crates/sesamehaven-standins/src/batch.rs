//! Continuous batching as a state machine that advances by time steps.
//!
//! Jobs wait in first-come, first-served order for a slot in the batch.
//! Prompts in the batch share the prefill rate evenly. Each job whose prompt
//! has been computed decodes at a rate that falls with the number of jobs
//! decoding concurrently.

use std::collections::VecDeque;

/// The throughput and batch size of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Prompt tokens per second, shared by all prompts in the batch.
    pub prefill_per_s: f64,
    /// Answer tokens per second of a job that decodes alone.
    pub decode_per_s: f64,
    /// The fraction of the time per token that each further decoding job adds.
    pub slowdown: f64,
    /// The maximum number of jobs in the batch.
    pub max_batch: usize,
}

impl Speed {
    /// Returns the tokens per second of each of `jobs` that decode concurrently.
    pub fn decode_rate_per_job(&self, jobs: usize) -> f64 {
        let others = jobs.saturating_sub(1) as f64;
        self.decode_per_s / (1.0 + self.slowdown * others)
    }
}

/// Identifies a job within an engine.
pub type JobId = u64;

/// A request in the batch.
#[derive(Debug, Clone)]
struct Job {
    id: JobId,
    output_tokens: u64,
    prefill_left: f64,
    prefilled: u64,
    decoded: u64,
    /// The fraction of a decoded token carried over to the next step.
    decode_credit: f64,
}

impl Job {
    fn is_decoding(&self) -> bool {
        self.decoded > 0
    }

    fn is_done(&self) -> bool {
        self.decoded >= self.output_tokens
    }
}

/// The progress of a job in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The job.
    pub id: JobId,
    /// The prompt tokens computed in this step.
    pub prefilled: u64,
    /// The answer tokens decoded in this step.
    pub decoded: u64,
    /// Whether the answer is complete.
    pub done: bool,
}

/// The waiting jobs and the running batch.
#[derive(Debug)]
pub struct Batch {
    speed: Speed,
    waiting: VecDeque<(JobId, u64)>,
    running: Vec<Job>,
}

impl Batch {
    /// Builds an idle batch.
    pub fn new(speed: Speed) -> Self {
        Batch {
            speed,
            waiting: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Returns whether there are no jobs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of jobs in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of jobs waiting for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of prompt tokens in the batch that remain to be computed.
    pub fn prefill_left(&self) -> u64 {
        self.running.iter().map(|j| j.prefill_left as u64).sum()
    }

    /// Queues a job with the given answer length.
    pub fn submit(&mut self, id: JobId, output_tokens: u64) {
        self.waiting.push_back((id, output_tokens.max(1)));
    }

    /// Removes a job; returns whether it was waiting or running.
    pub fn remove(&mut self, id: JobId) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|(waiting, _)| *waiting != id);
        self.running.retain(|job| job.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Moves waiting jobs to free slots; `prefill` returns the number of prompt
    /// tokens of a job that have to be computed.
    pub fn admit(&mut self, mut prefill: impl FnMut(JobId) -> u64) {
        while self.running.len() < self.speed.max_batch {
            let Some((id, output_tokens)) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(Job {
                id,
                output_tokens,
                prefill_left: prefill(id) as f64,
                prefilled: 0,
                decoded: 0,
                decode_credit: 0.0,
            });
        }
    }

    /// Advances the batch by `span_s` seconds and reports each job that made progress.
    pub fn advance(&mut self, span_s: f64, progress: &mut Vec<Progress>) {
        progress.clear();
        if span_s <= 0.0 {
            return;
        }
        let decoding = self.running.iter().filter(|j| j.is_decoding()).count();
        let decoded = self.speed.decode_rate_per_job(decoding) * span_s;
        let before: Vec<f64> = self.running.iter().map(|j| j.prefill_left).collect();
        self.prefill(self.speed.prefill_per_s * span_s);
        for (job, before) in self.running.iter_mut().zip(before) {
            let step = advance_job(job, before, decoded);
            if step.prefilled > 0 || step.decoded > 0 {
                progress.push(step);
            }
        }
        self.running.retain(|job| !job.is_done());
    }

    /// Shares the prefill budget evenly; what a prompt does not need is
    /// redistributed to the others.
    fn prefill(&mut self, mut budget: f64) {
        // Any budget left after these rounds is lost.
        const REDISTRIBUTION_ROUNDS: usize = 8;
        for _ in 0..REDISTRIBUTION_ROUNDS {
            let prompts = self.running.iter().filter(|j| j.prefill_left > 0.0).count();
            if prompts == 0 || budget <= 0.0 {
                return;
            }
            let share = budget / prompts as f64;
            for job in self.running.iter_mut().filter(|j| j.prefill_left > 0.0) {
                let taken = share.min(job.prefill_left);
                job.prefill_left -= taken;
                budget -= taken;
            }
        }
    }
}

/// Advances one job; completing the prefill yields the first answer token.
fn advance_job(job: &mut Job, prefill_left_before: f64, decoded: f64) -> Progress {
    let prefilled = (prefill_left_before.ceil() - job.prefill_left.ceil()) as u64;
    job.prefilled += prefilled;
    let decoded_before = job.decoded;
    if job.is_decoding() {
        job.decode_credit += decoded;
        let whole_tokens = (job.decode_credit as u64).min(job.output_tokens - job.decoded);
        job.decode_credit -= whole_tokens as f64;
        job.decoded += whole_tokens;
    } else if job.prefill_left <= 0.0 {
        job.decoded = 1;
    }
    Progress {
        id: job.id,
        prefilled,
        decoded: job.decoded - decoded_before,
        done: job.is_done(),
    }
}
