//! The load tool's record of a request, as its caller observed it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The outcome of a request as reported to its caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An answer that appeared complete.
    Answered,
    /// `Request-Outcome: not-run`.
    NotRun,
    /// `Request-Outcome: unknown`, an error event in a stream, a broken
    /// connection, or no response before the timeout.
    #[default]
    Unknown,
    /// An error response that states none of the outcomes above.
    Failed,
}

/// The result of checking the content of an answer that appeared complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// There was no complete answer.
    #[default]
    None,
    /// The complete answer to this request.
    Whole,
    /// A truncated answer to this request.
    Partial,
    /// Other content, such as the answer to another request.
    #[serde(rename = "another")]
    Mismatch,
}

/// A prefix shared by prompts of one organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prefix {
    /// The unique name, with which each of its words begins.
    pub name: SmolStr,
    /// The length.
    pub tokens: u64,
}

/// A request as its caller observed it; times are in milliseconds since 1970.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The stream of the plan.
    pub stream: SmolStr,
    /// The tier.
    pub tier: u8,
    /// The pool.
    pub pool: SmolStr,
    /// The word that identifies this request and is repeated in its answer.
    pub echo: SmolStr,
    /// The idempotency key.
    pub key: Option<SmolStr>,
    /// The shared prefix of its prompt.
    pub prefix: Option<Prefix>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether this is the second send of the request.
    pub resend: bool,
    /// The scheduled time.
    pub due_ms: f64,
    /// The time at which it was sent.
    pub sent_ms: f64,
    /// The time at which the first token of a streamed answer arrived.
    pub first_token_ms: Option<f64>,
    /// The time at which the request completed.
    pub ended_ms: f64,
    /// The outcome.
    pub outcome: Outcome,
    /// The code of the refusal or error.
    pub code: SmolStr,
    /// The HTTP status; zero if there was no response.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// The number of attempts; more than one only under the baseline policies.
    pub attempts: u32,
    /// The result of checking the answer.
    pub verdict: Verdict,
    /// Whether the complete answer arrived within the deadline.
    pub good: bool,
    /// The number of answer tokens received.
    pub tokens: u64,
    /// The hash of the answer's text.
    pub hash: SmolStr,
    /// The address that the last attempt was sent to.
    pub target: SmolStr,
}
