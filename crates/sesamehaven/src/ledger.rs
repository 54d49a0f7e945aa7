//! The entry side of the dispatch guard.
//!
//! A [`Ledger`] records each grant that its entry acted on and follows one home
//! per slot. It transfers the grants to a new home, after which it ignores
//! messages from the earlier one. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::BTreeMap;

use crate::grant_history::GrantHistory;
use crate::guard::{Claim, FromHome, Grant, Handover, Run, Slot, ToHome, Undecided, View, ViewId};
use crate::id::{KeyDigest, RequestId};
use crate::key::WallTime;
use crate::unit::Instant;

/// The decision of a home about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be offered to this run of an agent and to no other.
    Granted(Run),
    /// Another request holds the key; its answer can be requested at `place`.
    Held {
        /// The request that holds the key.
        by: RequestId,
        /// The run of the agent that may have dispatched the holder.
        place: Run,
    },
    /// The key may have run; the home cannot determine whether it did.
    Undecided(Undecided),
    /// The key was released, so the entry may report to the caller that the
    /// request did not run.
    Released,
}

/// An action that the entry must take after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an agent, if that run is linked.
    Send(Run, ToHome),
    /// Continues a request with the home's decision.
    Decide(RequestId, Decision),
}

/// A message of a request that its home has not answered yet.
#[derive(Debug, Clone)]
enum Pending {
    Claim(Claim),
    Move(Grant),
    Release(Grant),
}

impl Pending {
    fn key(&self) -> KeyDigest {
        match self {
            Pending::Claim(claim) => claim.key,
            Pending::Move(grant) | Pending::Release(grant) => grant.key,
        }
    }

    fn is_answered_by(&self, grant: &Grant) -> bool {
        match self {
            Pending::Claim(claim) => *grant == claim.grant(grant.seq),
            Pending::Move(wanted) => grant == wanted,
            Pending::Release(_) => false,
        }
    }

    fn message(&self, id: ViewId) -> ToHome {
        match self {
            Pending::Claim(claim) => ToHome::Claim(id, claim.clone()),
            Pending::Move(grant) => ToHome::Move(id, grant.clone()),
            Pending::Release(grant) => ToHome::Release(id, grant.clone()),
        }
    }
}

/// The entry's state of one slot.
#[derive(Debug)]
struct EntrySlot {
    /// The last view that the entry promised to follow.
    promised: Option<ViewId>,
    /// The last view under which the entry was served, and when that began.
    served: Option<(View, Instant)>,
    /// Whether the entry still acts on grants of the served view.
    follows: bool,
    /// Whether the entry has promised no other home since the served view.
    is_exclusive: bool,
    /// Entries that may have joined views under which this entry was not served.
    joining: Vec<Run>,
    /// The highest `max_key_time` of the views that the entry promised to follow.
    max_key_time: WallTime,
    history: GrantHistory,
}

impl Default for EntrySlot {
    fn default() -> Self {
        EntrySlot {
            promised: None,
            served: None,
            follows: false,
            is_exclusive: true,
            joining: Vec::new(),
            max_key_time: WallTime::default(),
            history: GrantHistory::default(),
        }
    }
}

impl EntrySlot {
    fn current(&self) -> Option<&ViewId> {
        let (view, _) = self.served.as_ref()?;
        self.follows.then_some(&view.id)
    }

    /// Returns the promised view that rules out following `id`, if any.
    ///
    /// A round is never promised to two homes, so grant sequence numbers are
    /// unique as well.
    fn conflicting_promise(&self, id: &ViewId) -> Option<ViewId> {
        let promised = self.promised.as_ref()?;
        let conflicts = promised != id && promised.round >= id.round;
        conflicts.then(|| promised.clone())
    }

