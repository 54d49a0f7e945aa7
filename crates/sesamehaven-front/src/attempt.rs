//! An attempt to run a request at one endpoint.

use std::time::Duration;

use actix_http::StatusCode;
use metrics::counter;
use smol_str::SmolStr;

use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::Instant;
use sesamehaven_wire::http1::{Error as WireError, Head};

use crate::clock;
use crate::connection_pool::{EndpointConnection, LastReceived};
use crate::in_flight::{InFlightGuard, SentRequest};
use crate::job::Job;
use crate::pools::Slot;
use crate::protocol::{Protocol, ResponseClass};

/// The maximum number of responses to other requests that are skipped on one connection.
const MAX_MISMATCHED_RESPONSES: usize = 4;
/// The longest response body that is read and discarded, in bytes.
const DISCARDED_BODY_MAX_BYTES: usize = 1 << 20;

/// How long a front waits for the body of a refusal, so that its connection can be used again.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// A response whose head has been read.
#[derive(Debug)]
pub struct EndpointResponse {
    /// The response head.
    pub head: Head,
    /// The connection that carries the body.
    pub conn: EndpointConnection,
    /// The slot that the request occupies.
    pub slot: Slot,
    /// The request as it is recorded until the end of the response.
    pub(crate) in_flight: InFlightGuard,
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
    endpoint: SmolStr,
    /// Whether the request was sent, and counts as an attempt.
    is_sent: bool,
    is_settled: bool,
}

impl<'a, P: Protocol> PendingAttempt<'a, P> {
    fn new(job: &'a Job<P>, endpoint: SmolStr) -> Self {
        job.tried.borrow_mut().push(endpoint.clone());
        PendingAttempt {
            job,
            endpoint,
            is_sent: false,
            is_settled: false,
        }
    }

    fn on_sent(&mut self) {
        let job = self.job;
        job.run_status.set(job.run_status.get().after_send());
        job.runs.set(job.runs.get() + 1);
        self.is_sent = true;
    }

    /// Takes the attempt back, since the endpoint has not run the request.
    fn on_not_run(&mut self) {
        let job = self.job;
        if std::mem::take(&mut self.is_sent) {
            job.run_status.set(job.run_status.get().after_not_run());
            job.runs.set(job.runs.get().saturating_sub(1));
        }
    }

    fn settle(&mut self) {
        self.is_settled = true;
    }
}

impl<P: Protocol> Drop for PendingAttempt<'_, P> {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.is_sent {
            let runs = self.job.runs.get();
            self.job.runs.set(runs.saturating_sub(1));
        }
        let mut tried = self.job.tried.borrow_mut();
        tried.retain(|e| *e != self.endpoint);
    }
}

/// What was read while a request waits for its response head.
pub type HeadRead = Result<(Head, ResponseClass), WireError>;

/// A request that was sent to an endpoint and has no response head yet.
pub struct SentAttempt<'a, P: Protocol> {
    pending: PendingAttempt<'a, P>,
    conn: EndpointConnection,
    slot: Slot,
    in_flight: InFlightGuard,
}

