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
    /// A body that comes in parts.
    Stream(Stream),
}

/// A stream, which is whole only when its last part is [`None`].
#[derive(Debug)]
pub struct Stream {
    parts: mpsc::Receiver<Option<Part>>,
    broken: Option<io::Error>,
}

impl Stream {
    /// Builds a stream of the parts that a relay sends.
    pub fn new(parts: mpsc::Receiver<Option<Part>>) -> Self {
        Stream {
            parts,
            broken: None,
        }
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Part>> {
        if let Some(err) = self.broken.take() {
            return Poll::Ready(Some(Err(err)));
        }
        let err = match self.parts.poll_recv(cx) {
            Poll::Ready(Some(Some(Err(err)))) => err,
            Poll::Ready(Some(part)) => return Poll::Ready(part),
            // The relay ended without saying that the stream is whole.
            Poll::Ready(None) => io::ErrorKind::ConnectionAborted.into(),
            Poll::Pending => return Poll::Pending,
        };
        // An error drops what was not written yet, so the parts before it go out first.
        self.broken = Some(err);
        cx.waker().wake_by_ref();
        Poll::Pending
    }
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
            Body::Stream(stream) => stream.poll_part(cx),
        }
    }
}
