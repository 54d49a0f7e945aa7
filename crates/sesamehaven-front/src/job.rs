//! An admitted request and its attempts at endpoints.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::{BufMut, Bytes, BytesMut};
use metrics::{counter, histogram};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::backlog::Rank;
use sesamehaven::dispatcher::Work;
use sesamehaven::part_quarantine::{PartId, PartIds, PoolId};
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::{Connection, Error as WireError, Head};

use crate::clock;
use crate::front::Front;
use crate::in_flight::{InFlightGuard, SentRequest};
use crate::pools::{Rejection, Slot};
use crate::protocol::{ForwardedMeta, Protocol, RequestMeta, ResponseClass};
use crate::routing_table::{Organisation, RetryPolicy, Route};

/// The latency of an idle engine before it processes the prompt, in milliseconds.
const PREFILL_OVERHEAD_MS: f64 = 83.0;
/// The prefill time per prompt token on an average engine, in milliseconds, from the
/// users' data sheet.
const PREFILL_MS_PER_TOKEN: f64 = 0.0142;
/// The decode time per output token in a full batch on an average engine, in milliseconds, from
/// the users' data sheet.
const DECODE_MS_PER_TOKEN: f64 = 6.5;
/// The expected share of the maximum output tokens if the caller gives no estimate.
const DEFAULT_OUTPUT_SHARE: f64 = 0.5;
/// The service time of a request to a plain service, in milliseconds.
const PLAIN_CALL_MS: f64 = 60.0;
/// The maximum number of responses to other requests that are skipped on one connection.
const MAX_MISMATCHED_RESPONSES: usize = 4;
/// The longest response body that is read and discarded, in bytes.
const DISCARDED_BODY_MAX_BYTES: usize = 1 << 20;

/// How long a front waits for the body of a refusal, so that its connection can be used again.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Whether a request may have started to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// No endpoint can have started to run it.
    NotRun,
    /// An endpoint may have started to run it.
    MayHaveRun,
}

/// An admitted request.
#[derive(Debug)]
pub struct Job<P: Protocol> {
    /// The front that serves it.
    pub front: Rc<Front<P>>,
    /// The metadata that the caller sent.
    pub meta: RequestMeta,
    /// The route that it matched.
    pub route: Rc<Route>,
    /// The caller's organisation.
    pub organisation: Option<Rc<Organisation>>,
    /// The scheduling rank.
    pub rank: Rank,
    /// The pool that serves it.
    pub pool: SmolStr,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: SmolStr,
    /// The serialized headers to forward, each terminated by CRLF.
    pub headers: Bytes,
    /// The body.
    pub body: Bytes,
    /// The digest that identifies the request in the quarantine.
    pub fingerprint: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller first sent it, before any rejected attempt.
    pub first_sent: Instant,
    /// The time by which the response, including a stream, must be complete.
    pub deadline: Instant,
    /// Whether it may have started to run.
    pub run_status: Cell<RunStatus>,
    /// The software version that began the stream, once the caller has an event of it.
    pub version: Cell<Option<PoolVersion>>,
    /// The endpoints that were tried or could not be reached.
    pub tried: RefCell<SmallVec<[SmolStr; 2]>>,
    /// The number of attempts in which it may have run or may still run.
    pub runs: Cell<u32>,
}

/// A response whose head has been read.
#[derive(Debug)]
pub struct EndpointResponse {
    /// The response head.
    pub head: Head,
    /// The connection that carries the body.
    pub conn: Connection,
    /// The slot that the request occupies.
    pub slot: Slot,
    in_flight: InFlightGuard,
}

impl EndpointResponse {
    /// Returns the request as it was sent.
    pub fn request(&self) -> &SentRequest {
        self.in_flight.request()
    }
}

/// An attempt that may be withdrawn; the endpoint can be asked again then.
struct PendingAttempt<'a, P: Protocol> {
    job: &'a Job<P>,
    endpoint: &'a str,
    /// The number of attempts before.
    runs: u32,
    is_settled: bool,
}

