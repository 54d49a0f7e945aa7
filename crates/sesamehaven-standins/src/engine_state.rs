//! The state of an engine: its runs, their answers and how they end.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::process;
use std::time::{Duration, Instant};

use bytes::Bytes;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::abort::connection_aborted;
use crate::batch::{Batch, JobId, Progress};
use crate::completion::{Answer, ApiKind, Completion};
use crate::engine::EngineOptions;
use crate::engine_faults::{CrashMode, CrashOptions, Faults};
use crate::error::Result;
use crate::json_lines::JsonLinesWriter;
use crate::load_history::{Load, LoadHistory};
use crate::orders::Orders;
use crate::prefix_cache::{BlockId, PrefixCache, block_ids};
use crate::record::{RunEnd, RunRecord, unix_ms};
use crate::service::CRASH_STATUS;

/// The maximum number of finished streams retained for resumption.
const FINISHED_MAX: usize = 4_096;

/// The receiver of a run's answer: stream events, or the complete body as one message.
pub type AnswerReceiver = UnboundedReceiver<io::Result<Bytes>>;

/// A request with the relevant headers.
#[derive(Debug, Clone)]
pub struct Request {
    /// The body.
    pub completion: Completion,
    /// The API that was called.
    pub api: ApiKind,
    /// The `Request-Id` header.
    pub request_id: Option<SmolStr>,
    /// The `Idempotency-Key` header.
    pub key: Option<SmolStr>,
    /// Whether the body contains the crash mark.
    pub crashes: bool,
}

#[derive(Debug)]
struct Run {
    record_index: usize,
    chain: Vec<BlockId>,
    answer: Answer,
    stream: bool,
    crashes: bool,
    tokens_sent: u64,
    tx: UnboundedSender<io::Result<Bytes>>,
    detached_at: Option<Instant>,
}

/// The mutable state of an engine.
#[derive(Debug)]
pub struct State {
    /// The current faults.
    pub faults: Faults,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The received orders and what they loaded.
    pub orders: Orders,
    /// The recent load history.
    pub loads: LoadHistory,
    batch: Batch,
    runs: HashMap<JobId, Run>,
    by_request: HashMap<SmolStr, JobId>,
    finished: VecDeque<Answer>,
    records: Vec<RunRecord>,
    records_file: Option<JsonLinesWriter>,
    release: SmolStr,
    last_job: JobId,
    crash: CrashOptions,
    resume_window: Duration,
    down_until: Option<Instant>,
}

impl State {
    /// Builds the state of an idle engine.
    ///
    /// # Errors
    ///
    /// Fails when the records file cannot be opened.
    pub fn new(options: &EngineOptions) -> Result<Self> {
        let records_file = options
            .records
            .as_deref()
            .map(JsonLinesWriter::open)
            .transpose()?;
        Ok(State {
            faults: options.faults,
            cache: PrefixCache::new(options.block_tokens, options.cache_tokens),
            orders: Orders::new(options.enforces_fencing),
            loads: LoadHistory::default(),
            batch: Batch::new(options.speed),
            runs: HashMap::new(),
            by_request: HashMap::new(),
            finished: VecDeque::new(),
            records: Vec::new(),
            records_file,
            release: options.release.clone(),
            last_job: 0,
            crash: options.crash.clone(),
            resume_window: options.resume_window,
            down_until: None,
        })
    }

    /// Returns whether there are no runs to compute.
    pub fn is_idle(&self) -> bool {
        self.batch.is_idle()
    }

    /// Returns whether the engine has crashed and not yet recovered.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns the records of all runs so far.
    pub fn records(&self) -> &[RunRecord] {
        &self.records
    }

    /// Queues a request and returns the receiver of its answer.
    pub fn submit(&mut self, request: &Request) -> AnswerReceiver {
        let (tx, rx) = unbounded_channel();
        self.last_job += 1;
        let id = self.last_job;
        let record = new_record(request, id);
        let answer = Answer {
            api: request.api,
            id: record.request_id.clone(),
            model: record.model.clone(),
            release: self.release.clone(),
            echo: record.echo.clone(),
            prompt_tokens: record.prompt_tokens,
            cached_tokens: 0,
            output_tokens: record.output_tokens,
        };
        self.batch.submit(id, record.output_tokens);
        self.by_request.insert(record.request_id.clone(), id);
        let run = Run {
            record_index: self.records.len(),
            chain: block_ids(request.completion.words(), self.cache.block_tokens()),
            answer,
            stream: request.completion.stream,
            crashes: request.crashes,
            tokens_sent: 0,
            tx,
            detached_at: None,
        };
        self.write_record(&record);
        self.records.push(record);
        self.runs.insert(id, run);
        rx
    }

