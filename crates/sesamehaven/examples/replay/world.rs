//! Callers, fronts and engines in steps of a millisecond.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::backlog::Ticket;
use sesamehaven::digest::hash_of;
use sesamehaven::dispatcher::{Dispatcher, Step, Steps};
use sesamehaven::placement::{DispatchOutcome, ListedEndpoint};
use sesamehaven::unit::{Instant, Millis};

use crate::caller::{Request, work};
use crate::engine::{Engine, Id, Progress, Prompt};
use crate::scene::{KINDS, Scene, Trouble};
use crate::tally::Tally;

/// How unevenly callers are spread over fronts; one is evenly.
const UNEVENNESS: f64 = 1.5;
/// The requests that come to one front together.
const CLUMP: usize = 3;
/// How often a front looks at what waits.
const TICK_MS: u64 = 20;
/// The endpoints that a request is offered to without running.
const REJECTIONS_MAX: usize = 3;
/// When callers that no endpoint took come back, in milliseconds.
const REJECTED_RETRY_AFTER: Millis = Millis(300);
/// The part of the time left for which callers wait as they are told.
const PATIENCE_PART: u64 = 3;
/// How often impatient callers come back, and others.
pub(crate) const RETRIES: (u32, u32) = (4, 1);
/// The speeds of the engines, in equal parts: how long a step takes, against an ordinary one.
const FACTORS: [f64; 3] = [0.6, 1.7, 1.7];
/// How long an endpoint's place stands empty until the next request has come to it, in milliseconds.
const GAP_MS: u64 = 8;

/// How requests find an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The decisions of the library.
    Sesamehaven,
    /// The engine with the least requests, as far as a front knows.
    LeastOutstanding,
    /// One engine after the other.
    RoundRobin,
}

/// A front, with what it runs at each engine and what it knows of the others.
pub(crate) struct Front {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) outstanding: Vec<u32>,
    pub(crate) peers: Vec<u32>,
    pub(crate) is_up: bool,
    pub(crate) turn: usize,
}

/// What happens to a request at a time that is known before.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Due {
    ComeBack,
    Leave,
    /// The front learns that the answer is whole.
    Free,
}

/// A scene while it plays.
pub(crate) struct World {
    pub(crate) scene: Scene,
    pub(crate) policy: Policy,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) names: Vec<SmolStr>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) fronts: Vec<Front>,
    pub(crate) requests: HashMap<Id, Request>,
    pub(crate) due: BTreeMap<(u64, Id), Due>,
    pub(crate) steps: VecDeque<(usize, Step)>,
    /// The size from which on a request is among the largest tenth of its kind.
    pub(crate) large_from: [u64; KINDS.len()],
    pub(crate) count: usize,
    pub(crate) now: u64,
    pub(crate) tally: Tally,
}

