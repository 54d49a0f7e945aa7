//! The agent's side of the dispatch guard.
//!
//! A [`Home`] grants the keys of the slots that it serves. It serves a slot only
//! after all entries that could act on another home's grants have promised to
//! follow it and have handed over their ledgers. What it can't know after a
//! loss it answers as undecided, never with a grant. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::{BTreeMap, BTreeSet};

use crate::guard::{Claim, FromHome, Grant, Handover, Run, Slot, ToHome, Undecided, View, ViewId};
use crate::id::{DaemonName, Incarnation};
use crate::key::WallTime;
use crate::roster::Roster;
use crate::seat::{Attempt, Promise, Seat};
use crate::tenure::{Tenure, undecided};
use crate::unit::Instant;

/// The number of entries that keep the records of a lost one.
const HEIRS: usize = 2;

/// What is known when no entry remembers any home of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bootstrap {
    /// The fleet starts for the first time, so no key has been used.
    First,
    /// All entries may have been lost at once.
    Lost,
}

/// The time by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock.
    pub instant: Instant,
    /// The wall clock, which only matters after a loss.
    pub wall: WallTime,
}

/// Messages to runs of entries.
pub type Outbox = Vec<(Run, FromHome)>;

/// The keys that an agent is the home of.
#[derive(Debug)]
pub struct Home {
    me: Run,
    roster: Roster,
    seats: BTreeMap<Slot, Seat>,
}

impl Home {
    /// Builds the home of an agent that has just started.
    ///
    /// `expected` are the configured entries; before the first view of a slot
    /// each of them has to promise it or to be known as lost.
    pub fn new(me: Run, expected: BTreeSet<DaemonName>) -> Self {
        Home {
            me,
            roster: Roster::new(expected),
            seats: BTreeMap::new(),
        }
    }

    /// Takes the configured entries after a change of the configuration.
    pub fn set_expected_entries(&mut self, entries: BTreeSet<DaemonName>) {
        self.roster.set_expected(entries);
    }

