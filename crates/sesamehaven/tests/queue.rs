//! The queue and its fair shares beside a sorted list and a full scan.

use std::collections::HashMap;

use proptest::prelude::*;

use sesamehaven::Tier;
use sesamehaven::config::Repeat;
use sesamehaven::fair::{Item, Lane, Lanes, OrganisationDigest};
use sesamehaven::id::RequestId;
use sesamehaven::queue::{Queue, Queued};
use sesamehaven::unit::Instant;

const SCALE: u64 = 1_024;

/// The same rules without any index: everything is looked for in a list.
#[derive(Default)]
struct Naive {
    work: Vec<Queued>,
    weights: HashMap<(Tier, OrganisationDigest), u32>,
    starts: HashMap<(Tier, OrganisationDigest), u64>,
    clocks: HashMap<Tier, u64>,
}

impl Naive {
    fn push(&mut self, work: Queued) {
        let share = (work.tier, work.item.organisation);
        let open = self.of(work.tier).any(|w| w.item.organisation == share.1);
        if !open {
            let clock = self.clocks.get(&work.tier).copied().unwrap_or(0);
            let start = self.starts.entry(share).or_insert(0);
            *start = clock.max(*start);
            self.weights.insert(share, work.item.weight);
        }
        self.work.push(work);
    }

    fn of(&self, tier: Tier) -> impl Iterator<Item = &Queued> {
        self.work.iter().filter(move |w| w.tier == tier)
    }

    fn remove(&mut self, id: RequestId) -> Option<Queued> {
        let i = self.work.iter().position(|w| w.item.id == id)?;
        Some(self.work.remove(i))
    }

    fn serve(&mut self, id: RequestId) {
        let Some(work) = self.remove(id) else {
            return;
        };
        let share = (work.tier, work.item.organisation);
        let start = self.starts[&share];
        let clock = self.clocks.entry(work.tier).or_insert(0);
        *clock = start.max(*clock);
        let stretch = work.item.cost * SCALE / u64::from(self.weights[&share]);
        self.starts.insert(share, start + stretch.max(1));
    }

    fn next(&self, tier: Tier, lanes: Lanes) -> Option<RequestId> {
        let allowed = |w: &&Queued| match w.item.lane {
            Lane::Short => lanes.short,
            Lane::Long => lanes.long,
            Lane::Suspect => lanes.suspect,
        };
        let key = |w: &&Queued| {
            let organisation = w.item.organisation;
            let start = self.starts[&(tier, organisation)];
            (start, organisation, w.item.deadline, w.item.seq)
        };
        let next = self.of(tier).filter(allowed).min_by_key(key);
        next.map(|w| w.item.id)
    }

    fn heaviness(&self, tier: Tier, organisation: OrganisationDigest) -> u64 {
        let own = self
            .of(tier)
            .filter(|w| w.item.organisation == organisation);
        let cost: u64 = own.map(|w| w.item.cost).sum();
        cost * SCALE / u64::from(self.weights[&(tier, organisation)])
    }

    fn victim(&self, new: &Queued) -> Option<RequestId> {
        let lowest = self.work.iter().map(|w| w.tier).max()?;
        let key = |w: &&Queued| {
            let organisation = w.item.organisation;
            let heaviness = self.heaviness(lowest, organisation);
            (heaviness, organisation, w.item.deadline, w.item.seq)
        };
        let victim = self.of(lowest).max_by_key(key)?;
        if new.tier < lowest {
            return Some(victim.item.id);
        }
        let (of_new, of_victim) = (new.item.organisation, victim.item.organisation);
        let open = self.of(lowest).any(|w| w.item.organisation == of_new);
        let weight = match open {
            true => self.weights[&(lowest, of_new)],
            false => new.item.weight,
        };
        let same = self.of(lowest).filter(|w| w.item.organisation == of_new);
        let cost: u64 = same.map(|w| w.item.cost).sum::<u64>() + new.item.cost;
        let lighter = cost * SCALE / u64::from(weight) < self.heaviness(lowest, of_victim);
        let gives_way = new.tier == lowest && of_new != of_victim && lighter;
        gives_way.then_some(victim.item.id)
    }

    fn doomed(&self, now: Instant) -> Option<RequestId> {
        let doomed = self.work.iter().filter(|w| w.latest_start < now);
        let first = doomed.min_by_key(|w| (w.latest_start, w.item.id));
        first.map(|w| w.item.id)
    }
}

#[derive(Debug, Clone)]
enum Op {
    Push(Queued),
    Serve(Lanes),
    Remove(usize),
    Replace(Queued),
    Doom(u64),
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
    ) -> Queued {
        let item = Item {
            id: RequestId(0),
            organisation: OrganisationDigest(organisation),
            weight,
            cost,
            deadline: Instant(deadline),
            seq: 0,
            lane,
        };
        Queued {
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
        1 => (0u64..20).prop_map(Op::Doom),
    ]
}

proptest! {
    #[test]
    fn the_queue_does_as_the_naive_one(ops in prop::collection::vec(op(), 1..120)) {
        let (mut queue, mut naive) = (Queue::default(), Naive::default());
        for (seq, op) in (1u64..).zip(ops) {
            let number = |mut work: Queued| {
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
                    let victim = queue.victim(&work);
                    prop_assert_eq!(victim, naive.victim(&work));
                    let Some(id) = victim else { continue };
                    queue.remove(id);
                    naive.remove(id);
                    queue.push(work);
                    naive.push(work);
                }
                Op::Doom(now) => {
                    let doomed = queue.doomed(Instant(now));
                    prop_assert_eq!(doomed, naive.doomed(Instant(now)));
                    doomed.map(|id| (queue.remove(id), naive.remove(id)));
                }
            }
            prop_assert_eq!(queue.len(), naive.work.len());
            prop_assert_eq!(queue.least_urgent(), naive.work.iter().map(|w| w.tier).max());
            let costs = Tier::all().map(|t| naive.of(t).map(|w| w.item.cost).sum::<u64>());
            prop_assert!(queue.costs().into_iter().eq(costs));
        }
    }

    /// Whatever the sizes, organisations that always have work queued get
    /// served in proportion to their weights, but for one request each.
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
            queue.push(Queued {
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
