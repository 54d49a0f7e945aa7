//! Continuous batching as a state machine: what an engine computes in a span of time.
//!
//! Jobs wait first come, first served, for one of the places of the batch.
//! Prompts in the batch share the prefill rate evenly; each job whose prompt is
//! done decodes at a rate that falls as more of them decode side by side.

use std::collections::VecDeque;

/// The speed and size of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Prompt tokens a second, shared by all prompts in the batch.
    pub prefill_per_s: f64,
    /// Answer tokens a second of one job that decodes alone.
    pub decode_per_s: f64,
    /// How much each further decoding job adds to the time of a token, as a share.
    pub slowdown: f64,
    /// The number of jobs in the batch.
    pub max_batch: usize,
}

impl Speed {
    /// Returns the tokens a second of each of `jobs` that decode side by side.
    pub fn decode_rate_per_job(&self, jobs: usize) -> f64 {
        let others = jobs.saturating_sub(1) as f64;
        self.decode_per_s / (1.0 + self.slowdown * others)
    }
}

/// Tells jobs apart.
pub type JobId = u64;

/// A request as the engine computes it.
#[derive(Debug, Clone)]
struct Job {
    id: JobId,
    output_tokens: u64,
    prefill_left: f64,
    prefilled: u64,
    decoded: u64,
    credit: f64,
}

impl Job {
    fn is_decoding(&self) -> bool {
        self.decoded > 0
    }

    fn is_done(&self) -> bool {
        self.decoded >= self.output_tokens
    }
}

/// What happened to a job in a span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The job.
    pub id: JobId,
    /// The prompt tokens that were computed.
    pub prefilled: u64,
    /// The answer tokens that were computed.
    pub decoded: u64,
    /// Whether the answer is whole.
    pub done: bool,
}

/// Jobs that wait and jobs that are computed.
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

    /// Returns whether there is nothing to compute.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of jobs in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of jobs that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens of the batch that are still to be computed.
    pub fn prefill_left(&self) -> u64 {
        self.running.iter().map(|j| j.prefill_left as u64).sum()
    }

    /// Adds a job with the given length of its answer.
    pub fn submit(&mut self, id: JobId, output_tokens: u64) {
        self.waiting.push_back((id, output_tokens.max(1)));
    }

    /// Takes a job out, if it is there.
    pub fn remove(&mut self, id: JobId) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|(waiting, _)| *waiting != id);
        self.running.retain(|job| job.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Takes all jobs out.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Moves waiting jobs to free places; `prefill` tells how many prompt
    /// tokens of a job have to be computed.
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
                credit: 0.0,
            });
        }
    }

    /// Computes for `span_s` seconds and reports each job that got further.
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
            let step = step(job, before, decoded);
            if step.prefilled > 0 || step.decoded > 0 {
                progress.push(step);
            }
        }
        self.running.retain(|job| !job.is_done());
    }

    /// Shares prefill evenly; what one prompt does not need goes to the others.
    fn prefill(&mut self, mut budget: f64) {
        const ROUNDS: usize = 8;
        for _ in 0..ROUNDS {
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

/// Books what a job gained; the end of its prompt gives its first token.
fn step(job: &mut Job, left_before: f64, decoded: f64) -> Progress {
    let prefilled = (left_before.ceil() - job.prefill_left.ceil()) as u64;
    job.prefilled += prefilled;
    let already = job.decoded;
    if job.is_decoding() {
        job.credit += decoded;
        let whole = (job.credit as u64).min(job.output_tokens - job.decoded);
        job.credit -= whole as f64;
        job.decoded += whole;
    } else if job.prefill_left <= 0.0 {
        job.decoded = 1;
    }
    Progress {
        id: job.id,
        prefilled,
        decoded: job.decoded - already,
        done: job.is_done(),
    }
}
