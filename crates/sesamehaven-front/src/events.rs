//! Splitting of server-sent event streams, so that a stream is only ever cut between events.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Buffers a partial event until it is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// The events that are complete and not handed out yet.
    complete: BytesMut,
    /// The id of the last event that the caller has; events up to it are dropped.
    last_id: Option<u64>,
}

/// The reason why a stream cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum length.
    TooLong,
    /// An event is missing.
    Gap,
}

impl Splitter {
    /// Creates a splitter for a caller that has received the events up to `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Splitter {
            buf: BytesMut::new(),
            complete: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails if an event is missing or exceeds the maximum length; the events before it are left to
    /// [`take_complete`](Splitter::take_complete).
    pub fn push(&mut self, chunk: &Bytes) -> Result<Option<Bytes>, EventError> {
        self.buf.extend_from_slice(chunk);
        while let Some(len) = event_len(&self.buf) {
            let event = self.buf.split_to(len);
            match (event_id(&event), self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => return Err(EventError::Gap),
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            if self.complete.is_empty() {
                self.complete = event;
            } else {
                self.complete.extend_from_slice(&event);
            }
        }
        if self.buf.len() > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(self.take_complete())
    }

    /// Takes the events that are complete and have not been handed out.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let complete = std::mem::take(&mut self.complete);
        (!complete.is_empty()).then(|| complete.freeze())
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let id = event
        .split(|b| *b == b'\n')
        .find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
