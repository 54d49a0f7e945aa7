//! Tests the order and speed of jobs under continuous batching.

use sesamehaven_standins::batch::{Batch, JobId, Progress, Speed};

/// A step size for which all sums below are exact in floating point.
const STEP_S: f64 = 1.0 / 1_024.0;

const SPEED: Speed = Speed {
    prefill_per_s: 1_024.0,
    decode_per_s: 128.0,
    slowdown: 1.0,
    max_batch: 2,
};

/// Advances step by step until the batch is idle; returns the steps at which
/// each job produced its first and its last token.
fn run(batch: &mut Batch, prefill: u64) -> Vec<(JobId, u64, u64)> {
    let mut times: Vec<(JobId, u64, u64)> = Vec::new();
    let mut progress: Vec<Progress> = Vec::new();
    let mut step_number = 0;
    while !batch.is_idle() {
        batch.admit(|_| prefill);
        batch.advance(STEP_S, &mut progress);
        step_number += 1;
        for step in progress.iter().filter(|step| step.decoded > 0) {
            match times.iter_mut().find(|(id, ..)| *id == step.id) {
                Some((.., last)) => *last = step_number,
                None => times.push((step.id, step_number, step_number)),
            }
        }
    }
    times
}

#[test]
fn prompts_share_prefill_and_concurrent_decoding_is_slower() {
    let mut batch = Batch::new(SPEED);
    batch.submit(1, 11);
    assert_eq!(run(&mut batch, 128), [(1, 128, 208)]);

    batch.submit(1, 11);
    batch.submit(2, 11);
    let both = run(&mut batch, 128);
    assert_eq!(both, [(1, 256, 416), (2, 256, 416)]);
}

#[test]
fn jobs_beyond_the_batch_size_wait_in_order() {
    let mut batch = Batch::new(SPEED);
    (1..=4).for_each(|id| batch.submit(id, 1));
    let times = run(&mut batch, 16);
    assert_eq!(times, [(1, 32, 32), (2, 32, 32), (3, 64, 64), (4, 64, 64)]);
}

#[test]
fn removing_a_job_frees_its_slot() {
    let mut batch = Batch::new(SPEED);
    (1..=3).for_each(|id| batch.submit(id, 1));
    batch.admit(|_| 10);
    assert!(batch.remove(1));
    assert!(!batch.remove(1));
    assert_eq!((batch.running(), batch.waiting()), (1, 1));
    let done: Vec<JobId> = run(&mut batch, 10).iter().map(|(id, ..)| *id).collect();
    assert_eq!(done, [2, 3]);
}
