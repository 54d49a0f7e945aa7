//! Answers that close the connection without a byte, as a crash would.

use std::io;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;

/// Builds an answer whose body fails at once, so that the server drops the
/// connection before it has sent the head.
pub fn aborted_response() -> HttpResponse {
    HttpResponse::Ok().streaming(stream::once(async {
        Err::<Bytes, _>(connection_aborted())
    }))
}

/// The error that makes the server drop a connection.
pub fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
