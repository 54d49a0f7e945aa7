//! What entries ask of an agent: offers, withdrawals, cancellations, readers.

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

use crate::agent::{Agent, absent, count_refusal};
use crate::clock;
use crate::peer::LinkId;
use crate::run::{Reader, Run};

/// How long a resumption waits for the request's offer, which may be on its way.
const OFFER_GRACE: Millis = Millis(150);

/// A resumption that came before the request's offer.
pub(crate) struct Early {
    pub(crate) link: LinkId,
    pub(crate) id: RequestId,
    pub(crate) next: u64,
    pub(crate) upto: u64,
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
        let upto = offer.window_end;
        match self.offers.try_accept(id, now) {
            OfferCheck::New => {}
            OfferCheck::Duplicate => return self.on_resume(link, id, 0, upto, now),
            OfferCheck::Refused => return self.reply(link, id, ToEntry::UnknownRequest),
        }
        let Some(door) = self.doors.get_mut(&offer.endpoint) else {
            self.offers.refuse(id, now);
            let refused = absent(Refusal::Unavailable);
            return self.reply(link, id, ToEntry::Refused(refused));
        };
        let standing = self.quarantine.status(offer.fingerprint, now);
        if standing == QuarantineStatus::Quarantined {
            let mut refused = absent(Refusal::Quarantined);
            refused.retry_after = self.quarantine.remaining(offer.fingerprint, now);
            count_refusal(refused.reason);
            self.offers.refuse(id, now);
            return self.reply(link, id, ToEntry::Refused(refused));
        }
        let class = self.index.class(&offer.class);
        let repeat = class.map_or(Repeat::AtMostOnce, |class| class.repeat);
        let mut work = work_of(id, &offer, repeat, now);
        work.suspect = standing == QuarantineStatus::Suspect;
        let name = door.endpoint.name.clone();
        let verdict = door.gate.offer(work, now);
        let kind = door.kind;
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
        let reader = Reader::new(link, tx, 0, upto);
        let max_bytes = self.settings.limits.answer_buffer.len();
        let mut run = Run::new(offer, kind, max_bytes, reader);
        run.runs_on = kind == PoolKind::Service && repeat != Repeat::Idempotent;
        run.tell(id, &ToEntry::Accepted { first_token });
        self.runs.insert(id, run);
        for (evicted, refused) in evicted {
            counter!("agent_evictions_total").increment(1);
            self.hand_back(evicted, refused);
        }
        self.poll(&name, now, cx);
    }

    pub(crate) fn on_withdraw(&mut self, link: LinkId, id: RequestId, now: Instant) {
        let reply = match self.withdraw(id, now) {
            Withdrawal::Withdrawn => ToEntry::Withdrawn,
            Withdrawal::AlreadyDispatched => ToEntry::AlreadyDispatched,
            Withdrawal::Unknown => self.unknown(id, now),
        };
        self.reply(link, id, reply);
    }

    /// Takes a request out of its queue, and forgets it if that succeeded.
    pub(crate) fn withdraw(&mut self, id: RequestId, now: Instant) -> Withdrawal {
        let Some(run) = self.runs.get(&id) else {
            return Withdrawal::Unknown;
        };
        if run.is_dispatched() {
            return Withdrawal::AlreadyDispatched;
        }
        if let Some(door) = self.doors.get_mut(&run.endpoint) {
            door.gate.withdraw(id, now);
        }
        self.runs.remove(&id);
        self.offers.refuse(id, now);
        Withdrawal::Withdrawn
    }

    /// Tells of a request that is not held: never offered, or forgotten since.
    pub(crate) fn unknown(&mut self, id: RequestId, now: Instant) -> ToEntry {
        match self.offers.resolve(id, now) {
            OfferStatus::NeverDispatched => ToEntry::UnknownRequest,
            OfferStatus::Taken | OfferStatus::Forgotten => ToEntry::End {
                chunks: 0,
                end: End::Evicted,
            },
        }
    }

    pub(crate) fn on_cancel(&mut self, link: LinkId, id: RequestId, now: Instant) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.detach(link);
        if !run.is_unread() {
            return;
        }
        if run.is_dispatched() {
            run.give_up_at = Some(now.after(self.settings.limits.cancel_grace));
            return;
        }
        count_refusal(Refusal::Abandoned);
        self.withdraw(id, now);
    }

    pub(crate) fn on_credit(&mut self, link: LinkId, id: RequestId, acked: u64, upto: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.credit(link, acked, upto);
        run.pump(id);
        if run.is_delivered() && run.key.is_none() {
            self.runs.remove(&id);
        }
    }

    pub(crate) fn on_resume(
        &mut self,
        link: LinkId,
        id: RequestId,
        next: u64,
        upto: u64,
        now: Instant,
    ) {
        counter!("agent_resumes_total").increment(1);
        let Some((_, tx)) = self.links.get(&link).cloned() else {
            return;
        };
        let Some(run) = self.runs.get_mut(&id) else {
            if self.offers.is_new(id) {
                let until = now.after(OFFER_GRACE);
                return self.early.push(Early {
                    link,
                    id,
                    next,
                    upto,
                    until,
                });
            }
            let reply = self.unknown(id, now);
            return self.reply(link, id, reply);
        };
        run.attach(Reader::new(link, tx, next, upto));
        let reply = match run.is_dispatched() {
            true => ToEntry::AlreadyDispatched,
            false => ToEntry::Accepted {
                first_token: Millis(0),
            },
        };
        run.pump(id);
        self.reply(link, id, reply);
    }

    /// Answers resumptions whose offer has come by now, or did not come in time.
    pub(crate) fn answer_early(&mut self, now: Instant) {
        let offers = &self.offers;
        let is_ready = |early: &mut Early| now >= early.until || !offers.is_new(early.id);
        let ready: Vec<Early> = self.early.extract_if(.., is_ready).collect();
        for early in ready {
            if self.offers.is_new(early.id) {
                self.offers.refuse(early.id, now);
            }
            self.on_resume(early.link, early.id, early.next, early.upto, now);
        }
    }

    /// Gives an undispatched request back to its entry.
    pub(crate) fn hand_back(&mut self, id: RequestId, refused: Refused) {
        count_refusal(refused.reason);
        if let Some(run) = self.runs.remove(&id) {
            self.offers.refuse(id, clock::now());
            run.tell(id, &ToEntry::Refused(refused));
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
