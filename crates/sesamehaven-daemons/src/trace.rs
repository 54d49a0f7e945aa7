//! Trace context of a request, from its caller to its endpoint.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::Bytes;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::id::RequestId;
use sesamehaven_wire::message::Headers;

const TRACEPARENT: &str = "traceparent";

/// Returns the caller's trace context, or adds a new one to the headers if it is
/// missing or invalid.
pub fn ensure_traceparent(headers: &mut Headers) -> SmolStr {
    let given = headers.iter().position(|(name, _)| name == TRACEPARENT);
    if let Some(i) = given {
        let text = std::str::from_utf8(&headers[i].1).unwrap_or_default();
        if is_valid(text) {
            return text.into();
        }
        headers.remove(i);
    }
    let trace: u128 = rand::random::<u128>().max(1);
    let span: u64 = rand::random::<u64>().max(1);
    let generated = format_smolstr!("00-{trace:032x}-{span:016x}-01");
    headers.push((
        TRACEPARENT.into(),
        Bytes::copy_from_slice(generated.as_bytes()),
    ));
    generated
}

/// Adds the trace context and the request id to a response.
pub fn set_response_headers(headers: &mut HeaderMap, traceparent: &str, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(traceparent) {
        headers.insert(HeaderName::from_static(TRACEPARENT), value);
    }
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(HeaderName::from_static("request-id"), value);
    }
}

fn is_valid(text: &str) -> bool {
    let mut fields = text.split('-');
    let hex = |field: Option<&str>, len: usize| {
        field.is_some_and(|f| f.len() == len && f.bytes().all(|b| b.is_ascii_hexdigit()))
    };
    hex(fields.next(), 2)
        && hex(fields.next(), 32)
        && hex(fields.next(), 16)
        && hex(fields.next(), 2)
}
