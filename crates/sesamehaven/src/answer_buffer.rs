//! A buffer of the numbered chunks of a response, from which a stream can be resumed.

use std::collections::VecDeque;

/// The buffered chunks of a response, within a size limit.
///
/// All chunks are retained while they fit, so that a duplicate request with the same
/// key can receive the whole response. Above the limit, chunks that the reader has
/// acknowledged are dropped. Unread chunks are never dropped to make room; instead,
/// the source must pause.
#[derive(Debug, Clone)]
pub struct AnswerBuffer<B> {
    first_seq: u64,
    chunks: VecDeque<B>,
    len: usize,
    max_bytes: usize,
}

impl<B: AsRef<[u8]>> AnswerBuffer<B> {
    /// Creates an empty buffer with a soft limit of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        AnswerBuffer {
            first_seq: 0,
            chunks: VecDeque::new(),
            len: 0,
            max_bytes,
        }
    }

    /// Returns the sequence number of the first buffered chunk.
    pub fn first_seq(&self) -> u64 {
        self.first_seq
    }

    /// Returns the sequence number of the next chunk to be pushed.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + self.chunks.len() as u64
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no chunks are buffered.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns whether the buffer has reached its limit, so that the source should pause.
    pub fn is_full(&self) -> bool {
        self.len >= self.max_bytes
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: B) {
        self.len += chunk.as_ref().len();
        self.chunks.push_back(chunk);
    }

    /// Returns the chunk with the given sequence number, if it is buffered.
    pub fn get(&self, seq: u64) -> Option<&B> {
        let i = seq.checked_sub(self.first_seq)?;
        self.chunks.get(usize::try_from(i).ok()?)
    }

    /// Drops acknowledged chunks until the buffer is below its limit.
    ///
    /// `acked` is the sequence number after the last acknowledged chunk.
    pub fn trim(&mut self, acked: u64) {
        while self.first_seq < acked && self.is_full() {
            self.drop_first();
        }
    }

    /// Drops all chunks, when the response is no longer worth its memory.
    pub fn clear(&mut self) {
        while !self.chunks.is_empty() {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some(chunk) = self.chunks.pop_front() else {
            return;
        };
        self.first_seq += 1;
        self.len -= chunk.as_ref().len();
    }
}
