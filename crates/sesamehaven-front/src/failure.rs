//! Error responses of the front itself.

use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use serde::Serialize;

use sesamehaven::unit::Millis;

use crate::body::Body;

/// The response header that says whether the request may have run.
const REQUEST_OUTCOME: HeaderName = HeaderName::from_static("request-outcome");

/// The result of a step in serving a request.
pub type ServeResult<T> = Result<T, Failure>;

/// Describes why a request gets no response from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// The machine-readable error code.
    pub code: &'static str,
    /// The human-readable description.
    pub message: &'static str,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Millis>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
    outcome: &'a str,
}

impl Failure {
    /// Creates a 503 for a request that has not run and may be retried.
    pub fn unavailable(code: &'static str, message: &'static str, retry_after: Millis) -> Self {
        Failure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            message,
            may_have_run: false,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a 503 for a request that has not run and would not run later either.
    pub fn not_resumable(code: &'static str, message: &'static str) -> Self {
        Failure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            message,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Creates the response to an invalid request.
    pub fn client_error(status: StatusCode, code: &'static str, message: &'static str) -> Self {
        Failure {
            status,
            code,
            message,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Creates the response to a request that may or may not have run.
    pub fn outcome_unknown(status: StatusCode, code: &'static str, message: &'static str) -> Self {
        Failure {
            status,
            code,
            message,
            may_have_run: true,
            retry_after: None,
        }
    }

    /// Builds the HTTP response.
    pub fn response(&self) -> Response<Body> {
        let outcome = if self.may_have_run {
            "unknown"
        } else {
            "not-run"
        };
        let error = ErrorDetail {
            code: self.code,
            message: self.message,
            outcome,
        };
        let body = serde_json::to_vec(&ErrorBody { error }).unwrap_or_default();
        let mut res = Response::with_body(self.status, Body::Full(Bytes::from(body)));
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(REQUEST_OUTCOME, HeaderValue::from_static(outcome));
        if let Some(wait) = self.retry_after {
            let secs = format!("{}.{:03}", wait.0 / 1_000, wait.0 % 1_000);
            if let Ok(value) = HeaderValue::from_str(&secs) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        res
    }
}

/// Closes the connection after this response.
pub fn close_connection(res: &mut Response<Body>) {
    res.head_mut().set_connection_type(ConnectionType::Close);
}
