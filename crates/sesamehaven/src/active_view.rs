//! The active view of a slot at its home, with the slot's grants.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::grant_history::GrantHistory;
use crate::guard::{
    Claim, FromHome, Gap, Grant, GrantSeq, Handover, Run, Slot, Undecided, View, ViewId,
};
use crate::home::Now;
use crate::id::{KeyDigest, RequestId};
use crate::key::WallTime;
use crate::slot_state::Attempt;
use crate::unit::{Instant, Millis};

/// How far a key's timestamp may lie ahead of the home's wall clock before the
/// view must be renewed with a later `max_key_time`.
const FUTURE_TOLERANCE: Millis = Millis(10_000);
/// How far a renewed `max_key_time` exceeds the timestamp that required it, so that
/// similar keys do not each cause a renewal.
const MAX_KEY_TIME_STEP: Millis = Millis(5 * 60 * 1000);
/// How much later than a loss a key must be timestamped to count as unused. Covers
/// [`FUTURE_TOLERANCE`] and the skew between the agents' wall clocks.
const LOSS_MARGIN: Millis = Millis(30_000);

/// A view that is being served.
#[derive(Debug)]
pub(crate) struct ActiveView {
    pub(crate) view: View,
    /// When the view was activated or last renewed.
    pub(crate) activated_at: Instant,
    /// The latest timestamp that a granted key may carry if it lies more than [`FUTURE_TOLERANCE`]
    /// ahead of the home's wall clock.
    ///
    /// After a loss of records, only keys with later timestamps count as unused.
    pub(crate) max_key_time: WallTime,
    /// The number of grants issued since the home took over the slot.
    pub(crate) grant_count: u64,
    pub(crate) history: GrantHistory,
    /// The entries that store the grant of each key.
    pub(crate) stored_by: HashMap<KeyDigest, SmallVec<[Run; 2]>>,
}

impl ActiveView {
    pub(crate) fn gap(&self, now: Instant) -> Option<Gap> {
        let mut gap = self.view.gap?;
        gap.remaining.0 = gap
            .remaining
            .0
            .saturating_sub(now.since(self.activated_at).0);
        (gap.remaining.0 > 0).then_some(gap)
    }

    pub(crate) fn serve_message(&self, slot: Slot, now: Instant) -> FromHome {
        let view = View {
            gap: self.gap(now),
            ..self.view.clone()
        };
        FromHome::Serve(slot, view)
    }

    pub(crate) fn renew(&mut self, attempt: Attempt, entries: Vec<Run>, now: Now) {
        for orphan in &attempt.orphans.grants {
            let replicas = attempt.replicas.iter().cloned().collect();
            self.stored_by.insert(orphan.key, replicas);
        }
        self.view = View {
            id: attempt.id,
            entries,
            gap: self.gap(now.instant),
        };
        self.activated_at = now.instant;
        self.max_key_time = attempt.max_key_time;
    }

