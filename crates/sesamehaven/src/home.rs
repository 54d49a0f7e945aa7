//! The agent side of the dispatch guard.
//!
//! A [`Home`] grants the keys of the slots that it serves. It starts to serve a
//! slot only after every entry that could act on another home's grants has
//! promised to follow it and transferred its ledger. After a loss of records, it
//! answers claims that it cannot decide as undecided, never with a grant. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::{BTreeMap, BTreeSet};

use crate::active_view::{ActiveView, undecided};
use crate::guard::{Claim, FromHome, Grant, Handover, Run, Slot, ToHome, Undecided, View, ViewId};
use crate::id::{DaemonName, Incarnation};
use crate::key::WallTime;
use crate::roster::Roster;
use crate::slot_state::{Attempt, Promise, SlotState};
use crate::unit::Instant;

/// The number of entries to which the records of ended entries are replicated.
const REPLICAS: usize = 2;

/// The history of a slot for which no entry has a record of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bootstrap {
    /// The fleet starts for the first time, so no key has been used.
    First,
    /// The slot had a home before; all entries may have been lost at once.
    Lost,
}

/// The current time by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock.
    pub instant: Instant,
    /// The wall clock, which matters only after a loss of records and for keys
    /// with a timestamp in the future.
    pub wall: WallTime,
}

/// Messages to send, with the entry runs that receive them.
pub type Outbox = Vec<(Run, FromHome)>;

/// The slots of which an agent is or may become the home.
#[derive(Debug)]
pub struct Home {
    me: Run,
    roster: Roster,
    slots: BTreeMap<Slot, SlotState>,
}

impl Home {
    /// Creates the home of an agent that has just started.
    ///
    /// `expected` lists the configured entries. Before the first view of a slot
    /// takes effect, each of them must have promised to follow it or have ended.
    pub fn new(me: Run, expected: BTreeSet<DaemonName>) -> Self {
        Home {
            me,
            roster: Roster::new(expected),
            slots: BTreeMap::new(),
        }
    }

    /// Replaces the configured entries after a change of the configuration.
    pub fn set_expected_entries(&mut self, entries: BTreeSet<DaemonName>) {
        self.roster.set_expected(entries);
    }

