//! Fair shares between organisations, by virtual time.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#fairness).

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::digest::hash_of;
use crate::id::{OrganisationName, RequestId};
use crate::unit::Instant;

/// Units of virtual time for a token at weight one.
const SCALE: u64 = 1_024;
/// The organisations without queued work whose virtual time is remembered.
const REMEMBERED: usize = 256;

/// An organisation, known by a short digest of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct OrganisationDigest(pub u64);

impl OrganisationDigest {
    /// Digests the name.
    pub fn of(name: &OrganisationName) -> Self {
        OrganisationDigest(hash_of(name.as_str()))
    }
}

/// The kinds of work that wait side by side, so that none blocks another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Work of usual length.
    Short,
    /// Work that would hold a large part of the endpoint.
    Long,
    /// Work that was near a crash of an endpoint before.
    Suspect,
}

impl Lane {
    /// The number of lanes.
    pub const COUNT: usize = 3;
}

/// Which lanes may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lanes {
    /// Whether short work may be served.
    pub short: bool,
    /// Whether long work may be served.
    pub long: bool,
    /// Whether suspect work may be served.
    pub suspect: bool,
}

impl Lanes {
    /// All lanes.
    pub const ALL: Lanes = Lanes {
        short: true,
        long: true,
        suspect: true,
    };

    fn allowed(self) -> impl Iterator<Item = usize> {
        let short = self.short.then_some(Lane::Short as usize);
        let long = self.long.then_some(Lane::Long as usize);
        let suspect = self.suspect.then_some(Lane::Suspect as usize);
        short.into_iter().chain(long).chain(suspect)
    }
}

/// One piece of queued work as the shares see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub id: RequestId,
    /// The organisation that asks.
    pub organisation: OrganisationDigest,
    /// Its weight, at least one.
    pub weight: u32,
    /// The estimated work, in tokens.
    pub cost: u64,
    /// When the answer is due.
    pub deadline: Instant,
    /// The order of arrival, unique in the queue.
    pub seq: u64,
    /// Where it waits.
    pub lane: Lane,
}

type Position = (Instant, u64, RequestId);

impl Item {
    fn position(&self) -> Position {
        (self.deadline, self.seq, self.id)
    }

    fn stretch(&self, weight: u32) -> u64 {
        (self.cost.max(1).saturating_mul(SCALE) / u64::from(weight.max(1))).max(1)
    }
}

#[derive(Debug, Default)]
struct Share {
    start: u64,
    weight: u32,
    cost: u64,
    lanes: [BTreeSet<Position>; Lane::COUNT],
}

impl Share {
    fn is_empty(&self) -> bool {
        self.lanes.iter().all(BTreeSet::is_empty)
    }

    fn heaviness(&self) -> u64 {
        self.cost.saturating_mul(SCALE) / u64::from(self.weight.max(1))
    }
}

/// The organisations that have work queued in one tier.
///
/// The organisation with the least virtual time is served next, and its time
/// moves on by the work over its weight. Inside an organisation the earliest
/// deadline goes first. State is held for organisations with queued work and
/// for a bounded number of others that were served lately.
#[derive(Debug, Default)]
pub struct Shares {
    shares: HashMap<OrganisationDigest, Share>,
    order: [BTreeSet<(u64, OrganisationDigest)>; Lane::COUNT],
    heaviest: BTreeSet<(u64, OrganisationDigest)>,
    remembered: HashMap<OrganisationDigest, u64>,
    remembered_order: BTreeSet<(u64, OrganisationDigest)>,
    clock: u64,
    weight: u64,
}

impl Shares {
    /// Queues an item.
    pub fn push(&mut self, item: &Item) {
        let organisation = item.organisation;
        if !self.shares.contains_key(&organisation) {
            self.open(item);
        }
        let Some(share) = self.shares.get_mut(&organisation) else {
            return;
        };
        self.heaviest.remove(&(share.heaviness(), organisation));
        share.cost += item.cost;
        self.heaviest.insert((share.heaviness(), organisation));
        share.lanes[item.lane as usize].insert(item.position());
        self.order[item.lane as usize].insert((share.start, organisation));
    }

