//! Weighted fair queueing between organisations, by virtual time.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#fairness).

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::digest::hash_of;
use crate::id::{OrganisationName, RequestId};
use crate::unit::Instant;

/// Units of virtual time per token at weight one.
const SCALE: u64 = 1_024;
/// The maximum number of organisations without queued work whose virtual time is kept.
const MAX_IDLE_ORGANISATIONS: usize = 256;

/// An organisation, identified by a short digest of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct OrganisationDigest(pub u64);

impl OrganisationDigest {
    /// Returns the digest of a name.
    pub fn of(name: &OrganisationName) -> Self {
        OrganisationDigest(hash_of(name.as_str()))
    }
}

/// The lanes of a queue, which are served independently so that none blocks another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Work of typical length.
    Short,
    /// Work that would occupy a large part of the endpoint.
    Long,
    /// Work that was running at an endpoint that crashed before.
    Suspect,
}

impl Lane {
    /// The number of lanes.
    pub const COUNT: usize = 3;
}

/// The set of lanes that may be served.
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

    fn indices(self) -> impl Iterator<Item = usize> {
        let short = self.short.then_some(Lane::Short as usize);
        let long = self.long.then_some(Lane::Long as usize);
        let suspect = self.suspect.then_some(Lane::Suspect as usize);
        short.into_iter().chain(long).chain(suspect)
    }
}

/// An entry of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub id: RequestId,
    /// The organisation that sent the request.
    pub organisation: OrganisationDigest,
    /// The weight of the organisation, at least one.
    pub weight: u32,
    /// The estimated cost, in tokens.
    pub cost: u64,
    /// When the response is due.
    pub deadline: Instant,
    /// The arrival sequence number, unique in the queue.
    pub seq: u64,
    /// The lane.
    pub lane: Lane,
}

type Position = (Instant, u64, RequestId);

impl Item {
    fn position(&self) -> Position {
        (self.deadline, self.seq, self.id)
    }

    fn virtual_duration(&self, weight: u32) -> u64 {
        (self.cost.max(1).saturating_mul(SCALE) / u64::from(weight.max(1))).max(1)
    }
}

#[derive(Debug, Default)]
struct OrganisationQueue {
    virtual_time: u64,
    weight: u32,
    cost: u64,
    lanes: [BTreeSet<Position>; Lane::COUNT],
}

impl OrganisationQueue {
    fn is_empty(&self) -> bool {
        self.lanes.iter().all(BTreeSet::is_empty)
    }

    fn weighted_cost(&self) -> u64 {
        self.cost.saturating_mul(SCALE) / u64::from(self.weight.max(1))
    }
}

/// A weighted fair queue over the organisations of one tier.
///
/// The organisation with the lowest virtual time is served next, and its virtual time
/// advances by the cost over its weight. Within an organisation the earliest deadline
/// goes first. State is kept for organisations with queued work and for a bounded
/// number of others that were served recently.
#[derive(Debug, Default)]
pub struct FairQueue {
    organisations: HashMap<OrganisationDigest, OrganisationQueue>,
    order: [BTreeSet<(u64, OrganisationDigest)>; Lane::COUNT],
    by_weighted_cost: BTreeSet<(u64, OrganisationDigest)>,
    idle: HashMap<OrganisationDigest, u64>,
    idle_order: BTreeSet<(u64, OrganisationDigest)>,
    virtual_clock: u64,
    total_weight: u64,
}

impl FairQueue {
    /// Queues an item.
    pub fn push(&mut self, item: &Item) {
        let organisation = item.organisation;
        if !self.organisations.contains_key(&organisation) {
            self.activate(item);
        }
        let Some(queue) = self.organisations.get_mut(&organisation) else {
            return;
        };
        self.by_weighted_cost
            .remove(&(queue.weighted_cost(), organisation));
        queue.cost += item.cost;
        self.by_weighted_cost
            .insert((queue.weighted_cost(), organisation));
        queue.lanes[item.lane as usize].insert(item.position());
        self.order[item.lane as usize].insert((queue.virtual_time, organisation));
    }

    /// Removes an item without charging its organisation.
    pub fn remove(&mut self, item: &Item) {
        let organisation = item.organisation;
        let Some(queue) = self.organisations.get_mut(&organisation) else {
            return;
        };
        let lane = item.lane as usize;
        if !queue.lanes[lane].remove(&item.position()) {
            return;
        }
        self.by_weighted_cost
            .remove(&(queue.weighted_cost(), organisation));
        queue.cost -= item.cost;
        if queue.lanes[lane].is_empty() {
            self.order[lane].remove(&(queue.virtual_time, organisation));
        }
        if queue.is_empty() {
            self.deactivate(organisation);
            return;
        }
        self.by_weighted_cost
            .insert((queue.weighted_cost(), organisation));
    }

