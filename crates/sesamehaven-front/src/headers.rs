//! Filtering of the HTTP headers that pass through a front.

use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use bytes::{BufMut, Bytes, BytesMut};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::protocol::Protocol;

/// Serializes the caller's headers that are forwarded to the endpoint.
pub(crate) fn forwarded_headers<P: Protocol>(headers: &HeaderMap) -> Bytes {
    let connection_headers = connection_options(headers);
    let mut serialized = BytesMut::with_capacity(512);
    for (name, value) in headers {
        let name = name.as_str();
        if is_not_forwarded(name)
            || connection_headers.iter().any(|n| n == name)
            || !P::forwards_header(name)
        {
            continue;
        }
        serialized.put_slice(name.as_bytes());
        serialized.put_slice(b": ");
        serialized.put_slice(value.as_bytes());
        serialized.put_slice(b"\r\n");
    }
    serialized.freeze()
}

fn connection_options(headers: &HeaderMap) -> SmallVec<[SmolStr; 2]> {
    let values = headers.get_all(CONNECTION).filter_map(|v| v.to_str().ok());
    let options = values.flat_map(|v| v.split(','));
    options
        .map(|o| SmolStr::new(o.trim().to_ascii_lowercase()))
        .collect()
}

/// Returns whether a header is dropped because it concerns a single connection, or because it
/// describes how a body is sent, which the front decides itself.
fn is_not_forwarded(name: &str) -> bool {
    let names = [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ];
    names.iter().any(|k| k.as_str() == name)
        || matches!(
            name,
            "keep-alive" | "proxy-connection" | "proxy-authorization"
        )
}

/// Copies the end-to-end headers of an endpoint's response.
pub(crate) fn copy_response_headers(from: &http::HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !is_not_forwarded(name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}
