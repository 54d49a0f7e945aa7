//! The admission queue, compared with a naive model that scans a list.

use std::collections::HashMap;

use proptest::prelude::*;

use sesamehaven::Tier;
use sesamehaven::config::Repeat;
use sesamehaven::fair::{Item, Lane, Lanes, OrganisationDigest};
use sesamehaven::id::RequestId;
use sesamehaven::queue::{Queue, QueuedWork};
use sesamehaven::unit::Instant;

const SCALE: u64 = 1_024;

/// A model of the queue without indices: every operation scans a list.
#[derive(Default)]
struct NaiveQueue {
    work: Vec<QueuedWork>,
    weights: HashMap<(Tier, OrganisationDigest), u32>,
    virtual_times: HashMap<(Tier, OrganisationDigest), u64>,
    clocks: HashMap<Tier, u64>,
}

impl NaiveQueue {
    fn push(&mut self, work: QueuedWork) {
        let key = (work.tier, work.item.organisation);
        let is_active = self.of(work.tier).any(|w| w.item.organisation == key.1);
        if !is_active {
            let clock = self.clocks.get(&work.tier).copied().unwrap_or(0);
            let virtual_time = self.virtual_times.entry(key).or_insert(0);
            *virtual_time = clock.max(*virtual_time);
            self.weights.insert(key, work.item.weight);
        }
        self.work.push(work);
    }

    fn of(&self, tier: Tier) -> impl Iterator<Item = &QueuedWork> {
        self.work.iter().filter(move |w| w.tier == tier)
    }

    fn remove(&mut self, id: RequestId) -> Option<QueuedWork> {
        let i = self.work.iter().position(|w| w.item.id == id)?;
        Some(self.work.remove(i))
    }

    fn serve(&mut self, id: RequestId) {
        let Some(work) = self.remove(id) else {
            return;
        };
        let key = (work.tier, work.item.organisation);
        let virtual_time = self.virtual_times[&key];
        let clock = self.clocks.entry(work.tier).or_insert(0);
        *clock = virtual_time.max(*clock);
        let virtual_duration = work.item.cost * SCALE / u64::from(self.weights[&key]);
        self.virtual_times
            .insert(key, virtual_time + virtual_duration.max(1));
    }

    fn next(&self, tier: Tier, lanes: Lanes) -> Option<RequestId> {
        let is_allowed = |w: &&QueuedWork| match w.item.lane {
            Lane::Short => lanes.short,
            Lane::Long => lanes.long,
            Lane::Suspect => lanes.suspect,
        };
        let key = |w: &&QueuedWork| {
            let organisation = w.item.organisation;
            let virtual_time = self.virtual_times[&(tier, organisation)];
            (virtual_time, organisation, w.item.deadline, w.item.seq)
        };
        let next = self.of(tier).filter(is_allowed).min_by_key(key);
        next.map(|w| w.item.id)
    }

    fn weighted_cost(&self, tier: Tier, organisation: OrganisationDigest) -> u64 {
        let own = self
            .of(tier)
            .filter(|w| w.item.organisation == organisation);
        let cost: u64 = own.map(|w| w.item.cost).sum();
        cost * SCALE / u64::from(self.weights[&(tier, organisation)])
    }

    fn eviction_candidate(&self, new: &QueuedWork) -> Option<RequestId> {
        let least_urgent = self.work.iter().map(|w| w.tier).max()?;
        let key = |w: &&QueuedWork| {
            let organisation = w.item.organisation;
            let weighted_cost = self.weighted_cost(least_urgent, organisation);
            (weighted_cost, organisation, w.item.deadline, w.item.seq)
        };
        let eviction_candidate = self.of(least_urgent).max_by_key(key)?;
        if new.tier < least_urgent {
            return Some(eviction_candidate.item.id);
        }
        let (of_new, of_candidate) = (new.item.organisation, eviction_candidate.item.organisation);
        let is_active = self.of(least_urgent).any(|w| w.item.organisation == of_new);
        let weight = match is_active {
            true => self.weights[&(least_urgent, of_new)],
            false => new.item.weight,
        };
        let same = self
            .of(least_urgent)
            .filter(|w| w.item.organisation == of_new);
        let cost: u64 = same.map(|w| w.item.cost).sum::<u64>() + new.item.cost;
        let is_lighter =
            cost * SCALE / u64::from(weight) < self.weighted_cost(least_urgent, of_candidate);
        let is_evictable = new.tier == least_urgent && of_new != of_candidate && is_lighter;
        is_evictable.then_some(eviction_candidate.item.id)
    }

    fn expired(&self, now: Instant) -> Option<RequestId> {
        let expired = self.work.iter().filter(|w| w.latest_start < now);
        let first = expired.min_by_key(|w| (w.latest_start, w.item.id));
        first.map(|w| w.item.id)
    }
}

#[derive(Debug, Clone)]
enum Op {
    Push(QueuedWork),
    Serve(Lanes),
    Remove(usize),
    Replace(QueuedWork),
    Expire(u64),
}

