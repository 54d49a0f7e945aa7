//! A request at the agent: queued, running, or finished with its answer still held.

use std::rc::Rc;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use sesamehaven::answer_buffer::AnswerBuffer;
use sesamehaven::config::PoolKind;
use sesamehaven::id::{EndpointName, KeyDigest, RequestId};
use sesamehaven::part_quarantine::{PartIds, PoolId};
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::link::Sender;
use sesamehaven_wire::message::{End, Frame, Head, Offer, ToEntry};

use crate::call::Backpressure;
use crate::peer::LinkId;
use crate::slo::PrefillTracker;

/// A reader of an answer: the entry that offered the request, or another entry that
/// received the same key.
#[derive(Debug)]
pub struct Reader {
    link: LinkId,
    tx: Sender,
    next: u64,
    window_end: u64,
    acked: u64,
    head_sent: bool,
    end_sent: bool,
}

impl Reader {
    /// Creates a reader that has received every chunk before `next`.
    pub fn new(link: LinkId, tx: Sender, next: u64, window_end: u64) -> Self {
        Reader {
            link,
            tx,
            next,
            window_end,
            acked: next,
            head_sent: next > 0,
            end_sent: false,
        }
    }

    fn send(&self, id: RequestId, reply: ToEntry) -> bool {
        self.tx.try_send(Frame::Reply(id, reply)).is_ok()
    }
}

/// A request at the agent.
#[derive(Debug)]
pub struct Execution {
    /// The endpoint whose gate admitted the request.
    pub endpoint: EndpointName,
    /// Whether the endpoint serves a model or a plain service.
    pub kind: PoolKind,
    /// The digest of the idempotency key.
    pub key: Option<KeyDigest>,
    /// The digest of the content, which identifies requests that crash endpoints.
    pub fingerprint: u64,
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The parts of the prompt that other requests may share.
    pub parts: PartIds,
    /// When the request was handed to the endpoint.
    pub sent_at: Instant,
    /// When the first chunk of the answer arrived.
    pub began_at: Option<Instant>,
    /// Whether it is known that the endpoint survived the beginning of the answer.
    pub is_survived: bool,
    /// Whether the call has to complete even if no reader is left.
    pub must_complete: bool,
    /// Whether part of the answer was dropped, since nobody read it and it did not end.
    pub is_overlong: bool,
    /// The request to send, until it is dispatched.
    pub offer: Option<Box<Offer>>,
    /// Cancels the running call.
    pub cancel: Option<oneshot::Sender<()>>,
    /// Pauses the call while the answer buffer is full.
    pub backpressure: Rc<Backpressure>,
    /// Whether the answer is a stream of events.
    pub events: bool,
    /// Whether the first chunk of the answer has arrived.
    pub started: bool,
    /// When the request is withdrawn or cancelled, unless a reader attaches before or
    /// it must complete.
    pub abandon_at: Option<Instant>,
    /// When the request ended.
    pub ended_at: Option<Instant>,
    /// Accounts for the prefill, once the request is dispatched.
    pub(crate) prefill: Option<PrefillTracker>,
    /// Whether the key was claimed at the platform.
    pub claimed: bool,
    dispatched: bool,
    head: Option<Head>,
    answer: AnswerBuffer<Bytes>,
    end: Option<End>,
    readers: SmallVec<[Reader; 1]>,
}

impl Execution {
    /// Creates a queued request with its first reader.
    pub fn new(offer: Box<Offer>, kind: PoolKind, max_bytes: usize, reader: Reader) -> Self {
        let mut readers = SmallVec::new();
        readers.push(reader);
        Execution {
            endpoint: offer.endpoint.clone(),
            kind,
            key: offer.key,
            fingerprint: offer.fingerprint,
            pool: PoolId::new(offer.pool.as_str()),
            parts: offer.parts.clone(),
            sent_at: Instant::default(),
            began_at: None,
            is_survived: false,
            must_complete: false,
            is_overlong: false,
            offer: Some(offer),
            cancel: None,
            backpressure: Rc::default(),
            events: false,
            started: false,
            abandon_at: None,
            ended_at: None,
            prefill: None,
            claimed: false,
            dispatched: false,
            head: None,
            answer: AnswerBuffer::new(max_bytes),
            end: None,
            readers,
        }
    }

    /// Returns whether the request has been handed to the endpoint.
    pub fn is_dispatched(&self) -> bool {
        self.dispatched
    }

