//! From dispatch to the end of the answer: claims, calls and their progress.

use std::rc::Rc;

use actix::prelude::*;
use metrics::counter;
use tokio::sync::oneshot;

use sesamehaven::claim::{self, Outcome, Reply};
use sesamehaven::config::{PoolKind, Repeat};
use sesamehaven::gate::{RunOutcome, Step};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::Refusal;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::message::{End, ToEntry};

use crate::agent::{Agent, absent};
use crate::call::{Call, CallEnd, CallEvent, Progress};
use crate::claims::{self, Decided, ShardId};
use crate::clock;
use crate::score::Prefill;

/// What came of a call of the platform for claims.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimReplied(ShardId, Reply);

impl Agent {
    /// Does what the gate of an endpoint asks for.
    pub(crate) fn poll(&mut self, name: &EndpointName, now: Instant, cx: &mut Context<Self>) {
        loop {
            let Some(door) = self.doors.get_mut(name) else {
                return;
            };
            let steps = door.gate.poll(now);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                match step {
                    Step::Dispatch(id) => self.dispatch(id, now, cx),
                    Step::Refuse(id, refused) => self.hand_back(id, refused),
                    Step::Cancel(id) => self.cancel(id),
                }
            }
        }
    }

    /// Dispatches a request, after its key was claimed if its class asks for it.
    pub(crate) fn dispatch(&mut self, id: RequestId, now: Instant, cx: &mut Context<Self>) {
        let Some(run) = self.runs.get(&id) else {
            return self.end_unheld(id, now);
        };
        let class = run.offer.as_ref().and_then(|o| self.index.class(&o.class));
        let is_claimed = class.is_some_and(|class| class.repeat == Repeat::Claimed);
        match run.key {
            Some(key) if is_claimed => {
                self.claiming.insert(id, key);
                let decided = self.claims.claim(key, id);
                self.on_claims(decided, cx);
            }
            _ => self.dispatch_claimed(id, now, cx),
        }
    }

    pub(crate) fn on_claims(&mut self, (verdicts, due): Decided, cx: &mut Context<Self>) {
        for due in due {
            let platform = self.platform.clone();
            let agent = cx.address();
            actix_rt::spawn(async move {
                let (shard, reply) = claims::call(&platform, due).await;
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
            if let Some(run) = self.runs.get_mut(&id) {
                run.claimed = true;
            } else if let Some(key) = key {
                // The request was withdrawn meanwhile.
                let decided = self.claims.void(key, id);
                self.on_claims(decided, cx);
            }
            return self.dispatch_claimed(id, now, cx);
        }
        counter!("agent_claims_refused_total").increment(1);
        self.end_unheld(id, now);
        match verdict {
            claim::Verdict::PlatformDown => self.hand_back(id, absent(Refusal::PlatformDown)),
            _ => {
                // The key was used, and what came of it is not held here.
                if let Some(run) = self.runs.get_mut(&id) {
                    run.set_end(End::Evicted, now);
                    run.pump(id);
                }
            }
        }
    }

    pub(crate) fn dispatch_claimed(&mut self, id: RequestId, now: Instant, cx: &mut Context<Self>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return self.end_unheld(id, now);
        };
        let Some(door) = self.doors.get_mut(&run.endpoint) else {
            return;
        };
        let Some(offer) = run.offer.take() else {
            return;
        };
        door.cache.add(&offer.prefixes);
        counter!("agent_dispatches_total").increment(1);
        run.set_dispatched();
        if door.kind == PoolKind::Model {
            run.prefill = Some(Prefill::new(offer.tier, offer.prompt.0));
        }
        run.tell(
            id,
            &ToEntry::Dispatched {
                endpoint: run.endpoint.clone(),
            },
        );
        let class = self.index.class(&offer.class);
        let (tx, rx) = oneshot::channel();
        run.cancel = Some(tx);
        let call = Call {
            id,
            endpoint: door.endpoint.clone(),
            idle: class.map_or(Millis(30_000), |class| class.idle),
            offer,
            pace: Rc::clone(&run.pace),
            cancel: rx,
        };
        actix_rt::spawn(call.run(self.client.clone(), cx.address()));
    }

    /// Settles a gate that still counts a request which is not held any more.
    pub(crate) fn end_unheld(&mut self, id: RequestId, now: Instant) {
        for door in self.doors.values_mut() {
            door.gate.on_end(id, RunOutcome::Cancelled, now);
        }
    }

    pub(crate) fn cancel(&mut self, id: RequestId) {
        counter!("agent_cancels_total").increment(1);
        let cancel = self.runs.get_mut(&id).and_then(|run| run.cancel.take());
        if let Some(cancel) = cancel {
            // A call that is over has nobody left to tell.
            let _ = cancel.send(());
        }
    }

    pub(crate) fn on_progress(&mut self, id: RequestId, what: Progress, cx: &mut Context<Self>) {
        let now = clock::now();
        match what {
            Progress::Head(head, events) => {
                let Some(run) = self.runs.get_mut(&id) else {
                    return;
                };
                run.events = events;
                if let Some(door) = self.doors.get_mut(&run.endpoint) {
                    door.proven = true;
                }
                run.set_head(head);
                run.pump(id);
            }
            Progress::Piece(piece) => self.on_piece(id, piece, now),
            Progress::Ended(end) => self.on_call_end(id, end, now, cx),
        }
    }

    pub(crate) fn on_piece(&mut self, id: RequestId, piece: bytes::Bytes, now: Instant) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let (true, Some(door)) = (run.events, self.doors.get_mut(&run.endpoint)) {
            let tokens = count_events(&piece);
            if !run.begun {
                door.gate.on_first_token(id, now);
            }
            door.gate.on_tokens(id, tokens, now);
            counter!("agent_tokens_total").increment(u64::from(tokens));
        }
        run.push(piece);
        run.pump(id);
    }

    pub(crate) fn on_call_end(
        &mut self,
        id: RequestId,
        end: CallEnd,
        now: Instant,
        cx: &mut Context<Self>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return self.end_unheld(id, now);
        };
        let name = run.endpoint.clone();
        let fingerprint = run.fingerprint;
        let unsent = |_: &mut Prefill| end == CallEnd::NotSent;
        if let Some(prefill) = run.prefill.take_if(unsent) {
            prefill.forget();
        }
        if let (true, Some(key)) = (run.claimed, run.key) {
            let decided = match end {
                CallEnd::Whole => self.claims.record(key, id, Outcome::Answered),
                CallEnd::NotSent => self.claims.void(key, id),
                _ => self.claims.record(key, id, Outcome::Unknown),
            };
            self.on_claims(decided, cx);
        }
        let (ended, told) = match end {
            CallEnd::Whole => (RunOutcome::Completed, End::Complete),
            CallEnd::Broken | CallEnd::NotSent => (RunOutcome::Failed, End::Interrupted),
            CallEnd::Stalled => (RunOutcome::Stalled, End::Stalled),
            CallEnd::Cancelled => (RunOutcome::Cancelled, End::Cancelled),
        };
        counter!("agent_calls_total", "end" => end_label(told)).increment(1);
        if let Some(door) = self.doors.get_mut(&name) {
            door.gate.on_end(id, ended, now);
        }
        match end {
            CallEnd::NotSent => {
                self.hand_back(id, absent(Refusal::Unavailable));
                self.set_unhealthy(&name, cx);
            }
            CallEnd::Broken => self.judge_later(&name, id, cx),
            CallEnd::Whole | CallEnd::Stalled | CallEnd::Cancelled => {
                if end == CallEnd::Whole {
                    self.quarantine.on_finished(fingerprint);
                }
                self.conclude(id, told, now);
            }
        }
        self.poll(&name, now, cx);
    }

    /// Lets the readers of an answer have its end.
    pub(crate) fn conclude(&mut self, id: RequestId, end: End, now: Instant) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.set_end(end, now);
        run.pump(id);
        if run.is_delivered() && run.key.is_none() {
            self.runs.remove(&id);
        }
    }
}

impl Handler<CallEvent> for Agent {
    type Result = ();

    fn handle(&mut self, msg: CallEvent, cx: &mut Context<Self>) {
        self.on_progress(msg.id, msg.what, cx);
    }
}

impl Handler<ClaimReplied> for Agent {
    type Result = ();

    fn handle(&mut self, ClaimReplied(shard, reply): ClaimReplied, cx: &mut Context<Self>) {
        let decided = self.claims.on_reply(shard, reply);
        self.on_claims(decided, cx);
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

/// Counts the server-sent events that end in a part of a stream.
fn count_events(piece: &[u8]) -> u32 {
    let ends = piece.windows(2).filter(|pair| *pair == b"\n\n").count();
    u32::try_from(ends).unwrap_or(u32::MAX)
}