    /// Returns the request that is served next from the given lanes.
    pub fn next(&self, lanes: Lanes) -> Option<RequestId> {
        let heads = lanes.indices().filter_map(|i| self.order[i].first());
        let (_, organisation) = heads.min()?;
        let queue = self.organisations.get(organisation)?;
        let firsts = lanes.indices().filter_map(|i| queue.lanes[i].first());
        firsts.min().map(|(_, _, id)| *id)
    }

    /// Removes an item that is being served and charges its organisation.
    pub fn serve(&mut self, item: &Item) {
        let organisation = item.organisation;
        let Some(queue) = self.organisations.get_mut(&organisation) else {
            return;
        };
        let old = queue.virtual_time;
        self.virtual_clock = self.virtual_clock.max(old);
        queue.virtual_time = old.saturating_add(item.virtual_duration(queue.weight));
        for (order, lane) in self.order.iter_mut().zip(&queue.lanes) {
            if order.remove(&(old, organisation)) && !lane.is_empty() {
                order.insert((queue.virtual_time, organisation));
            }
        }
        self.remove(item);
    }

    /// Returns the request to evict first: the one with the latest deadline of the
    /// organisation with the highest queued cost for its weight.
    pub fn eviction_candidate(&self) -> Option<RequestId> {
        let (_, organisation) = self.by_weighted_cost.last()?;
        let queue = self.organisations.get(organisation)?;
        let lasts = queue.lanes.iter().filter_map(BTreeSet::last);
        lasts.max().map(|(_, _, id)| *id)
    }

    /// Returns whether the organisation with the highest weighted cost must give up a request
    /// for the item: it is another one than the item's, and its weighted cost stays higher
    /// with the item queued.
    pub fn must_yield_to(&self, item: &Item) -> bool {
        let Some((highest, organisation)) = self.by_weighted_cost.last() else {
            return false;
        };
        let own = self.organisations.get(&item.organisation);
        let queued = own.map_or(0, |q| q.cost);
        let with_item = OrganisationQueue {
            cost: queued.saturating_add(item.cost),
            weight: own.map_or(item.weight, |q| q.weight),
            ..OrganisationQueue::default()
        };
        *organisation != item.organisation && *highest > with_item.weighted_cost()
    }

    /// Estimates the cost of the work served before an item of the organisation.
    ///
    /// An organisation with little queued work waits for its turn, not for the whole queue
    /// of another. `total` is the queued cost of the tier.
    pub fn work_ahead(&self, organisation: OrganisationDigest, weight: u32, total: u64) -> u64 {
        let own = self.organisations.get(&organisation);
        let queued = own.map_or(0, |q| q.cost);
        let weight = own.map_or(weight, |q| q.weight).max(1);
        let others = self.total_weight - own.map_or(0, |q| u64::from(q.weight.max(1)));
        let turns = queued.saturating_mul(others) / u64::from(weight);
        let mean = total / u64::try_from(self.organisations.len()).unwrap_or(1).max(1);
        let others_queued = total.saturating_sub(queued);
        queued + turns.max(mean).min(others_queued)
    }

    fn activate(&mut self, item: &Item) {
        let organisation = item.organisation;
        let last_virtual_time = self.idle.remove(&organisation);
        if let Some(virtual_time) = last_virtual_time {
            self.idle_order.remove(&(virtual_time, organisation));
        }
        let queue = OrganisationQueue {
            virtual_time: last_virtual_time.unwrap_or(0).max(self.virtual_clock),
            weight: item.weight.max(1),
            ..OrganisationQueue::default()
        };
        self.total_weight += u64::from(queue.weight);
        self.organisations.insert(organisation, queue);
    }

    fn deactivate(&mut self, organisation: OrganisationDigest) {
        let Some(queue) = self.organisations.remove(&organisation) else {
            return;
        };
        self.total_weight -= u64::from(queue.weight);
        while let Some(first) = self.idle_order.first().copied() {
            let is_past = first.0 <= self.virtual_clock;
            if !is_past && self.idle.len() < MAX_IDLE_ORGANISATIONS {
                break;
            }
            self.idle_order.pop_first();
            self.idle.remove(&first.1);
        }
        if queue.virtual_time > self.virtual_clock {
            self.idle.insert(organisation, queue.virtual_time);
            self.idle_order.insert((queue.virtual_time, organisation));
        }
    }
}
