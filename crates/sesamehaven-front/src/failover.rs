//! Failover of resumable streams that break or stall.
//!
//! At most two endpoints are asked at a time: a request that takes long everywhere would otherwise
//! multiply its own load.

use std::future::Future;
use std::pin::{Pin, pin};

use metrics::counter;

use sesamehaven::endpoint_silence::HeadWait;
use sesamehaven::placement::DispatchOutcome;
use sesamehaven::unit::Millis;
use sesamehaven_wire::http1::Head;

use crate::attempt::{Attempt, EndpointResponse};
use crate::clock;
use crate::connection_pool::LastReceived;
use crate::events::Splitter;
use crate::job::{Job, StreamType};
use crate::pools::Slot;
use crate::protocol::Protocol;
use crate::routing_table::{RetryPolicy, Route};
use crate::source::{FirstEvents, Source};

/// The minimum stall timeout of a stream.
const STALL_TIMEOUT_MIN: Millis = Millis(1_000);
/// The stall timeout as a multiple of the objective for the first event.
const STALL_FIRST_EVENT_FACTOR: u64 = 2;
/// The stall timeout as a multiple of the objective for gaps between events.
const STALL_GAP_FACTOR: u64 = 4;

/// The outcome of an attempt at a stream, whose endpoint may have been replaced by another one.
#[derive(Debug)]
pub enum StreamAttempt {
    /// The outcome at the endpoint.
    Endpoint(Attempt),
    /// The first events, from whichever endpoint sent them first.
    Events(Box<FirstEvents>),
}

/// Sends a request for a stream to an endpoint, and to another one if the first one is silent before
/// its response head.
///
/// Only resumable streams are sent twice. The first endpoint that sends an event has the stream, and
/// the connection to the other one is closed. While no other endpoint takes over, the request waits.
pub async fn attempt<P: Protocol>(job: &Job<P>, slot: Slot, last_id: Option<u64>) -> StreamAttempt {
    if job.route.retry_policy != RetryPolicy::Resume {
        return StreamAttempt::Endpoint(job.attempt(slot, last_id).await);
    }
    let mut sent = match job.send(slot, last_id).await {
        Ok(sent) => sent,
        Err(attempt) => return StreamAttempt::Endpoint(attempt),
    };
    let endpoint = sent.endpoint().clone();
    let timeout = stall_timeout(&job.route);
    let mut wait = HeadWait::new(sent.sent_at(), timeout);
    let last_received = sent.last_received();
    let mut substitute = pin!(None);
    let read = {
        let mut head = pin!(sent.read_head());
        loop {
            tokio::select! {
                biased;
                read = &mut head => break Ok(read),
                () = silence(&wait, &last_received) => {}
            }
            log_silence(job, &endpoint, timeout);
            substitute.set(Some(take_over(job, last_id)));
            let Some(asked) = substitute.as_mut().as_pin_mut() else {
                continue;
            };
            tokio::select! {
                biased;
                read = &mut head => break Ok(read),
                found = asked => match found {
                    Some(first) => break Err(first),
                    None => wait.restart(clock::now()),
                }
            }
            substitute.set(None);
        }
    };
    let read = match read {
        Ok(read) => read,
        Err(first) => {
            job.log("substituted", first.source.endpoint(), "");
            sent.abandon();
            return StreamAttempt::Events(Box::new(first));
        }
    };
    let attempt = sent.conclude(read).await;
    match substitute.as_mut().as_pin_mut() {
        Some(asked) => on_late_head(job, attempt, last_id, asked).await,
        None => StreamAttempt::Endpoint(attempt),
    }
}