impl World {
    pub(crate) fn new(scene: Scene, policy: Policy) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(scene.seed);
        let engines = (0..scene.engines)
            .map(|i| Engine::new(scene.slots, scene.memory, FACTORS[i % FACTORS.len()]))
            .collect();
        let names: Vec<SmolStr> = (0..scene.engines)
            .map(|i| format_smolstr!("e{i}"))
            .collect();
        let fronts = (0..scene.fronts).map(|i| Front {
            dispatcher: Dispatcher::new(hash_of(i.to_string())),
            outstanding: vec![0; scene.engines],
            peers: vec![0; scene.engines],
            is_up: true,
            turn: i,
        });
        let mut world = World {
            policy,
            rng,
            names,
            engines,
            fronts: fronts.collect(),
            requests: HashMap::new(),
            due: BTreeMap::new(),
            steps: VecDeque::new(),
            large_from: [0; KINDS.len()],
            count: 0,
            now: 0,
            tally: Tally::default(),
            scene,
        };
        world.large_from = std::array::from_fn(|kind| world.find_large(kind));
        world.list();
        world
    }

    pub(crate) fn run(mut self) -> Tally {
        let drain = KINDS.iter().map(|k| k.patience_ms).max().unwrap_or(0);
        while self.now < self.scene.span_ms + drain {
            self.now += 1;
            self.disturb();
            self.arrive();
            self.on_due();
            self.compute();
            if self.now.is_multiple_of(self.scene.digest_ms) {
                self.exchange();
            }
            if self.now.is_multiple_of(TICK_MS) {
                for front in 0..self.fronts.len() {
                    let now = Instant(self.now);
                    let steps = self.fronts[front].dispatcher.on_tick(now);
                    self.carry_out(front, steps);
                }
            }
            if self.requests.is_empty() && self.now > self.scene.span_ms {
                break;
            }
        }
        for engine in &self.engines {
            self.tally.read += engine.read;
            self.tally.wasted += engine.read_again;
        }
        self.tally
    }

    /// Tells all fronts which engines there are.
    pub(crate) fn list(&mut self) {
        let listed: Vec<ListedEndpoint> = self
            .names
            .iter()
            .zip(&self.engines)
            .map(|(id, engine)| ListedEndpoint {
                id: id.clone(),
                slots: engine.slots as u32,
                is_near: true,
                is_ready: engine.is_ready,
            })
            .collect();
        for front in &mut self.fronts {
            front.dispatcher.set_endpoints(listed.clone());
        }
    }

    fn arrive(&mut self) {
        if self.now > self.scene.span_ms {
            return;
        }
        for (kind, cfg) in KINDS.iter().enumerate() {
            let mut mean = cfg.per_s * self.scene.load / 1_000.0 / CLUMP as f64;
            let mut hot = 0.0;
            for trouble in self.active() {
                match trouble {
                    Trouble::Burst { kind: of, x } if of.is_none_or(|of| of == kind) => mean *= x,
                    Trouble::HotOrganisation { x } => {
                        hot = mean * x / self.scene.tiers.len() as f64;
                    }
                    _ => {}
                }
            }
            for (mut mean, is_hot) in [(mean, false), (hot, true)] {
                while mean > 0.0 {
                    if self.rng.random_bool(mean.min(1.0)) {
                        let front = self.pick_front();
                        (0..CLUMP).for_each(|_| self.send(kind, is_hot, front));
                    }
                    mean -= 1.0;
                }
            }
        }
    }

    fn pick_front(&mut self) -> usize {
        let up = (0..self.fronts.len()).filter(|f| self.fronts[*f].is_up);
        let up: Vec<usize> = up.collect();
        // Callers are spread by hash, so some fronts have several times the load of others.
        let at = self.rng.random::<f64>().powf(UNEVENNESS) * up.len() as f64;
        up[at as usize]
    }

    pub(crate) fn reach_front(&mut self, id: Id, front: usize) {
        let now = self.now;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        (req.front, req.sent) = (front, now);
        req.tried.clear();
        self.place(id);
        self.settle();
    }

    fn place(&mut self, id: Id) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let front = req.front;
        if self.policy == Policy::Sesamehaven {
            let work = work(req);
            let now = Instant(self.now);
            let steps = self.fronts[front]
                .dispatcher
                .on_arrival(Ticket(id as u64), work, now);
            self.steps.extend(steps.into_iter().map(|s| (front, s)));
            return;
        }
        let tried = req.tried.clone();
        let state = &mut self.fronts[front];
        state.turn += 1;
        let names = &self.names;
        let count = names.len();
        let chosen = (0..count)
            .map(|i| (i + state.turn) % count)
            .filter(|i| !tried.contains(&names[*i]))
            .min_by_key(|i| match self.policy {
                Policy::RoundRobin => 0,
                _ => state.outstanding[*i] + state.peers[*i],
            });
        let ticket = Ticket(id as u64);
        let step = match chosen {
            Some(engine) => Step::Start {
                ticket,
                endpoint: names[engine].clone(),
            },
            None => refused(ticket),
        };
        self.steps.push_back((front, step));
    }

    fn carry_out(&mut self, front: usize, steps: Steps) {
        self.steps.extend(steps.into_iter().map(|s| (front, s)));
        self.settle();
    }

    fn settle(&mut self) {
        while let Some((front, step)) = self.steps.pop_front() {
            match step {
                Step::Start { ticket, endpoint } => self.dispatch(front, ticket, &endpoint),
                Step::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => self.refuse(ticket, retry_after),
            }
        }
    }

    fn dispatch(&mut self, front: usize, ticket: Ticket, endpoint: &SmolStr) {
        let id = ticket.0 as Id;
        let now = Instant(self.now);
        let engine = self.names.iter().position(|n| n == endpoint);
        let (Some(engine), Some(req)) = (engine, self.requests.get_mut(&id)) else {
            return;
        };
        let prompt = Prompt {
            id,
            session: req.session,
            tokens: req.prompt + req.made,
            events: req.output - req.made,
        };
        req.tried.push(endpoint.clone());
        let is_up = self.engines[engine].is_up;
        if is_up && self.engines[engine].submit(prompt, self.now as f64) {
            req.engine = Some(engine);
            req.runs += 1;
            self.fronts[front].outstanding[engine] += 1;
            return;
        }
        let rejections = req.tried.len();
        let dispatcher = &mut self.fronts[front].dispatcher;
        let steps = match is_up {
            true => dispatcher.on_full(ticket, now),
            false => dispatcher.on_unreachable(ticket, now),
        };
        self.steps.extend(steps.into_iter().map(|s| (front, s)));
        match rejections > REJECTIONS_MAX {
            true => self.refuse(ticket, REJECTED_RETRY_AFTER),
            false => self.place(id),
        }
    }

    /// Tells a caller that its request has not run; it comes back once.
    fn refuse(&mut self, ticket: Ticket, retry_after: Millis) {
        let id = ticket.0 as Id;
        let taken: usize = self.engines.iter().map(|e| e.taken()).sum();
        let slots: usize = self.engines.iter().map(|e| e.slots).sum();
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        self.tally.refused(req, self.now, taken * 2 < slots);
        let left = req.until.saturating_sub(self.now);
        let wait = match req.retries {
            0 => left,
            n if n > RETRIES.1 => 1,
            _ => retry_after.0.min(left / PATIENCE_PART),
        };
        if wait >= left || req.runs > 0 {
            if let Some(req) = self.requests.remove(&id) {
                self.tally.fail(&req);
            }
            return;
        }
        req.retries -= 1;
        self.due.insert((self.now + wait.max(1), id), Due::ComeBack);
    }

    fn on_due(&mut self) {
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= self.now
        {
            let ((_, id), due) = entry.remove_entry();
            match due {
                Due::ComeBack => {
                    let front = self.pick_front();
                    self.reach_front(id, front);
                }
                Due::Free => {
                    self.stop_run(id, DispatchOutcome::Success);
                    if let Some(req) = self.requests.remove(&id) {
                        self.tally.serve(&req);
                    }
                }
                Due::Leave => {
                    let Some(req) = self.requests.get(&id) else {
                        continue;
                    };
                    let front = req.front;
                    self.fronts[front]
                        .dispatcher
                        .on_caller_gone(Ticket(id as u64));
                    self.stop_run(id, DispatchOutcome::Neutral);
                    if let Some(req) = self.requests.remove(&id) {
                        self.tally.fail(&req);
                    }
                }
            }
        }
    }

    /// Ends what a request runs, and frees its place.
    pub(crate) fn stop_run(&mut self, id: Id, ended: DispatchOutcome) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(engine) = req.engine.take() else {
            return;
        };
        let front = req.front;
        self.engines[engine].cancel(id);
        let state = &mut self.fronts[front];
        state.outstanding[engine] -= 1;
        let now = Instant(self.now);
        let steps = state.dispatcher.on_end(Ticket(id as u64), ended, now);
        self.carry_out(front, steps);
    }

    /// An engine broke off a request, which goes on elsewhere once.
    pub(crate) fn break_off(&mut self, id: Id) {
        self.stop_run(id, DispatchOutcome::Failure);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.runs < 2 {
            self.place(id);
            return self.settle();
        }
        if let Some(req) = self.requests.remove(&id) {
            self.tally.fail(&req);
        }
    }

    fn compute(&mut self) {
        let mut progress = Vec::new();
        for engine in 0..self.engines.len() {
            progress.clear();
            self.engines[engine].advance(self.now as f64, &mut progress);
            for step in &progress {
                match *step {
                    Progress::Event(id) => self.on_event(engine, id),
                    Progress::Ended(id) => {
                        self.due.insert((self.now + GAP_MS, id), Due::Free);
                    }
                }
            }
        }
    }

    fn on_event(&mut self, engine: usize, id: Id) {
        let failing = self.engines[engine].failing;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.made += 1;
        if req.made == 1 && failing > 0.0 && self.rng.random_bool(failing) {
            req.made = 0;
            return self.break_off(id);
        }
        let kind = &KINDS[req.kind];
        match req.first_event {
            None => {
                req.first_event = Some(self.now);
                req.is_late |= self.now - req.first_sent > kind.objective_ms;
            }
            Some(_) => req.is_late |= self.now - req.last_event > kind.pause_ms,
        }
        req.last_event = self.now;
    }

    /// Tells each front what the others run.
    fn exchange(&mut self) {
        let count = self.engines.len();
        let all: Vec<u32> = (0..count)
            .map(|e| self.fronts.iter().map(|f| f.outstanding[e]).sum())
            .collect();
        let waiting: Vec<usize> = self.fronts.iter().map(|f| f.dispatcher.waiting()).collect();
        let all_waiting: usize = waiting.iter().sum();
        let others = self.fronts.len() - 1;
        let hashes: Vec<u64> = self.names.iter().map(hash_of).collect();
        for (front, own) in self.fronts.iter_mut().zip(waiting) {
            front.peers = (0..count).map(|e| all[e] - front.outstanding[e]).collect();
            let peers = &front.peers;
            let peers_waiting = (all_waiting - own) as u32;
            front
                .dispatcher
                .set_peers(others, peers_waiting, Instant(self.now), |hash| {
                    let at = hashes.iter().position(|h| *h == hash);
                    at.map_or(0, |at| peers[at])
                });
        }
    }
}

fn refused(ticket: Ticket) -> Step {
    Step::Refuse {
        ticket,
        reason: sesamehaven::dispatcher::Refusal::NoEndpoint,
        retry_after: REJECTED_RETRY_AFTER,
    }
}
