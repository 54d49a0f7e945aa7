//! HTTP headers that are forwarded between callers and endpoints.

use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use bytes::Bytes;

use sesamehaven::request_rate::RequestRate;
use sesamehaven::unit::Millis;
use sesamehaven_wire::http1::Head;
use sesamehaven_wire::message::Headers;

/// The longest time for which an endpoint is sent nothing; a longer `Retry-After` counts as this.
const RETRY_AFTER_MAX: Millis = Millis(24 * 3_600_000);

/// The header in which an endpoint names the requests per second that it takes.
const REQUEST_RATE_LIMIT: &str = "request-rate-limit";

/// Headers that are not forwarded, since they belong to a connection or to this
/// system.
const NOT_FORWARDED: [&str; 14] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "expect",
    "date",
    "request-id",
];

/// Collects the headers to forward.
pub fn to_wire<'a>(
    headers: impl IntoIterator<Item = (&'a HeaderName, &'a HeaderValue)>,
) -> Headers {
    let headers = headers.into_iter();
    let forwarded = headers.filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

/// Returns whether a response is a stream of server-sent events.
pub fn is_event_stream(head: &Head) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns for how long an endpoint that turned a request away wants no others.
///
/// `Retry-After` is in seconds, with fractions.
pub fn retry_after(head: &Head) -> Option<Millis> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let secs: f64 = head.header_str(RETRY_AFTER.as_str())?.trim().parse().ok()?;
    let is_span = secs.is_finite() && secs > 0.0;
    is_span.then(|| Millis((secs * 1_000.0).ceil() as u64).min(RETRY_AFTER_MAX))
}

/// Returns the requests per second that an endpoint takes, while its responses say so.
///
/// `Request-Rate-Limit` is a decimal number.
pub fn request_rate_limit(head: &Head) -> Option<RequestRate> {
    head.header_str(REQUEST_RATE_LIMIT)?.parse().ok()
}

fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str())
}