impl<'a, P: Protocol> PendingAttempt<'a, P> {
    fn new(job: &'a Job<P>, endpoint: &'a str) -> Self {
        job.tried.borrow_mut().push(endpoint.into());
        PendingAttempt {
            job,
            endpoint,
            runs: job.runs.get(),
            is_settled: false,
        }
    }

    fn settle(mut self) {
        self.is_settled = true;
    }
}

impl<P: Protocol> Drop for PendingAttempt<'_, P> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.job.runs.set(self.runs);
            self.job.tried.borrow_mut().retain(|e| e != self.endpoint);
        }
    }
}

/// The outcome of an attempt at one endpoint.
#[derive(Debug)]
pub enum Attempt {
    /// The response head was received.
    Responded(Box<EndpointResponse>),
    /// Nothing was sent: the endpoint was unreachable, or the connection broke first.
    NotSent,
    /// Nothing was sent, since the prompt has a part that crashes endpoints.
    Quarantined,
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// The request may have run, but there is no usable response.
    Unknown(&'static str),
}

impl<P: Protocol> Job<P> {
    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Millis {
        self.deadline.since(now)
    }

    /// Waits for a slot in the pool.
    ///
    /// How long it waits counts from the arrival of the request, or from now if it has run before.
    ///
    /// # Errors
    ///
    /// Returns the reason and a retry delay if the pool is unknown or no slot becomes available in
    /// time.
    pub async fn acquire(&self) -> Result<Slot, Rejection> {
        loop {
            self.front.wait_for_list().await;
            let slot = self.acquire_slot().await;
            // An endpoint that was chosen before a stall may have left during it.
            if slot.is_err() || !self.front.is_list_outdated(clock::now()) {
                return slot;
            }
        }
    }

    async fn acquire_slot(&self) -> Result<Slot, Rejection> {
        let waiting_since = match self.runs.get() {
            0 => self.arrived,
            _ => clock::now(),
        };
        let work = Work {
            class: self.route.name.clone(),
            rank: self.rank,
            arrived: waiting_since,
            first_sent: self.first_sent,
            objective: self.route.objective,
            deadline: self.deadline,
            slot_ms: self.estimated_slot_ms(),
            first_event_ms: self.estimated_first_event_ms(),
            session: self.meta.session,
            tried: self.tried.borrow().clone(),
            version: self.version.get(),
        };
        let started = clock::now();
        let slot = self.front.pools.acquire(&self.pool, work).await;
        let waited = clock::now().since(started);
        let tier = self.rank.tier.to_string();
        histogram!("front_wait_seconds", "tier" => tier).record(waited.duration());
        slot
    }

    /// Records the time to the response, or to the first event of a stream.
    pub fn record_response_latency(&self) {
        let tier = self.rank.tier.to_string();
        let latency = clock::now().since(self.arrived).duration();
        histogram!("front_first_answer_seconds", "tier" => tier).record(latency);
    }

    /// Completes an exchange whose response was read entirely, and returns its connection to the
    /// connection pool.
    pub fn finish(
        &self,
        response: EndpointResponse,
        outcome: DispatchOutcome,
        event: &str,
        detail: impl Display,
    ) {
        let EndpointResponse {
            head,
            mut conn,
            slot,
            in_flight,
        } = response;
        if head.status.is_success() {
            self.front.record_survival(in_flight.request());
        }
        conn.finish(&head);
        let endpoint = slot.endpoint.clone();
        self.front.connections.release(&endpoint, conn, &head);
        slot.complete(outcome);
        let mut quarantine = self.front.quarantine.borrow_mut();
        quarantine.on_finished(self.fingerprint);
        drop(quarantine);
        self.log(event, &endpoint, detail);
    }