    /// Cancels the run with this request id; returns whether there was one.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let Some(id) = self.by_request.get(request_id).copied() else {
            return false;
        };
        self.end(id, RunEnd::Cancelled);
        true
    }

    /// Reattaches to a running or finished stream; of the tokens sent so far, the
    /// first `after` are omitted.
    pub fn resume(&mut self, request_id: &str, after: u64) -> Option<AnswerReceiver> {
        let (tx, rx) = unbounded_channel();
        let running = self.by_request.get(request_id).copied();
        if let Some(run) = running.and_then(|id| self.runs.get_mut(&id)) {
            if run.tokens_sent > after {
                let _ = tx.send(Ok(run.answer.events(after, run.tokens_sent)));
            }
            run.tx = tx;
            run.detached_at = None;
            return Some(rx);
        }
        let answer = self.finished.iter().find(|a| a.id == request_id)?;
        let _ = tx.send(Ok(answer.events(after, answer.output_tokens)));
        Some(rx)
    }

    /// Crashes the engine: ends all runs, then exits the process or goes down for a time.
    pub fn crash(&mut self) {
        let ids: Vec<JobId> = self.runs.keys().copied().collect();
        for id in ids {
            self.end(id, RunEnd::Crashed);
        }
        self.flush();
        if self.crash.mode == CrashMode::Exit {
            process::exit(CRASH_STATUS);
        }
        self.cache.clear();
        self.finished.clear();
        self.down_until = Some(Instant::now() + self.crash.down);
    }

    /// Advances all runs by a span of time.
    pub fn step(&mut self, span: Duration, progress: &mut Vec<Progress>) {
        let now = Instant::now();
        self.drop_disconnected(now);
        let span_s = span.as_secs_f64() * self.faults.speed_factor();
        self.batch.advance(span_s, progress);
        let now_ms = unix_ms();
        for step in progress.iter() {
            self.apply_progress(step, now, now_ms);
        }
        if self.admit(now_ms) {
            self.crash();
        }
        self.record_load(now);
        self.flush();
    }

    /// Records the current load for later reports.
    pub fn record_load(&mut self, now: Instant) {
        let load = Load {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            prefill_tokens: self.batch.prefill_left(),
            cached_tokens: self.cache.tokens(),
        };
        self.loads.record(load, self.faults.load_lag(), now);
    }

    /// Ends a run: removes it, completes its record and retains a finished stream for resumption.
    fn end(&mut self, id: JobId, end: RunEnd) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        if end == RunEnd::Crashed {
            let _ = run.tx.send(Err(connection_aborted()));
        }
        self.batch.remove(id);
        if self.by_request.get(&run.answer.id) == Some(&id) {
            self.by_request.remove(&run.answer.id);
        }
        let record = &mut self.records[run.record_index];
        record.end = end;
        record.ended_ms = Some(unix_ms());
        let record = record.clone();
        self.write_record(&record);
        if end == RunEnd::Done && run.stream && !self.resume_window.is_zero() {
            self.finished.push_back(run.answer);
            if self.finished.len() > FINISHED_MAX {
                self.finished.pop_front();
            }
        }
    }

    /// Ends runs whose connection is closed; streams end only after the resume window.
    fn drop_disconnected(&mut self, now: Instant) {
        let window = self.resume_window;
        let mut expired = Vec::new();
        for (id, run) in self.runs.iter_mut().filter(|(_, r)| r.tx.is_closed()) {
            let since = *run.detached_at.get_or_insert(now);
            let is_resumable = run.stream && now.saturating_duration_since(since) < window;
            if !is_resumable {
                expired.push(*id);
            }
        }
        for id in expired {
            self.end(id, RunEnd::Disconnected);
        }
    }

    /// Admits waiting runs to free batch slots; returns whether one of them crashes the engine.
    fn admit(&mut self, now_ms: f64) -> bool {
        let State {
            batch,
            runs,
            records,
            cache,
            ..
        } = self;
        let mut crashes = false;
        batch.admit(|id| {
            let Some(run) = runs.get_mut(&id) else {
                return 0;
            };
            crashes |= run.crashes;
            let record = &mut records[run.record_index];
            record.started_ms = Some(now_ms);
            record.cached_tokens = cache.lookup(&run.chain).min(record.prompt_tokens);
            run.answer.cached_tokens = record.cached_tokens;
            record.prompt_tokens - record.cached_tokens
        });
        crashes
    }

    /// Records the progress of a run, sends its new tokens and ends it when it is done.
    fn apply_progress(&mut self, step: &Progress, now: Instant, now_ms: f64) {
        let Some(run) = self.runs.get_mut(&step.id) else {
            return;
        };
        let record = &mut self.records[run.record_index];
        record.prefilled_tokens += step.prefilled;
        if step.decoded == 0 {
            return;
        }
        if run.tokens_sent == 0 {
            record.first_token_ms = Some(now_ms);
            self.cache.insert(&run.chain, now);
        }
        let from = run.tokens_sent;
        run.tokens_sent += step.decoded;
        record.tokens_sent = run.tokens_sent;
        let chunk = match (run.stream, step.done) {
            (true, _) => run.answer.events(from, run.tokens_sent),
            (false, true) => run.answer.full_body(),
            (false, false) => Bytes::new(),
        };
        let is_delivered = chunk.is_empty() || run.tx.send(Ok(chunk)).is_ok();
        if step.done {
            let is_resumable = run.stream && !self.resume_window.is_zero();
            let end = if is_delivered || is_resumable {
                RunEnd::Done
            } else {
                RunEnd::Disconnected
            };
            self.end(step.id, end);
        }
    }

    /// Appends a record to the records file, if there is one; a failure ends
    /// the process, since the checker relies on the file.
    fn write_record(&mut self, record: &RunRecord) {
        let Some(records_file) = &mut self.records_file else {
            return;
        };
        if let Err(e) = records_file.append(record) {
            exit_with_error(&e.to_string());
        }
    }

    fn flush(&mut self) {
        let Some(records_file) = &mut self.records_file else {
            return;
        };
        if let Err(e) = records_file.flush() {
            exit_with_error(&e.to_string());
        }
    }
}

fn exit_with_error(reason: &str) -> ! {
    eprintln!("{reason}");
    process::exit(1);
}

/// Builds the initial record of a run.
fn new_record(request: &Request, id: JobId) -> RunRecord {
    let completion = &request.completion;
    let run = format_smolstr!("{}-{id}", process::id());
    RunRecord {
        request_id: request.request_id.clone().unwrap_or_else(|| run.clone()),
        run,
        key: request.key.clone(),
        echo: completion.echo(),
        model: completion.model.clone(),
        received_ms: unix_ms(),
        prompt_tokens: completion.words().count() as u64,
        output_tokens: completion.output_tokens(),
        ..RunRecord::default()
    }
}
