//! An open-loop load run: requests are sent on schedule, regardless of outstanding answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{Instant, sleep_until};

use crate::arrival::{Arrival, arrivals};
use crate::caller::Caller;
use crate::client::client;
use crate::error::{Error, Result};
use crate::load_plan::Plan;
use crate::record::unix_ms;
use crate::request_record::RequestRecord;
use crate::tally::{Report, RunInfo, Tallies};
use crate::target::Targets;

// Lets the sending threads start before the first request is due.
const START_DELAY: Duration = Duration::from_millis(200);
// Exceeds the expected deadlines, which limit each attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3_600);

/// The settings of a load run.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The seed of arrival times and contents.
    pub seed: u64,
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The factor applied to the rates of the plan.
    pub rate_factor: f64,
    /// The number of sending threads.
    pub threads: usize,
}

/// Runs a plan and returns the report and the record of each request.
///
/// # Errors
///
/// Fails when a sending thread panics.
pub fn run(
    plan: Plan,
    targets: Targets,
    options: &LoadOptions,
) -> Result<(Report, Vec<RequestRecord>)> {
    let LoadOptions {
        seed,
        duration,
        rate_factor,
        threads,
    } = *options;
    let threads = threads.max(1);
    let policy = targets.policy().to_string();
    let all = arrivals(&plan, seed, rate_factor, duration);
    let (plan, targets) = (Arc::new(plan), Arc::new(targets));
    let start = Instant::now() + START_DELAY;
    let start_ms = unix_ms() as u64 + START_DELAY.as_millis() as u64;
    let workers: Vec<_> = (0..threads)
        .map(|thread| {
            let assigned = all.iter().skip(thread).step_by(threads).cloned();
            let assigned: Vec<Arrival> = assigned.collect();
            let (plan, targets) = (plan.clone(), targets.clone());
            thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let caller = Caller {
                        client: client(ANSWER_TIMEOUT),
                        plan,
                        targets,
                        start,
                        start_ms,
                    };
                    send(caller, assigned).await
                })
            })
        })
        .collect();
    let mut tallies = Tallies::default();
    let mut log = Vec::new();
    for worker in workers {
        let (thread_tallies, records) = worker.join().map_err(|_| Error::Request {
            url: "load".into(),
            reason: "a sending thread panicked".into(),
        })?;
        tallies.merge(&thread_tallies);
        log.extend(records);
    }
    log.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
    let info = RunInfo {
        seed,
        policy,
        duration_s: duration.as_secs_f64(),
        rate_factor,
    };
    Ok((tallies.report(info), log))
}

/// Sends each request on schedule and waits for all outcomes at the end.
async fn send(caller: Caller, assigned: Vec<Arrival>) -> (Tallies, Vec<RequestRecord>) {
    let caller = Rc::new(caller);
    let results = Rc::new(RefCell::new((Tallies::default(), Vec::new())));
    let mut calls = Vec::with_capacity(assigned.len());
    for arrival in assigned {
        sleep_until(caller.start + arrival.at).await;
        let (caller, results) = (caller.clone(), results.clone());
        calls.push(actix_rt::spawn(async move {
            let completed = caller.call(arrival).await;
            let (tallies, log) = &mut *results.borrow_mut();
            tallies.add(&completed);
            log.push(completed.record);
        }));
    }
    join_all(calls).await;
    results.take()
}
