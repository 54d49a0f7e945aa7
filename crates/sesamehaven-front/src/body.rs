//! Bodies of responses to callers.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::Payload;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::{Semaphore, SemaphorePermit, mpsc};

use crate::body_memory::{BodyMemory, HeldBytes, Holder};

/// The maximum number of chunks buffered for a slow caller.
const CHUNK_QUEUE_CAPACITY: usize = 16;
/// The maximum number of bytes buffered for a slow caller, unless a single chunk is longer.
const CHUNK_QUEUE_BYTES: u32 = 256 << 10;

/// The size of the parts in which a complete body is handed to the connection.
const PART_BYTES: usize = 64 << 10;

/// A chunk of a streamed body, or the error that cuts the stream.
pub type Chunk = io::Result<Bytes>;

/// The body of a response.
pub enum Body {
    /// A complete body.
    Full(Bytes),
    /// A complete body that counts toward the memory of bodies until it is written.
    Held(Bytes, HeldBytes),
    /// A complete body after which the connection is closed, as the rest of the request is not read.
    ///
    /// The connection goes on reading a chunked request whose payload has been dropped.
    Closing(Bytes, Payload),
    /// A body that arrives in chunks.
    Stream(ChunkStream),
}

/// An item of the queue of a streamed body.
#[derive(Debug)]
enum Item {
    Chunk {
        bytes: Bytes,
        /// Its share of the bytes that may be buffered for the caller.
        permits: u32,
        _held: HeldBytes,
    },
    Complete,
}

/// The sending side of a streamed body, which is cut if the sender is dropped before its end.
#[derive(Debug)]
pub struct ChunkSender {
    items: mpsc::Sender<Item>,
    free_bytes: Rc<Semaphore>,
    memory: Rc<BodyMemory>,
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
        let permits = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
        let permits = permits.min(CHUNK_QUEUE_BYTES);
        let permit = self.free_bytes.acquire_many(permits).await;
        permit
            .map(SemaphorePermit::forget)
            .map_err(|_| Disconnected)?;
        let mut held = HeldBytes::new(&self.memory, Holder::Response);
        held.wait_for(chunk.len() as u64).await;
        let item = Item::Chunk {
            bytes: chunk,
            permits,
            _held: held,
        };
        self.send_item(item).await
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
    pub fn channel(memory: &Rc<BodyMemory>) -> (ChunkSender, Self) {
        let (tx, items) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
        let free_bytes = Rc::new(Semaphore::new(CHUNK_QUEUE_BYTES as usize));
        let sender = ChunkSender {
            items: tx,
            free_bytes: Rc::clone(&free_bytes),
            memory: Rc::clone(memory),
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
            Poll::Ready(Some(Item::Chunk { bytes, permits, .. })) => {
                self.free_bytes.add_permits(permits as usize);
                return Poll::Ready(Some(Ok(bytes)));
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

impl Body {
    /// Closes the connection after this body, since the payload of the request is not read to its end.
    pub fn close_unread(self, payload: Payload) -> Self {
        match self {
            Body::Full(bytes) => Body::Closing(bytes, payload),
            other => other,
        }
    }

    /// Returns whether the caller must go on reading, since the body holds memory meanwhile.
    pub fn is_supervised(&self) -> bool {
        match self {
            Body::Full(_) | Body::Closing(..) => false,
            Body::Held(bytes, _) => bytes.len() > PART_BYTES,
            Body::Stream(_) => true,
        }
    }
}

impl MessageBody for Body {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        match self {
            Body::Full(bytes) | Body::Held(bytes, _) | Body::Closing(bytes, _) => {
                BodySize::Sized(bytes.len() as u64)
            }
            Body::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        match &mut *self {
            Body::Full(bytes) | Body::Held(bytes, _) | Body::Closing(bytes, _)
                if bytes.is_empty() =>
            {
                Poll::Ready(None)
            }
            Body::Full(bytes) | Body::Closing(bytes, _) => {
                Poll::Ready(Some(Ok(std::mem::take(bytes))))
            }
            // The connection copies what it gets, so it gets only what it may send soon.
            Body::Held(bytes, _) => {
                let len = bytes.len().min(PART_BYTES);
                Poll::Ready(Some(Ok(bytes.split_to(len))))
            }
            Body::Stream(stream) => stream.poll_chunk(cx),
        }
    }
}