    /// Sends the request to an endpoint and reads the response head.
    pub async fn attempt(&self, slot: Slot, last_event_id: Option<u64>) -> Attempt {
        let endpoint = slot.endpoint.clone();
        let pending = PendingAttempt::new(self, &endpoint);
        let mut conn = match self.front.connections.acquire(&endpoint).await {
            Ok(conn) => conn,
            Err(err) => {
                pending.settle();
                self.log("unreachable", &endpoint, err.to_string());
                slot.mark_unreachable();
                return Attempt::NotSent;
            }
        };
        // The endpoint may have announced a drain or a pause while the connection was opened.
        let standing = self.front.pools.standing(&endpoint);
        if !standing.accepts(clock::now()) {
            counter!("front_withheld_total").increment(1);
            self.log("withheld", &endpoint, standing);
            self.front.connections.release_unused(&endpoint, conn);
            return Attempt::NotSent;
        }
        // The part may have been recognized while the request waited.
        let sent = self.sent_request();
        if self.front.is_quarantined(&sent.parts) {
            self.log("quarantined", &endpoint, "");
            self.front.connections.release_unused(&endpoint, conn);
            return Attempt::Quarantined;
        }
        let in_flight = self.front.in_flight.track(&endpoint, sent);
        let head = self.request_head(&endpoint, last_event_id);
        let run_status = self.run_status.replace(RunStatus::MayHaveRun);
        let runs = self.runs.replace(self.runs.get() + 1);
        conn.send(head, self.body.clone());
        let head = self.read_response_head(&mut conn, &endpoint).await;
        pending.settle();
        match head {
            Ok((head, ResponseClass::Valid)) => Attempt::Responded(Box::new(EndpointResponse {
                head,
                conn,
                slot,
                in_flight,
            })),
            Ok((head, ResponseClass::NotRun)) => {
                self.run_status.set(run_status);
                self.runs.set(runs);
                let status = head.status.as_u16();
                let body = conn.read_body(DISCARDED_BODY_MAX_BYTES);
                // The connection is worth less than the time of the request, which goes elsewhere.
                if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, body).await {
                    conn.finish(&head);
                    self.front.connections.release(&endpoint, conn, &head);
                }
                self.log("not_run", &endpoint, status);
                match head.status {
                    // The address now belongs to another endpoint.
                    StatusCode::MISDIRECTED_REQUEST => slot.mark_unreachable(),
                    _ => slot.mark_full(),
                }
                Attempt::NotRun
            }
            Ok((head, _)) => {
                self.log("doubtful", &endpoint, head.status.as_u16());
                slot.complete(DispatchOutcome::Failure);
                Attempt::Unknown("the response is untrusted")
            }
            Err(_) if !conn.has_sent() => {
                self.run_status.set(run_status);
                self.runs.set(runs);
                slot.mark_unreachable();
                Attempt::NotSent
            }
            Err(err) => {
                self.log("broken_off", &endpoint, err.to_string());
                self.front.probe_for_crash(&endpoint, &err);
                slot.complete(DispatchOutcome::Failure);
                Attempt::Unknown("the endpoint dropped the connection before its response")
            }
        }
    }

    fn sent_request(&self) -> SentRequest {
        let pool = PoolId::new(&self.pool);
        SentRequest {
            id: self.meta.id.clone(),
            fingerprint: self.fingerprint,
            pool,
            parts: self.part_ids(pool),
            sent_at: clock::now(),
            answered_at: Cell::new(None),
            is_survived: Cell::new(false),
        }
    }

    /// Returns the parts of the prompt that other requests to a pool may share.
    pub fn part_ids(&self, pool: PoolId) -> PartIds {
        let parts = self.meta.shared_parts.iter();
        parts.map(|part| PartId::new(pool, *part)).collect()
    }

    /// Reads the response head, skipping responses to other requests.
    async fn read_response_head(
        &self,
        conn: &mut Connection,
        endpoint: &str,
    ) -> Result<(Head, ResponseClass), WireError> {
        for _ in 0..MAX_MISMATCHED_RESPONSES {
            let head = conn.read_head(&self.method).await?;
            let class = P::classify_response(&self.meta.id, endpoint, &head);
            if class != ResponseClass::Mismatched {
                let announcement = P::parse_announcement(&head);
                self.front.on_announcement(endpoint, announcement);
                return Ok((head, class));
            }
            self.log("foreign_answer", endpoint, head.status.as_u16());
            conn.read_body(DISCARDED_BODY_MAX_BYTES).await?;
        }
        Err(WireError::Malformed(
            "only responses to other requests were received",
        ))
    }

