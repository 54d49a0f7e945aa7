//! Handles agents' replies about requests and forwards answers to callers.

use metrics::{counter, histogram};

use sesamehaven::id::{DaemonName, RequestId};
use sesamehaven::lifecycle::Event;
use sesamehaven::unit::Instant;
use sesamehaven_wire::message::{End, ToEntry};

use crate::caller::ToCaller;
use crate::clock;
use crate::entry::{Entry, Target};

impl Entry {
    pub(crate) fn on_reply(&mut self, agent: &DaemonName, id_at_agent: RequestId, reply: ToEntry) {
        // The id is that of an attempt of a request of this entry, or of another
        // request whose answer a request of this entry reads.
        let id = match self.active.contains_key(&id_at_agent.origin()) {
            true => id_at_agent.origin(),
            false => self.keys.reader(id_at_agent).unwrap_or(id_at_agent),
        };
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        // Replies of an agent that no longer holds the request, or to an earlier
        // attempt, are late.
        let target = active.lifecycle.target();
        let is_current = id_at_agent.attempt(active.attempt) == id_at_agent;
        if !is_current || target.is_none_or(|target| target.agent != *agent) {
            counter!("entry_late_replies_total").increment(1);
            return;
        }
        let now = clock::now();
        let router = self.routers.get_mut(&active.job.pool);
        let event = match reply {
            ToEntry::Accepted { first_token } => {
                if let Some(router) = router {
                    router.on_accepted(id, first_token, now);
                }
                Event::Accepted
            }
            ToEntry::Refused(_) if active.key_state.attached.is_some() => {
                // Returned to the request that holds the key, which may run elsewhere.
                self.on_not_offered(id);
                Event::NeverOffered
            }
            ToEntry::Refused(refused) => {
                active.refused = Some(refused);
                if refused.reason.is_lack_of_capacity() {
                    // After `Refusal::Full` the router avoids the endpoint for a
                    // while (`is_closed_to`); after `Refusal::Evicted` it may be
                    // chosen again at once.
                    active.excluded.pop();
                }
                if let Some(router) = router {
                    router.on_refused(id, &refused, now);
                }
                match active.lifecycle.is_dispatched() {
                    true => Event::NotSent(refused),
                    false => Event::Refused(refused),
                }
            }
            ToEntry::Withdrawn => Event::Withdrawn,
            ToEntry::AlreadyDispatched => Event::AlreadyDispatched,
            ToEntry::UnknownRequest => {
                active.renumber();
                if let Some(router) = router {
                    router.on_withdrawn(id);
                }
                self.on_not_offered(id);
                Event::NeverOffered
            }
            ToEntry::Dispatched { .. } => {
                if let Some(router) = router {
                    router.on_dispatched(id, now);
                }
                Event::Dispatched
            }
            ToEntry::Head(head) => {
                self.send_to_caller(id, ToCaller::Head(head));
                Event::Head
            }
            ToEntry::Chunk { seq, data } => return self.on_chunk(id, seq, data, now),
            ToEntry::End { chunks, end } => self.end_event(id, chunks, end),
        };
        self.on_event(id, event);
    }

    pub(crate) fn on_chunk(&mut self, id: RequestId, seq: u64, data: bytes::Bytes, now: Instant) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if seq < active.next_chunk {
            return;
        }
        if seq > active.next_chunk {
            counter!("entry_chunk_gaps_total").increment(1);
            return self.on_event(id, Event::Interrupted);
        }
        active.next_chunk += 1;
        if let Some(slo) = &mut active.slo {
            slo.on_chunk(&data, now);
        }
        if !active.first_token {
            active.first_token = true;
            let secs = now.since(active.job.received).duration().as_secs_f64();
            let tier = active.job.tier.to_string();
            histogram!("entry_first_token_seconds", "tier" => tier).record(secs);
        }
        counter!("entry_chunks_total").increment(1);
        self.send_to_caller(id, ToCaller::Chunk(data));
    }

    /// Returns the event for the end of an answer: completed if the agent reports it
    /// as complete and all its chunks were received, else interrupted.
    pub(crate) fn end_event(&self, id: RequestId, chunks: u64, end: End) -> Event<Target> {
        let received = self.active.get(&id).map_or(0, |active| active.next_chunk);
        match end {
            End::Complete if received == chunks => Event::Completed,
            _ => Event::Interrupted,
        }
    }
}