    /// Lists the slots that no entry remembers a home of.
    ///
    /// They are served once [`Home::bootstrap`] tells whether they ever had one.
    pub fn awaiting_bootstrap(&self) -> impl Iterator<Item = Slot> + '_ {
        let waits = |s: &Seat| s.bootstrap.is_none() && self.is_first(s);
        let unopened = self.seats.iter().filter(move |(_, s)| waits(s));
        unopened.map(|(slot, _)| *slot)
    }

    /// Takes the platform's word on a slot that no entry remembers a home of.
    pub fn bootstrap(&mut self, slot: Slot, bootstrap: Bootstrap, now: Now) -> Outbox {
        let mut sends = Outbox::new();
        if let Some(seat) = self.seats.get_mut(&slot) {
            seat.bootstrap = Some(bootstrap);
            self.complete(slot, now, &mut sends);
        }
        sends
    }

    /// Lists the slots that are served.
    pub fn served(&self) -> impl Iterator<Item = Slot> + '_ {
        let served = self.seats.iter().filter(|(_, s)| s.tenure.is_some());
        served.map(|(slot, _)| *slot)
    }

    /// Notes a link with a run of an entry, which ends its earlier runs.
    pub fn entry_linked(&mut self, run: &Run, now: Now) -> Outbox {
        if self.roster.has_ended(run) {
            return Outbox::new();
        }
        self.roster.link(run);
        self.each_seat(|home, slot, sends| home.admit(slot, run, now, sends))
    }

    /// Notes that the link with an entry is gone; the entry may still live.
    pub fn entry_unlinked(&mut self, run: &Run, now: Now) -> Outbox {
        self.roster.unlink(run);
        self.each_seat(|home, slot, sends| home.complete(slot, now, sends))
    }

    /// Notes that a run of an entry and all earlier ones have ended for good.
    ///
    /// Silence is no proof: only a later run or the platform's word that the VM
    /// is gone is.
    pub fn entry_ended(&mut self, name: &DaemonName, last: Incarnation, now: Now) -> Outbox {
        self.roster.end(name, last);
        self.each_seat(|home, slot, sends| home.settle(slot, now, sends))
    }

    /// Takes a message of an entry.
    pub fn on_message(&mut self, from: &Run, message: ToHome, now: Now) -> Outbox {
        let mut sends = Outbox::new();
        if self.roster.has_ended(from) {
            return sends;
        }
        match message {
            ToHome::Invite(slot, promised) => {
                let seat = self.seats.entry(slot).or_default();
                let round = promised.map_or(0, |id| id.round);
                seat.latest_round = seat.latest_round.max(round);
                self.invite(slot, from, now, &mut sends);
            }
            ToHome::Promise {
                slot,
                id,
                served,
                is_steady,
                joining,
                ahead,
                ledger,
            } => {
                let promise = Promise {
                    id,
                    served,
                    is_steady,
                    joining,
                    ahead,
                    ledger,
                };
                if self.promise(slot, from, promise, now) {
                    self.complete(slot, now, &mut sends);
                }
            }
            ToHome::Newer(slot, id) => self.newer(slot, &id),
            ToHome::Claim(id, claim) => {
                let slot = Slot::of(claim.key);
                self.claim(from, id.clone(), claim, now, &mut sends);
                self.remind(slot, from, &id, now, &mut sends);
            }
            ToHome::Move(id, grant) => {
                let reply = self.move_to(from, id.clone(), &grant, now);
                sends.extend(reply.map(|r| (from.clone(), r)));
                self.remind(Slot::of(grant.key), from, &id, now, &mut sends);
            }
            ToHome::Release(id, grant) => {
                let reply = self.release(from, id.clone(), &grant);
                sends.push((from.clone(), reply));
                self.remind(Slot::of(grant.key), from, &id, now, &mut sends);
            }
        }
        sends
    }

    /// Sends again what has not been answered and shrinks what is old.
    pub fn tick(&mut self, now: Now) -> Outbox {
        self.each_seat(|home, slot, sends| {
            let Some(seat) = home.seats.get_mut(&slot) else {
                return;
            };
            if let Some(tenure) = &mut seat.tenure {
                tenure.expire(now.instant);
            }
            home.ask(slot, sends);
        })
    }

    /// Returns the bytes that the remembered grants take.
    pub fn bytes(&self) -> usize {
        let tenures = self.seats.values().filter_map(|s| s.tenure.as_ref());
        tenures.map(|t| t.memory.bytes()).sum()
    }

    fn each_seat(&mut self, mut f: impl FnMut(&mut Self, Slot, &mut Outbox)) -> Outbox {
        let mut sends = Outbox::new();
        let slots: Vec<Slot> = self.seats.keys().copied().collect();
        for slot in slots {
            f(self, slot, &mut sends);
        }
        sends
    }

    fn admit(&mut self, slot: Slot, run: &Run, now: Now, sends: &mut Outbox) {
        let Some(seat) = self.seats.get(&slot) else {
            return;
        };
        match (&seat.attempt, &seat.tenure) {
            (Some(a), _) if !a.is_renewal && !self.needed(seat, a).contains(run) => {
                // Who has promised does not know of this entry, so all are asked again.
                self.take_over(slot, now, sends);
            }
            (Some(a), Some(t)) if a.lacks_heirs() => {
                let ahead = a.ahead.max(t.ahead);
                self.renew(slot, ahead, now, sends);
            }
            (Some(_), _) => self.ask(slot, sends),
            (None, Some(t)) if t.view.entries.contains(run) => {
                sends.push((run.clone(), t.serve(slot, now.instant)));
            }
            _ => {}
        }
        self.settle(slot, now, sends);
    }

    fn invite(&mut self, slot: Slot, from: &Run, now: Now, sends: &mut Outbox) {
        let seat = self.seats.entry(slot).or_default();
        let round = seat.attempt.as_ref().map(|a| a.id.round);
        if round.is_some_and(|round| round >= seat.latest_round) {
            return self.ask(slot, sends);
        }
        let Some(tenure) = &seat.tenure else {
            return self.take_over(slot, now, sends);
        };
        if tenure.view.id.round < seat.latest_round {
            return self.take_over(slot, now, sends);
        }
        if tenure.view.entries.contains(from) {
            sends.push((from.clone(), tenure.serve(slot, now.instant)));
        }
    }

    /// Starts to gather the slot from whoever was its home before.
    fn take_over(&mut self, slot: Slot, now: Now, sends: &mut Outbox) {
        let joining = self.roster.linked().collect();
        let seat = self.seats.entry(slot).or_default();
        seat.tenure = None;
        let id = seat.next_id(&self.me);
        let attempt = Attempt::new(id, WallTime::default(), false, joining);
        seat.attempt = Some(attempt);
        self.complete(slot, now, sends);
    }

    /// Starts a view of the same home with other entries or a later `ahead`.
    fn renew(&mut self, slot: Slot, ahead: WallTime, now: Now, sends: &mut Outbox) {
        let roster = &self.roster;
        let linked: Vec<Run> = roster.linked().collect();
        let Some(seat) = self.seats.get_mut(&slot) else {
            return;
        };
        let id = seat.next_id(&self.me);
        let Some(tenure) = &seat.tenure else {
            return;
        };
        let members = &tenure.view.entries;
        let joining = linked.iter().filter(|run| !members.contains(run)).cloned();
        let mut attempt = Attempt::new(id, ahead, true, joining.collect());
        attempt.without = members
            .iter()
            .filter(|run| roster.has_ended(run))
            .cloned()
            .collect();
        if !attempt.without.is_empty() {
            attempt.orphans = tenure.orphans(|run| roster.has_ended(run), now.instant);
            attempt.heirs = linked.into_iter().take(HEIRS).collect();
        }
        seat.attempt = Some(attempt);
        self.complete(slot, now, sends);
    }

    /// Starts a view for newly linked entries, or without those that are over, so
    /// that others keep their records.
    fn settle(&mut self, slot: Slot, now: Now, sends: &mut Outbox) {
        let Some(seat) = self.seats.get(&slot) else {
            return;
        };
        let Some(tenure) = &seat.tenure else {
            return self.complete(slot, now, sends);
        };
        let Some(attempt) = &seat.attempt else {
            let has_lost = tenure
                .view
                .entries
                .iter()
                .any(|run| self.roster.has_ended(run));
            if has_lost || self.newcomers(&tenure.view).next().is_some() {
                let ahead = tenure.ahead;
                self.renew(slot, ahead, now, sends);
            }
            return;
        };
        let members = tenure.view.entries.iter();
        let mut involved = members.chain(&attempt.promised).chain(&attempt.heirs);
        let is_unaware = |run: &Run| self.roster.has_ended(run) && !attempt.without.contains(run);
        if involved.any(is_unaware) {
            let ahead = attempt.ahead.max(tenure.ahead);
            return self.renew(slot, ahead, now, sends);
        }
        self.complete(slot, now, sends);
    }

    fn newcomers<'a>(&'a self, view: &'a View) -> impl Iterator<Item = Run> + 'a {
        self.roster
            .linked()
            .filter(|run| !view.entries.contains(run))
    }

    /// The runs of entries whose promise the slot's attempt needs.
    ///
    /// An entry that can't be reached but may live is needed all the same: it
    /// could act on grants of another home.
    fn needed(&self, seat: &Seat, attempt: &Attempt) -> BTreeSet<Run> {
        let known = seat.members(attempt).chain(&attempt.heard_of);
        let all = known.chain(&attempt.heirs);
        all.filter(|run| !self.roster.has_ended(run))
            .cloned()
            .collect()
    }

    /// Returns whether all configured entries have promised and none knows a view.
    fn is_first(&self, seat: &Seat) -> bool {
        let Some(attempt) = seat.attempt.as_ref().filter(|_| seat.is_unknown()) else {
            return false;
        };
        !attempt.promised.is_empty() && self.roster.are_all_in(&attempt.promised)
    }

    /// Asks those that have not promised yet.
    fn ask(&self, slot: Slot, sends: &mut Outbox) {
        let Some(seat) = self.seats.get(&slot) else {
            return;
        };
        let Some(attempt) = &seat.attempt else {
            return;
        };
        let needed = self.needed(seat, attempt);
        for run in needed.difference(&attempt.promised) {
            let is_heir = attempt.heirs.contains(run);
            let orphans = match is_heir {
                true => attempt.orphans.clone(),
                false => Handover::default(),
            };
            let prepare = FromHome::Prepare {
                slot,
                id: attempt.id.clone(),
                joining: attempt.joining.clone(),
                ahead: attempt.ahead,
                ledger: !attempt.is_renewal,
                orphans,
            };
            sends.push((run.clone(), prepare));
        }
    }

    fn promise(&mut self, slot: Slot, from: &Run, promise: Promise, now: Now) -> bool {
        let Some(seat) = self.seats.get_mut(&slot) else {
            return false;
        };
        let Some(attempt) = seat.attempt.as_mut().filter(|a| a.id == promise.id) else {
            return false;
        };
        if attempt.is_renewal && !promise.is_steady {
            // Another home may have served since, so this one's records are outdated.
            seat.attempt = None;
            seat.tenure = None;
            return false;
        }
        attempt.take(from, promise, now);
        true
    }

    fn newer(&mut self, slot: Slot, id: &ViewId) {
        if let Some(seat) = self.seats.get_mut(&slot) {
            seat.latest_round = seat.latest_round.max(id.round);
        }
    }

    /// Serves the slot once all promises are there.
    fn complete(&mut self, slot: Slot, now: Now, sends: &mut Outbox) {
        let Some(seat) = self.seats.get(&slot) else {
            return;
        };
        let Some(attempt) = &seat.attempt else {
            return;
        };
        let needed = self.needed(seat, attempt);
        if !needed.is_subset(&attempt.promised) || attempt.promised.is_empty() {
            return self.ask(slot, sends);
        }
        if attempt.lacks_heirs() {
            return;
        }
        if seat.is_unvouched() {
            return self.take_over(slot, now, sends);
        }
        let bootstrap = match (seat.is_unknown(), seat.bootstrap) {
            (false, _) => Bootstrap::Lost,
            (true, Some(bootstrap)) if self.is_first(seat) => bootstrap,
            (true, _) => return,
        };
        let Some(seat) = self.seats.get_mut(&slot) else {
            return;
        };
        seat.serve(bootstrap, now);
        if let Some(tenure) = &seat.tenure {
            let runs = tenure.view.entries.iter();
            sends.extend(runs.map(|run| (run.clone(), tenure.serve(slot, now.instant))));
        }
        self.settle(slot, now, sends);
    }

    fn claim(&mut self, from: &Run, id: ViewId, claim: Claim, now: Now, sends: &mut Outbox) {
        let slot = Slot::of(claim.key);
        let Some(tenure) = self.tenure(slot, from, &id) else {
            let undecided = undecided(id, claim.key, claim.req, Undecided::NotHome);
            return sends.push((from.clone(), undecided));
        };
        if let Some(ahead) = tenure.ahead_for(&claim, now) {
            let seat = self.seats.get(&slot);
            let attempt = seat.and_then(|s| s.attempt.as_ref());
            // The entry asks again when it is served under the renewed view.
            if attempt.is_none_or(|a| a.ahead < ahead) {
                self.renew(slot, ahead, now, sends);
            }
            return;
        }
        let reply = tenure.claim(from, claim, now);
        sends.extend(reply.map(|r| (from.clone(), r)));
    }

    fn move_to(&mut self, from: &Run, id: ViewId, grant: &Grant, now: Now) -> Option<FromHome> {
        let Some(tenure) = self.tenure(Slot::of(grant.key), from, &id) else {
            return Some(undecided(id, grant.key, grant.req, Undecided::NotHome));
        };
        tenure.move_to(grant, now)
    }

    fn release(&mut self, from: &Run, id: ViewId, grant: &Grant) -> FromHome {
        let Some(tenure) = self.tenure(Slot::of(grant.key), from, &id) else {
            return undecided(id, grant.key, grant.req, Undecided::NotHome);
        };
        tenure.release(grant)
    }

    /// Tells an entry of the view in force when it used an earlier one.
    fn remind(&self, slot: Slot, from: &Run, id: &ViewId, now: Now, sends: &mut Outbox) {
        let tenure = self.seats.get(&slot).and_then(|s| s.tenure.as_ref());
        let Some(tenure) = tenure.filter(|t| t.view.id != *id) else {
            return;
        };
        if tenure.view.entries.contains(from) {
            sends.push((from.clone(), tenure.serve(slot, now.instant)));
        }
    }

    fn tenure(&mut self, slot: Slot, from: &Run, id: &ViewId) -> Option<&mut Tenure> {
        let tenure = self.seats.get_mut(&slot)?.tenure.as_mut()?;
        let serves = tenure.view.entries.contains(from) && id.home == self.me;
        serves.then_some(tenure)
    }
}
