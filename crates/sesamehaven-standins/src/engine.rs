//! The stand-in of a model engine: runs, their streams and the clock that drives them.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{MissedTickBehavior, interval};

use crate::batch::{Batch, JobId, Progress, Speed};
use crate::completion::{Answer, Completion, Style};
use crate::record::{End, RunRecord, unix_ms};

/// What the engine sends for a run: events, or the whole answer at once.
pub type Parts = UnboundedReceiver<io::Result<Bytes>>;

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The speed and size.
    pub speed: Speed,
    /// The time between two steps of the batch.
    pub tick: Duration,
}

/// The load as the engine reports it.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Load {
    /// Jobs in the batch.
    pub running: usize,
    /// Jobs that wait for a place.
    pub waiting: usize,
    /// Prompt tokens of the batch that are still to be computed.
    pub prefill_tokens: u64,
    /// Prompt tokens that the cache holds.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct Run {
    record: usize,
    answer: Answer,
    stream: bool,
    sent: u64,
    tx: UnboundedSender<io::Result<Bytes>>,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    runs: HashMap<JobId, Run>,
    by_request: HashMap<SmolStr, JobId>,
    records: Vec<RunRecord>,
    last_job: JobId,
}

impl State {
    fn end(&mut self, id: JobId, end: End) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.batch.remove(id);
        self.by_request.remove(&run.answer.id);
        let record = &mut self.records[run.record];
        record.end = end;
        record.ended_ms = Some(unix_ms());
    }

    fn step(&mut self, span: Duration, progress: &mut Vec<Progress>) {
        self.drop_disconnected();
        self.batch.advance(span.as_secs_f64(), progress);
        let now_ms = unix_ms();
        for step in progress.iter() {
            self.book(step, now_ms);
        }
        self.admit();
    }

    fn drop_disconnected(&mut self) {
        let closed = self.runs.iter().filter(|(_, run)| run.tx.is_closed());
        let closed: Vec<JobId> = closed.map(|(id, _)| *id).collect();
        for id in closed {
            self.end(id, End::Disconnected);
        }
    }

    fn admit(&mut self) {
        let now_ms = unix_ms();
        let State {
            batch,
            runs,
            records,
            ..
        } = self;
        batch.admit(|id| {
            let Some(run) = runs.get(&id) else {
                return 0;
            };
            let record = &mut records[run.record];
            record.started_ms = Some(now_ms);
            record.prompt_tokens - record.cached_tokens
        });
    }

    fn book(&mut self, step: &Progress, now_ms: f64) {
        let Some(run) = self.runs.get_mut(&step.id) else {
            return;
        };
        let record = &mut self.records[run.record];
        record.prefilled_tokens += step.prefilled;
        if step.decoded == 0 {
            return;
        }
        record.first_token_ms.get_or_insert(now_ms);
        let from = run.sent;
        run.sent += step.decoded;
        let part = match (run.stream, step.done) {
            (true, _) => run.answer.events(from, run.sent),
            (false, true) => run.answer.whole(),
            (false, false) => Bytes::new(),
        };
        if !part.is_empty() && run.tx.send(Ok(part)).is_err() {
            return self.end(step.id, End::Disconnected);
        }
        record.tokens_sent = run.sent;
        if step.done {
            self.end(step.id, End::Done);
        }
    }
}

/// A model engine, shared by its handlers and its clock.
#[derive(Debug, Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    wake: Arc<Notify>,
    tick: Duration,
}

impl Engine {
    /// Builds an idle engine.
    pub fn new(options: &EngineOptions) -> Self {
        Engine {
            state: Arc::new(Mutex::new(State {
                batch: Batch::new(options.speed),
                runs: HashMap::new(),
                by_request: HashMap::new(),
                records: Vec::new(),
                last_job: 0,
            })),
            wake: Arc::new(Notify::new()),
            tick: options.tick,
        }
    }

    /// Computes, one step of the whole batch at a time, as long as it is polled.
    pub async fn run(self) {
        let mut progress = Vec::new();
        let mut ticks = interval(self.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = Instant::now();
        loop {
            if self.state().batch.is_idle() {
                self.wake.notified().await;
                ticks.reset_immediately();
                last = Instant::now();
            }
            ticks.tick().await;
            let now = Instant::now();
            let span = now.saturating_duration_since(last);
            last = now;
            self.state().step(span, &mut progress);
        }
    }

    /// Takes a request and returns where its answer will come from.
    pub fn submit(
        &self,
        completion: &Completion,
        style: Style,
        request_id: Option<SmolStr>,
        key: Option<SmolStr>,
    ) -> Parts {
        let (tx, rx) = unbounded_channel();
        let mut state = self.state();
        state.last_job += 1;
        let id = state.last_job;
        let request_id = request_id.unwrap_or_else(|| format_smolstr!("run-{id}"));
        let record = RunRecord {
            request_id: request_id.clone(),
            key,
            echo: completion.echo(),
            model: completion.model.clone(),
            received_ms: unix_ms(),
            prompt_tokens: completion.words().count() as u64,
            output_tokens: completion.output_tokens(),
            ..RunRecord::default()
        };
        let answer = Answer {
            style,
            id: request_id.clone(),
            model: record.model.clone(),
            echo: record.echo.clone(),
            prompt_tokens: record.prompt_tokens,
            cached_tokens: 0,
            output_tokens: record.output_tokens,
        };
        state.batch.submit(id, record.output_tokens);
        let run = Run {
            record: state.records.len(),
            answer,
            stream: completion.stream,
            sent: 0,
            tx,
        };
        state.records.push(record);
        state.runs.insert(id, run);
        state.by_request.insert(request_id, id);
        drop(state);
        self.wake.notify_one();
        rx
    }

    /// Cancels a run, if there is one of this request id.
    pub fn cancel(&self, request_id: &str) -> bool {
        let mut state = self.state();
        let Some(id) = state.by_request.get(request_id).copied() else {
            return false;
        };
        state.end(id, End::Cancelled);
        true
    }

    /// Returns the load of this moment.
    pub fn load(&self) -> Load {
        let state = self.state();
        Load {
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            prefill_tokens: state.batch.prefill_left(),
            cached_tokens: 0,
        }
    }

    /// Lists all runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state().records.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