    /// Returns the slots for which no entry has a record of a home.
    ///
    /// They are not served until [`Home::bootstrap`] supplies their history.
    pub fn awaiting_bootstrap(&self) -> impl Iterator<Item = Slot> + '_ {
        let is_waiting = |s: &SlotState| s.bootstrap.is_none() && self.is_bootstrap_ready(s);
        let awaiting = self.slots.iter().filter(move |(_, s)| is_waiting(s));
        awaiting.map(|(slot, _)| *slot)
    }

    /// Supplies the history, as recorded in the platform, of a slot for which no
    /// entry has a record of a home.
    pub fn bootstrap(&mut self, slot: Slot, bootstrap: Bootstrap, now: Now) -> Outbox {
        let mut outbox = Outbox::new();
        if let Some(state) = self.slots.get_mut(&slot) {
            state.bootstrap = Some(bootstrap);
            self.try_activate(slot, now, &mut outbox);
        }
        outbox
    }

    /// Returns the slots that are being served.
    pub fn served(&self) -> impl Iterator<Item = Slot> + '_ {
        let served = self.slots.iter().filter(|(_, s)| s.active.is_some());
        served.map(|(slot, _)| *slot)
    }

    /// Records a link to an entry run, which implies that earlier runs of that entry
    /// have ended.
    pub fn entry_linked(&mut self, run: &Run, now: Now) -> Outbox {
        if self.roster.has_ended(run) {
            return Outbox::new();
        }
        self.roster.link(run);
        self.for_each_slot(|home, slot, outbox| home.include_entry(slot, run, now, outbox))
    }

    /// Records that the link to an entry was lost; the entry may still be alive.
    pub fn entry_unlinked(&mut self, run: &Run, now: Now) -> Outbox {
        self.roster.unlink(run);
        self.for_each_slot(|home, slot, outbox| home.try_activate(slot, now, outbox))
    }

    /// Records that a run of an entry and all earlier ones have ended permanently.
    ///
    /// Missing heartbeats are not sufficient evidence: only a later run or the
    /// platform's report that the VM is gone is.
    pub fn entry_ended(&mut self, name: &DaemonName, last: Incarnation, now: Now) -> Outbox {
        self.roster.end(name, last);
        self.for_each_slot(|home, slot, outbox| home.update_entries(slot, now, outbox))
    }

    /// Handles a message from an entry.
    pub fn on_message(&mut self, from: &Run, message: ToHome, now: Now) -> Outbox {
        let mut outbox = Outbox::new();
        if self.roster.has_ended(from) {
            return outbox;
        }
        match message {
            ToHome::Invite(slot, promised) => {
                let state = self.slots.entry(slot).or_default();
                let round = promised.map_or(0, |id| id.round);
                state.latest_round = state.latest_round.max(round);
                self.on_invite(slot, from, now, &mut outbox);
            }
            ToHome::Promise {
                slot,
                id,
                served,
                is_exclusive,
                joining,
                max_key_time,
                ledger,
            } => {
                let promise = Promise {
                    id,
                    served,
                    is_exclusive,
                    joining,
                    max_key_time,
                    ledger,
                };
                if self.on_promise(slot, from, promise, now) {
                    self.try_activate(slot, now, &mut outbox);
                }
            }
            ToHome::Newer(slot, id) => self.on_newer_view(slot, &id),
            ToHome::Claim(id, claim) => {
                let slot = Slot::of(claim.key);
                self.on_claim(from, id.clone(), claim, now, &mut outbox);
                self.announce_view(slot, from, &id, now, &mut outbox);
            }
            ToHome::Move(id, grant) => {
                let reply = self.on_move(from, id.clone(), &grant, now);
                outbox.extend(reply.map(|r| (from.clone(), r)));
                self.announce_view(Slot::of(grant.key), from, &id, now, &mut outbox);
            }
            ToHome::Release(id, grant) => {
                let reply = self.on_release(from, id.clone(), &grant);
                outbox.push((from.clone(), reply));
                self.announce_view(Slot::of(grant.key), from, &id, now, &mut outbox);
            }
        }
        outbox
    }

    /// Resends unanswered messages and expires old records.
    pub fn tick(&mut self, now: Now) -> Outbox {
        self.for_each_slot(|home, slot, outbox| {
            let Some(state) = home.slots.get_mut(&slot) else {
                return;
            };
            if let Some(active) = &mut state.active {
                active.expire(now.instant);
            }
            home.send_prepares(slot, outbox);
        })
    }

    /// Returns the memory used by grant records, in bytes.
    pub fn bytes(&self) -> usize {
        let active_views = self.slots.values().filter_map(|s| s.active.as_ref());
        active_views.map(|active| active.history.bytes()).sum()
    }

    fn for_each_slot(&mut self, mut f: impl FnMut(&mut Self, Slot, &mut Outbox)) -> Outbox {
        let mut outbox = Outbox::new();
        let slots: Vec<Slot> = self.slots.keys().copied().collect();
        for slot in slots {
            f(self, slot, &mut outbox);
        }
        outbox
    }

    fn include_entry(&mut self, slot: Slot, run: &Run, now: Now, outbox: &mut Outbox) {
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        match (&state.attempt, &state.active) {
            (Some(a), _) if !a.is_renewal && !self.required_entries(state, a).contains(run) => {
                // Earlier promises did not take this entry into account, so all
                // entries must promise again.
                self.take_over(slot, now, outbox);
            }
            (Some(a), Some(active)) if a.lacks_replicas() => {
                let max_key_time = a.max_key_time.max(active.max_key_time);
                self.renew(slot, max_key_time, now, outbox);
            }
            (Some(_), _) => self.send_prepares(slot, outbox),
            (None, Some(active)) if active.view.entries.contains(run) => {
                outbox.push((run.clone(), active.serve_message(slot, now.instant)));
            }
            _ => {}
        }
        self.update_entries(slot, now, outbox);
    }

    fn on_invite(&mut self, slot: Slot, from: &Run, now: Now, outbox: &mut Outbox) {
        let state = self.slots.entry(slot).or_default();
        let round = state.attempt.as_ref().map(|a| a.id.round);
        if round.is_some_and(|round| round >= state.latest_round) {
            return self.send_prepares(slot, outbox);
        }
        let Some(active) = &state.active else {
            return self.take_over(slot, now, outbox);
        };
        if active.view.id.round < state.latest_round {
            return self.take_over(slot, now, outbox);
        }
        if active.view.entries.contains(from) {
            outbox.push((from.clone(), active.serve_message(slot, now.instant)));
        }
    }

    /// Starts a view that takes the slot over from its previous home, if any.
    fn take_over(&mut self, slot: Slot, now: Now, outbox: &mut Outbox) {
        let joining = self.roster.linked().collect();
        let state = self.slots.entry(slot).or_default();
        state.active = None;
        let id = state.next_id(&self.me);
        let attempt = Attempt::new(id, WallTime::default(), false, joining);
        state.attempt = Some(attempt);
        self.try_activate(slot, now, outbox);
    }

    /// Starts a view of the same home with different entries or a later
    /// `max_key_time`.
    fn renew(&mut self, slot: Slot, max_key_time: WallTime, now: Now, outbox: &mut Outbox) {
        let roster = &self.roster;
        let linked: Vec<Run> = roster.linked().collect();
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        let id = state.next_id(&self.me);
        let Some(active) = &state.active else {
            return;
        };
        let members = &active.view.entries;
        let joining = linked.iter().filter(|run| !members.contains(run)).cloned();
        let mut attempt = Attempt::new(id, max_key_time, true, joining.collect());
        attempt.excluded = members
            .iter()
            .filter(|run| roster.has_ended(run))
            .cloned()
            .collect();
        if !attempt.excluded.is_empty() {
            attempt.orphans = active.orphans(|run| roster.has_ended(run), now.instant);
            attempt.replicas = linked.into_iter().take(REPLICAS).collect();
        }
        state.attempt = Some(attempt);
        self.try_activate(slot, now, outbox);
    }

    /// Renews the active view if entries have linked or ended since, or restarts the
    /// renewal if an involved entry has ended; else tries to activate the attempt.
    ///
    /// The records of ended entries are replicated to others.
    fn update_entries(&mut self, slot: Slot, now: Now, outbox: &mut Outbox) {
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let Some(active) = &state.active else {
            return self.try_activate(slot, now, outbox);
        };
        let Some(attempt) = &state.attempt else {
            let has_ended_entry = active
                .view
                .entries
                .iter()
                .any(|run| self.roster.has_ended(run));
            if has_ended_entry || self.unserved_entries(&active.view).next().is_some() {
                let max_key_time = active.max_key_time;
                self.renew(slot, max_key_time, now, outbox);
            }
            return;
        };
        let members = active.view.entries.iter();
        let mut involved = members.chain(&attempt.promised).chain(&attempt.replicas);
        let is_unhandled =
            |run: &Run| self.roster.has_ended(run) && !attempt.excluded.contains(run);
        if involved.any(is_unhandled) {
            let max_key_time = attempt.max_key_time.max(active.max_key_time);
            return self.renew(slot, max_key_time, now, outbox);
        }
        self.try_activate(slot, now, outbox);
    }

    fn unserved_entries<'a>(&'a self, view: &'a View) -> impl Iterator<Item = Run> + 'a {
        self.roster
            .linked()
            .filter(|run| !view.entries.contains(run))
    }

    /// Returns the entry runs whose promises the slot's attempt requires.
    ///
    /// An unreachable entry that may still be alive is included, since it could
    /// act on grants of another home.
    fn required_entries(&self, state: &SlotState, attempt: &Attempt) -> BTreeSet<Run> {
        let known = state.members(attempt).chain(&attempt.reported);
        let all = known.chain(&attempt.replicas);
        all.filter(|run| !self.roster.has_ended(run))
            .cloned()
            .collect()
    }

    /// Returns whether all configured entries have promised or ended, and no promise
    /// reported a view.
    fn is_bootstrap_ready(&self, state: &SlotState) -> bool {
        let Some(attempt) = state.attempt.as_ref().filter(|_| state.has_no_known_view()) else {
            return false;
        };
        !attempt.promised.is_empty() && self.roster.covers_expected(&attempt.promised)
    }

    /// Sends `Prepare` to the required entries that have not promised yet.
    fn send_prepares(&self, slot: Slot, outbox: &mut Outbox) {
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let Some(attempt) = &state.attempt else {
            return;
        };
        let required = self.required_entries(state, attempt);
        for run in required.difference(&attempt.promised) {
            let is_replica = attempt.replicas.contains(run);
            let orphans = match is_replica {
                true => attempt.orphans.clone(),
                false => Handover::default(),
            };
            let prepare = FromHome::Prepare {
                slot,
                id: attempt.id.clone(),
                joining: attempt.joining.clone(),
                max_key_time: attempt.max_key_time,
                ledger: !attempt.is_renewal,
                orphans,
            };
            outbox.push((run.clone(), prepare));
        }
    }

    fn on_promise(&mut self, slot: Slot, from: &Run, promise: Promise, now: Now) -> bool {
        let Some(state) = self.slots.get_mut(&slot) else {
            return false;
        };
        let Some(attempt) = state.attempt.as_mut().filter(|a| a.id == promise.id) else {
            return false;
        };
        if attempt.is_renewal && !promise.is_exclusive {
            // Another home may have served the slot since, so these records may be
            // stale.
            state.attempt = None;
            state.active = None;
            return false;
        }
        attempt.on_promise(from, promise, now);
        true
    }

    fn on_newer_view(&mut self, slot: Slot, id: &ViewId) {
        if let Some(state) = self.slots.get_mut(&slot) {
            state.latest_round = state.latest_round.max(id.round);
        }
    }

    /// Activates the attempted view if all required promises have arrived, else sends
    /// `Prepare` to the entries that have not promised.
    ///
    /// Takes the slot over anew if no entry of the active view confirmed a renewal.
    fn try_activate(&mut self, slot: Slot, now: Now, outbox: &mut Outbox) {
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let Some(attempt) = &state.attempt else {
            return;
        };
        let required = self.required_entries(state, attempt);
        if !required.is_subset(&attempt.promised) || attempt.promised.is_empty() {
            return self.send_prepares(slot, outbox);
        }
        if attempt.lacks_replicas() {
            return;
        }
        if state.is_unconfirmed() {
            return self.take_over(slot, now, outbox);
        }
        let bootstrap = match (state.has_no_known_view(), state.bootstrap) {
            // Ignored, since the history is known from the promises or the active view.
            (false, _) => Bootstrap::Lost,
            (true, Some(bootstrap)) if self.is_bootstrap_ready(state) => bootstrap,
            (true, _) => return,
        };
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        state.activate(bootstrap, now);
        if let Some(active) = &state.active {
            let runs = active.view.entries.iter();
            outbox.extend(runs.map(|run| (run.clone(), active.serve_message(slot, now.instant))));
        }
        self.update_entries(slot, now, outbox);
    }

    fn on_claim(&mut self, from: &Run, id: ViewId, claim: Claim, now: Now, outbox: &mut Outbox) {
        let slot = Slot::of(claim.key);
        let Some(active) = self.active_for(slot, from, &id) else {
            let undecided = undecided(id, claim.key, claim.req, Undecided::NotHome);
            return outbox.push((from.clone(), undecided));
        };
        if let Some(max_key_time) = active.required_max_key_time(&claim, now) {
            let state = self.slots.get(&slot);
            let attempt = state.and_then(|s| s.attempt.as_ref());
            // The entry resends its claim when it is served under the renewed view.
            if attempt.is_none_or(|a| a.max_key_time < max_key_time) {
                self.renew(slot, max_key_time, now, outbox);
            }
            return;
        }
        let reply = active.claim(from, claim, now);
        outbox.extend(reply.map(|r| (from.clone(), r)));
    }

    fn on_move(&mut self, from: &Run, id: ViewId, grant: &Grant, now: Now) -> Option<FromHome> {
        let Some(active) = self.active_for(Slot::of(grant.key), from, &id) else {
            return Some(undecided(id, grant.key, grant.req, Undecided::NotHome));
        };
        active.move_to(grant, now)
    }

    fn on_release(&mut self, from: &Run, id: ViewId, grant: &Grant) -> FromHome {
        let Some(active) = self.active_for(Slot::of(grant.key), from, &id) else {
            return undecided(id, grant.key, grant.req, Undecided::NotHome);
        };
        active.release(grant)
    }

    /// Sends the active view to an entry whose message referred to another one.
    fn announce_view(&self, slot: Slot, from: &Run, id: &ViewId, now: Now, outbox: &mut Outbox) {
        let active = self.slots.get(&slot).and_then(|s| s.active.as_ref());
        let Some(active) = active.filter(|active| active.view.id != *id) else {
            return;
        };
        if active.view.entries.contains(from) {
            outbox.push((from.clone(), active.serve_message(slot, now.instant)));
        }
    }

    fn active_for(&mut self, slot: Slot, from: &Run, id: &ViewId) -> Option<&mut ActiveView> {
        let active = self.slots.get_mut(&slot)?.active.as_mut()?;
        let serves = active.view.entries.contains(from) && id.home == self.me;
        serves.then_some(active)
    }
}