/// Decides between an endpoint that has responded after a silence and the one that was asked meanwhile.
async fn on_late_head<P: Protocol>(
    job: &Job<P>,
    attempt: Attempt,
    last_id: Option<u64>,
    substitute: Pin<&mut impl Future<Output = Option<FirstEvents>>>,
) -> StreamAttempt {
    let response = match attempt {
        Attempt::Responded(response) if job.goes_on(&response.head) => response,
        Attempt::Responded(_) => return StreamAttempt::Endpoint(attempt),
        failed => {
            return match substitute.await {
                Some(first) => StreamAttempt::Events(Box::new(first)),
                None => StreamAttempt::Endpoint(failed),
            };
        }
    };
    let source = job.source(response, last_id);
    let raced = match race(job, source, substitute).await {
        Ok(Raced::Events(first)) => Ok(first),
        // Boxed because the next events may come from another attempt.
        Ok(Raced::Silent(source)) => Box::pin(next_events(job, source)).await,
        Err(reason) => Err(reason),
    };
    match raced {
        Ok(first) => StreamAttempt::Events(Box::new(first)),
        Err(reason) => StreamAttempt::Endpoint(Attempt::Unknown(reason)),
    }
}

impl<P: Protocol> Job<P> {
    fn source(&self, response: Box<EndpointResponse>, last_id: Option<u64>) -> Source {
        let splitter = match self.stream_type.borrow().is_some() {
            true => Splitter::continue_after(last_id),
            false => Splitter::resume_after(last_id),
        };
        Source::new(&self.front.body_memory, response, splitter)
    }

    /// Returns whether a response may go on with the stream that the caller is getting, if any.
    fn goes_on(&self, head: &Head) -> bool {
        let stream_type = self.stream_type.borrow();
        let is_alike = |t: &StreamType| *t == StreamType::of(head);
        head.status.is_success() && stream_type.as_ref().is_none_or(is_alike)
    }

    /// Returns the response of an endpoint that goes on with the stream.
    fn accepted(&self, attempt: Attempt) -> Option<Box<EndpointResponse>> {
        match attempt {
            Attempt::Responded(response) if self.goes_on(&response.head) => Some(response),
            Attempt::Responded(response) => {
                let endpoint = response.slot.endpoint.clone();
                self.log(
                    "not_of_the_stream",
                    &endpoint,
                    response.head.status.as_u16(),
                );
                response.slot.complete(DispatchOutcome::Failure);
                None
            }
            Attempt::Quarantined | Attempt::Unknown(_) | Attempt::NotSent | Attempt::NotRun => None,
        }
    }
}

/// Waits until an endpoint counts as silent.
async fn silence(wait: &HeadWait, last_received: &LastReceived) {
    while let Some(remaining) = wait.remaining(last_received.get(), clock::now()) {
        tokio::time::sleep(remaining.duration()).await;
    }
}

fn log_silence<P: Protocol>(job: &Job<P>, endpoint: &str, timeout: Millis) {
    counter!("front_streams_silent_total").increment(1);
    job.log("stream_silent", endpoint, timeout.0);
}

/// Waits for the first events of a stream.
///
/// # Errors
///
/// Returns the reason if the stream fails before the first event.
pub async fn read_first_events<P: Protocol>(
    job: &Job<P>,
    response: Box<EndpointResponse>,
) -> Result<FirstEvents, &'static str> {
    next_events(job, job.source(response, job.meta.last_event_id)).await
}

/// Reads the next events, from another endpoint if this one fails or stays silent.
///
/// An endpoint is silent if it completes no event, also if it sends bytes now and then.
///
/// # Errors
///
/// Returns the reason if the endpoint fails and no other one goes on with the stream.
pub(crate) async fn next_events<P: Protocol>(
    job: &Job<P>,
    mut source: Source,
) -> Result<FirstEvents, &'static str> {
    let timeout = stall_timeout(&job.route);
    let is_resumable = job.route.retry_policy == RetryPolicy::Resume;
    loop {
        let read = match is_resumable {
            true => tokio::time::timeout(timeout.duration(), source.read(job))
                .await
                .ok(),
            false => Some(source.read(job).await),
        };
        match read {
            Some(Ok(read)) => return Ok(FirstEvents { source, read }),
            Some(Err(reason)) => {
                job.log("stream_broken", source.endpoint(), reason);
                let last_id = source.splitter.last_id();
                // The run at this endpoint ends before another one starts.
                source.abandon();
                source = match resume(job, last_id).await.ok_or(reason)? {
                    Resumed::Events(first) => return Ok(*first),
                    Resumed::Response(response) => job.source(response, last_id),
                };
            }
            None => {
                log_silence(job, source.endpoint(), timeout);
                let substitute = pin!(take_over(job, source.splitter.last_id()));
                source = match race(job, source, substitute).await? {
                    Raced::Events(next) => return Ok(next),
                    Raced::Silent(source) => source,
                };
            }
        }
    }
}

