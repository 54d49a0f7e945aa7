//! The entry's side of the dispatch guard.
//!
//! A [`Ledger`] remembers each grant that its entry acted on and follows one
//! home for each slot. It hands the grants to a new home, after which it takes
//! nothing from the earlier one. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::BTreeMap;

use crate::grant_history::GrantHistory;
use crate::guard::{Claim, FromHome, Grant, Handover, Run, Slot, ToHome, Undecided, View, ViewId};
use crate::id::{KeyDigest, RequestId};
use crate::key::WallTime;
use crate::unit::Instant;

/// What a home has decided about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be offered at this run of an agent and nowhere else.
    Granted(Run),
    /// Another request holds the key; its answer is asked for at its place.
    Held {
        /// The holder.
        by: RequestId,
        /// Where the holder may have been dispatched.
        place: Run,
    },
    /// The key may have run, and nobody can tell.
    Undecided(Undecided),
    /// The key was given up, so the caller can be told that it did not run.
    Released,
}

/// What the entry has to do after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an agent, if there is a link to that run.
    Send(Run, ToHome),
    /// Goes on with a request.
    Decide(RequestId, Decision),
}

/// What a request waits for.
#[derive(Debug, Clone)]
enum Wait {
    Claim(Claim),
    Move(Grant),
    Release(Grant),
}

impl Wait {
    fn key(&self) -> KeyDigest {
        match self {
            Wait::Claim(claim) => claim.key,
            Wait::Move(grant) | Wait::Release(grant) => grant.key,
        }
    }

    fn is_answered_by(&self, grant: &Grant) -> bool {
        match self {
            Wait::Claim(claim) => *grant == claim.grant(grant.seq),
            Wait::Move(wanted) => grant == wanted,
            Wait::Release(_) => false,
        }
    }

    fn message(&self, id: ViewId) -> ToHome {
        match self {
            Wait::Claim(claim) => ToHome::Claim(id, claim.clone()),
            Wait::Move(grant) => ToHome::Move(id, grant.clone()),
            Wait::Release(grant) => ToHome::Release(id, grant.clone()),
        }
    }
}

/// What the entry knows of one slot.
#[derive(Debug)]
struct Part {
    promised: Option<ViewId>,
    served: Option<(View, Instant)>,
    follows: bool,
    is_steady: bool,
    joining: Vec<Run>,
    ahead: WallTime,
    memory: GrantHistory,
}

impl Default for Part {
    fn default() -> Self {
        Part {
            promised: None,
            served: None,
            follows: false,
            is_steady: true,
            joining: Vec::new(),
            ahead: WallTime::default(),
            memory: GrantHistory::default(),
        }
    }
}

impl Part {
    fn current(&self) -> Option<&ViewId> {
        let (view, _) = self.served.as_ref()?;
        self.follows.then_some(&view.id)
    }

    /// Returns the promise that forbids to follow a view, if there is one.
    ///
    /// Rounds are never shared by two homes, so turns are never equal either.
    fn refuses(&self, id: &ViewId) -> Option<ViewId> {
        let promised = self.promised.as_ref()?;
        let is_later = promised != id && promised.round >= id.round;
        is_later.then(|| promised.clone())
    }

    fn follow(&mut self, id: &ViewId, joining: Vec<Run>, ledger: bool) {
        // A home that asks for the ledger does not hold its earlier grants any
        // more, so none of them may be taken after the hand-over either.
        if ledger || self.current().is_some_and(|c| c.home != id.home) {
            self.follows = false;
        }
        let before = self.promised.replace(id.clone());
        self.is_steady &= before.is_none_or(|p| p.home == id.home);
        for run in joining {
            if !self.joining.contains(&run) {
                self.joining.push(run);
            }
        }
    }

    fn promise(&self, slot: Slot, id: ViewId, ledger: bool, now: Instant) -> ToHome {
        let handed = match ledger {
            true => self.memory.handover(now),
            false => Handover::default(),
        };
        ToHome::Promise {
            slot,
            id,
            served: self.last_view(now),
            is_steady: self.is_steady,
            joining: self.joining.clone(),
            ahead: self.ahead,
            ledger: handed,
        }
    }

