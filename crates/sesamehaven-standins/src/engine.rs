//! The stand-in model engine and the ticker that drives it.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval};

use crate::batch::Speed;
use crate::engine_faults::{CrashOptions, FaultChange, Faults};
use crate::engine_state::{AnswerReceiver, Request, State};
use crate::error::Result;
use crate::load_history::Load;
use crate::prefix_cache::CacheEvent;

/// The settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The software version that each event of a stream names; empty for none.
    pub release: SmolStr,
    /// The throughput and batch size.
    pub speed: Speed,
    /// The interval between two steps of the batch.
    pub tick: Duration,
    /// The number of tokens in a block of the prefix cache.
    pub block_tokens: usize,
    /// The capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// How long a stream continues without a reader and can be resumed.
    pub resume_window: Duration,
    /// The rate of cache exports and imports in prompt tokens per second.
    pub kv_per_s: f64,
    /// Whether orders with a stale fencing number are refused.
    pub enforces_fencing: bool,
    /// The duration of a load order.
    pub load_time: Duration,
    /// The trigger and effect of crashes.
    pub crash: CrashOptions,
    /// The initial faults.
    pub faults: Faults,
    /// The file that receives a JSON line for each start and end of a run.
    pub records: Option<PathBuf>,
}

/// A model engine, shared by its handlers and its ticker.
#[derive(Debug, Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    wake: Arc<Notify>,
    options: Arc<EngineOptions>,
    seed: u64,
}

impl Engine {
    /// Builds an idle engine.
    ///
    /// # Errors
    ///
    /// Fails when the records file cannot be opened.
    pub fn new(options: EngineOptions, seed: u64) -> Result<Self> {
        Ok(Engine {
            state: Arc::new(Mutex::new(State::new(&options)?)),
            wake: Arc::new(Notify::new()),
            options: Arc::new(options),
            seed,
        })
    }

    /// Returns the settings of the engine.
    pub fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// Locks the state and returns its guard.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Drives the batch one step per tick and sleeps while the engine is idle; never returns.
    pub async fn run(self) {
        let mut progress = Vec::new();
        let mut ticks = interval(self.options.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = Instant::now();
        loop {
            if self.state().is_idle() {
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

    /// Submits a request and returns the receiver of its answer.
    pub fn submit(&self, request: &Request) -> AnswerReceiver {
        let answer = self.state().submit(request);
        self.wake.notify_one();
        answer
    }

    /// Returns the load, delayed by the lag of the current faults.
    pub fn load(&self) -> Load {
        let now = Instant::now();
        let state = self.state();
        state.loads.report(state.faults.load_lag(), now)
    }

    /// Lists cache events after `seq`, delayed and with gaps according to the current faults.
    pub fn events(&self, seq: u64) -> Vec<CacheEvent> {
        let state = self.state();
        let lag = state.faults.events_lag();
        let mut events = state.cache.events(seq, lag, Instant::now());
        let percent = state.faults.events_gap_percent;
        events.retain(|event| draw_percent(self.seed, event.seq) >= percent);
        events
    }

    /// Applies a change of faults and returns the resulting faults.
    pub fn change(&self, change: &FaultChange) -> Faults {
        let mut state = self.state();
        change.apply(&mut state.faults);
        if change.crash {
            state.crash();
        }
        state.faults
    }
}

/// Derives a percentage from the seed and the event number alone, so that an
/// event that is lost is lost for every reader.
fn draw_percent(seed: u64, number: u64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(&number.to_be_bytes());
    let mut head = [0; 4];
    hasher.finalize_xof().fill(&mut head);
    f64::from(u32::from_be_bytes(head)) / f64::from(u32::MAX) * 100.0
}
