//! The memory of the bodies that a front holds.
//!
//! Bodies of requests that arrive or run, of responses that are read or written, and what is buffered of
//! streams count toward one limit; see [`docs/FRONT.md`](../../../docs/FRONT.md#memory).

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use metrics::counter;
use tokio::sync::Notify;

use sesamehaven_wire::http1::{Error as WireError, Result as WireResult};

use crate::connection_pool::EndpointConnection;
use crate::front::Front;
use crate::protocol::Protocol;

/// The maximum size of a non-streamed response, in bytes.
const RESPONSE_MAX_BYTES: u64 = 16 << 20;
/// The size up to which the body of a request counts as small, in bytes.
const SMALL_BODY_BYTES: u64 = 256 << 10;

/// What a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A request.
    Request,
    /// A response whose length is known, or events for a caller.
    Response,
    /// A part of a response or of an event whose length is not known.
    Partial,
}

/// The classes of bodies, each with a part of the memory that the others cannot take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    SmallRequest,
    LargeRequest,
    Response,
    Partial,
}

impl Class {
    const COUNT: usize = 4;
    /// The reserved eighths of the memory. Small requests get in beside large ones, and requests end by their
    /// responses.
    const RESERVED_EIGHTHS: [u64; Class::COUNT] = [1, 0, 2, 0];

    fn of(holder: Holder, bytes: u64) -> Self {
        match holder {
            Holder::Request if bytes <= SMALL_BODY_BYTES => Class::SmallRequest,
            Holder::Request => Class::LargeRequest,
            Holder::Response => Class::Response,
            Holder::Partial => Class::Partial,
        }
    }
}

/// The memory of all bodies.
#[derive(Debug, Default)]
pub struct BodyMemory {
    held: Cell<[u64; Class::COUNT]>,
    max: Cell<u64>,
    released: Notify,
}

impl BodyMemory {
    /// Creates an account with a limit in bytes.
    pub fn new(max: u64) -> Self {
        BodyMemory {
            max: Cell::new(max),
            ..BodyMemory::default()
        }
    }

    /// Changes the limit; what is held stays.
    pub fn set_max(&self, max: u64) {
        self.max.set(max);
        self.released.notify_waiters();
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> u64 {
        self.held.get().iter().sum()
    }

    /// Returns what would be held if a body changed its size.
    fn after(&self, holder: Holder, from: u64, to: u64) -> [u64; Class::COUNT] {
        let mut held = self.held.get();
        held[Class::of(holder, from) as usize] -= from;
        held[Class::of(holder, to) as usize] += to;
        held
    }

    /// Returns whether a class that has grown leaves the others what is reserved for them.
    fn has_room(&self, held: &[u64; Class::COUNT], class: Class) -> bool {
        let reserved = Class::RESERVED_EIGHTHS.map(|n| self.max.get() / 8 * n);
        let taken = held.iter().zip(&reserved).map(|(h, r)| *h.max(r));
        held[class as usize] <= reserved[class as usize] || taken.sum::<u64>() <= self.max.get()
    }
}

/// The bytes of one body, which are released on drop.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Rc<BodyMemory>,
    holder: Holder,
    bytes: u64,
}

impl HeldBytes {
    /// Starts to account for a body.
    pub fn new(memory: &Rc<BodyMemory>, holder: Holder) -> Self {
        HeldBytes {
            memory: Rc::clone(memory),
            holder,
            bytes: 0,
        }
    }

    /// Changes the size of the body, and returns whether the memory has room for it; otherwise, the size stays.
    pub fn try_set(&mut self, bytes: u64) -> bool {
        let held = self.memory.after(self.holder, self.bytes, bytes);
        if bytes > self.bytes && !self.memory.has_room(&held, Class::of(self.holder, bytes)) {
            return false;
        }
        self.set(bytes);
        true
    }

    /// Waits until the memory has room for a body of a size.
    pub async fn wait_for(&mut self, bytes: u64) {
        let memory = Rc::clone(&self.memory);
        loop {
            let released = memory.released.notified();
            // A body larger than the whole memory is held alone.
            if self.try_set(bytes) || memory.held() == self.bytes {
                return self.set(bytes);
            }
            released.await;
        }
    }

    fn set(&mut self, bytes: u64) {
        let held = self.memory.after(self.holder, self.bytes, bytes);
        self.memory.held.set(held);
        if bytes < self.bytes {
            self.memory.released.notify_waiters();
        }
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A body that arrives in parts, with the memory that it takes.
#[derive(Debug)]
pub(crate) struct GrowingBody {
    buf: BytesMut,
    held: HeldBytes,
}

impl GrowingBody {
    /// Starts a body whose whole memory is accounted for already, if its size is known.
    pub(crate) fn new(held: HeldBytes) -> Self {
        let size = usize::try_from(held.bytes).unwrap_or_default();
        GrowingBody {
            buf: BytesMut::with_capacity(size),
            held,
        }
    }

    pub(crate) fn len(&self) -> u64 {
        self.buf.len() as u64
    }

    /// Adds a part, and returns whether the memory has room for it.
    pub(crate) fn push(&mut self, part: &[u8]) -> bool {
        let len = self.buf.len() + part.len();
        if len > self.buf.capacity() {
            // The old buffer is released only after its bytes are copied.
            let capacity = len + len / 2;
            if !self.held.try_set((capacity + self.buf.len()) as u64) {
                return false;
            }
            self.buf.reserve(capacity - self.buf.len());
            self.held.set(self.buf.capacity() as u64);
        }
        self.buf.extend_from_slice(part);
        true
    }

    /// Returns the body, and the memory that it takes until it is dropped.
    pub(crate) fn freeze(self) -> (Bytes, HeldBytes) {
        (self.buf.freeze(), self.held)
    }
}

/// Reads the whole body of a response.
///
/// A body of known length waits until the memory has room for it; meanwhile its endpoint cannot send it.
pub(crate) async fn read_body<P: Protocol>(
    front: &Front<P>,
    conn: &mut EndpointConnection,
) -> WireResult<(Bytes, HeldBytes)> {
    let too_long = || {
        counter!("front_bodies_too_long_total").increment(1);
        WireError::Malformed("response body is too long")
    };
    let (holder, len) = match conn.remaining_len() {
        Some(len) => (Holder::Response, len),
        None => (Holder::Partial, 0),
    };
    let mut held = HeldBytes::new(&front.body_memory, holder);
    if len > RESPONSE_MAX_BYTES {
        return Err(too_long());
    }
    held.wait_for(len).await;
    let mut body = GrowingBody::new(held);
    while let Some(part) = conn.read_part().await? {
        let is_too_long = body.len() + part.len() as u64 > RESPONSE_MAX_BYTES;
        if is_too_long || !body.push(&part) {
            return Err(too_long());
        }
    }
    Ok(body.freeze())
}