impl<P: Protocol> SentAttempt<'_, P> {
    /// Returns the endpoint.
    pub fn endpoint(&self) -> &SmolStr {
        &self.slot.endpoint
    }

    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Instant {
        self.in_flight.request().sent_at
    }

    /// Returns when the endpoint last sent a byte, which changes while the head is read.
    pub fn last_received(&self) -> LastReceived {
        self.conn.observer().clone()
    }

    /// Reads the response head.
    ///
    /// Reading must not be cancelled, unless the attempt is dropped or abandoned.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the response is malformed.
    pub async fn read_head(&mut self) -> HeadRead {
        let job = self.pending.job;
        job.read_response_head(&mut self.conn, &self.slot.endpoint)
            .await
    }

    /// Closes the connection, which ends the run at this endpoint, and releases its slot.
    ///
    /// The endpoint may have run the request, so the attempt still counts.
    pub fn abandon(self) {
        let SentAttempt {
            mut pending,
            conn,
            slot,
            ..
        } = self;
        pending.settle();
        drop(conn);
        slot.complete(DispatchOutcome::Failure);
    }

    /// Concludes the attempt from what was read.
    pub async fn conclude(self, head: HeadRead) -> Attempt {
        let SentAttempt {
            mut pending,
            mut conn,
            slot,
            in_flight,
        } = self;
        let job = pending.job;
        let endpoint = slot.endpoint.clone();
        pending.settle();
        match head {
            Ok((head, ResponseClass::Valid)) => Attempt::Responded(Box::new(EndpointResponse {
                head,
                conn,
                slot,
                in_flight,
            })),
            Ok((head, ResponseClass::NotRun)) => {
                pending.on_not_run();
                let status = head.status.as_u16();
                let body = conn.discard_body(DISCARDED_BODY_MAX_BYTES);
                // The connection is worth less than the time of the request, which goes elsewhere.
                if let Ok(Ok(())) = tokio::time::timeout(DISCARD_TIMEOUT, body).await {
                    conn.finish(&head);
                    job.front.connections.release(&endpoint, conn, &head);
                }
                job.log("not_run", &endpoint, status);
                match head.status {
                    // The address now belongs to another endpoint.
                    StatusCode::MISDIRECTED_REQUEST => slot.mark_unreachable(),
                    _ => slot.mark_full(),
                }
                Attempt::NotRun
            }
            Ok((head, _)) => {
                job.log("doubtful", &endpoint, head.status.as_u16());
                slot.complete(DispatchOutcome::Failure);
                Attempt::Unknown("the response is untrusted")
            }
            Err(_) if !conn.has_sent() => {
                pending.on_not_run();
                slot.mark_unreachable();
                Attempt::NotSent
            }
            Err(err) => {
                job.log("broken_off", &endpoint, err.to_string());
                job.front.probe_for_crash(&endpoint, &err);
                slot.complete(DispatchOutcome::Failure);
                Attempt::Unknown("the endpoint dropped the connection before its response")
            }
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
    /// Sends the request to an endpoint and reads the response head.
    pub async fn attempt(&self, slot: Slot, last_event_id: Option<u64>) -> Attempt {
        match self.send(slot, last_event_id).await {
            Ok(mut sent) => {
                let head = sent.read_head().await;
                sent.conclude(head).await
            }
            Err(attempt) => attempt,
        }
    }

    /// Sends the request to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if nothing can be sent.
    pub async fn send(
        &self,
        slot: Slot,
        last_event_id: Option<u64>,
    ) -> Result<SentAttempt<'_, P>, Attempt> {
        let endpoint = slot.endpoint.clone();
        let mut pending = PendingAttempt::new(self, endpoint.clone());
        let mut conn = match self.front.connections.acquire(&endpoint).await {
            Ok(conn) => conn,
            Err(err) => {
                pending.settle();
                self.log("unreachable", &endpoint, err.to_string());
                slot.mark_unreachable();
                return Err(Attempt::NotSent);
            }
        };
        // The endpoint may have announced a drain or a pause while the connection was opened.
        let standing = self.front.pools.standing(&endpoint);
        if !standing.accepts(clock::now()) {
            counter!("front_withheld_total").increment(1);
            self.log("withheld", &endpoint, standing);
            self.front.connections.release_unused(&endpoint, conn);
            return Err(Attempt::NotSent);
        }
        // The part may have been recognized while the request waited.
        let sent = self.sent_request();
        if self.front.is_quarantined(&sent.parts) {
            self.log("quarantined", &endpoint, "");
            self.front.connections.release_unused(&endpoint, conn);
            return Err(Attempt::Quarantined);
        }
        let in_flight = self.front.in_flight.track(&endpoint, sent);
        let head = self.request_head(&endpoint, last_event_id);
        pending.on_sent();
        conn.send(head, self.body.clone());
        Ok(SentAttempt {
            pending,
            conn,
            slot,
            in_flight,
        })
    }

    /// Reads the response head, skipping responses to other requests.
    async fn read_response_head(
        &self,
        conn: &mut EndpointConnection,
        endpoint: &str,
    ) -> Result<(Head, ResponseClass), WireError> {
        for _ in 0..MAX_MISMATCHED_RESPONSES {
            let head = conn.read_head(&self.method).await?;
            let class = P::classify_response(&self.meta.id, endpoint, &head);
            if class != ResponseClass::Mismatched {
                let announcement = P::parse_announcement(&head);
                self.front
                    .on_announcement(&self.pool, endpoint, announcement);
                return Ok((head, class));
            }
            self.log("foreign_answer", endpoint, head.status.as_u16());
            conn.discard_body(DISCARDED_BODY_MAX_BYTES).await?;
        }
        Err(WireError::Malformed(
            "only responses to other requests were received",
        ))
    }
}
