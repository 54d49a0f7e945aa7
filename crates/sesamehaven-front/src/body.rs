//! Bodies of responses to callers.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::{Semaphore, SemaphorePermit, mpsc};

/// The maximum number of chunks buffered for a slow caller.
const CHUNK_QUEUE_CAPACITY: usize = 16;
/// The maximum number of bytes buffered for a slow caller, unless a single chunk is longer.
const CHUNK_QUEUE_BYTES: u32 = 256 << 10;

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

/// An item of the queue of a streamed body.
#[derive(Debug)]
enum Item {
    /// A chunk, and its share of the bytes that may be buffered.
    Chunk(Bytes, u32),
    Complete,
}

/// The sending side of a streamed body, which is cut if the sender is dropped before its end.
#[derive(Debug)]
pub struct ChunkSender {
    items: mpsc::Sender<Item>,
    free_bytes: Rc<Semaphore>,
}

/// The receiver of a streamed body is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

impl ChunkSender {
    /// Sends a chunk, once the chunks before it leave room.
    ///
    /// # Errors
    ///
    /// Fails if the receiver is gone.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        let bytes = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
        let bytes = bytes.min(CHUNK_QUEUE_BYTES);
        let permit = self.free_bytes.acquire_many(bytes).await;
        permit
            .map(SemaphorePermit::forget)
            .map_err(|_| Disconnected)?;
        self.send_item(Item::Chunk(chunk, bytes)).await
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Fails if the receiver is gone.
    pub async fn complete(&self) -> Result<(), Disconnected> {
        self.send_item(Item::Complete).await
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.items.closed().await;
    }

    async fn send_item(&self, item: Item) -> Result<(), Disconnected> {
        self.items.send(item).await.map_err(|_| Disconnected)
    }
}

/// A chunked body, which is complete only if its sender has marked it so.
#[derive(Debug)]
pub struct ChunkStream {
    items: mpsc::Receiver<Item>,
    free_bytes: Rc<Semaphore>,
    error: Option<io::Error>,
}

impl ChunkStream {
    /// Creates a body and its sender.
    pub fn channel() -> (ChunkSender, Self) {
        let (tx, items) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
        let free_bytes = Rc::new(Semaphore::new(CHUNK_QUEUE_BYTES as usize));
        let sender = ChunkSender {
            items: tx,
            free_bytes: Rc::clone(&free_bytes),
        };
        let stream = ChunkStream {
            items,
            free_bytes,
            error: None,
        };
        (sender, stream)
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        if let Some(err) = self.error.take() {
            return Poll::Ready(Some(Err(err)));
        }
        match self.items.poll_recv(cx) {
            Poll::Ready(Some(Item::Chunk(chunk, bytes))) => {
                self.free_bytes.add_permits(bytes as usize);
                return Poll::Ready(Some(Ok(chunk)));
            }
            Poll::Ready(Some(Item::Complete)) => return Poll::Ready(None),
            Poll::Ready(None) => {}
            Poll::Pending => return Poll::Pending,
        }
        // The relay task ended without marking the stream as complete.
        // An error discards data that is still unwritten, so earlier chunks are flushed first.
        self.error = Some(io::ErrorKind::ConnectionAborted.into());
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
