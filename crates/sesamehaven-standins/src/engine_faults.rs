//! Fault injection for the stand-in engine.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The effect of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// The process ends.
    Exit,
    /// All connections break, and new ones are closed for [`CrashOptions::down`].
    Refuse,
}

impl FromStr for CrashMode {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "exit" => Ok(CrashMode::Exit),
            "refuse" => Ok(CrashMode::Refuse),
            _ => Err("use `exit` or `refuse`"),
        }
    }
}

/// The trigger and effect of crashes.
#[derive(Debug, Clone)]
pub struct CrashOptions {
    /// The text in a request body that crashes the engine once the run has
    /// started; empty for none.
    pub mark: SmolStr,
    /// The effect of a crash.
    pub mode: CrashMode,
    /// The downtime after a crash that does not end the process.
    pub down: Duration,
}

/// The current faults.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Faults {
    /// The slowdown factor of all computation.
    pub slow: f64,
    /// Whether computation is stalled.
    pub stall: bool,
    /// Whether requests are answered with 503 and not run.
    pub refuse: bool,
    /// The `Retry-After` of refusals; zero for none.
    pub retry_after_ms: u64,
    /// The requests per second that responses name as the limit; zero for none.
    pub rate_limit: f64,
    /// The staleness of load reports.
    pub load_lag_ms: u64,
    /// The delay of cache events.
    pub events_lag_ms: u64,
    /// The percentage of cache events that are never reported.
    pub events_gap_percent: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            stall: false,
            refuse: false,
            retry_after_ms: 0,
            rate_limit: 0.0,
            load_lag_ms: 100,
            events_lag_ms: 200,
            events_gap_percent: 0.0,
        }
    }
}

impl Faults {
    /// Returns the speed of computation relative to that without faults; zero while stalled.
    pub fn speed_factor(&self) -> f64 {
        if self.stall {
            return 0.0;
        }
        // The lower bound avoids a division by zero.
        1.0 / self.slow.max(1e-3)
    }

    /// Returns the staleness of load reports.
    pub fn load_lag(&self) -> Duration {
        Duration::from_millis(self.load_lag_ms)
    }

    /// Returns the delay of cache events.
    pub fn events_lag(&self) -> Duration {
        Duration::from_millis(self.events_lag_ms)
    }
}

/// A change of faults; absent fields remain unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// The slowdown factor of all computation.
    pub slow: Option<f64>,
    /// Whether computation is stalled.
    pub stall: Option<bool>,
    /// Whether requests are answered with 503 and not run.
    pub refuse: Option<bool>,
    /// The `Retry-After` of refusals; zero for none.
    pub retry_after_ms: Option<u64>,
    /// The requests per second that responses name as the limit; zero for none.
    pub rate_limit: Option<f64>,
    /// The staleness of load reports.
    pub load_lag_ms: Option<u64>,
    /// The delay of cache events.
    pub events_lag_ms: Option<u64>,
    /// The percentage of cache events that are never reported.
    pub events_gap_percent: Option<f64>,
    /// Whether to crash immediately.
    pub crash: bool,
}

impl FaultChange {
    /// Applies the change to `faults`; a crash is left to the caller.
    pub fn apply(&self, faults: &mut Faults) {
        faults.slow = self.slow.unwrap_or(faults.slow);
        faults.stall = self.stall.unwrap_or(faults.stall);
        faults.refuse = self.refuse.unwrap_or(faults.refuse);
        faults.retry_after_ms = self.retry_after_ms.unwrap_or(faults.retry_after_ms);
        faults.rate_limit = self.rate_limit.unwrap_or(faults.rate_limit);
        faults.load_lag_ms = self.load_lag_ms.unwrap_or(faults.load_lag_ms);
        faults.events_lag_ms = self.events_lag_ms.unwrap_or(faults.events_lag_ms);
        faults.events_gap_percent = self.events_gap_percent.unwrap_or(faults.events_gap_percent);
    }
}
