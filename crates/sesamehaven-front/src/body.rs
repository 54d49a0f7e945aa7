//! Bodies of responses to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// A chunk of a streamed body, or the error that cuts the stream.
pub type Chunk = io::Result<Bytes>;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(Bytes),
    /// A body that arrives in chunks.
    Stream(ChunkStream),
}

/// A chunked body, which is complete only if its last item is [`None`].
#[derive(Debug)]
pub struct ChunkStream {
    chunks: mpsc::Receiver<Option<Chunk>>,
    error: Option<io::Error>,
}

impl ChunkStream {
    /// Creates a body from the chunks that the relay task sends.
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
            // The relay task ended without marking the stream as complete.
            Poll::Ready(None) => io::ErrorKind::ConnectionAborted.into(),
            Poll::Pending => return Poll::Pending,
        };
        // An error discards data that is still unwritten, so earlier chunks are flushed first.
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