    /// Takes an item out without charging its organisation.
    pub fn remove(&mut self, item: &Item) {
        let organisation = item.organisation;
        let Some(share) = self.shares.get_mut(&organisation) else {
            return;
        };
        let lane = item.lane as usize;
        if !share.lanes[lane].remove(&item.position()) {
            return;
        }
        self.heaviest.remove(&(share.heaviness(), organisation));
        share.cost -= item.cost;
        if share.lanes[lane].is_empty() {
            self.order[lane].remove(&(share.start, organisation));
        }
        if share.is_empty() {
            self.close(organisation);
            return;
        }
        self.heaviest.insert((share.heaviness(), organisation));
    }

    /// Returns the request that is served next out of the given lanes.
    pub fn next(&self, lanes: Lanes) -> Option<RequestId> {
        let heads = lanes.allowed().filter_map(|i| self.order[i].first());
        let (_, organisation) = heads.min()?;
        let share = self.shares.get(organisation)?;
        let firsts = lanes.allowed().filter_map(|i| share.lanes[i].first());
        firsts.min().map(|(_, _, id)| *id)
    }

    /// Takes an item out to be served and charges its organisation.
    pub fn serve(&mut self, item: &Item) {
        let organisation = item.organisation;
        let Some(share) = self.shares.get_mut(&organisation) else {
            return;
        };
        let old = share.start;
        self.clock = self.clock.max(old);
        share.start = old.saturating_add(item.stretch(share.weight));
        for (order, lane) in self.order.iter_mut().zip(&share.lanes) {
            if order.remove(&(old, organisation)) && !lane.is_empty() {
                order.insert((share.start, organisation));
            }
        }
        self.remove(item);
    }

    /// Returns the request that is given up first: the latest deadline of the
    /// organisation with the most queued work for its weight.
    pub fn victim(&self) -> Option<RequestId> {
        let (_, organisation) = self.heaviest.last()?;
        let share = self.shares.get(organisation)?;
        let lasts = share.lanes.iter().filter_map(BTreeSet::last);
        lasts.max().map(|(_, _, id)| *id)
    }

    /// Returns whether another organisation stays heavier than the item's would
    /// be with the item, so that it has to give way.
    pub fn yields_to(&self, item: &Item) -> bool {
        let Some((heaviest, organisation)) = self.heaviest.last() else {
            return false;
        };
        let own = self.shares.get(&item.organisation);
        let queued = own.map_or(0, |s| s.cost);
        let with_item = Share {
            cost: queued.saturating_add(item.cost),
            weight: own.map_or(item.weight, |s| s.weight),
            ..Share::default()
        };
        *organisation != item.organisation && *heaviest > with_item.heaviness()
    }

    /// Estimates the work that is served before an item of the organisation.
    ///
    /// An organisation with little queued waits for its turn, not for the
    /// whole queue of another.
    pub fn ahead(&self, organisation: OrganisationDigest, weight: u32, total: u64) -> u64 {
        let own = self.shares.get(&organisation);
        let queued = own.map_or(0, |s| s.cost);
        let weight = own.map_or(weight, |s| s.weight).max(1);
        let others = self.weight - own.map_or(0, |s| u64::from(s.weight.max(1)));
        let turns = queued.saturating_mul(others) / u64::from(weight);
        let mean = total / u64::try_from(self.shares.len()).unwrap_or(1).max(1);
        let others_queued = total.saturating_sub(queued);
        queued + turns.max(mean).min(others_queued)
    }

    fn open(&mut self, item: &Item) {
        let organisation = item.organisation;
        let remembered = self.remembered.remove(&organisation);
        if let Some(start) = remembered {
            self.remembered_order.remove(&(start, organisation));
        }
        let share = Share {
            start: remembered.unwrap_or(0).max(self.clock),
            weight: item.weight.max(1),
            ..Share::default()
        };
        self.weight += u64::from(share.weight);
        self.shares.insert(organisation, share);
    }

    fn close(&mut self, organisation: OrganisationDigest) {
        let Some(share) = self.shares.remove(&organisation) else {
            return;
        };
        self.weight -= u64::from(share.weight);
        while let Some(first) = self.remembered_order.first().copied() {
            let spent = first.0 <= self.clock;
            if !spent && self.remembered.len() < REMEMBERED {
                break;
            }
            self.remembered_order.pop_first();
            self.remembered.remove(&first.1);
        }
        if share.start > self.clock {
            self.remembered.insert(organisation, share.start);
            self.remembered_order.insert((share.start, organisation));
        }
    }
}
