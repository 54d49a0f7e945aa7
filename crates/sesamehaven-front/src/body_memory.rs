//! The memory of the bodies that a front holds.

use std::cell::Cell;

use bytes::Bytes;
use metrics::counter;
use smallvec::SmallVec;

use sesamehaven_wire::http1::{Error as WireError, Result as WireResult};

use crate::connection_pool::EndpointConnection;
use crate::front::Front;
use crate::protocol::Protocol;

/// The maximum size of a non-streamed response, in bytes.
const RESPONSE_MAX_BYTES: u64 = 16 << 20;
/// Reads a whole body while the bodies that the front holds fit into its memory.
pub(crate) async fn read_body<P: Protocol>(
    front: &Front<P>,
    conn: &mut EndpointConnection,
) -> WireResult<Bytes> {
    let max_total = front.settings.borrow().max_body_memory.0;
    let mut held = BodyMemoryGuard::new(&front.body_bytes, 0);
    let mut parts: SmallVec<[Bytes; 4]> = SmallVec::new();
    while let Some(part) = conn.read_part().await? {
        held.add(part.len() as u64);
        if held.bytes > RESPONSE_MAX_BYTES || front.body_bytes.get() > max_total {
            counter!("front_bodies_too_long_total").increment(1);
            return Err(WireError::Malformed("response body is too long"));
        }
        parts.push(part);
    }
    match parts.as_slice() {
        [only] => Ok(only.clone()),
        _ => Ok(Bytes::from(parts.concat())),
    }
}

/// Accounts for the bytes of a request's body while it is being dispatched, or of a response's while it
/// is being read.
pub(crate) struct BodyMemoryGuard<'a> {
    total: &'a Cell<u64>,
    bytes: u64,
}

impl<'a> BodyMemoryGuard<'a> {
    pub(crate) fn new(total: &'a Cell<u64>, bytes: u64) -> Self {
        total.set(total.get() + bytes);
        BodyMemoryGuard { total, bytes }
    }

    fn add(&mut self, bytes: u64) {
        self.total.set(self.total.get() + bytes);
        self.bytes += bytes;
    }
}

impl Drop for BodyMemoryGuard<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}