    fn record_promise(&mut self, id: &ViewId, joining: Vec<Run>, ledger: bool) {
        // A home that requests the ledger no longer holds its earlier grants, so
        // the entry must not accept any of them after the transfer either.
        if ledger || self.current().is_some_and(|c| c.home != id.home) {
            self.follows = false;
        }
        let before = self.promised.replace(id.clone());
        self.is_exclusive &= before.is_none_or(|p| p.home == id.home);
        for run in joining {
            if !self.joining.contains(&run) {
                self.joining.push(run);
            }
        }
    }

    fn promise_message(&self, slot: Slot, id: ViewId, ledger: bool, now: Instant) -> ToHome {
        let transferred = match ledger {
            true => self.history.handover(now),
            false => Handover::default(),
        };
        ToHome::Promise {
            slot,
            id,
            served: self.last_view(now),
            is_exclusive: self.is_exclusive,
            joining: self.joining.clone(),
            max_key_time: self.max_key_time,
            ledger: transferred,
        }
    }

    /// Returns the last view, with the remaining time of its gap updated.
    fn last_view(&self, now: Instant) -> Option<View> {
        let (mut view, at) = self.served.clone()?;
        if let Some(gap) = &mut view.gap {
            gap.remaining.0 = gap.remaining.0.saturating_sub(now.since(at).0);
        }
        Some(view)
    }
}

/// The grants of an entry and the homes that it follows.
///
/// The ledger performs no I/O; it returns the [`Action`]s to take.
#[derive(Debug)]
pub struct Ledger {
    me: Run,
    slots: BTreeMap<Slot, EntrySlot>,
    pending: BTreeMap<RequestId, Pending>,
}