    /// Returns the grants that only ended entries store, and all fingerprints, whose
    /// storing entries are not tracked.
    pub(crate) fn orphans(&self, has_ended: impl Fn(&Run) -> bool, now: Instant) -> Handover {
        let is_stored = |g: &&Grant| {
            let stored_by = self.stored_by.get(&g.key);
            stored_by.is_some_and(|runs| runs.iter().any(|run| !has_ended(run)))
        };
        Handover {
            grants: self
                .history
                .grants()
                .filter(|g| !is_stored(g))
                .cloned()
                .collect(),
            fingerprints: self.history.fingerprints(now),
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.history.expire(now);
        let history = &self.history;
        self.stored_by.retain(|key, _| history.get(*key).is_some());
    }

    /// Returns the `max_key_time` that the entries must promise before this key is
    /// granted, if its timestamp lies more than [`FUTURE_TOLERANCE`] ahead and
    /// exceeds the current `max_key_time`.
    pub(crate) fn required_max_key_time(&self, claim: &Claim, now: Now) -> Option<WallTime> {
        let time = claim.time?;
        let is_ahead = time.0 > now.wall.0 + FUTURE_TOLERANCE.0 && time > self.max_key_time;
        is_ahead.then_some(WallTime(time.0.saturating_add(MAX_KEY_TIME_STEP.0)))
    }

    pub(crate) fn claim(&mut self, from: &Run, claim: Claim, now: Now) -> Option<FromHome> {
        let seq = GrantSeq {
            round: self.view.id.round,
            count: self.grant_count,
        };
        let requested = claim.grant(seq);
        let Some(held) = self.history.get(claim.key) else {
            if let Some(why) = self.undecided_reason(claim.key, claim.time, now.instant) {
                return Some(undecided(self.view.id.clone(), claim.key, claim.req, why));
            }
            return Some(self.grant(from, requested, now));
        };
        let is_replaced_holder =
            |(req, place): &(RequestId, Run)| held.req == *req && held.place == *place;
        if claim.instead_of.as_ref().is_some_and(is_replaced_holder) {
            if self.may_be_stale(held, now.instant) {
                let id = self.view.id.clone();
                return Some(undecided(id, claim.key, claim.req, Undecided::Lost));
            }
            return Some(self.grant(from, requested, now));
        }
        if held.req != claim.req {
            return Some(self.held_reply(held, claim.req));
        }
        // A delayed duplicate of a claim whose request has moved is not answered.
        let is_repeated = held.place == claim.place && held.step == 0;
        is_repeated.then(|| self.granted_reply(held.clone()))
    }

    pub(crate) fn move_to(&mut self, requested: &Grant, now: Now) -> Option<FromHome> {
        let (key, req) = (requested.key, requested.req);
        let Some(held) = self.history.get(key) else {
            return Some(undecided(self.view.id.clone(), key, req, Undecided::Lost));
        };
        if held.req != req {
            return Some(self.held_reply(held, req));
        }
        if self.may_be_stale(held, now.instant) {
            return Some(undecided(self.view.id.clone(), key, req, Undecided::Lost));
        }
        let is_stale = held.seq != requested.seq || held.step > requested.step;
        if is_stale || (held.step == requested.step && held.place != requested.place) {
            return None;
        }
        self.history.insert(requested.clone(), now.instant);
        Some(self.granted_reply(requested.clone()))
    }

    pub(crate) fn release(&mut self, released: &Grant) -> FromHome {
        let id = self.view.id.clone();
        let (key, req) = (released.key, released.req);
        let Some(held) = self.history.get(key) else {
            let is_unused = self.view.gap.is_none() && !self.history.has_fingerprint(key);
            return match is_unused {
                true => FromHome::Released(id, key, req),
                false => undecided(id, key, req, Undecided::Lost),
            };
        };
        if held.req != req || held.seq != released.seq {
            return self.held_reply(held, req);
        }
        if self.view.gap.is_some_and(|gap| held.seq.round < gap.round) {
            return undecided(id, key, req, Undecided::Lost);
        }
        self.history.remove(key);
        FromHome::Released(id, key, req)
    }

    /// Returns the reason why a key without a grant may nevertheless have run, if any.
    pub(crate) fn undecided_reason(
        &self,
        key: KeyDigest,
        time: Option<WallTime>,
        now: Instant,
    ) -> Option<Undecided> {
        if self.history.has_fingerprint(key) {
            return Some(Undecided::Remembered);
        }
        let gap = self.gap(now)?;
        let is_newer = |t: WallTime| t > self.max_key_time && t.0 > gap.since.0 + LOSS_MARGIN.0;
        match time.is_some_and(is_newer) {
            true => None,
            false => Some(Undecided::Lost),
        }
    }

    /// Returns whether a later grant of the key may have been lost.
    pub(crate) fn may_be_stale(&self, held: &Grant, now: Instant) -> bool {
        let gap = self.gap(now);
        gap.is_some_and(|gap| held.seq.round < gap.round)
    }

    pub(crate) fn grant(&mut self, from: &Run, grant: Grant, now: Now) -> FromHome {
        self.grant_count += 1;
        self.history.insert(grant.clone(), now.instant);
        self.stored_by
            .insert(grant.key, SmallVec::from_iter([from.clone()]));
        self.granted_reply(grant)
    }

    pub(crate) fn granted_reply(&self, grant: Grant) -> FromHome {
        FromHome::Granted {
            id: self.view.id.clone(),
            grant,
        }
    }

    pub(crate) fn held_reply(&self, held: &Grant, req: RequestId) -> FromHome {
        FromHome::Held {
            id: self.view.id.clone(),
            key: held.key,
            req,
            by: held.req,
            place: held.place.clone(),
        }
    }
}

pub(crate) fn undecided(id: ViewId, key: KeyDigest, req: RequestId, why: Undecided) -> FromHome {
    FromHome::Undecided(id, key, req, why)
}
