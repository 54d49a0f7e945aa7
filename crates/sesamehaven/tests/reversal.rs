//! No request is refused for lack of room while a gate that could have run it holds
//! queued work of a less urgent tier, although entries and gates have different, stale
//! views of each other.
//!
//! The rule is described in `docs/POLICY.md`.

use std::collections::{BTreeMap, HashMap};

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use sesamehaven::Tier;
use sesamehaven::config::{Objective, PoolKind, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::{Gate, GateConfig, RunOutcome, Step, Verdict, Work};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::Refused;
use sesamehaven::router::{Choice, Job, Router};
use sesamehaven::unit::{Instant, Millis, Tokens};

const GATES: usize = 3;
const ENTRIES: usize = 3;

enum Event {
    Arrive(RequestId),
    Offer(usize, RequestId),
    Accepted(RequestId, Millis),
    Refused(RequestId, Refused),
    Dispatched(RequestId),
    FirstToken(usize, RequestId),
    End(usize, RequestId),
    Ended(RequestId),
    Report(usize),
}

/// Entries and gates that exchange messages with random delays.
struct Simulation {
    rng: ChaCha8Rng,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    names: Vec<EndpointName>,
    gates: Vec<Gate>,
    routers: Vec<Router>,
    jobs: HashMap<RequestId, (usize, Job)>,
    queued: Vec<HashMap<RequestId, Tier>>,
    refused: u32,
    evicted: u32,
    reversals: Vec<String>,
    max_delay_ms: u64,
}

impl Simulation {
    fn new(seed: u64, max_delay_ms: u64) -> Self {
        let names = (0..GATES).map(|i| format!("e{i}").parse());
        let cfg = GateConfig {
            kind: PoolKind::Model,
            queue_requests: 5,
            concurrency: 2,
            reserve_percent: 0,
            preempt: false,
            most_urgent: Tier::MOST_URGENT,
            objective: Objective::default(),
        };
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            count: 0,
            names: names.map(|name| name.expect("a valid name")).collect(),
            gates: (0..GATES).map(|_| Gate::new(cfg.clone())).collect(),
            routers: (0..ENTRIES).map(|_| Router::new(1.0)).collect(),
            jobs: HashMap::new(),
            queued: vec![HashMap::new(); GATES],
            refused: 0,
            evicted: 0,
            reversals: Vec::new(),
            max_delay_ms,
        };
        simulation.prepare();
        simulation
    }

    fn prepare(&mut self) {
        for entry in 0..ENTRIES {
            for (gate, name) in self.gates.iter().zip(&self.names) {
                self.routers[entry].on_report(name, gate.load(Instant(0)), 1, Instant(0));
            }
        }
        for gate in 0..GATES {
            self.at(50, Event::Report(gate));
        }
        for id in 0..400 {
            let job = Job {
                tier: Tier::new(self.rng.random_range(0..4)).expect("a tier"),
                prompt: Tokens(self.rng.random_range(10..400)),
                output: Tokens(20),
                prefixes: SmallVec::new(),
                deadline: Instant(1_000_000),
                suspect: false,
                excluded: SmallVec::new(),
                refused: None,
            };
            let entry = self.rng.random_range(0..ENTRIES);
            self.jobs.insert(RequestId(id), (entry, job));
            let at = self.rng.random_range(0..6_000);
            self.at(at, Event::Arrive(RequestId(id)));
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn send(&mut self, now: Instant, event: Event) {
        let delay = self.rng.random_range(1..=self.max_delay_ms);
        self.at(now.0 + delay, event);
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > 12_000 {
                return;
            }
            self.handle(event, Instant(at));
        }
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrive(id) => self.choose(id, now),
            Event::Offer(gate, id) => self.on_offer(gate, id, now),
            Event::Accepted(id, first_token) => {
                let entry = self.jobs[&id].0;
                self.routers[entry].on_accepted(id, first_token, now);
            }
            Event::Refused(id, refused) => self.on_refused(id, refused, now),
            Event::Dispatched(id) => {
                let entry = self.jobs[&id].0;
                self.routers[entry].on_dispatched(id, now);
            }
            Event::FirstToken(gate, id) => {
                self.gates[gate].on_first_token(id, now);
                self.poll(gate, now);
            }
            Event::End(gate, id) => {
                self.gates[gate].on_end(id, RunOutcome::Completed, now);
                self.send(now, Event::Ended(id));
                self.poll(gate, now);
            }
            Event::Ended(id) => {
                let entry = self.jobs[&id].0;
                self.routers[entry].on_end(id, RunOutcome::Completed, now);
            }
            Event::Report(gate) => {
                let view = self.gates[gate].load(now);
                for router in &mut self.routers {
                    router.on_report(&self.names[gate], view, now.0, now);
                }
                self.at(now.0 + 300, Event::Report(gate));
            }
        }
    }

    fn choose(&mut self, id: RequestId, now: Instant) {
        let draw = self.rng.random();
        let (entry, job) = &self.jobs[&id];
        match self.routers[*entry].choose(job, draw, now) {
            Choice::Offer(name) => {
                let gate = self.names.iter().position(|n| *n == name);
                let gate = gate.expect("a known endpoint");
                self.routers[*entry].on_offer(&name, id, job, now);
                self.send(now, Event::Offer(gate, id));
            }
            Choice::Refuse(refused) => {
                self.refused += 1;
                let tier = job.tier;
                assert!(refused.reason.is_lack_of_capacity(), "{refused:?}");
                self.check(id, tier, now);
            }
        }
    }

    fn check(&mut self, id: RequestId, tier: Tier, now: Instant) {
        for (gate, queued) in self.queued.iter().enumerate() {
            let lower = queued.iter().find(|(_, t)| tier.outranks(**t));
            if let Some((other, lower)) = lower {
                let line = format!(
                    "{id} of tier {tier} refused at {} while gate {gate} queues {other} of tier {lower}",
                    now.0
                );
                self.reversals.push(line);
            }
        }
    }

    fn on_offer(&mut self, gate: usize, id: RequestId, now: Instant) {
        let job = &self.jobs[&id].1;
        let work = Work {
            id,
            tier: job.tier,
            organisation: OrganisationDigest(id.0 as u64 % 5),
            weight: 1,
            prompt: job.prompt,
            output: job.output,
            deadline: job.deadline,
            repeat: Repeat::Idempotent,
            fingerprint: 0,
            suspect: false,
        };
        let tier = job.tier;
        match self.gates[gate].offer(work, now) {
            Verdict::Accepted {
                first_token,
                evicted,
            } => {
                self.queued[gate].insert(id, tier);
                self.send(now, Event::Accepted(id, first_token));
                for (id, refused) in evicted {
                    self.evicted += 1;
                    self.queued[gate].remove(&id);
                    self.send(now, Event::Refused(id, refused));
                }
            }
            Verdict::Refused(refused) => self.send(now, Event::Refused(id, refused)),
        }
        self.poll(gate, now);
    }

    fn on_refused(&mut self, id: RequestId, refused: Refused, now: Instant) {
        let Some((entry, job)) = self.jobs.get_mut(&id) else {
            return;
        };
        let name = self.routers[*entry].endpoint_of(id).cloned();
        self.routers[*entry].on_refused(id, &refused, now);
        job.refused = Some(refused);
        if !refused.reason.is_lack_of_capacity() {
            job.excluded.extend(name);
        }
        self.choose(id, now);
    }

    fn poll(&mut self, gate: usize, now: Instant) {
        for step in self.gates[gate].poll(now) {
            let Step::Dispatch(id) = step else {
                panic!("nothing else is due: {step:?}");
            };
            self.queued[gate].remove(&id);
            self.send(now, Event::Dispatched(id));
            let prefill = self.rng.random_range(20..80);
            let run = self.rng.random_range(100..400);
            self.at(now.0 + prefill, Event::FirstToken(gate, id));
            self.at(now.0 + prefill + run, Event::End(gate, id));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_request_is_refused_while_less_urgent_work_is_queued(seed: u64, max_delay_ms in 1u64..60) {
        let mut simulation = Simulation::new(seed, max_delay_ms);
        simulation.run();
        prop_assert!(simulation.refused > 20, "only {} were refused", simulation.refused);
        prop_assert!(simulation.evicted > 5, "only {} were evicted", simulation.evicted);
        prop_assert!(simulation.reversals.is_empty(), "{:#?}", simulation.reversals);
    }
}