impl Ledger {
    /// Creates the empty ledger of a run that has just started.
    pub fn new(me: Run) -> Self {
        Ledger {
            me,
            slots: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns the home that serves the slot, if any.
    ///
    /// If there is none, the entry [invites](Ledger::invite) the first reachable
    /// agent among the slot's [candidates](Slot::candidates).
    pub fn home(&self, slot: Slot) -> Option<&Run> {
        let state = self.slots.get(&slot)?;
        state.current().map(|id| &id.home)
    }

    /// Returns the message that invites an agent to become the home of a slot.
    pub fn invite(&self, slot: Slot) -> ToHome {
        let state = self.slots.get(&slot);
        ToHome::Invite(slot, state.and_then(|s| s.promised.clone()))
    }

    /// Claims a key. If the slot has no home, the claim is sent once one serves it.
    ///
    /// The caller stops waiting with [`Ledger::abandon`].
    pub fn claim(&mut self, claim: Claim) -> Option<Action> {
        let req = claim.req;
        self.submit(req, Pending::Claim(claim))
    }

    /// Requests to move a request to another agent after the previous one refused it.
    ///
    /// Returns `None` if the request holds no key, or if the slot has no home; in the
    /// latter case, the message is sent once one serves the slot.
    pub fn move_to(&mut self, key: KeyDigest, req: RequestId, place: Run) -> Option<Action> {
        let held = self.held(key, req)?;
        let grant = Grant {
            place,
            step: held.step + 1,
            ..held.clone()
        };
        self.submit(req, Pending::Move(grant))
    }

    /// Releases the key of a request that was not dispatched and never will be.
    ///
    /// The entry may report "not run" to the caller only after [`Decision::Released`].
    /// Returns `None` in the same cases as [`Ledger::move_to`].
    pub fn release(&mut self, key: KeyDigest, req: RequestId) -> Option<Action> {
        let held = self.held(key, req)?.clone();
        self.submit(req, Pending::Release(held))
    }

    /// Returns whether a request awaits a decision of its home.
    pub fn is_waiting(&self, req: RequestId) -> bool {
        self.pending.contains_key(&req)
    }

    /// Stops waiting for a decision; the request must not be offered and its
    /// outcome is unknown.
    pub fn abandon(&mut self, req: RequestId) {
        self.pending.remove(&req);
    }

    /// Handles a message from a home.
    pub fn on_message(&mut self, message: FromHome, now: Instant) -> Vec<Action> {
        match message {
            FromHome::Prepare {
                slot,
                id,
                joining,
                max_key_time,
                ledger,
                orphans,
            } => {
                let state = self.slots.entry(slot).or_default();
                let home = id.home.clone();
                let reply = match state.conflicting_promise(&id) {
                    Some(later) => ToHome::Newer(slot, later),
                    None => {
                        state.record_promise(&id, joining, ledger);
                        state.max_key_time = state.max_key_time.max(max_key_time);
                        state.history.merge_handover(orphans, now);
                        state.promise_message(slot, id, ledger, now)
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

    /// Returns the unanswered messages again, for example after a link was replaced.
    pub fn resend(&self) -> Vec<Action> {
        let pending = self.pending.values();
        pending
            .filter_map(|pending| self.message(pending))
            .collect()
    }

    /// Expires old records.
    pub fn expire(&mut self, now: Instant) {
        self.slots.values_mut().for_each(|s| s.history.expire(now));
    }

    /// Returns the memory used by grant records, in bytes.
    pub fn bytes(&self) -> usize {
        self.slots.values().map(|s| s.history.bytes()).sum()
    }

    fn held(&self, key: KeyDigest, req: RequestId) -> Option<&Grant> {
        let state = self.slots.get(&Slot::of(key))?;
        state.history.get(key).filter(|grant| grant.req == req)
    }

    fn submit(&mut self, req: RequestId, pending: Pending) -> Option<Action> {
        let action = self.message(&pending);
        self.pending.insert(req, pending);
        action
    }

    fn message(&self, pending: &Pending) -> Option<Action> {
        let state = self.slots.get(&Slot::of(pending.key()))?;
        let id = state.current()?.clone();
        Some(Action::Send(id.home.clone(), pending.message(id)))
    }

    fn serve(&mut self, slot: Slot, view: View, now: Instant) -> Vec<Action> {
        let state = self.slots.entry(slot).or_default();
        let is_member = view.entries.contains(&self.me);
        if !is_member || state.promised.as_ref() != Some(&view.id) {
            return Vec::new();
        }
        if state.current() == Some(&view.id) {
            return Vec::new();
        }
        state.served = Some((view, now));
        state.follows = true;
        state.is_exclusive = true;
        state.joining.clear();
        let of_slot = |message: &Pending| Slot::of(message.key()) == slot;
        let pending = self.pending.values().filter(|message| of_slot(message));
        pending
            .filter_map(|message| self.message(message))
            .collect()
    }

    fn granted(&mut self, id: &ViewId, grant: Grant, now: Instant) -> Option<Action> {
        let state = self.slots.get_mut(&Slot::of(grant.key))?;
        if state.current() != Some(id) || !self.pending.get(&grant.req)?.is_answered_by(&grant) {
            return None;
        }
        let (key, req, place) = (grant.key, grant.req, grant.place.clone());
        self.pending.remove(&req);
        state.history.merge(grant, now);
        let held = state.history.get(key).filter(|held| held.req != req);
        let decision = match held {
            // This grant arrived late: the key has since been granted to another
            // request.
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
        let Some(state) = self.slots.get_mut(&Slot::of(key)) else {
            return Vec::new();
        };
        if state.current() != Some(id) {
            return Vec::new();
        }
        if decision == Decision::Undecided(Undecided::NotHome) {
            state.follows = false;
        }
        if self.pending.remove(&req).is_none() {
            return Vec::new();
        }
        vec![Action::Decide(req, decision)]
    }

    fn released(&mut self, id: &ViewId, key: KeyDigest, req: RequestId) -> Vec<Action> {
        if !matches!(self.pending.get(&req), Some(Pending::Release(_))) {
            return Vec::new();
        }
        let actions = self.decide(id, key, req, Decision::Released);
        if !actions.is_empty()
            && self.held(key, req).is_some()
            && let Some(state) = self.slots.get_mut(&Slot::of(key))
        {
            state.history.remove(key);
        }
        actions
    }
}
