//! One request at the agent: queued, running, or answered and still held.

use std::rc::Rc;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use sesamehaven::answer_buffer::AnswerBuffer;
use sesamehaven::config::PoolKind;
use sesamehaven::id::{EndpointName, KeyDigest, RequestId};
use sesamehaven::unit::Instant;
use sesamehaven_wire::link::Sender;
use sesamehaven_wire::message::{End, Frame, Head, Offer, ToEntry};

use crate::call::Pace;
use crate::peer::LinkId;
use crate::score::Prefill;

/// A reader of an answer: the entry that offered the request, or another one
/// whose caller sent the same key.
#[derive(Debug)]
pub struct Reader {
    link: LinkId,
    tx: Sender,
    next: u64,
    upto: u64,
    acked: u64,
    head_sent: bool,
    end_sent: bool,
}

impl Reader {
    /// Builds a reader that has received everything before `next`.
    pub fn new(link: LinkId, tx: Sender, next: u64, upto: u64) -> Self {
        Reader {
            link,
            tx,
            next,
            upto,
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
pub struct Run {
    /// The endpoint whose gate the request is in.
    pub endpoint: EndpointName,
    /// Whether the endpoint is a model or a plain service.
    pub kind: PoolKind,
    /// The digest of the idempotency key.
    pub key: Option<KeyDigest>,
    /// The digest of the content, by which crashing requests are known.
    pub fingerprint: u64,
    /// Whether an abandoned call has to run to its end all the same.
    pub runs_on: bool,
    /// What will be sent, until it is dispatched.
    pub offer: Option<Box<Offer>>,
    /// Ends the call, while one runs.
    pub cancel: Option<oneshot::Sender<()>>,
    /// Holds the call back while the answer waits for readers.
    pub pace: Rc<Pace>,
    /// Whether the answer is a stream of events.
    pub events: bool,
    /// Whether the first part of the answer has arrived.
    pub begun: bool,
    /// When the request is given up, because nobody waits for its answer.
    pub give_up_at: Option<Instant>,
    /// When the request was over.
    pub ended: Option<Instant>,
    /// What the endpoint prefills, once the request is dispatched.
    pub(crate) prefill: Option<Prefill>,
    /// Whether the key was claimed in the platform.
    pub claimed: bool,
    dispatched: bool,
    head: Option<Head>,
    answer: AnswerBuffer<Bytes>,
    end: Option<End>,
    readers: SmallVec<[Reader; 1]>,
}

impl Run {
    /// Builds a queued request with its first reader.
    pub fn new(offer: Box<Offer>, kind: PoolKind, max_bytes: usize, reader: Reader) -> Self {
        let mut readers = SmallVec::new();
        readers.push(reader);
        Run {
            endpoint: offer.endpoint.clone(),
            kind,
            key: offer.key,
            fingerprint: offer.fingerprint,
            runs_on: false,
            offer: Some(offer),
            cancel: None,
            pace: Rc::default(),
            events: false,
            begun: false,
            give_up_at: None,
            ended: None,
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

    /// Returns the bytes of the answer that are held.
    pub fn held_bytes(&self) -> usize {
        self.answer.len()
    }

    /// Returns whether nobody reads the answer.
    pub fn is_unread(&self) -> bool {
        self.readers.is_empty()
    }

    /// Returns whether the request is over and every reader has all of it.
    pub fn is_delivered(&self) -> bool {
        self.end.is_some() && self.readers.is_empty()
    }

    /// Adds a reader, or replaces the one of the same link.
    pub fn attach(&mut self, reader: Reader) {
        self.readers.retain(|r| r.link != reader.link);
        self.readers.push(reader);
        self.give_up_at = None;
    }

    /// Removes the reader of a link; returns whether it was the last one.
    pub fn detach(&mut self, link: LinkId) -> bool {
        let before = self.readers.len();
        self.readers.retain(|r| r.link != link);
        before > 0 && self.readers.is_empty()
    }

    /// Sends a reply to every reader.
    pub fn tell(&self, id: RequestId, reply: &ToEntry) {
        for reader in &self.readers {
            reader.send(id, reply.clone());
        }
    }

    /// Marks the request as handed to the endpoint.
    pub fn set_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// Takes the head of the answer in.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Takes the next part of the answer in.
    pub fn push(&mut self, chunk: Bytes) {
        self.begun = true;
        self.answer.push(chunk);
    }

    /// Marks the request as over.
    pub fn set_end(&mut self, end: End, now: Instant) {
        self.end = Some(end);
        self.ended = Some(now);
        self.cancel = None;
    }

    /// Takes in what a reader has received and allows.
    pub fn credit(&mut self, link: LinkId, acked: u64, upto: u64) {
        let Some(reader) = self.readers.iter_mut().find(|r| r.link == link) else {
            return;
        };
        reader.acked = reader.acked.max(acked);
        reader.upto = reader.upto.max(upto);
        let has_all = reader.end_sent && reader.acked >= self.answer.next_seq();
        if has_all {
            if let (Some(End::Complete), Some(prefill)) = (self.end, &mut self.prefill) {
                prefill.deliver();
            }
            self.readers.retain(|r| r.link != link);
        }
    }

    /// Sends every reader what it may have, and paces the call.
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
        }
        self.pace.set_full(self.answer.is_full());
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
    while reader.head_sent && reader.next < reader.upto {
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
