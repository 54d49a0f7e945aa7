//! Handles entries' messages to an agent: offers, withdrawals, cancellations,
//! credits and resumptions.

use actix::prelude::*;
use metrics::counter;

use sesamehaven::config::{PoolKind, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::{Verdict, Withdrawal, Work};
use sesamehaven::id::RequestId;
use sesamehaven::offer_history::{OfferCheck, OfferStatus};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::quarantine::QuarantineStatus;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::message::{End, Frame, Offer, ToEntry};

use crate::agent::{Agent, count_refusal, refused_for};
use crate::clock;
use crate::execution::{Execution, Reader};
use crate::peer::LinkId;

/// Time for which a resumption waits for the request's offer, which may still be in
/// transit.
const OFFER_GRACE: Millis = Millis(150);

/// A resumption that was received before the request's offer.
pub(crate) struct PendingResume {
    pub(crate) link: LinkId,
    pub(crate) id: RequestId,
    pub(crate) next: u64,
    pub(crate) window_end: u64,
    pub(crate) until: Instant,
}

impl Agent {
    pub(crate) fn on_offer(
        &mut self,
        link: LinkId,
        id: RequestId,
        offer: Box<Offer>,
        now: Instant,
        cx: &mut Context<Self>,
    ) {
        counter!("agent_offers_total").increment(1);
        let Some((_, tx)) = self.links.get(&link).cloned() else {
            return;
        };
        let window_end = offer.window_end;
        match self.offers.try_accept(id, now) {
            OfferCheck::New => {}
            OfferCheck::Duplicate => return self.on_resume(link, id, 0, window_end, now),
            OfferCheck::Refused => return self.reply(link, id, ToEntry::UnknownRequest),
        }
        let Some(state) = self.endpoints.get_mut(&offer.endpoint) else {
            self.offers.refuse(id, now);
            let refused = refused_for(Refusal::Unavailable);
            return self.reply(link, id, ToEntry::Refused(refused));
        };
        let status = self.quarantine.status(offer.fingerprint, now);
        if status == QuarantineStatus::Quarantined {
            let mut refused = refused_for(Refusal::Quarantined);
            refused.retry_after = self.quarantine.remaining(offer.fingerprint, now);
            count_refusal(refused.reason);
            self.offers.refuse(id, now);
            return self.reply(link, id, ToEntry::Refused(refused));
        }
        if let Some(part) = self.part_quarantine.culprit(&offer.parts) {
            let mut refused = refused_for(Refusal::Quarantined);
            refused.retry_after = self.part_quarantine.remaining(part, now);
            count_refusal(refused.reason);
            self.offers.refuse(id, now);
            return self.reply(link, id, ToEntry::Refused(refused));
        }
        let class = self.index.class(&offer.class);
        let repeat = class.map_or(Repeat::AtMostOnce, |class| class.repeat);
        let mut work = work_of(id, &offer, repeat, now);
        work.suspect = status == QuarantineStatus::Suspect;
        let name = state.endpoint.name.clone();
        let verdict = state.gate.offer(work, now);
        let kind = state.kind;
        let (first_token, evicted) = match verdict {
            Verdict::Accepted {
                first_token,
                evicted,
            } => (first_token, evicted),
            Verdict::Refused(refused) => {
                count_refusal(refused.reason);
                self.offers.refuse(id, now);
                return self.reply(link, id, ToEntry::Refused(refused));
            }
        };
        let reader = Reader::new(link, tx, 0, window_end);
        let max_bytes = self.settings.limits.answer_buffer.len();
        let mut execution = Execution::new(offer, kind, max_bytes, reader);
        execution.must_complete = kind == PoolKind::Service && repeat != Repeat::Idempotent;
        execution.broadcast(id, &ToEntry::Accepted { first_token });
        self.executions.insert(id, execution);
        for (evicted, refused) in evicted {
            counter!("agent_evictions_total").increment(1);
            self.return_to_entry(evicted, refused);
        }
        self.poll(&name, now, cx);
    }

    pub(crate) fn on_withdraw(&mut self, link: LinkId, id: RequestId, now: Instant) {
        let reply = match self.withdraw(id, now) {
            Withdrawal::Withdrawn => ToEntry::Withdrawn,
            Withdrawal::AlreadyDispatched => ToEntry::AlreadyDispatched,
            Withdrawal::Unknown => self.reply_to_unknown(id, now),
        };
        self.reply(link, id, reply);
    }

    /// Removes a queued request from its gate and from the agent.
    pub(crate) fn withdraw(&mut self, id: RequestId, now: Instant) -> Withdrawal {
        let Some(execution) = self.executions.get(&id) else {
            return Withdrawal::Unknown;
        };
        if execution.is_dispatched() {
            return Withdrawal::AlreadyDispatched;
        }
        if let Some(state) = self.endpoints.get_mut(&execution.endpoint) {
            state.gate.withdraw(id, now);
        }
        self.executions.remove(&id);
        self.offers.refuse(id, now);
        Withdrawal::Withdrawn
    }

    /// Returns the reply about a request that is not held: unknown if it was never
    /// dispatched here; if it was, or if its record has expired, that its answer was
    /// evicted.
    ///
    /// An id that was never offered is recorded as refused, so that an offer of it
    /// that arrives later is not accepted.
    pub(crate) fn reply_to_unknown(&mut self, id: RequestId, now: Instant) -> ToEntry {
        match self.offers.resolve(id, now) {
            OfferStatus::NeverDispatched => ToEntry::UnknownRequest,
            OfferStatus::Accepted | OfferStatus::Forgotten => ToEntry::End {
                chunks: 0,
                end: End::Evicted,
            },
        }
    }

    pub(crate) fn on_cancel(&mut self, link: LinkId, id: RequestId, now: Instant) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return;
        };
        execution.detach(link);
        if !execution.has_no_readers() {
            return;
        }
        if execution.is_dispatched() {
            execution.abandon_at = Some(now.after(self.settings.limits.cancel_grace));
            return;
        }
        count_refusal(Refusal::Abandoned);
        self.withdraw(id, now);
    }

    pub(crate) fn on_credit(&mut self, link: LinkId, id: RequestId, acked: u64, window_end: u64) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return;
        };
        execution.credit(link, acked, window_end);
        execution.pump(id);
        if execution.has_ended_without_readers() && execution.key.is_none() {
            self.executions.remove(&id);
        }
    }

    pub(crate) fn on_resume(
        &mut self,
        link: LinkId,
        id: RequestId,
        next: u64,
        window_end: u64,
        now: Instant,
    ) {
        counter!("agent_resumes_total").increment(1);
        let Some((_, tx)) = self.links.get(&link).cloned() else {
            return;
        };
        let Some(execution) = self.executions.get_mut(&id) else {
            if self.offers.is_new(id) {
                let until = now.after(OFFER_GRACE);
                return self.pending_resumes.push(PendingResume {
                    link,
                    id,
                    next,
                    window_end,
                    until,
                });
            }
            let reply = self.reply_to_unknown(id, now);
            return self.reply(link, id, reply);
        };
        execution.attach(Reader::new(link, tx, next, window_end));
        let reply = match execution.is_dispatched() {
            true => ToEntry::AlreadyDispatched,
            false => ToEntry::Accepted {
                first_token: Millis(0),
            },
        };
        execution.pump(id);
        self.reply(link, id, reply);
    }

    /// Handles pending resumptions whose offer has arrived or whose wait has
    /// expired.
    pub(crate) fn answer_pending_resumes(&mut self, now: Instant) {
        let offers = &self.offers;
        let is_ready =
            |resume: &mut PendingResume| now >= resume.until || !offers.is_new(resume.id);
        let ready: Vec<PendingResume> = self.pending_resumes.extract_if(.., is_ready).collect();
        for resume in ready {
            if self.offers.is_new(resume.id) {
                self.offers.refuse(resume.id, now);
            }
            self.on_resume(resume.link, resume.id, resume.next, resume.window_end, now);
        }
    }

    /// Returns an undispatched request to its entry with a refusal.
    pub(crate) fn return_to_entry(&mut self, id: RequestId, refused: Refused) {
        count_refusal(refused.reason);
        if let Some(execution) = self.executions.remove(&id) {
            self.offers.refuse(id, clock::now());
            execution.broadcast(id, &ToEntry::Refused(refused));
        }
    }

    pub(crate) fn reply(&self, link: LinkId, id: RequestId, reply: ToEntry) {
        let Some((_, tx)) = self.links.get(&link) else {
            return;
        };
        if tx.try_send(Frame::Reply(id, reply)).is_err() {
            counter!("agent_replies_lost_total").increment(1);
        }
    }
}

fn work_of(id: RequestId, offer: &Offer, repeat: Repeat, now: Instant) -> Work {
    Work {
        id,
        tier: offer.tier,
        organisation: OrganisationDigest::of(&offer.organisation),
        weight: offer.weight,
        prompt: offer.prompt,
        output: offer.output,
        deadline: now.after(offer.remaining),
        repeat,
        fingerprint: offer.fingerprint,
        suspect: false,
    }
}
