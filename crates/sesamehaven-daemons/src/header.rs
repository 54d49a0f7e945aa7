//! HTTP headers that are forwarded between callers and endpoints.

use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName};
use bytes::Bytes;

use sesamehaven_wire::message::Headers;

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
pub fn to_wire(headers: &HeaderMap) -> Headers {
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
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
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str())
}
