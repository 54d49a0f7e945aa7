//! What agents say about requests, and what the caller is told of it.

use metrics::{counter, histogram};

use sesamehaven::id::{DaemonName, RequestId};
use sesamehaven::lifecycle::Event;
use sesamehaven::unit::Instant;
use sesamehaven_wire::message::{End, ToEntry};

use crate::caller::ToCaller;
use crate::clock;
use crate::entry::{Entry, Place};

impl Entry {
    pub(crate) fn on_reply(&mut self, agent: &DaemonName, number: RequestId, reply: ToEntry) {
        let id = match self.active.contains_key(&number.origin()) {
            true => number.origin(),
            false => self.keys.reader(number).unwrap_or(number),
        };
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        // Words of an agent that does not have the request any more are late.
        let place = active.flight.target();
        let is_current = number.attempt(active.attempt) == number;
        if !is_current || place.is_none_or(|place| place.agent != *agent) {
            counter!("entry_late_replies_total").increment(1);
            return;
        }
        let now = clock::now();
        let route = self.routes.get_mut(&active.job.pool);
        let event = match reply {
            ToEntry::Accepted { first_token } => {
                if let Some(route) = route {
                    route.on_accepted(id, first_token, now);
                }
                Event::Accepted
            }
            ToEntry::Refused(refused) => {
                active.refused = Some(refused);
                if refused.reason.is_capacity() {
                    active.excluded.pop();
                }
                if let Some(route) = route {
                    route.on_refused(id, &refused, now);
                }
                Event::Refused(refused)
            }
            ToEntry::Withdrawn => Event::Withdrawn,
            ToEntry::AlreadyDispatched => Event::AlreadyDispatched,
            ToEntry::UnknownRequest => {
                active.renumber();
                if let Some(route) = route {
                    route.on_withdrawn(id);
                }
                self.on_unheard(id);
                Event::NeverOffered
            }
            ToEntry::Dispatched { .. } => {
                if let Some(route) = route {
                    route.on_dispatched(id, now);
                }
                Event::Dispatched
            }
            ToEntry::Head(head) => {
                self.tell(id, ToCaller::Head(head));
                Event::Head
            }
            ToEntry::Chunk { seq, data } => return self.on_chunk(id, seq, data, now),
            ToEntry::End { chunks, end } => self.end_event(id, chunks, end),
        };
        self.drive(id, event);
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
            return self.drive(id, Event::Interrupted);
        }
        active.next_chunk += 1;
        if let Some(score) = &mut active.score {
            score.on_part(&data, now);
        }
        if !active.first_token {
            active.first_token = true;
            let secs = now.since(active.job.received).duration().as_secs_f64();
            let tier = active.job.tier.to_string();
            histogram!("entry_first_token_seconds", "tier" => tier).record(secs);
        }
        counter!("entry_chunks_total").increment(1);
        self.tell(id, ToCaller::Chunk(data));
    }

    /// Decides whether an answer that has ended is whole.
    pub(crate) fn end_event(&self, id: RequestId, chunks: u64, end: End) -> Event<Place> {
        let received = self.active.get(&id).map_or(0, |active| active.next_chunk);
        match end {
            End::Complete if received == chunks => Event::Completed,
            _ => Event::Interrupted,
        }
    }
}
