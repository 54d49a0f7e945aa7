//! The grants of a slot that is served.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::grant_history::GrantHistory;
use crate::guard::{
    Claim, FromHome, Gap, Grant, GrantSeq, Handover, Run, Slot, Undecided, View, ViewId,
};
use crate::home::Now;
use crate::id::{KeyDigest, RequestId};
use crate::key::WallTime;
use crate::seat::Attempt;
use crate::unit::{Instant, Millis};

/// How far ahead of the home's wall clock a key may be dated without more ado.
const AHEAD_ALLOWANCE: Millis = Millis(10_000);
/// How far the latest time is raised beyond a key that is dated further ahead.
const AHEAD_STEP: Millis = Millis(5 * 60 * 1000);
/// How much younger than a loss a key has to be to be known as new; it covers
/// [`AHEAD_ALLOWANCE`] and the difference between the wall clocks of agents.
const YOUNGER_BY: Millis = Millis(30_000);
/// A slot that is served.
#[derive(Debug)]
pub(crate) struct Tenure {
    pub(crate) view: View,
    pub(crate) since: Instant,
    pub(crate) ahead: WallTime,
    pub(crate) turns: u64,
    pub(crate) memory: GrantHistory,
    pub(crate) keepers: HashMap<KeyDigest, SmallVec<[Run; 2]>>,
}

impl Tenure {
    pub(crate) fn gap(&self, now: Instant) -> Option<Gap> {
        let mut gap = self.view.gap?;
        gap.left.0 = gap.left.0.saturating_sub(now.since(self.since).0);
        (gap.left.0 > 0).then_some(gap)
    }

    pub(crate) fn serve(&self, slot: Slot, now: Instant) -> FromHome {
        let view = View {
            gap: self.gap(now),
            ..self.view.clone()
        };
        FromHome::Serve(slot, view)
    }

    pub(crate) fn renew(&mut self, attempt: Attempt, entries: Vec<Run>, now: Now) {
        for orphan in &attempt.orphans.grants {
            let heirs = attempt.heirs.iter().cloned().collect();
            self.keepers.insert(orphan.key, heirs);
        }
        self.view = View {
            id: attempt.id,
            entries,
            gap: self.gap(now.instant),
        };
        self.since = now.instant;
        self.ahead = attempt.ahead;
    }

    /// Returns the records that only lost entries keep.
    pub(crate) fn orphans(&self, has_ended: impl Fn(&Run) -> bool, now: Instant) -> Handover {
        let is_kept = |g: &&Grant| {
            let keepers = self.keepers.get(&g.key);
            keepers.is_some_and(|runs| runs.iter().any(|run| !has_ended(run)))
        };
        Handover {
            grants: self
                .memory
                .grants()
                .filter(|g| !is_kept(g))
                .cloned()
                .collect(),
            fingerprints: self.memory.fingerprints(now),
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.memory.expire(now);
        let memory = &self.memory;
        self.keepers.retain(|key, _| memory.get(*key).is_some());
    }

    /// Returns the time that the entries have to know of before this key is
    /// granted, when it is dated further ahead than they know.
    pub(crate) fn ahead_for(&self, claim: &Claim, now: Now) -> Option<WallTime> {
        let time = claim.time?;
        let is_ahead = time.0 > now.wall.0 + AHEAD_ALLOWANCE.0 && time > self.ahead;
        is_ahead.then_some(WallTime(time.0.saturating_add(AHEAD_STEP.0)))
    }

    pub(crate) fn claim(&mut self, from: &Run, claim: Claim, now: Now) -> Option<FromHome> {
        let seq = GrantSeq {
            round: self.view.id.round,
            count: self.turns,
        };
        let wanted = claim.grant(seq);
        let Some(held) = self.memory.get(claim.key) else {
            if let Some(why) = self.doubt(claim.key, claim.time, now.instant) {
                return Some(undecided(self.view.id.clone(), claim.key, claim.req, why));
            }
            return Some(self.grant(from, wanted, now));
        };
        let is_over = |(req, place): &(RequestId, Run)| held.req == *req && held.place == *place;
        if claim.instead_of.as_ref().is_some_and(is_over) {
            if self.is_outdated(held, now.instant) {
                let id = self.view.id.clone();
                return Some(undecided(id, claim.key, claim.req, Undecided::Lost));
            }
            return Some(self.grant(from, wanted, now));
        }
        if held.req != claim.req {
            return Some(self.held_by(held, claim.req));
        }
        // A late repetition of a claim whose request has moved on is not answered.
        let is_repeated = held.place == claim.place && held.step == 0;
        is_repeated.then(|| self.granted(held.clone()))
    }

    pub(crate) fn move_to(&mut self, wanted: &Grant, now: Now) -> Option<FromHome> {
        let (key, req) = (wanted.key, wanted.req);
        let Some(held) = self.memory.get(key) else {
            return Some(undecided(self.view.id.clone(), key, req, Undecided::Lost));
        };
        if held.req != req {
            return Some(self.held_by(held, req));
        }
        if self.is_outdated(held, now.instant) {
            return Some(undecided(self.view.id.clone(), key, req, Undecided::Lost));
        }
        let is_late = held.seq != wanted.seq || held.step > wanted.step;
        if is_late || (held.step == wanted.step && held.place != wanted.place) {
            return None;
        }
        self.memory.insert(wanted.clone(), now.instant);
        Some(self.granted(wanted.clone()))
    }

    pub(crate) fn release(&mut self, given_up: &Grant) -> FromHome {
        let id = self.view.id.clone();
        let (key, req) = (given_up.key, given_up.req);
        let Some(held) = self.memory.get(key) else {
            let is_sure = self.view.gap.is_none() && !self.memory.has_fingerprint(key);
            return match is_sure {
                true => FromHome::Released(id, key, req),
                false => undecided(id, key, req, Undecided::Lost),
            };
        };
        if held.req != req || held.seq != given_up.seq {
            return self.held_by(held, req);
        }
        if self.view.gap.is_some_and(|gap| held.seq.round < gap.round) {
            return undecided(id, key, req, Undecided::Lost);
        }
        self.memory.remove(key);
        FromHome::Released(id, key, req)
    }

    /// Returns why a key without a grant may have run all the same.
    pub(crate) fn doubt(
        &self,
        key: KeyDigest,
        time: Option<WallTime>,
        now: Instant,
    ) -> Option<Undecided> {
        if self.memory.has_fingerprint(key) {
            return Some(Undecided::Remembered);
        }
        let gap = self.gap(now)?;
        let is_younger = |t: WallTime| t > self.ahead && t.0 > gap.since.0 + YOUNGER_BY.0;
        match time.is_some_and(is_younger) {
            true => None,
            false => Some(Undecided::Lost),
        }
    }

    /// Returns whether a later grant of the key may have been lost.
    pub(crate) fn is_outdated(&self, held: &Grant, now: Instant) -> bool {
        let gap = self.gap(now);
        gap.is_some_and(|gap| held.seq.round < gap.round)
    }

    pub(crate) fn grant(&mut self, from: &Run, grant: Grant, now: Now) -> FromHome {
        self.turns += 1;
        self.memory.insert(grant.clone(), now.instant);
        self.keepers
            .insert(grant.key, SmallVec::from_iter([from.clone()]));
        self.granted(grant)
    }

    pub(crate) fn granted(&self, grant: Grant) -> FromHome {
        FromHome::Granted {
            id: self.view.id.clone(),
            grant,
        }
    }

    pub(crate) fn held_by(&self, held: &Grant, req: RequestId) -> FromHome {
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
