//! The admission queue of one endpoint: strict tiers, fair shares, earliest deadline first.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#queue).

use std::collections::{BTreeSet, HashMap};

use crate::config::Repeat;
use crate::fair::{FairQueue, Item, Lanes};
use crate::id::RequestId;
use crate::tier::Tier;
use crate::unit::Instant;

/// Queued work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedWork {
    /// The tier.
    pub tier: Tier,
    /// The entry in the fair queue of the tier.
    pub item: Item,
    /// The estimated length of the prompt, in tokens.
    pub prompt: u64,
    /// The estimated length of the response, in tokens.
    pub output: u64,
    /// How often the call may run and how that is enforced.
    pub repeat: Repeat,
    /// The digest of the content.
    pub fingerprint: u64,
    /// The time after which the deadline can no longer be met.
    pub latest_start: Instant,
}

/// A queue that serves tiers in strict order.
///
/// Every operation but [`Queue::drain`] takes amortised logarithmic time in its length.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: [FairQueue; Tier::COUNT],
    work: HashMap<RequestId, QueuedWork>,
    latest_starts: BTreeSet<(Instant, RequestId)>,
    len: [u32; Tier::COUNT],
    cost: [u64; Tier::COUNT],
    prompt: [u64; Tier::COUNT],
}

impl Queue {
    /// Queues work; does nothing if the id is already queued.
    pub fn push(&mut self, work: QueuedWork) {
        let (i, id) = (work.tier.index(), work.item.id);
        if self.work.contains_key(&id) {
            return;
        }
        self.work.insert(id, work);
        self.tiers[i].push(&work.item);
        self.latest_starts.insert((work.latest_start, id));
        self.len[i] += 1;
        self.cost[i] += work.item.cost;
        self.prompt[i] += work.prompt;
    }

    /// Removes work that will not be served.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedWork> {
        let work = self.take(id)?;
        self.tiers[work.tier.index()].remove(&work.item);
        Some(work)
    }

    /// Removes work that is being served and charges its organisation.
    pub fn serve(&mut self, id: RequestId) -> Option<QueuedWork> {
        let work = self.take(id)?;
        self.tiers[work.tier.index()].serve(&work.item);
        Some(work)
    }

    fn take(&mut self, id: RequestId) -> Option<QueuedWork> {
        let work = self.work.remove(&id)?;
        let i = work.tier.index();
        self.latest_starts.remove(&(work.latest_start, id));
        self.len[i] -= 1;
        self.cost[i] -= work.item.cost;
        self.prompt[i] -= work.prompt;
        Some(work)
    }

    /// Returns queued work by its id.
    pub fn get(&self, id: RequestId) -> Option<&QueuedWork> {
        self.work.get(&id)
    }

    /// Returns the request of a tier that is served next from the given lanes.
    pub fn next(&self, tier: Tier, lanes: Lanes) -> Option<RequestId> {
        self.tiers[tier.index()].next(lanes)
    }

    /// Returns the most urgent tier with queued work.
    pub fn most_urgent(&self) -> Option<Tier> {
        Tier::all().find(|t| self.len[t.index()] > 0)
    }

    /// Returns the least urgent tier with queued work.
    pub fn least_urgent(&self) -> Option<Tier> {
        Tier::all().rev().find(|t| self.len[t.index()] > 0)
    }

    /// Returns the request to evict from a full queue in favour of new work.
    ///
    /// It belongs to the least urgent tier if that is less urgent than the new work's, or else
    /// to the organisation with the highest queued cost for its weight in the same tier, if
    /// that is higher than the new work's organisation has with the new work.
    pub fn eviction_candidate(&self, new: &QueuedWork) -> Option<RequestId> {
        let least_urgent = self.least_urgent()?;
        let queue = &self.tiers[least_urgent.index()];
        let is_evictable = new.tier.outranks(least_urgent)
            || (new.tier == least_urgent && queue.must_yield_to(&new.item));
        if !is_evictable {
            return None;
        }
        queue.eviction_candidate()
    }

    /// Returns a request whose deadline can no longer be met.
    pub fn first_expired(&self, now: Instant) -> Option<RequestId> {
        let (latest, id) = self.latest_starts.first()?;
        (*latest < now).then_some(*id)
    }

    /// Returns the earliest latest start of the queued requests; a request expires after it.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.latest_starts.first().map(|(latest, _)| *latest)
    }

    /// Returns the cost and the prompt tokens of the work served before new work.
    pub fn work_ahead(&self, new: &QueuedWork) -> (u64, u64) {
        let i = new.tier.index();
        let urgent_cost: u64 = self.cost[..i].iter().sum();
        let urgent_prompt: u64 = self.prompt[..i].iter().sum();
        let queue = &self.tiers[i];
        let cost = queue.work_ahead(new.item.organisation, new.item.weight, self.cost[i]);
        let part = cost as f64 / self.cost[i].max(1) as f64;
        let prompt = (self.prompt[i] as f64 * part) as u64;
        (urgent_cost + cost, urgent_prompt + prompt)
    }

    /// Returns the cost of the queued work of this tier and more urgent ones.
    pub fn cost_down_to(&self, tier: Tier) -> u64 {
        self.cost[..=tier.index()].iter().sum()
    }

    /// Returns the queued prompt tokens by tier.
    pub fn prompts(&self) -> [u64; Tier::COUNT] {
        self.prompt
    }

    /// Returns the cost of the queued work by tier.
    pub fn costs(&self) -> [u64; Tier::COUNT] {
        self.cost
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.work.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty()
    }

    /// Removes and returns all queued work.
    pub fn drain(&mut self) -> Vec<QueuedWork> {
        let ids: Vec<RequestId> = self.latest_starts.iter().map(|(_, id)| *id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }
}
