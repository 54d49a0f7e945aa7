//! One request on its way through a front, and one attempt of it at one endpoint.

use std::cell::Cell;
use std::fmt::Display;
use std::rc::Rc;

use actix_http::{Method, StatusCode};
use bytes::{BufMut, Bytes, BytesMut};
use metrics::histogram;
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::backlog::Rank;
use sesamehaven::dispatcher::Work;
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::{Connection, Error as WireError, Head};

use crate::clock;
use crate::dialect::{Call, Dialect, Onward, Verdict};
use crate::front::{Flight, Front};
use crate::pools::{Place, Refused};
use crate::table::{Organisation, Repeat, Route};

/// The time before an engine has read any of a prompt, in milliseconds; the least seen on a quiet day.
const START_MS: f64 = 83.0;
/// The time that a token of a prompt takes at an engine of mean speed, in milliseconds; the users' sheet.
const PREFILL_MS_PER_TOKEN: f64 = 0.0142;
/// The time that a token of an answer takes in a full batch there, in milliseconds; the users' sheet.
const DECODE_MS_PER_TOKEN: f64 = 6.5;
/// The share of the most tokens that an answer has when the caller gives no estimate.
const ANSWER_SHARE: f64 = 0.5;
/// The time that a call of a plain service takes, in milliseconds.
const PLAIN_MS: f64 = 60.0;
/// The answers to other requests that are passed over on one connection.
const FOREIGN_MAX: usize = 4;
/// The longest answer that is passed over.
const FOREIGN_MAX_BYTES: usize = 1 << 20;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No endpoint can have begun to run it.
    NotRun,
    /// An endpoint may have begun to run it.
    MayHaveRun,
}

/// A request that was admitted.
#[derive(Debug)]
pub struct Job<D: Dialect> {
    /// The front that serves it.
    pub front: Rc<Front<D>>,
    /// What the caller asked for.
    pub call: Call,
    /// Its route.
    pub route: Rc<Route>,
    /// The organisation of its caller.
    pub organisation: Option<Rc<Organisation>>,
    /// Its rank.
    pub rank: Rank,
    /// The pool that runs it.
    pub pool: SmolStr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: SmolStr,
    /// The caller's header fields that go on unchanged, each line with its end.
    pub fields: Bytes,
    /// The body.
    pub body: Bytes,
    /// The digest by which it is known again.
    pub fingerprint: u64,
    /// When it came.
    pub arrived: Instant,
    /// When its caller first sent it, before refusals.
    pub first_sent: Instant,
    /// When it must have its answer.
    pub until: Instant,
    /// How far it has come.
    pub phase: Cell<Phase>,
    /// The endpoints that it was sent to, or that could not be reached.
    pub tried: SmallVec<[SmolStr; 2]>,
    /// The attempts in which it may have run.
    pub runs: u32,
}

/// An endpoint's answer whose head was read.
#[derive(Debug)]
pub struct Answer<D: Dialect> {
    /// The head.
    pub head: Head,
    /// The connection that the body comes on.
    pub conn: Connection,
    /// The place that the request holds.
    pub place: Place,
    _flight: Flight<D>,
}

/// How an attempt at one endpoint came out.
#[derive(Debug)]
pub enum Attempt<D: Dialect> {
    /// The head of the answer is there.
    Answered(Box<Answer<D>>),
    /// The endpoint could not be reached, so nothing was sent.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotRun,
    /// The request may have run, and there is no answer.
    Unknown(&'static str),
}

impl<D: Dialect> Job<D> {
    /// Returns the time that is left.
    pub fn left(&self, now: Instant) -> Millis {
        self.until.since(now)
    }

    /// Waits for a place in the pool.
    ///
    /// # Errors
    ///
    /// Returns when to come back if there is none in time.
    pub async fn acquire(&self) -> Result<Place, Refused> {
        let work = Work {
            class: self.route.name.clone(),
            rank: self.rank,
            arrived: self.arrived,
            first_sent: self.first_sent,
            objective: self.route.objective,
            deadline: self.until,
            slot_ms: self.slot_ms(),
            session: self.call.session,
            tried: self.tried.clone(),
        };
        let since = clock::now();
        let place = self.front.pools.acquire(&self.pool, work).await;
        let waited = clock::now().since(since);
        let tier = self.rank.tier.to_string();
        histogram!("front_wait_seconds", "tier" => tier).record(waited.duration());
        place
    }

    /// Notes that the answer, or its first event, is on its way to the caller.
    pub fn observe_answer(&self) {
        let tier = self.rank.tier.to_string();
        let took = clock::now().since(self.arrived).duration();
        histogram!("front_first_answer_seconds", "tier" => tier).record(took);
    }

    /// Ends an exchange whose answer is whole, and keeps its connection for the next one.
    pub fn finish(
        &self,
        answer: Answer<D>,
        ended: DispatchOutcome,
        event: &str,
        detail: impl Display,
    ) {
        let Answer {
            head,
            mut conn,
            place,
            ..
        } = answer;
        conn.finish(&head);
        let endpoint = place.endpoint.clone();
        self.front.hosts.keep(&endpoint, conn, &head);
        place.end(ended);
        let mut quarantine = self.front.quarantine.borrow_mut();
        quarantine.on_finished(self.fingerprint);
        drop(quarantine);
        self.log(event, &endpoint, detail);
    }