    /// Returns the last view, with what is left of its gap by now.
    fn last_view(&self, now: Instant) -> Option<View> {
        let (mut view, at) = self.served.clone()?;
        if let Some(gap) = &mut view.gap {
            gap.left.0 = gap.left.0.saturating_sub(now.since(at).0);
        }
        Some(view)
    }
}

/// The grants of an entry and the homes that it follows.
#[derive(Debug)]
pub struct Ledger {
    me: Run,
    parts: BTreeMap<Slot, Part>,
    waits: BTreeMap<RequestId, Wait>,
}

impl Ledger {
    /// Builds the empty ledger of a run that has just started.
    pub fn new(me: Run) -> Self {
        Ledger {
            me,
            parts: BTreeMap::new(),
            waits: BTreeMap::new(),
        }
    }

    /// Returns the home that serves the slot, if there is one.
    ///
    /// Without one the entry [invites](Ledger::invite) the first of the slot's
    /// [candidates](Slot::candidates) that it can reach.
    pub fn home(&self, slot: Slot) -> Option<&Run> {
        let part = self.parts.get(&slot)?;
        part.current().map(|id| &id.home)
    }

    /// Returns the message that asks an agent to become the home of a slot.
    pub fn invite(&self, slot: Slot) -> ToHome {
        let part = self.parts.get(&slot);
        ToHome::Invite(slot, part.and_then(|p| p.promised.clone()))
    }

    /// Asks for a key; without a home the claim waits for one to serve.
    ///
    /// The caller calls [`Ledger::abandon`] when it does not want to wait longer.
    pub fn claim(&mut self, claim: Claim) -> Option<Action> {
        let req = claim.req;
        self.wait(req, Wait::Claim(claim))
    }

    /// Asks to offer a request elsewhere after its place has refused it.
    ///
    /// Returns nothing to send when there is no home or the request holds no key.
    pub fn move_to(&mut self, key: KeyDigest, req: RequestId, place: Run) -> Option<Action> {
        let held = self.held(key, req)?;
        let grant = Grant {
            place,
            step: held.step + 1,
            ..held.clone()
        };
        self.wait(req, Wait::Move(grant))
    }

    /// Gives a key up for a request that was not dispatched and never will be.
    ///
    /// Only [`Decision::Released`] allows to tell the caller that it did not run.
    pub fn release(&mut self, key: KeyDigest, req: RequestId) -> Option<Action> {
        let held = self.held(key, req)?.clone();
        self.wait(req, Wait::Release(held))
    }

    /// Returns whether a request waits for its home's word.
    pub fn is_waiting(&self, req: RequestId) -> bool {
        self.waits.contains_key(&req)
    }

    /// Stops waiting; the request must not be offered and its outcome is unknown.
    pub fn abandon(&mut self, req: RequestId) {
        self.waits.remove(&req);
    }

    /// Takes a message of a home.
    pub fn on_message(&mut self, message: FromHome, now: Instant) -> Vec<Action> {
        match message {
            FromHome::Prepare {
                slot,
                id,
                joining,
                ahead,
                ledger,
                orphans,
            } => {
                let part = self.parts.entry(slot).or_default();
                let home = id.home.clone();
                let reply = match part.refuses(&id) {
                    Some(later) => ToHome::Newer(slot, later),
                    None => {
                        part.follow(&id, joining, ledger);
                        part.ahead = part.ahead.max(ahead);
                        part.memory.absorb(orphans, now);
                        part.promise(slot, id, ledger, now)
                    }
                };
                vec![Action::Send(home, reply)]
            }
            FromHome::Serve(slot, view) => self.serve(slot, view, now),
            FromHome::Granted { id, grant } => self.granted(&id, grant, now).into_iter().collect(),
            FromHome::Held {
                id,
                key,
                req,
                by,
                place,
            } => self.decide(&id, key, req, Decision::Held { by, place }),
            FromHome::Undecided(id, key, req, why) => {
                self.decide(&id, key, req, Decision::Undecided(why))
            }
            FromHome::Released(id, key, req) => self.released(&id, key, req),
        }
    }

