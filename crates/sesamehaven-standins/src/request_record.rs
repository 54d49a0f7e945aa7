//! What a caller was told about one request, as the load tool logs it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An answer that looked complete.
    Answered,
    /// `Request-Outcome: not-run`.
    NotRun,
    /// `Request-Outcome: unknown`, an error inside a stream, a connection that
    /// broke, or no answer in time.
    #[default]
    Unknown,
    /// An answer that is none of the three outcomes.
    Failed,
}

/// What an answer looked complete with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// There was no complete answer.
    #[default]
    None,
    /// The whole answer to this request.
    Whole,
    /// A part of the answer to this request.
    Partial,
    /// Something else, such as the answer to another request.
    #[serde(rename = "another")]
    Mismatch,
}

/// A prefix that prompts of one organisation share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prefix {
    /// The beginning of its words, which no other prefix has.
    pub name: SmolStr,
    /// Its length.
    pub tokens: u64,
}

/// One request as its caller saw it; times are milliseconds since 1970.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The stream of the plan.
    pub stream: SmolStr,
    /// The tier.
    pub tier: u8,
    /// The pool.
    pub pool: SmolStr,
    /// The word that tells this request from all others.
    pub echo: SmolStr,
    /// The idempotency key.
    pub key: Option<SmolStr>,
    /// The shared prefix of its prompt.
    pub prefix: Option<Prefix>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether this was the second time that it was sent.
    pub resend: bool,
    /// When it was due.
    pub due_ms: f64,
    /// When it was sent.
    pub sent_ms: f64,
    /// When its first token came, if the answer was streamed.
    pub first_token_ms: Option<f64>,
    /// When it ended.
    pub ended_ms: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// The code of the refusal or error.
    pub code: SmolStr,
    /// The HTTP status; zero without an answer.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// How many times it was tried, in the direct mode.
    pub attempts: u32,
    /// What the answer was.
    pub verdict: Verdict,
    /// Whether the answer was whole within the deadline.
    pub good: bool,
    /// The tokens that came.
    pub tokens: u64,
    /// The hash of the answer's text.
    pub hash: SmolStr,
    /// Where it was sent last.
    pub target: SmolStr,
}