prop_compose! {
    fn work()(
        tier in 0u8..4,
        organisation in 0u64..5,
        weight in 1u32..4,
        cost in prop_oneof![4 => 1u64..100, 1 => 5_000u64..10_000],
        deadline in 0u64..50,
        slack in 0u64..50,
        lane in prop_oneof![3 => Just(Lane::Short), 1 => Just(Lane::Long), 1 => Just(Lane::Suspect)],
    ) -> QueuedWork {
        let item = Item {
            id: RequestId(0),
            organisation: OrganisationDigest(organisation),
            weight,
            cost,
            deadline: Instant(deadline),
            seq: 0,
            lane,
        };
        QueuedWork {
            tier: Tier::new(tier).expect("tests name tiers that exist"),
            item,
            prompt: cost / 2,
            output: cost - cost / 2,
            repeat: Repeat::Idempotent,
            fingerprint: 0,
            latest_start: Instant(deadline.saturating_sub(slack)),
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let lanes = (any::<bool>(), any::<bool>(), any::<bool>());
    let lanes = lanes.prop_map(|(short, long, suspect)| Lanes {
        short,
        long,
        suspect,
    });
    prop_oneof![
        6 => work().prop_map(Op::Push),
        4 => prop_oneof![2 => Just(Lanes::ALL), 1 => lanes].prop_map(Op::Serve),
        1 => any::<usize>().prop_map(Op::Remove),
        2 => work().prop_map(Op::Replace),
        1 => (0u64..20).prop_map(Op::Expire),
    ]
}

proptest! {
    #[test]
    fn the_queue_behaves_like_the_naive_model(ops in prop::collection::vec(op(), 1..120)) {
        let (mut queue, mut naive) = (Queue::default(), NaiveQueue::default());
        for (seq, op) in (1u64..).zip(ops) {
            let number = |mut work: QueuedWork| {
                work.item.seq = seq;
                work.item.id = RequestId(u128::from(seq));
                work
            };
            match op {
                Op::Push(work) => {
                    queue.push(number(work));
                    naive.push(number(work));
                }
                Op::Serve(lanes) => {
                    let Some(tier) = queue.most_urgent() else { continue };
                    let next = queue.next(tier, lanes);
                    prop_assert_eq!(next, naive.next(tier, lanes));
                    let Some(id) = next else { continue };
                    queue.serve(id);
                    naive.serve(id);
                }
                Op::Remove(i) => {
                    if naive.work.is_empty() { continue }
                    let id = naive.work[i % naive.work.len()].item.id;
                    prop_assert_eq!(queue.remove(id), naive.remove(id));
                }
                Op::Replace(work) => {
                    let work = number(work);
                    let eviction_candidate = queue.eviction_candidate(&work);
                    prop_assert_eq!(eviction_candidate, naive.eviction_candidate(&work));
                    let Some(id) = eviction_candidate else { continue };
                    queue.remove(id);
                    naive.remove(id);
                    queue.push(work);
                    naive.push(work);
                }
                Op::Expire(now) => {
                    let expired = queue.first_expired(Instant(now));
                    prop_assert_eq!(expired, naive.expired(Instant(now)));
                    expired.map(|id| (queue.remove(id), naive.remove(id)));
                }
            }
            prop_assert_eq!(queue.len(), naive.work.len());
            prop_assert_eq!(queue.least_urgent(), naive.work.iter().map(|w| w.tier).max());
            let costs = Tier::all().map(|t| naive.of(t).map(|w| w.item.cost).sum::<u64>());
            prop_assert!(queue.costs().into_iter().eq(costs));
        }
    }

    /// Organisations that always have work queued are served in proportion to their
    /// weights, to within one request each, whatever the request sizes.
    #[test]
    fn backlogged_organisations_share_by_weight(
        costs in prop::collection::vec(1u64..2_000, 3),
        weights in prop::collection::vec(1u32..4, 3),
    ) {
        let mut queue = Queue::default();
        let tier = Tier::MOST_URGENT;
        let mut served = [0u64; 3];
        let mut seq = 0;
        let mut push = |queue: &mut Queue, i: usize| {
            seq += 1;
            let item = Item {
                id: RequestId(seq),
                organisation: OrganisationDigest(i as u64),
                weight: weights[i],
                cost: costs[i],
                deadline: Instant(1_000_000),
                seq: seq as u64,
                lane: Lane::Short,
            };
            queue.push(QueuedWork {
                tier,
                item,
                prompt: 0,
                output: 0,
                repeat: Repeat::Idempotent,
                fingerprint: 0,
                latest_start: Instant(1_000_000),
            });
        };
        for i in [0, 1, 2, 0, 1, 2] {
            push(&mut queue, i);
        }
        for _ in 0..400 {
            let id = queue.next(tier, Lanes::ALL).unwrap();
            let work = queue.serve(id).unwrap();
            let i = work.item.organisation.0 as usize;
            served[i] += work.item.cost;
            push(&mut queue, i);
        }
        let norm = |i: usize| served[i] as f64 / f64::from(weights[i]);
        let step = |i: usize| costs[i] as f64 / f64::from(weights[i]) + 1.0;
        for (i, j) in [(0, 1), (1, 2), (0, 2)] {
            prop_assert!((norm(i) - norm(j)).abs() <= step(i) + step(j));
        }
    }
}
