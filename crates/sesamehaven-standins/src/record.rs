//! What the stand-ins remember of each run, for checks and measurements.

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
    /// The whole answer was computed and sent.
    Done,
    /// It was cancelled by order.
    Cancelled,
    /// The connection closed before the answer was whole.
    Disconnected,
    /// The engine crashed.
    Crashed,
}

/// One run of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The number of the run, unlike that of any run of another process.
    pub run: SmolStr,
    /// The `Request-Id` header, or a number of the engine.
    pub request_id: SmolStr,
    /// The `Idempotency-Key` header.
    pub key: Option<SmolStr>,
    /// The prompt word that the answer repeats; the load tool makes it unique.
    pub echo: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// When the request came, in milliseconds since 1970.
    pub received_ms: f64,
    /// When it got a place in the batch.
    pub started_ms: Option<f64>,
    /// When the first token was computed.
    pub first_token_ms: Option<f64>,
    /// When the run ended.
    pub ended_ms: Option<f64>,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The part of the prompt that the cache held.
    pub cached_tokens: u64,
    /// The part of the prompt that was computed.
    pub prefilled_tokens: u64,
    /// The length of the answer that was asked for.
    pub output_tokens: u64,
    /// The answer tokens that were sent.
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
    /// When the call took effect, in milliseconds since 1970.
    pub effect_ms: f64,
    /// When it was answered; absent while it runs, and after a crash.
    pub answered_ms: Option<f64>,
}