    /// Returns the number of bytes of the answer that are held.
    pub fn held_bytes(&self) -> usize {
        self.answer.len()
    }

    /// Returns whether the answer has no readers.
    pub fn has_no_readers(&self) -> bool {
        self.readers.is_empty()
    }

    /// Returns whether the request has ended and no reader is left.
    pub fn has_ended_without_readers(&self) -> bool {
        self.end.is_some() && self.readers.is_empty()
    }

    /// Adds a reader, or replaces the one of the same link.
    pub fn attach(&mut self, reader: Reader) {
        self.readers.retain(|r| r.link != reader.link);
        self.readers.push(reader);
        self.abandon_at = None;
    }

    /// Removes the reader of a link, and returns whether it was the last one.
    pub fn detach(&mut self, link: LinkId) -> bool {
        let before = self.readers.len();
        self.readers.retain(|r| r.link != link);
        before > 0 && self.readers.is_empty()
    }

    /// Sends a reply to every reader.
    pub fn broadcast(&self, id: RequestId, reply: &ToEntry) {
        for reader in &self.readers {
            reader.send(id, reply.clone());
        }
    }

    /// Marks the request as handed to the endpoint.
    pub fn set_dispatched(&mut self, now: Instant) {
        self.dispatched = true;
        self.sent_at = now;
    }

    /// Returns whether the head of the answer reports success.
    pub fn is_success(&self) -> bool {
        let head = self.head.as_ref();
        head.is_some_and(|head| (200..300).contains(&head.status))
    }

    /// Returns whether the answer began at least `span` ago.
    pub fn is_answered_for(&self, span: Millis, now: Instant) -> bool {
        self.began_at.is_some_and(|at| now.since(at) >= span)
    }

    /// Sets the head of the answer.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Appends the next chunk of the answer.
    pub fn push(&mut self, chunk: Bytes) {
        self.started = true;
        self.answer.push(chunk);
    }

    /// Marks the request as ended.
    pub fn finish(&mut self, end: End, now: Instant) {
        self.end = Some(end);
        self.ended_at = Some(now);
        self.cancel = None;
    }

    /// Handles a reader's acknowledgement and credit.
    pub fn credit(&mut self, link: LinkId, acked: u64, window_end: u64) {
        let Some(reader) = self.readers.iter_mut().find(|r| r.link == link) else {
            return;
        };
        reader.acked = reader.acked.max(acked);
        reader.window_end = reader.window_end.max(window_end);
        let has_all = reader.end_sent && reader.acked >= self.answer.next_seq();
        if has_all {
            if let (Some(End::Complete), Some(prefill)) = (self.end, &mut self.prefill) {
                prefill.count();
            }
            self.readers.retain(|r| r.link != link);
        }
    }

    /// Sends each reader the chunks that its credit allows, and updates the
    /// backpressure on the call.
    pub fn pump(&mut self, id: RequestId) {
        for reader in &mut self.readers {
            pump_reader(id, reader, self.head.as_ref(), &self.answer, self.end);
        }
        let slowest = self.readers.iter().map(|r| r.acked).min();
        if let Some(acked) = slowest {
            self.answer.trim(acked);
        }
        if self.readers.is_empty() && self.answer.is_full() {
            self.answer.clear();
            self.is_overlong = true;
        }
        self.backpressure.set_full(self.answer.is_full());
    }
}

fn pump_reader(
    id: RequestId,
    reader: &mut Reader,
    head: Option<&Head>,
    answer: &AnswerBuffer<Bytes>,
    end: Option<End>,
) {
    if let (false, Some(head)) = (reader.head_sent, head) {
        reader.head_sent = reader.send(id, ToEntry::Head(head.clone()));
    }
    if reader.next < answer.first_seq() && !reader.end_sent {
        let end = End::Evicted;
        let chunks = reader.next;
        reader.end_sent = reader.send(id, ToEntry::End { chunks, end });
        return;
    }
    while reader.head_sent && reader.next < reader.window_end {
        let Some(data) = answer.get(reader.next).cloned() else {
            break;
        };
        let seq = reader.next;
        if !reader.send(id, ToEntry::Chunk { seq, data }) {
            return;
        }
        reader.next += 1;
    }
    let Some(end) = end else {
        return;
    };
    if !reader.end_sent && reader.next == answer.next_seq() {
        let chunks = reader.next;
        reader.end_sent = reader.send(id, ToEntry::End { chunks, end });
    }
}
