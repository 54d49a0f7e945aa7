//! The numbered parts of an answer, kept so that a stream can be resumed.

use std::collections::VecDeque;

/// The parts of an answer that are still held, within a bound.
///
/// Everything is kept while it fits, so that a second sender of the same key can
/// be given the whole answer. Beyond the bound, parts that the reader has
/// acknowledged are dropped first; what nobody has read yet is not dropped but
/// asks the source to wait.
#[derive(Debug, Clone)]
pub struct AnswerBuffer<B> {
    first: u64,
    chunks: VecDeque<B>,
    len: usize,
    max_bytes: usize,
}

impl<B: AsRef<[u8]>> AnswerBuffer<B> {
    /// Builds an empty answer that holds about `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        AnswerBuffer {
            first: 0,
            chunks: VecDeque::new(),
            len: 0,
            max_bytes,
        }
    }

    /// Returns the number of the first part that is still held.
    pub fn first_seq(&self) -> u64 {
        self.first
    }

    /// Returns the number that the next part will have.
    pub fn next_seq(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// Returns the bytes that are held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns whether the source should wait before it sends more.
    pub fn is_full(&self) -> bool {
        self.len >= self.max_bytes
    }

    /// Adds a part.
    pub fn push(&mut self, chunk: B) {
        self.len += chunk.as_ref().len();
        self.chunks.push_back(chunk);
    }

    /// Returns a part, if it is held.
    pub fn get(&self, seq: u64) -> Option<&B> {
        let i = seq.checked_sub(self.first)?;
        self.chunks.get(usize::try_from(i).ok()?)
    }

    /// Drops acknowledged parts as far as the bound asks for it.
    pub fn trim(&mut self, acked: u64) {
        while self.first < acked && self.is_full() {
            self.drop_first();
        }
    }

    /// Drops everything, when the answer is not worth its memory any more.
    pub fn clear(&mut self) {
        while !self.chunks.is_empty() {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some(chunk) = self.chunks.pop_front() else {
            return;
        };
        self.first += 1;
        self.len -= chunk.as_ref().len();
    }
}