    /// Serializes the request head for an endpoint.
    fn request_head(&self, endpoint: &str, last_event_id: Option<u64>) -> Bytes {
        let mut head = BytesMut::with_capacity(self.headers.len() + 256);
        head.put_slice(self.method.as_str().as_bytes());
        head.put_u8(b' ');
        head.put_slice(self.path.as_bytes());
        head.put_slice(b" HTTP/1.1\r\n");
        head.put_slice(&self.headers);
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            head.put_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        }
        let forwarded = ForwardedMeta {
            endpoint,
            timeout: Some(self.remaining(clock::now())),
            organisation: self.organisation.as_ref().map(|o| o.name.as_str()),
            last_event_id,
        };
        P::write_headers(&forwarded, &mut head);
        head.put_slice(b"\r\n");
        head.freeze()
    }

    /// Estimates the time to the first event on an average endpoint, in milliseconds.
    fn estimated_first_event_ms(&self) -> f64 {
        match self.meta.tokens {
            Some((prompt, _)) => PREFILL_OVERHEAD_MS + prompt as f64 * PREFILL_MS_PER_TOKEN,
            None => PLAIN_CALL_MS,
        }
    }

    /// Estimates how long the request occupies a slot of an average endpoint, in milliseconds.
    fn estimated_slot_ms(&self) -> f64 {
        let Some((_, max_output)) = self.meta.tokens else {
            return PLAIN_CALL_MS;
        };
        let default_output = (max_output as f64 * DEFAULT_OUTPUT_SHARE) as u64;
        let output = self
            .meta
            .expected_tokens
            .unwrap_or(default_output)
            .min(max_output);
        self.estimated_first_event_ms() + output as f64 * DECODE_MS_PER_TOKEN
    }

    /// Consumes one retry from the retry budget for a request that may have run, if its route allows
    /// it to run again and a retry is left.
    pub fn try_acquire_rerun(&self) -> bool {
        self.route.retry_policy != RetryPolicy::Never
            && self.has_attempts()
            && self.try_acquire_retry()
    }

    /// Returns whether the request may run at one more endpoint.
    pub fn has_attempts(&self) -> bool {
        self.runs.get() < self.route.max_attempts
    }

    /// Consumes one retry from the retry budget, if one is left.
    pub fn try_acquire_retry(&self) -> bool {
        let now = clock::now();
        let bounds = self.front.settings.borrow().bounds;
        let peers = self.front.peers.borrow();
        let mut shared_limits = self.front.shared_limits.borrow_mut();
        shared_limits.try_acquire_retry(&self.pool, &bounds, &peers.liveness, now)
    }

    /// Logs a decision or an event of this request.
    pub fn log(&self, event: &str, endpoint: &str, detail: impl Display) {
        let now = clock::now();
        if !self.front.log_limiter.try_acquire(now) {
            return;
        }
        let (free, slots, waiting) = self.front.pools.occupancy(&self.pool);
        let age = self.front.config.age(now).0;
        let organisation = self.organisation.as_ref().map_or("", |o| o.name.as_str());
        let tokens = self
            .meta
            .tokens
            .map_or(0, |(prompt, max_output)| prompt + max_output);
        spdlog::info!("request", kv: {
            id = self.meta.id.as_str(),
            event,
            route = self.route.name.as_str(),
            organisation,
            tokens,
            tier = self.rank.tier.index(),
            endpoint,
            detail = detail.to_string(),
            elapsed_ms = now.since(self.arrived).0,
            free, places = slots, waiting,
            config = self.front.config.version(),
            config_age_ms = age
        });
    }
}
