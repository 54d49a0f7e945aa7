//! Splitting of server-sent event streams, so that a stream is only ever cut between events.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Buffers a partial event until it is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// The start of the first line in the buffer that is not known to be complete.
    line_start: usize,
    /// The number of bytes in the buffer that were searched for the end of that line.
    ///
    /// Searching a large event again with each part of it would take time quadratic in its length.
    searched: usize,
    /// The events that are complete and not handed out yet, with empty lines between them.
    complete: BytesMut,
    /// Whether there is an event among them.
    has_event: bool,
    /// The id of the last event that the caller has; events up to it are dropped.
    last_id: Option<u64>,
    /// Whether an event with an id has to come first, since the events go on with those of another endpoint.
    needs_id: bool,
}

/// The reason why a stream cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum length.
    TooLong,
    /// An event is missing.
    Gap,
    /// What follows is not of the stream that it should go on with.
    Foreign,
}

impl Splitter {
    /// Creates a splitter for a caller that has received the events up to `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Splitter {
            last_id,
            ..Splitter::default()
        }
    }

    /// Creates a splitter for what another endpoint sends in the middle of a stream.
    pub fn continue_after(last_id: Option<u64>) -> Self {
        Splitter {
            needs_id: last_id.is_some(),
            ..Splitter::resume_after(last_id)
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buf.len() + self.complete.len()
    }

    /// Returns whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// Empty lines complete no event. They are returned with the next one, so that an endpoint that
    /// sends nothing else counts as stalled.
    ///
    /// # Errors
    ///
    /// Fails if an event is missing, does not belong to the stream or exceeds the maximum length; the events before it are left to
    /// [`take_complete`](Splitter::take_complete).
    pub fn push(&mut self, chunk: &Bytes) -> Result<Option<Bytes>, EventError> {
        self.buf.extend_from_slice(chunk);
        while let Some(len) = self.next_event_len() {
            let event = self.buf.split_to(len);
            match (event_id(&event), self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => return Err(EventError::Gap),
                (Some(id), _) => {
                    self.last_id = Some(id);
                    self.needs_id = false;
                }
                (None, _) if self.needs_id && !is_comment(&event) => {
                    return Err(EventError::Foreign);
                }
                (None, _) => {}
            }
            self.has_event |= !is_empty_line(&event);
            if self.complete.is_empty() {
                self.complete = event;
            } else {
                self.complete.extend_from_slice(&event);
            }
        }
        let empty_lines = if self.has_event {
            0
        } else {
            self.complete.len()
        };
        if self.buf.len() + empty_lines > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        match self.has_event {
            true => Ok(self.take_complete()),
            false => Ok(None),
        }
    }

    /// Takes the events that are complete and have not been handed out, or empty lines.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        self.has_event = false;
        let complete = std::mem::take(&mut self.complete);
        (!complete.is_empty()).then(|| complete.freeze())
    }

    /// Returns the length of the first event, including the blank line that ends it.
    fn next_event_len(&mut self) -> Option<usize> {
        while let Some(len) = self.buf[self.searched..].iter().position(|b| *b == b'\n') {
            let end = self.searched + len;
            let line = &self.buf[self.line_start..end];
            let ends_event = line.is_empty() || line == b"\r";
            (self.line_start, self.searched) = (end + 1, end + 1);
            if ends_event {
                (self.line_start, self.searched) = (0, 0);
                return Some(end + 1);
            }
        }
        self.searched = self.buf.len();
        None
    }
}

fn is_empty_line(event: &[u8]) -> bool {
    matches!(event, b"\n" | b"\r\n")
}

/// Returns whether a block has no fields, only comments and empty lines.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.all(|l| matches!(l, b"" | b"\r") || l.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let id = event
        .split(|b| *b == b'\n')
        .find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