    /// Sends again what has not been answered, such as after a link was replaced.
    pub fn resend(&self) -> Vec<Action> {
        let waits = self.waits.values();
        waits.filter_map(|wait| self.message(wait)).collect()
    }

    /// Shrinks what is old.
    pub fn expire(&mut self, now: Instant) {
        self.parts.values_mut().for_each(|p| p.memory.expire(now));
    }

    /// Returns the bytes that the remembered grants take.
    pub fn bytes(&self) -> usize {
        self.parts.values().map(|p| p.memory.bytes()).sum()
    }

    fn held(&self, key: KeyDigest, req: RequestId) -> Option<&Grant> {
        let part = self.parts.get(&Slot::of(key))?;
        part.memory.get(key).filter(|grant| grant.req == req)
    }

    fn wait(&mut self, req: RequestId, wait: Wait) -> Option<Action> {
        let action = self.message(&wait);
        self.waits.insert(req, wait);
        action
    }

    fn message(&self, wait: &Wait) -> Option<Action> {
        let part = self.parts.get(&Slot::of(wait.key()))?;
        let id = part.current()?.clone();
        Some(Action::Send(id.home.clone(), wait.message(id)))
    }

    fn serve(&mut self, slot: Slot, view: View, now: Instant) -> Vec<Action> {
        let part = self.parts.entry(slot).or_default();
        let is_mine = view.entries.contains(&self.me);
        if !is_mine || part.promised.as_ref() != Some(&view.id) {
            return Vec::new();
        }
        if part.current() == Some(&view.id) {
            return Vec::new();
        }
        part.served = Some((view, now));
        part.follows = true;
        part.is_steady = true;
        part.joining.clear();
        let of_slot = |w: &Wait| Slot::of(w.key()) == slot;
        let waits = self.waits.values().filter(|w| of_slot(w));
        waits.filter_map(|w| self.message(w)).collect()
    }

    fn granted(&mut self, id: &ViewId, grant: Grant, now: Instant) -> Option<Action> {
        let part = self.parts.get_mut(&Slot::of(grant.key))?;
        if part.current() != Some(id) || !self.waits.get(&grant.req)?.is_answered_by(&grant) {
            return None;
        }
        let (key, req, place) = (grant.key, grant.req, grant.place.clone());
        self.waits.remove(&req);
        part.memory.merge(grant, now);
        let held = part.memory.get(key).filter(|held| held.req != req);
        let decision = match held {
            // This grant came late: the key has been granted anew since.
            Some(later) => Decision::Held {
                by: later.req,
                place: later.place.clone(),
            },
            None => Decision::Granted(place),
        };
        Some(Action::Decide(req, decision))
    }

    fn decide(
        &mut self,
        id: &ViewId,
        key: KeyDigest,
        req: RequestId,
        decision: Decision,
    ) -> Vec<Action> {
        let Some(part) = self.parts.get_mut(&Slot::of(key)) else {
            return Vec::new();
        };
        if part.current() != Some(id) {
            return Vec::new();
        }
        if decision == Decision::Undecided(Undecided::NotHome) {
            part.follows = false;
        }
        if self.waits.remove(&req).is_none() {
            return Vec::new();
        }
        vec![Action::Decide(req, decision)]
    }

    fn released(&mut self, id: &ViewId, key: KeyDigest, req: RequestId) -> Vec<Action> {
        if !matches!(self.waits.get(&req), Some(Wait::Release(_))) {
            return Vec::new();
        }
        let actions = self.decide(id, key, req, Decision::Released);
        if !actions.is_empty()
            && self.held(key, req).is_some()
            && let Some(part) = self.parts.get_mut(&Slot::of(key))
        {
            part.memory.remove(key);
        }
        actions
    }
}
