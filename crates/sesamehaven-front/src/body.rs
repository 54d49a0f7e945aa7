//! The bodies of answers to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// A part of a stream, or the reason why it breaks off.
pub type Chunk = io::Result<Bytes>;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// A body that is whole.
    Full(Bytes),
    /// A body that comes in parts.
    Stream(ChunkStream),
}

/// A stream, which is whole only when its last part is [`None`].
#[derive(Debug)]
pub struct ChunkStream {
    chunks: mpsc::Receiver<Option<Chunk>>,
    error: Option<io::Error>,
}

impl ChunkStream {
    /// Builds a stream of the parts that a relay sends.
    pub fn new(chunks: mpsc::Receiver<Option<Chunk>>) -> Self {
        ChunkStream {
            chunks,
            error: None,
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        if let Some(err) = self.error.take() {
            return Poll::Ready(Some(Err(err)));
        }
        let err = match self.chunks.poll_recv(cx) {
            Poll::Ready(Some(Some(Err(err)))) => err,
            Poll::Ready(Some(chunk)) => return Poll::Ready(chunk),
            // The relay ended without saying that the stream is whole.
            Poll::Ready(None) => io::ErrorKind::ConnectionAborted.into(),
            Poll::Pending => return Poll::Pending,
        };
        // An error drops what was not written yet, so the parts before it go out first.
        self.error = Some(err);
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl MessageBody for Body {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        match self {
            Body::Full(bytes) => BodySize::Sized(bytes.len() as u64),
            Body::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        match &mut *self {
            Body::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Full(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Body::Stream(stream) => stream.poll_chunk(cx),
        }
    }
}
