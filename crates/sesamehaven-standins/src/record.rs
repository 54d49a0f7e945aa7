//! The records that stand-ins keep of each run, for checks and measurements.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Returns the wall-clock time in milliseconds since 1970.
pub fn unix_ms() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as f64 / 1e3
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It has not ended.
    #[default]
    Running,
    /// The complete answer was computed, and sent or retained for resumption.
    Done,
    /// It was cancelled on request.
    Cancelled,
    /// The connection closed before the answer was complete.
    Disconnected,
    /// The engine crashed.
    Crashed,
}

/// One run of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The id of the run; it contains the process id, so that ids of different processes differ.
    pub run: SmolStr,
    /// The `Request-Id` header, or the id of the run if there is none.
    pub request_id: SmolStr,
    /// The `Idempotency-Key` header.
    pub key: Option<SmolStr>,
    /// The echo word, which the answer repeats; the load tool makes it unique.
    pub echo: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The time of receipt, in milliseconds since 1970, like the times below.
    pub received_ms: f64,
    /// The time of admission to the batch.
    pub started_ms: Option<f64>,
    /// The time at which the first token was computed.
    pub first_token_ms: Option<f64>,
    /// The time at which the run ended.
    pub ended_ms: Option<f64>,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The part of the prompt found in the prefix cache.
    pub cached_tokens: u64,
    /// The part of the prompt that was computed.
    pub prefilled_tokens: u64,
    /// The requested length of the answer.
    pub output_tokens: u64,
    /// The number of answer tokens sent.
    pub tokens_sent: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// One call of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The method.
    pub method: SmolStr,
    /// The path with its query.
    pub path: SmolStr,
    /// The `Idempotency-Key` header.
    pub key: Option<SmolStr>,
    /// The `Request-Id` header.
    pub request_id: Option<SmolStr>,
    /// The length of the body in bytes.
    pub body_bytes: u64,
    /// The time at which the call took effect, in milliseconds since 1970.
    pub effect_ms: f64,
    /// The time at which it was answered, in milliseconds since 1970; absent
    /// while it runs, and if its response was lost or cut.
    pub answered_ms: Option<f64>,
}