/// The outcome of a race between a silent endpoint and a substitute.
enum Raced {
    /// The next events, and the endpoint that sent them.
    Events(FirstEvents),
    /// No other endpoint takes over, and this one is still silent.
    Silent(Source),
}

/// Waits until a silent endpoint or its substitute has sent an event.
///
/// A sound endpoint may be silent for a moment, so its connection is kept until another endpoint has
/// taken over.
///
/// # Errors
///
/// Returns the reason if the silent endpoint fails and no other one takes over.
async fn race<P: Protocol>(
    job: &Job<P>,
    mut silent: Source,
    mut substitute: Pin<&mut impl Future<Output = Option<FirstEvents>>>,
) -> Result<Raced, &'static str> {
    let read = tokio::select! {
        biased;
        read = silent.read(job) => read,
        found = &mut substitute => {
            let Some(next) = found else {
                return Ok(Raced::Silent(silent));
            };
            job.log("substituted", next.source.endpoint(), "");
            silent.abandon();
            return Ok(Raced::Events(next));
        }
    };
    let reason = match read {
        Ok(read) => {
            let source = silent;
            return Ok(Raced::Events(FirstEvents { source, read }));
        }
        Err(reason) => reason,
    };
    job.log("stream_broken", silent.endpoint(), reason);
    silent.abandon();
    substitute.await.map(Raced::Events).ok_or(reason)
}

/// Asks other endpoints to go on after the event `last_id`, until one has sent an event.
async fn take_over<P: Protocol>(job: &Job<P>, last_id: Option<u64>) -> Option<FirstEvents> {
    loop {
        let slot = substitute_slot(job, last_id).await?;
        let response = match job.attempt(slot, last_id).await {
            Attempt::Quarantined => return None,
            attempt => job.accepted(attempt),
        };
        let Some(response) = response else {
            continue;
        };
        let mut source = job.source(response, last_id);
        match source.read(job).await {
            Ok(read) => return Some(FirstEvents { source, read }),
            Err(reason) => {
                job.log("stream_broken", source.endpoint(), reason);
                source.abandon();
            }
        }
    }
}

/// A stream that another endpoint goes on with.
enum Resumed {
    Response(Box<EndpointResponse>),
    Events(Box<FirstEvents>),
}

/// Sends the request to other endpoints, while attempts are left, until one goes on after the event
/// `last_id`.
async fn resume<P: Protocol>(job: &Job<P>, last_id: Option<u64>) -> Option<Resumed> {
    loop {
        let slot = substitute_slot(job, last_id).await?;
        match attempt(job, slot, last_id).await {
            StreamAttempt::Events(first) => return Some(Resumed::Events(first)),
            StreamAttempt::Endpoint(Attempt::Quarantined) => return None,
            StreamAttempt::Endpoint(attempt) => {
                if let Some(response) = job.accepted(attempt) {
                    return Some(Resumed::Response(response));
                }
            }
        }
    }
}

/// Waits for a slot at another endpoint, if the stream may be sent to one more.
async fn substitute_slot<P: Protocol>(job: &Job<P>, last_id: Option<u64>) -> Option<Slot> {
    if job.route.retry_policy != RetryPolicy::Resume || !job.has_attempts() {
        return None;
    }
    let slot = job.acquire().await.ok()?;
    // Only what is sent is taken from the budget, not a search in vain.
    if !job.try_acquire_retry() {
        return None;
    }
    job.log("resume", &slot.endpoint, last_id.unwrap_or_default());
    Some(slot)
}

/// Returns how long a resumable stream may be silent before another endpoint is asked to go on with it.
///
/// The timeout is derived from the objectives, so as to fail over well before callers time out; their
/// deadlines are not considered.
fn stall_timeout(route: &Route) -> Millis {
    let first = route.objective.0 * STALL_FIRST_EVENT_FACTOR;
    let gap = route.gap_objective.0 * STALL_GAP_FACTOR;
    Millis(first.max(gap).max(STALL_TIMEOUT_MIN.0))
}
