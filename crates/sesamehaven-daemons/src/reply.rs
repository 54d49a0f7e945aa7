//! Answers that the entry gives in its own name.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use bytes::Bytes;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::lifecycle::{UNKNOWN_RETRY_AFTER, UnknownReason};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::unit::Millis;

/// The header that says which of the three outcomes a request had.
pub const REQUEST_OUTCOME: &str = "Request-Outcome";

/// A request that was refused because of what it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    status: StatusCode,
    code: &'static str,
    message: SmolStr,
}

impl BadRequest {
    /// Builds the refusal of a request that is not well formed.
    pub fn new(code: &'static str, message: impl Into<SmolStr>) -> Self {
        BadRequest {
            status: StatusCode::BAD_REQUEST,
            code,
            message: message.into(),
        }
    }

    /// Sets another status than 400.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Returns the stable code.
    pub fn code(&self) -> &'static str {
        self.code
    }

    /// Builds the HTTP answer.
    pub fn response(&self) -> HttpResponse {
        error_response(self.status, self.code, &self.message, "not-run", None)
    }
}

/// Builds the answer to a request that was not run.
pub fn not_run(refused: Refused) -> HttpResponse {
    let status = match refused.reason.is_caller_limit() {
        true => StatusCode::TOO_MANY_REQUESTS,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let message = format_smolstr!(
        "the request was not run: {}; try again after {} s",
        explain(refused.reason),
        refused.retry_after.whole_secs()
    );
    let code = refused.reason.code();
    error_response(status, code, &message, "not-run", Some(refused.retry_after))
}

/// Builds the answer to a request of which nobody knows whether it was run.
pub fn unknown(doubt: UnknownReason) -> HttpResponse {
    let status = match doubt.is_timeout() {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::BAD_GATEWAY,
    };
    let message = message_of(doubt);
    error_response(
        status,
        doubt.code(),
        &message,
        "unknown",
        Some(UNKNOWN_RETRY_AFTER),
    )
}

/// Builds the last event of a stream that broke off.
pub fn error_event(doubt: UnknownReason) -> Bytes {
    let body = error_body(doubt.code(), &message_of(doubt), "unknown");
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

fn message_of(doubt: UnknownReason) -> SmolStr {
    let why = match doubt {
        UnknownReason::AgentLost => "the agent that had it was lost",
        UnknownReason::EndpointFailed => "the endpoint broke off",
        UnknownReason::Timeout => "the deadline passed while it ran",
        UnknownReason::NoReply => "no answer came in time",
        UnknownReason::KeyUndecided => {
            "a request with this Idempotency-Key may have been run before"
        }
    };
    format_smolstr!("it is not known whether the request was run: {why}")
}

fn explain(reason: Refusal) -> &'static str {
    match reason {
        Refusal::Full => "the pool is full of work of the same or a higher rank",
        Refusal::Evicted => "it made room for more urgent work",
        Refusal::DeadlineUnreachable => "its deadline cannot be met",
        Refusal::Limited => "the organisation is over its limit",
        Refusal::Leaving => "the endpoint is leaving",
        Refusal::Unavailable => "no endpoint of the pool can be reached",
        Refusal::PlatformDown => "the platform does not answer, and this class needs it",
        Refusal::Quarantined => "requests with this content have crashed endpoints",
        Refusal::Abandoned => "its caller went away",
    }
}

fn error_body(code: &str, message: &str, outcome: &str) -> serde_json::Value {
    json!({ "error": { "code": code, "message": message, "outcome": outcome } })
}

fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
    outcome: &str,
    retry_after: Option<Millis>,
) -> HttpResponse {
    let mut res = HttpResponse::build(status);
    res.insert_header((REQUEST_OUTCOME, outcome));
    if let Some(retry_after) = retry_after {
        res.insert_header((RETRY_AFTER, retry_after.whole_secs()));
    }
    res.json(error_body(code, message, outcome))
}
