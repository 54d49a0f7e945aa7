//! The stand-in of a model engine, and the clock that drives it.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval};

use crate::batch::Speed;
use crate::engine_faults::{CrashOptions, FaultChange, Faults};
use crate::engine_state::{AnswerReceiver, Request, State};
use crate::error::Result;
use crate::load_history::Load;
use crate::prefix_cache::CacheEvent;

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The speed and size.
    pub speed: Speed,
    /// The time between two steps of the batch.
    pub tick: Duration,
    /// The tokens in a block of the prefix cache.
    pub block_tokens: usize,
    /// The size of the prefix cache.
    pub cache_tokens: usize,
    /// How long a stream without a reader goes on and can be resumed.
    pub resume_window: Duration,
    /// The prompt tokens a second that are exported or imported.
    pub kv_per_s: f64,
    /// Whether orders with an old fencing number are refused.
    pub enforces_fencing: bool,
    /// How long an order to load takes.
    pub load_time: Duration,
    /// When and how the engine crashes.
    pub crash: CrashOptions,
    /// The faults at start.
    pub faults: Faults,
    /// The file that receives a JSON line for each start and end of a run.
    pub records: Option<PathBuf>,
}

/// A model engine, shared by its handlers and its clock.
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
    /// Fails when the file for records cannot be opened.
    pub fn new(options: EngineOptions, seed: u64) -> Result<Self> {
        Ok(Engine {
            state: Arc::new(Mutex::new(State::new(&options)?)),
            wake: Arc::new(Notify::new()),
            options: Arc::new(options),
            seed,
        })
    }

    /// Returns how the engine was built.
    pub fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// Returns the state, for as long as the guard is held.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Computes, one step of the whole batch at a time, as long as it is polled.
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

    /// Takes a request and returns where its answer will come from.
    pub fn submit(&self, request: &Request) -> AnswerReceiver {
        let parts = self.state().submit(request);
        self.wake.notify_one();
        parts
    }

    /// Returns the load, as late as the faults in force say.
    pub fn load(&self) -> Load {
        let now = Instant::now();
        let state = self.state();
        state.loads.report(state.faults.load_lag(), now)
    }

    /// Lists cache events after `seq`, late and with gaps as the faults say.
    pub fn events(&self, seq: u64) -> Vec<CacheEvent> {
        let state = self.state();
        let lag = state.faults.events_lag();
        let mut events = state.cache.events(seq, lag, Instant::now());
        let percent = state.faults.events_gap_percent;
        events.retain(|event| draw(self.seed, event.seq) >= percent);
        events
    }

    /// Changes the faults.
    pub fn change(&self, change: &FaultChange) -> Faults {
        let mut state = self.state();
        change.apply(&mut state.faults);
        if change.crash {
            state.crash();
        }
        state.faults
    }
}

/// Draws a percentage that depends on the seed and the number alone, so that
/// an event that is lost once is lost for every reader.
fn draw(seed: u64, number: u64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(&number.to_be_bytes());
    let mut head = [0; 4];
    hasher.finalize_xof().fill(&mut head);
    f64::from(u32::from_be_bytes(head)) / f64::from(u32::MAX) * 100.0
}
