//! An admitted request and its attempts at endpoints.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::rc::Rc;

use actix_http::header::CONTENT_TYPE;
use actix_http::{Method, Response};
use bytes::{BufMut, Bytes, BytesMut};
use http::HeaderValue;
use metrics::{counter, histogram};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::backlog::Rank;
use sesamehaven::dispatcher::Work;
use sesamehaven::limit_use::LimitUse;
use sesamehaven::part_quarantine::{PartId, PartIds, PoolId};
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::shared_limit::PeerTracker;
use sesamehaven::shared_retry_budget::BudgetLevel;
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::Head;

use crate::attempt::EndpointResponse;
use crate::body::Body;
use crate::body_memory::HeldBytes;
use crate::clock;
use crate::front::Front;
use crate::in_flight::SentRequest;
use crate::origins::RunningStream;
use crate::pools::{Rejection, Slot};
use crate::protocol::{ForwardedMeta, Protocol, RequestMeta};
use crate::routing_table::{Organisation, RetryPolicy, Route};
use crate::settings::Bounds;
use crate::shared_limits::SharedLimits;

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

/// Whether a request may have started to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// No endpoint can have started to run it.
    NotRun,
    /// As many endpoints as given may have started to run it.
    MayHaveRun(u32),
}

impl RunStatus {
    /// The request is sent to one more endpoint.
    pub(crate) fn after_send(self) -> Self {
        match self {
            RunStatus::NotRun => RunStatus::MayHaveRun(1),
            RunStatus::MayHaveRun(endpoints) => RunStatus::MayHaveRun(endpoints + 1),
        }
    }

    /// It turns out that one endpoint has not run it.
    ///
    /// Others may be running it at the same time, so this need not mean that it has not run at all.
    pub(crate) fn after_not_run(self) -> Self {
        match self {
            RunStatus::NotRun | RunStatus::MayHaveRun(0 | 1) => RunStatus::NotRun,
            RunStatus::MayHaveRun(endpoints) => RunStatus::MayHaveRun(endpoints - 1),
        }
    }
}

/// What kind of body a stream has, as its head says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamType(Option<HeaderValue>);

impl StreamType {
    /// Returns the type of a response.
    pub fn of(head: &Head) -> Self {
        StreamType(head.headers.get(CONTENT_TYPE.as_str()).cloned())
    }
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
    /// The memory that the body takes.
    pub held: HeldBytes,
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
    /// The stream of the response, if its caller may take it up.
    pub running_stream: RefCell<Option<RunningStream>>,
    /// The type of the stream, once the caller gets its head.
    pub stream_type: RefCell<Option<StreamType>>,
    /// The endpoints that were tried or could not be reached.
    pub tried: RefCell<SmallVec<[SmolStr; 2]>>,
    /// The number of attempts in which it may have run or may still run.
    pub runs: Cell<u32>,
    /// The latest failure that an endpoint reported, which the caller gets if no other endpoint does better.
    pub failed_response: RefCell<Option<Response<Body>>>,
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
            gap_objective: self.route.is_stream.then_some(self.route.gap_objective),
            deadline: self.deadline,
            slot_ms: self.estimated_slot_ms(),
            first_event_ms: self.estimated_first_event_ms(),
            prefill_ms: self.estimated_prefill_ms(),
            session: self.meta.session,
            tried: self.tried.borrow().clone(),
            version: self.version.get(),
            limit_use: self.limit_use(),
        };
        let started = clock::now();
        let slot = self.front.pools.acquire(&self.pool, work).await;
        let waited = clock::now().since(started);
        let tier = self.rank.tier.to_string();
        histogram!("front_wait_seconds", "tier" => tier).record(waited.duration());
        slot
    }

    /// Returns how much of its limit the caller's organisation has used, at all fronts; all are alike in
    /// deployments that do not order them.
    fn limit_use(&self) -> LimitUse {
        if !self.front.settings.borrow().has_organisation_order {
            return LimitUse::default();
        }
        let organisation = self.organisation.as_ref().map(|o| o.name.as_str());
        let shared_limits = self.front.shared_limits.borrow();
        shared_limits.limit_use(organisation, clock::now())
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
        let now = clock::now();
        let ran_for = now.since(in_flight.request().sent_at);
        let mut run_times = self.front.run_times.borrow_mut();
        run_times.record(&self.route.name, ran_for, now);
        drop(run_times);
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

    pub(crate) fn sent_request(&self) -> SentRequest {
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

    /// Serializes the request head for an endpoint.
    pub(crate) fn request_head(&self, endpoint: &str, last_event_id: Option<u64>) -> Bytes {
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
            Some(_) => PREFILL_OVERHEAD_MS + self.estimated_prefill_ms(),
            None => PLAIN_CALL_MS,
        }
    }

    /// Estimates the time in which an average endpoint reads the prompt, in milliseconds.
    fn estimated_prefill_ms(&self) -> f64 {
        let prompt = self.meta.tokens.map_or(0, |(prompt, _)| prompt);
        prompt as f64 * PREFILL_MS_PER_TOKEN
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

    /// Returns whether a request that may have run may run again, and the retry budget has a retry left.
    pub fn may_rerun(&self) -> bool {
        self.route.retry_policy != RetryPolicy::Never && self.has_attempts() && self.has_retry()
    }

    /// Returns whether the request may run at one more endpoint.
    pub fn has_attempts(&self) -> bool {
        self.runs.get() < self.route.max_attempts
    }

    /// Returns whether the retry budget has a retry left, without consuming it.
    pub fn has_retry(&self) -> bool {
        let level = self.ask_retry_budget(SharedLimits::retry_level);
        if !level.is_left() {
            self.record_second_send(false, level);
        }
        level.is_left()
    }

    /// Consumes one retry from the retry budget, if one is left.
    pub fn try_acquire_retry(&self) -> bool {
        let is_allowed = self.ask_retry_budget(SharedLimits::try_acquire_retry);
        let level = self.ask_retry_budget(SharedLimits::retry_level);
        self.record_second_send(is_allowed, level);
        is_allowed
    }

    fn ask_retry_budget<T>(
        &self,
        ask: impl FnOnce(&mut SharedLimits, &SmolStr, &Bounds, &PeerTracker, Instant) -> T,
    ) -> T {
        let bounds = self.front.settings.borrow().bounds;
        let peers = self.front.peers.borrow();
        let mut shared_limits = self.front.shared_limits.borrow_mut();
        let now = clock::now();
        ask(
            &mut shared_limits,
            &self.pool,
            &bounds,
            &peers.liveness,
            now,
        )
    }

    fn record_second_send(&self, is_allowed: bool, level: BudgetLevel) {
        let (event, outcome) = match is_allowed {
            true => ("second_send", "allowed"),
            false => ("second_send_refused", "refused"),
        };
        counter!("front_second_sends_total", "outcome" => outcome).increment(1);
        self.log(event, "", level);
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
