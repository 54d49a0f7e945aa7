//! The queue before one endpoint: strict tiers, fair shares, earliest deadline.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#queue).

use std::collections::{BTreeSet, HashMap};

use crate::config::Repeat;
use crate::fair::{Item, Lanes, Shares};
use crate::id::RequestId;
use crate::tier::Tier;
use crate::unit::Instant;

/// Work that waits in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queued {
    /// The rank.
    pub tier: Tier,
    /// What the shares of the tier see.
    pub item: Item,
    /// The estimated length of the prompt, in tokens.
    pub prompt: u64,
    /// The estimated length of the answer, in tokens.
    pub output: u64,
    /// How often the call may run.
    pub repeat: Repeat,
    /// The digest of the content.
    pub fingerprint: u64,
    /// After this time the deadline cannot be met any more.
    pub latest_start: Instant,
}

/// A queue that serves tiers in strict order.
///
/// All operations take a time that grows with the logarithm of its length.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: [Shares; Tier::COUNT],
    work: HashMap<RequestId, Queued>,
    latest_starts: BTreeSet<(Instant, RequestId)>,
    len: [u32; Tier::COUNT],
    cost: [u64; Tier::COUNT],
    prompt: [u64; Tier::COUNT],
}

impl Queue {
    /// Queues work under an id that is not in the queue yet.
    pub fn push(&mut self, work: Queued) {
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

    /// Takes work out that will not be served here.
    pub fn remove(&mut self, id: RequestId) -> Option<Queued> {
        let work = self.forget(id)?;
        self.tiers[work.tier.index()].remove(&work.item);
        Some(work)
    }

    /// Takes work out to be served.
    pub fn serve(&mut self, id: RequestId) -> Option<Queued> {
        let work = self.forget(id)?;
        self.tiers[work.tier.index()].serve(&work.item);
        Some(work)
    }

    fn forget(&mut self, id: RequestId) -> Option<Queued> {
        let work = self.work.remove(&id)?;
        let i = work.tier.index();
        self.latest_starts.remove(&(work.latest_start, id));
        self.len[i] -= 1;
        self.cost[i] -= work.item.cost;
        self.prompt[i] -= work.prompt;
        Some(work)
    }

    /// Returns queued work.
    pub fn get(&self, id: RequestId) -> Option<&Queued> {
        self.work.get(&id)
    }

    /// Returns the request of a tier that is served next out of the given lanes.
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

    /// Returns the request that gives way to the new work in a full queue.
    ///
    /// That is one of the least urgent tier when it is below the new work, or
    /// else one of an organisation that holds more of the same tier.
    pub fn victim(&self, new: &Queued) -> Option<RequestId> {
        let lowest = self.least_urgent()?;
        let shares = &self.tiers[lowest.index()];
        let gives_way =
            new.tier.outranks(lowest) || (new.tier == lowest && shares.yields_to(&new.item));
        if !gives_way {
            return None;
        }
        shares.victim()
    }

    /// Returns a request whose deadline cannot be met any more.
    pub fn doomed(&self, now: Instant) -> Option<RequestId> {
        let (latest, id) = self.latest_starts.first()?;
        (*latest < now).then_some(*id)
    }

    /// Returns when the next request is doomed.
    pub fn next_doom(&self) -> Option<Instant> {
        self.latest_starts.first().map(|(latest, _)| *latest)
    }

    /// Returns the work and the prompt tokens that go before new work.
    pub fn ahead(&self, new: &Queued) -> (u64, u64) {
        let i = new.tier.index();
        let urgent_cost: u64 = self.cost[..i].iter().sum();
        let urgent_prompt: u64 = self.prompt[..i].iter().sum();
        let shares = &self.tiers[i];
        let cost = shares.ahead(new.item.organisation, new.item.weight, self.cost[i]);
        let part = cost as f64 / self.cost[i].max(1) as f64;
        let prompt = (self.prompt[i] as f64 * part) as u64;
        (urgent_cost + cost, urgent_prompt + prompt)
    }

    /// Returns the work that is queued at a tier or above it.
    pub fn cost_down_to(&self, tier: Tier) -> u64 {
        self.cost[..=tier.index()].iter().sum()
    }

    /// Returns the queued prompt tokens by tier.
    pub fn prompts(&self) -> [u64; Tier::COUNT] {
        self.prompt
    }

    /// Returns the queued work by tier.
    pub fn costs(&self) -> [u64; Tier::COUNT] {
        self.cost
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.work.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty()
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<Queued> {
        let ids: Vec<RequestId> = self.latest_starts.iter().map(|(_, id)| *id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }
}
