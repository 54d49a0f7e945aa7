//! Messages between the entry's actor and the HTTP threads.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix::{Addr, Message};
use actix_web::Error;
use actix_web::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use sesamehaven::config::{Limits, Repeat};
use sesamehaven::id::{ClassName, KeyDigest, OrganisationName, PoolName, RequestId};
use sesamehaven::key::WallTime;
use sesamehaven::lifecycle::UnknownReason;
use sesamehaven::outcome::Refused;
use sesamehaven::part_quarantine::PartIds;
use sesamehaven::tier::Tier;
use sesamehaven::unit::{Instant, Tokens};
use sesamehaven_wire::message::{Head, Headers};

use crate::entry::Entry;
use crate::reply;

/// A message from the actor to a caller's connection.
#[derive(Debug)]
pub enum ToCaller {
    /// The head of the answer.
    Head(Head),
    /// The next chunk of the answer.
    Chunk(Bytes),
    /// The answer is complete.
    Complete,
    /// The request was not run.
    NotRun(Refused),
    /// It is not known whether the request was run.
    Unknown(UnknownReason),
}

/// A validated request.
#[derive(Debug)]
pub struct Job {
    /// The pool that serves the request.
    pub pool: PoolName,
    /// The organisation of the caller.
    pub organisation: OrganisationName,
    /// The work class.
    pub class: ClassName,
    /// The priority tier.
    pub tier: Tier,
    /// Whether and how the call may be repeated.
    pub repeat: Repeat,
    /// The digest of the idempotency key.
    pub key: Option<KeyDigest>,
    /// The timestamp in the idempotency key.
    pub key_time: Option<WallTime>,
    /// When the answer has to be complete.
    pub deadline: Instant,
    /// When the request was received.
    pub received: Instant,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the answer.
    pub output: Tokens,
    /// The digests of the prompt's prefixes, the shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// The organisation's fair-share weight within its tier.
    pub weight: u32,
    /// The rate and concurrency limits of the organisation.
    pub limits: Limits,
    /// The digest of the content, which identifies requests that crash endpoints.
    pub fingerprint: u64,
    /// The parts of the prompt that other requests may share.
    pub parts: PartIds,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query at the endpoint.
    pub path: SmolStr,
    /// The headers to forward.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

/// Submits a request to the actor.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// The id of the request.
    pub id: RequestId,
    /// The request.
    pub job: Box<Job>,
    /// Sends messages to the caller's connection.
    pub tx: mpsc::Sender<ToCaller>,
}

/// Reports that the caller has consumed chunks of the answer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Consumed {
    /// The request.
    pub id: RequestId,
    /// The total number of chunks that the caller has consumed.
    pub chunks: u64,
}

/// Reports that the caller disconnected before the end of its request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CallerGone(pub RequestId);

/// The caller's end of a request; dropping it before the end sends [`CallerGone`].
#[derive(Debug)]
pub struct Caller {
    id: RequestId,
    entry: Addr<Entry>,
    rx: mpsc::Receiver<ToCaller>,
    window: u64,
    taken: u64,
    reported: u64,
    concluded: bool,
}

impl Caller {
    /// Creates the caller's end and the sender for the actor.
    pub fn new(id: RequestId, entry: Addr<Entry>, window: u32) -> (Self, mpsc::Sender<ToCaller>) {
        // Capacity for the window, the head and the final message.
        let (tx, rx) = mpsc::channel(window as usize + 2);
        let caller = Caller {
            id,
            entry,
            rx,
            window: u64::from(window),
            taken: 0,
            reported: 0,
            concluded: false,
        };
        (caller, tx)
    }

    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> ToCaller {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<ToCaller> {
        let message = match self.rx.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(message)) => message,
            Poll::Ready(None) => ToCaller::Unknown(UnknownReason::NoReply),
        };
        match message {
            ToCaller::Chunk(_) => self.take(),
            ToCaller::Head(_) => {}
            ToCaller::Complete | ToCaller::NotRun(_) | ToCaller::Unknown(_) => {
                self.concluded = true
            }
        }
        Poll::Ready(message)
    }

    /// Counts a consumed chunk, and reports consumption each half window.
    fn take(&mut self) {
        self.taken += 1;
        if self.taken - self.reported < self.window / 2 {
            return;
        }
        self.reported = self.taken;
        self.entry.do_send(Consumed {
            id: self.id,
            chunks: self.taken,
        });
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if !self.concluded {
            self.entry.do_send(CallerGone(self.id));
        }
    }
}

/// A response body that forwards an answer as it arrives.
#[derive(Debug)]
pub struct AnswerBody {
    caller: Caller,
    events: bool,
    ended: bool,
}

impl AnswerBody {
    /// Creates the body of an answer whose head has been sent.
    pub fn new(caller: Caller, events: bool) -> Self {
        AnswerBody {
            caller,
            events,
            ended: false,
        }
    }

    /// Ends a broken answer so that the caller cannot mistake it for a complete
    /// one.
    fn abort(&mut self, reason: UnknownReason) -> Option<Result<Bytes, Error>> {
        self.ended = true;
        if self.events {
            return Some(Ok(reply::error_event(reason)));
        }
        Some(Err(PayloadError::Incomplete(None).into()))
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            let message = match self.caller.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(message) => message,
            };
            return Poll::Ready(match message {
                ToCaller::Head(_) => continue,
                ToCaller::Chunk(chunk) => Some(Ok(chunk)),
                ToCaller::Complete => {
                    self.ended = true;
                    None
                }
                ToCaller::NotRun(_) => self.abort(UnknownReason::NoReply),
                ToCaller::Unknown(reason) => self.abort(reason),
            });
        }
    }
}
