//! How an engine misbehaves.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a crash does to the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// The process ends.
    Exit,
    /// All connections break and new ones are closed, for a time.
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

/// When and how an engine crashes.
#[derive(Debug, Clone)]
pub struct CrashOptions {
    /// The text in a body that crashes the engine once the run has started;
    /// empty for none.
    pub mark: SmolStr,
    /// What the crash does.
    pub mode: CrashMode,
    /// How long a crash that does not end the process lasts.
    pub down: Duration,
}

/// The faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Faults {
    /// How many times slower everything is computed.
    pub slow: f64,
    /// Whether nothing is computed.
    pub stall: bool,
    /// Whether requests are answered with 503 and not run.
    pub refuse: bool,
    /// How late the load is reported.
    pub load_lag_ms: u64,
    /// How late cache events are told.
    pub events_lag_ms: u64,
    /// The share of cache events that are never told.
    pub events_gap_percent: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            stall: false,
            refuse: false,
            load_lag_ms: 100,
            events_lag_ms: 200,
            events_gap_percent: 0.0,
        }
    }
}

impl Faults {
    /// Returns how much of a span of time is computed in.
    pub fn speed_factor(&self) -> f64 {
        if self.stall {
            return 0.0;
        }
        1.0 / self.slow.max(1e-3)
    }

    /// Returns how late the load is reported.
    pub fn load_lag(&self) -> Duration {
        Duration::from_millis(self.load_lag_ms)
    }

    /// Returns how late cache events are told.
    pub fn events_lag(&self) -> Duration {
        Duration::from_millis(self.events_lag_ms)
    }
}

/// A change of faults; absent fields stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// How many times slower everything is computed.
    pub slow: Option<f64>,
    /// Whether nothing is computed.
    pub stall: Option<bool>,
    /// Whether requests are answered with 503 and not run.
    pub refuse: Option<bool>,
    /// How late the load is reported.
    pub load_lag_ms: Option<u64>,
    /// How late cache events are told.
    pub events_lag_ms: Option<u64>,
    /// The share of cache events that are never told.
    pub events_gap_percent: Option<f64>,
    /// Whether to crash now.
    pub crash: bool,
}

impl FaultChange {
    /// Applies the change.
    pub fn apply(&self, faults: &mut Faults) {
        faults.slow = self.slow.unwrap_or(faults.slow);
        faults.stall = self.stall.unwrap_or(faults.stall);
        faults.refuse = self.refuse.unwrap_or(faults.refuse);
        faults.load_lag_ms = self.load_lag_ms.unwrap_or(faults.load_lag_ms);
        faults.events_lag_ms = self.events_lag_ms.unwrap_or(faults.events_lag_ms);
        faults.events_gap_percent = self.events_gap_percent.unwrap_or(faults.events_gap_percent);
    }
}
