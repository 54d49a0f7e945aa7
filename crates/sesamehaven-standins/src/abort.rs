//! Responses that close the connection before any byte is sent, as a crash does.

use std::io;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;

/// Builds a response whose body fails immediately, so that the server drops
/// the connection before it sends the head.
pub fn aborted_response() -> HttpResponse {
    HttpResponse::Ok().streaming(stream::once(async {
        Err::<Bytes, _>(connection_aborted())
    }))
}

/// Returns the body error on which the server drops the connection.
pub fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