    /// Sends the request to an endpoint and reads the head of its answer.
    pub async fn attempt(&self, place: Place, last_event: Option<u64>) -> Attempt<D> {
        let endpoint = place.endpoint.clone();
        let mut conn = match self.front.hosts.connect(&endpoint).await {
            Ok(conn) => conn,
            Err(err) => {
                self.log("unreachable", &endpoint, err.to_string());
                place.unreachable();
                return Attempt::NotSent;
            }
        };
        let flight = self.front.fly(&endpoint, self.fingerprint);
        let head = self.head(&endpoint, last_event);
        let phase = self.phase.replace(Phase::MayHaveRun);
        conn.send(head, self.body.clone());
        match self.read_head(&mut conn, &endpoint).await {
            Ok((head, Verdict::Answer)) => Attempt::Answered(Box::new(Answer {
                head,
                conn,
                place,
                _flight: flight,
            })),
            Ok((head, Verdict::NotRun)) => {
                self.phase.set(phase);
                let status = head.status.as_u16();
                if conn.read_body(FOREIGN_MAX_BYTES).await.is_ok() {
                    conn.finish(&head);
                    self.front.hosts.keep(&endpoint, conn, &head);
                }
                self.log("not_run", &endpoint, status);
                match head.status {
                    // The address belongs to another endpoint by now.
                    StatusCode::MISDIRECTED_REQUEST => place.unreachable(),
                    _ => place.full(),
                }
                Attempt::NotRun
            }
            Ok((head, _)) => {
                self.log("doubtful", &endpoint, head.status.as_u16());
                place.end(DispatchOutcome::Failure);
                Attempt::Unknown("the endpoint's answer cannot be trusted")
            }
            Err(_) if !conn.has_sent() => {
                self.phase.set(phase);
                place.unreachable();
                Attempt::NotSent
            }
            Err(err) => {
                self.log("broken_off", &endpoint, err.to_string());
                self.front.suspect_crash(&endpoint, &err);
                place.end(DispatchOutcome::Failure);
                Attempt::Unknown("the endpoint broke off before its answer")
            }
        }
    }

    /// Reads the head of the answer, passing over answers to other requests.
    async fn read_head(
        &self,
        conn: &mut Connection,
        endpoint: &str,
    ) -> Result<(Head, Verdict), WireError> {
        for _ in 0..FOREIGN_MAX {
            let head = conn.read_head(&self.method).await?;
            let verdict = D::judge(&self.call.id, endpoint, &head);
            if verdict != Verdict::Foreign {
                return Ok((head, verdict));
            }
            self.log("foreign_answer", endpoint, head.status.as_u16());
            conn.read_body(FOREIGN_MAX_BYTES).await?;
        }
        Err(WireError::Malformed("only answers to other requests came"))
    }

    /// Writes the head of the request as the endpoint gets it.
    fn head(&self, endpoint: &str, last_event: Option<u64>) -> Bytes {
        let mut head = BytesMut::with_capacity(self.fields.len() + 256);
        head.put_slice(self.method.as_str().as_bytes());
        head.put_u8(b' ');
        head.put_slice(self.path.as_bytes());
        head.put_slice(b" HTTP/1.1\r\n");
        head.put_slice(&self.fields);
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            head.put_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        }
        let onward = Onward {
            endpoint,
            patience: Some(self.left(clock::now())),
            organisation: self.organisation.as_ref().map(|o| o.name.as_str()),
            last_event,
        };
        D::write_fields(&onward, &mut head);
        head.put_slice(b"\r\n");
        head.freeze()
    }

    /// Estimates how long the request holds a place at an ordinary endpoint.
    fn slot_ms(&self) -> f64 {
        let Some((prompt, most)) = self.call.tokens else {
            return PLAIN_MS;
        };
        let guess = (most as f64 * ANSWER_SHARE) as u64;
        let answer = self.call.expected_tokens.unwrap_or(guess).min(most);
        START_MS + prompt as f64 * PREFILL_MS_PER_TOKEN + answer as f64 * DECODE_MS_PER_TOKEN
    }

    /// Returns whether the request may be sent to another endpoint after it may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.repeat != Repeat::Never && self.runs < self.route.attempts && self.take_retry()
    }

    /// Draws on the budget of second sends.
    pub fn take_retry(&self) -> bool {
        let now = clock::now();
        let bounds = self.front.settings.borrow().bounds;
        let peers = self.front.peers.borrow();
        let mut spending = self.front.spending.borrow_mut();
        spending.take_retry(&self.pool, &bounds, &peers.hearing, now)
    }

    /// Writes a line about a decision or an event of this request.
    pub fn log(&self, event: &str, endpoint: &str, detail: impl Display) {
        let now = clock::now();
        if !self.front.lines.take(now) {
            return;
        }
        let (free, places, waiting) = self.front.pools.load(&self.pool);
        let age = self.front.knowledge.age(now).0;
        let organisation = self.organisation.as_ref().map_or("", |o| o.name.as_str());
        let tokens = self.call.tokens.map_or(0, |(prompt, most)| prompt + most);
        spdlog::info!("request", kv: {
            id = self.call.id.as_str(),
            event,
            route = self.route.name.as_str(),
            organisation,
            tokens,
            tier = self.rank.tier.index(),
            endpoint,
            detail = detail.to_string(),
            elapsed_ms = now.since(self.arrived).0,
            free, places, waiting,
            config = self.front.knowledge.version(),
            config_age_ms = age
        });
    }
}
