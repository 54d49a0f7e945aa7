//! Dispatches requests: claims of keys, calls to endpoints and their progress.

use std::rc::Rc;

use actix::prelude::*;
use metrics::counter;
use spdlog::info;
use tokio::sync::oneshot;

use sesamehaven::claim::{self, Outcome, Reply};
use sesamehaven::config::{PoolKind, Repeat};
use sesamehaven::gate::{RunOutcome, Step};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::Refusal;
use sesamehaven::request_rate::RequestRate;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::message::{End, ToEntry};

use crate::agent::{Agent, refused_for};
use crate::call::{Call, CallEnd, CallEvent, Progress};
use crate::claims::{self, ClaimUpdate, ShardId};
use crate::clock;
use crate::slo::PrefillTracker;

/// Idle timeout of a call whose class is not in the configuration in force.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(30_000);

/// Delivers the result of a platform call made for a claim shard.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimReplied(ShardId, Reply);

impl Agent {
    /// Polls the gate of an endpoint and performs the steps it returns.
    pub(crate) fn poll(&mut self, name: &EndpointName, now: Instant, cx: &mut Context<Self>) {
        loop {
            let Some(state) = self.endpoints.get_mut(name) else {
                return;
            };
            let steps = state.gate.poll(now);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                match step {
                    Step::Dispatch(id) => self.dispatch(id, now, cx),
                    Step::Refuse(id, refused) => self.return_to_entry(id, refused),
                    Step::Cancel(id) => self.cancel(id),
                }
            }
        }
    }

    /// Dispatches a request, after claiming its key if the class requires it.
    pub(crate) fn dispatch(&mut self, id: RequestId, now: Instant, cx: &mut Context<Self>) {
        let Some(execution) = self.executions.get(&id) else {
            return self.release_from_gates(id, now);
        };
        // The part may have been recognized while the request waited.
        if let Some(part) = self.part_quarantine.culprit(&execution.parts) {
            let mut refused = refused_for(Refusal::Quarantined);
            refused.retry_after = self.part_quarantine.remaining(part, now);
            self.release_from_gates(id, now);
            return self.return_to_entry(id, refused);
        }
        let class = execution
            .offer
            .as_ref()
            .and_then(|o| self.index.class(&o.class));
        let is_claimed = class.is_some_and(|class| class.repeat == Repeat::Claimed);
        match execution.key {
            Some(key) if is_claimed => {
                self.claiming.insert(id, key);
                let update = self.claims.claim(key, id);
                self.on_claims(update, cx);
            }
            _ => self.start_call(id, now, cx),
        }
    }

    pub(crate) fn on_claims(&mut self, (verdicts, calls): ClaimUpdate, cx: &mut Context<Self>) {
        for call in calls {
            let platform = self.platform.clone();
            let agent = cx.address();
            actix_rt::spawn(async move {
                let (shard, reply) = claims::call(&platform, call).await;
                agent.do_send(ClaimReplied(shard, reply));
            });
        }
        for (id, verdict) in verdicts {
            self.on_verdict(id, verdict, cx);
        }
    }

    pub(crate) fn on_verdict(
        &mut self,
        id: RequestId,
        verdict: claim::Verdict,
        cx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let key = self.claiming.remove(&id);
        if verdict == claim::Verdict::Claimed {
            if let Some(execution) = self.executions.get_mut(&id) {
                execution.claimed = true;
            } else if let Some(key) = key {
                // The request was withdrawn while the claim was pending.
                let update = self.claims.void(key, id);
                self.on_claims(update, cx);
            }
            return self.start_call(id, now, cx);
        }
        counter!("agent_claims_refused_total").increment(1);
        self.release_from_gates(id, now);
        match verdict {
            claim::Verdict::PlatformDown => {
                self.return_to_entry(id, refused_for(Refusal::PlatformDown))
            }
            _ => {
                // The key was used before, and the answer is not held here.
                if let Some(execution) = self.executions.get_mut(&id) {
                    execution.finish(End::Evicted, now);
                    execution.pump(id);
                }
            }
        }
    }

    pub(crate) fn start_call(&mut self, id: RequestId, now: Instant, cx: &mut Context<Self>) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return self.release_from_gates(id, now);
        };
        let Some(state) = self.endpoints.get_mut(&execution.endpoint) else {
            return;
        };
        let Some(offer) = execution.offer.take() else {
            return;
        };
        state.cache.add(&offer.prefixes);
        counter!("agent_dispatches_total").increment(1);
        execution.set_dispatched(now);
        if state.kind == PoolKind::Model {
            execution.prefill = Some(PrefillTracker::new(offer.tier, offer.prompt.0));
        }
        execution.broadcast(
            id,
            &ToEntry::Dispatched {
                endpoint: execution.endpoint.clone(),
            },
        );
        let class = self.index.class(&offer.class);
        let (tx, rx) = oneshot::channel();
        execution.cancel = Some(tx);
        let call = Call {
            id,
            endpoint: state.endpoint.clone(),
            idle: class.map_or(DEFAULT_IDLE_TIMEOUT, |class| class.idle),
            offer,
            backpressure: Rc::clone(&execution.backpressure),
            cancel: rx,
        };
        actix_rt::spawn(call.run(self.client.clone(), cx.address()));
    }

    /// Ends a request in every gate, since it is not known which one counts it.
    pub(crate) fn release_from_gates(&mut self, id: RequestId, now: Instant) {
        for state in self.endpoints.values_mut() {
            state.gate.on_end(id, RunOutcome::Cancelled, now);
        }
    }

    pub(crate) fn cancel(&mut self, id: RequestId) {
        counter!("agent_cancels_total").increment(1);
        let cancel = self
            .executions
            .get_mut(&id)
            .and_then(|execution| execution.cancel.take());
        if let Some(cancel) = cancel {
            // Sending fails only if the call has already ended.
            let _ = cancel.send(());
        }
    }

    pub(crate) fn on_progress(
        &mut self,
        id: RequestId,
        progress: Progress,
        cx: &mut Context<Self>,
    ) {
        let now = clock::now();
        match progress {
            Progress::Head(head, events) => {
                let Some(execution) = self.executions.get_mut(&id) else {
                    return;
                };
                execution.events = events;
                if let Some(state) = self.endpoints.get_mut(&execution.endpoint) {
                    state.answered_since_crash = true;
                }
                execution.set_head(head);
                execution.pump(id);
            }
            Progress::RateLimit(limit) => self.on_rate_limit(id, limit, now),
            Progress::Paused(span) => self.on_paused(id, span, now),
            Progress::Chunk(chunk) => self.on_chunk(id, chunk, now),
            Progress::Ended(end) => self.on_call_end(id, end, now, cx),
        }
    }

    /// Holds the gate of an endpoint that wants no requests for a time.
    pub(crate) fn on_paused(&mut self, id: RequestId, span: Millis, now: Instant) {
        let Some(execution) = self.executions.get(&id) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&execution.endpoint) else {
            return;
        };
        state.gate.hold(now.after(span));
        counter!("agent_endpoint_pauses_total").increment(1);
        info!(
            "endpoint {} wants no requests for {span}",
            execution.endpoint
        );
    }

    /// Applies the requests per second that an endpoint named, or that it named none.
    fn on_rate_limit(&mut self, id: RequestId, limit: Option<RequestRate>, now: Instant) {
        let Some(execution) = self.executions.get(&id) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(&execution.endpoint) else {
            return;
        };
        let before = state.gate.rate_limit();
        state.gate.set_rate_limit(limit, now);
        if state.gate.rate_limit() == before {
            return;
        }
        counter!("agent_rate_limits_total").increment(1);
        match limit {
            Some(limit) => info!("endpoint {} takes {limit}/s", execution.endpoint),
            None => info!("endpoint {} has no rate limit", execution.endpoint),
        }
    }

    pub(crate) fn on_chunk(&mut self, id: RequestId, chunk: bytes::Bytes, now: Instant) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return;
        };
        if let (true, Some(state)) = (
            execution.events,
            self.endpoints.get_mut(&execution.endpoint),
        ) {
            let tokens = count_events(&chunk);
            if !execution.started {
                state.gate.on_first_token(id, now);
            }
            state.gate.on_tokens(id, tokens, now);
            counter!("agent_tokens_total").increment(u64::from(tokens));
        }
        execution.push(chunk);
        execution.pump(id);
        self.record_answer(id, false, now);
    }

    pub(crate) fn on_call_end(
        &mut self,
        id: RequestId,
        end: CallEnd,
        now: Instant,
        cx: &mut Context<Self>,
    ) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return self.release_from_gates(id, now);
        };
        let name = execution.endpoint.clone();
        let fingerprint = execution.fingerprint;
        let unsent = |_: &mut PrefillTracker| end == CallEnd::NotSent;
        if let Some(prefill) = execution.prefill.take_if(unsent) {
            prefill.forget();
        }
        if let (true, Some(key)) = (execution.claimed, execution.key) {
            let update = match end {
                CallEnd::Complete => self.claims.record(key, id, Outcome::Answered),
                CallEnd::NotSent => self.claims.void(key, id),
                _ => self.claims.record(key, id, Outcome::Unknown),
            };
            self.on_claims(update, cx);
        }
        let (ended, wire_end) = match end {
            CallEnd::Complete => (RunOutcome::Completed, End::Complete),
            CallEnd::Interrupted | CallEnd::NotSent => (RunOutcome::Failed, End::Interrupted),
            CallEnd::Stalled => (RunOutcome::Stalled, End::Stalled),
            CallEnd::Cancelled => (RunOutcome::Cancelled, End::Cancelled),
        };
        counter!("agent_calls_total", "end" => end_label(wire_end)).increment(1);
        if let Some(state) = self.endpoints.get_mut(&name) {
            state.gate.on_end(id, ended, now);
        }
        match end {
            CallEnd::NotSent => {
                self.return_to_entry(id, refused_for(Refusal::Unavailable));
                self.set_unhealthy(&name, cx);
            }
            CallEnd::Interrupted => self.schedule_crash_check(&name, id, cx),
            CallEnd::Complete | CallEnd::Stalled | CallEnd::Cancelled => {
                if end == CallEnd::Complete {
                    self.quarantine.on_finished(fingerprint);
                    self.record_answer(id, true, now);
                }
                self.finish(id, wire_end, now);
            }
        }
        self.poll(&name, now, cx);
    }

    /// Ends a request and sends the end to the readers of its answer.
    pub(crate) fn finish(&mut self, id: RequestId, end: End, now: Instant) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return;
        };
        execution.finish(end, now);
        execution.pump(id);
        if execution.has_ended_without_readers() && execution.key.is_none() {
            self.executions.remove(&id);
        }
    }
}

impl Handler<CallEvent> for Agent {
    type Result = ();

    fn handle(&mut self, msg: CallEvent, cx: &mut Context<Self>) {
        self.on_progress(msg.id, msg.progress, cx);
    }
}

impl Handler<ClaimReplied> for Agent {
    type Result = ();

    fn handle(&mut self, ClaimReplied(shard, reply): ClaimReplied, cx: &mut Context<Self>) {
        let update = self.claims.on_reply(shard, reply);
        self.on_claims(update, cx);
    }
}

fn end_label(end: End) -> &'static str {
    match end {
        End::Complete => "whole",
        End::Interrupted => "broken",
        End::Stalled => "stalled",
        End::Cancelled => "cancelled",
        End::Evicted => "forgotten",
    }
}

/// Counts the server-sent events that end within a chunk of a stream.
fn count_events(chunk: &[u8]) -> u32 {
    let ends = chunk.windows(2).filter(|pair| *pair == b"\n\n").count();
    u32::try_from(ends).unwrap_or(u32::MAX)
}
