//! What the entry's actor and the threads that speak HTTP tell each other.

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
use sesamehaven::tier::Tier;
use sesamehaven::unit::{Instant, Tokens};
use sesamehaven_wire::message::{Head, Headers};

use crate::entry::Entry;
use crate::reply;

/// What the actor tells a caller's connection.
#[derive(Debug)]
pub enum ToCaller {
    /// The head of the answer.
    Head(Head),
    /// The next part of the answer.
    Chunk(Bytes),
    /// The answer is whole.
    Whole,
    /// The request was not run.
    NotRun(Refused),
    /// Nobody knows whether the request was run.
    Unknown(UnknownReason),
}

/// A request that has been read and checked.
#[derive(Debug)]
pub struct Job {
    /// The pool that can run it.
    pub pool: PoolName,
    /// The organisation that asks.
    pub organisation: OrganisationName,
    /// The work class.
    pub class: ClassName,
    /// The rank.
    pub tier: Tier,
    /// How often the call may run.
    pub repeat: Repeat,
    /// The digest of the idempotency key.
    pub key: Option<KeyDigest>,
    /// The time that the idempotency key carries.
    pub key_time: Option<WallTime>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// When the request was received.
    pub received: Instant,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The estimated length of the answer.
    pub output: Tokens,
    /// The digests of the prompt's prefixes, the shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// The weight of the organisation among others of its tier.
    pub weight: u32,
    /// The limits of the organisation.
    pub limits: Limits,
    /// The digest of the content.
    pub fingerprint: u64,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query at the endpoint.
    pub path: SmolStr,
    /// The headers that are passed on.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

/// Asks the actor to have a request run.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// The number of the request.
    pub id: RequestId,
    /// The request.
    pub job: Box<Job>,
    /// Where the caller's connection listens.
    pub tx: mpsc::Sender<ToCaller>,
}

/// Tells the actor that the caller has taken parts of the answer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Consumed {
    /// The request.
    pub id: RequestId,
    /// How many parts the caller has taken in all.
    pub chunks: u64,
}

/// Tells the actor that the caller went away.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CallerGone(pub RequestId);

/// The caller's end of a request; dropping it early tells the actor.
#[derive(Debug)]
pub struct Caller {
    id: RequestId,
    entry: Addr<Entry>,
    rx: mpsc::Receiver<ToCaller>,
    window: u64,
    taken: u64,
    told: u64,
    settled: bool,
}

impl Caller {
    /// Builds the caller's end and the sender for the actor.
    pub fn new(id: RequestId, entry: Addr<Entry>, window: u32) -> (Self, mpsc::Sender<ToCaller>) {
        // Room for the window, the head and the final word.
        let (tx, rx) = mpsc::channel(window as usize + 2);
        let caller = Caller {
            id,
            entry,
            rx,
            window: u64::from(window),
            taken: 0,
            told: 0,
            settled: false,
        };
        (caller, tx)
    }

    /// Returns the number of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the next word.
    pub async fn next(&mut self) -> ToCaller {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<ToCaller> {
        let word = match self.rx.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(word)) => word,
            Poll::Ready(None) => ToCaller::Unknown(UnknownReason::NoReply),
        };
        match word {
            ToCaller::Chunk(_) => self.take(),
            ToCaller::Head(_) => {}
            ToCaller::Whole | ToCaller::NotRun(_) | ToCaller::Unknown(_) => self.settled = true,
        }
        Poll::Ready(word)
    }

    /// Counts a part that the caller took, and allows more now and then.
    fn take(&mut self) {
        self.taken += 1;
        if self.taken - self.told < self.window / 2 {
            return;
        }
        self.told = self.taken;
        self.entry.do_send(Consumed {
            id: self.id,
            chunks: self.taken,
        });
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if !self.settled {
            self.entry.do_send(CallerGone(self.id));
        }
    }
}

/// The body of an answer that is passed on as it arrives.
#[derive(Debug)]
pub struct Body {
    caller: Caller,
    events: bool,
    over: bool,
}

impl Body {
    /// Builds the body of an answer whose head has been passed on.
    pub fn new(caller: Caller, events: bool) -> Self {
        Body {
            caller,
            events,
            over: false,
        }
    }

    /// Ends an answer that broke off, so that the caller cannot take it for whole.
    fn break_off(&mut self, doubt: UnknownReason) -> Option<Result<Bytes, Error>> {
        self.over = true;
        if self.events {
            return Some(Ok(reply::error_event(doubt)));
        }
        Some(Err(PayloadError::Incomplete(None).into()))
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.over {
            return Poll::Ready(None);
        }
        loop {
            let word = match self.caller.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(word) => word,
            };
            return Poll::Ready(match word {
                ToCaller::Head(_) => continue,
                ToCaller::Chunk(chunk) => Some(Ok(chunk)),
                ToCaller::Whole => {
                    self.over = true;
                    None
                }
                ToCaller::NotRun(_) => self.break_off(UnknownReason::NoReply),
                ToCaller::Unknown(doubt) => self.break_off(doubt),
            });
        }
    }
}
