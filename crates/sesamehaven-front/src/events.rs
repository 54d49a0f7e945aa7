//! Server-sent events, taken apart at their ends so that a stream breaks between events only.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until its end has come, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Holds back what has come of an event until its end has come.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// The last event that the caller has; events up to it are dropped.
    last_id: Option<u64>,
}

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than any that is expected.
    TooLong,
    /// The events do not follow each other.
    Gap,
}

impl Splitter {
    /// Builds a splitter for a caller that has the events up to `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Splitter {
            buf: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last event that was taken.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether part of an event is held back.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops what is held back, since another endpoint sends the event anew.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Takes in bytes and returns the events that are whole by now.
    ///
    /// # Errors
    ///
    /// Fails when an event is missing or never ends.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Option<Bytes>, EventError> {
        self.buf.extend_from_slice(chunk);
        let mut complete = BytesMut::new();
        while let Some(len) = event_len(&self.buf) {
            let event = self.buf.split_to(len);
            match (event_id(&event), self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => return Err(EventError::Gap),
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            if complete.is_empty() {
                complete = event;
            } else {
                complete.extend_from_slice(&event);
            }
        }
        if self.buf.len() > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        Ok((!complete.is_empty()).then(|| complete.freeze()))
    }
}

/// Returns the length of the first event, with the blank line that ends it.
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
