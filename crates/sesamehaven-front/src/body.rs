//! The bodies of answers to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// A part of a stream, or the reason why it breaks off.
pub type Part = io::Result<Bytes>;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// A body that is whole.
    Whole(Bytes),
    /// A stream, which is whole only when its last part is [`None`].
    Stream(mpsc::Receiver<Option<Part>>),
}

impl MessageBody for Body {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        match self {
            Body::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Body::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Part>> {
        match &mut *self {
            Body::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Whole(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Body::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(part) => part,
                // The relay ended without saying that the stream is whole.
                None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
        }
    }
}
