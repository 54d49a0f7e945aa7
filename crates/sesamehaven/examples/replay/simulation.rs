//! The simulation of callers, fronts and engines in steps of one millisecond.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::backlog::Ticket;
use sesamehaven::digest::hash_of;
use sesamehaven::dispatcher::{Dispatcher, Step, Steps};
use sesamehaven::placement::{DispatchOutcome, DispatchedLoad, ListedEndpoint};
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::{Instant, Millis};

use crate::caller::{Request, work};
use crate::engine::{Engine, Id, Progress, Prompt};
use crate::reporting::Reporting;
use crate::scenario::{CLASSES, Disturbance, REPORTED_FACTORS, Scenario};
use crate::tally::Tally;

/// The exponent of the distribution of callers over fronts; 1 is uniform.
const LOAD_SKEW: f64 = 1.5;
/// The number of requests that arrive at one front together.
const BATCH_SIZE: usize = 3;
/// The interval at which a front re-examines its waiting requests.
const TICK_MS: u64 = 20;
/// The maximum number of endpoints that may reject a request before it is refused.
const MAX_REJECTIONS: usize = 3;
/// The retry delay of callers whose request was rejected by all endpoints.
const REJECTED_RETRY_AFTER: Millis = Millis(300);
/// The divisor of the remaining timeout that bounds how long callers wait before a retry.
const MAX_WAIT_DIVISOR: u64 = 3;
/// The number of retries of impatient callers, and of others.
pub(crate) const RETRIES: (u32, u32) = (4, 1);
/// The step times of the engines, in equal parts, relative to a typical engine.
const TIME_FACTORS: [f64; 3] = [0.6, 1.7, 1.7];
/// The time between the end of a request and the start of the next one in a slot, in
/// milliseconds.
const SLOT_GAP_MS: u64 = 8;

/// The policy by which requests are assigned to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The decisions of this library.
    Sesamehaven,
    /// The same, ignoring what engines report about their load.
    IgnoringReports,
    /// The engine with the fewest outstanding requests that the front is aware of.
    LeastOutstanding,
    /// One engine after the other.
    RoundRobin,
}

/// A front, with its requests at each engine and its counts of the other fronts.
pub(crate) struct Front {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) outstanding: Vec<u32>,
    pub(crate) peers: Vec<u32>,
    pub(crate) is_up: bool,
    pub(crate) next_engine: usize,
}

/// A scheduled event of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Due {
    Retry,
    Disconnect,
    /// The front receives the end of the response.
    Complete,
}

/// A running simulation of a scenario.
pub(crate) struct Simulation {
    pub(crate) scenario: Scenario,
    pub(crate) policy: Policy,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) names: Vec<SmolStr>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) fronts: Vec<Front>,
    pub(crate) requests: HashMap<Id, Request>,
    pub(crate) due: BTreeMap<(u64, Id), Due>,
    pub(crate) steps: VecDeque<(usize, Step)>,
    /// The size above which a request is among the largest tenth of its class.
    pub(crate) large_threshold: [u64; CLASSES.len()],
    pub(crate) next_id: usize,
    pub(crate) now: u64,
    pub(crate) tally: Tally,
    pub(crate) reports: Reporting,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario, policy: Policy) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let factors = match scenario.reports {
            Some(_) => &REPORTED_FACTORS[..],
            None => &TIME_FACTORS[..],
        };
        let engines = (0..scenario.engines)
            .map(|i| Engine::new(scenario.slots, scenario.memory, factors[i % factors.len()]))
            .collect();
        let names: Vec<SmolStr> = (0..scenario.engines)
            .map(|i| format_smolstr!("e{i}"))
            .collect();
        let fronts = (0..scenario.fronts).map(|i| Front {
            dispatcher: Dispatcher::new(hash_of(i.to_string())),
            outstanding: vec![0; scenario.engines],
            peers: vec![0; scenario.engines],
            is_up: true,
            next_engine: i,
        });
        let mut simulation = Simulation {
            policy,
            rng,
            names,
            engines,
            fronts: fronts.collect(),
            requests: HashMap::new(),
            due: BTreeMap::new(),
            steps: VecDeque::new(),
            large_threshold: [0; CLASSES.len()],
            next_id: 0,
            now: 0,
            tally: Tally::default(),
            reports: Reporting::new(scenario.seed),
            scenario,
        };
        simulation.large_threshold =
            std::array::from_fn(|class| simulation.sample_large_threshold(class));
        simulation.update_listing();
        simulation
    }

    pub(crate) fn run(mut self) -> Tally {
        let drain = CLASSES.iter().map(|k| k.timeout_ms).max().unwrap_or(0);
        while self.now < self.scenario.duration_ms + drain {
            self.now += 1;
            self.apply_disturbances();
            self.fluctuate();
            self.deliver_reports();
            self.arrive();
            self.on_due();
            self.advance_engines();
            if self.now.is_multiple_of(self.scenario.digest_ms) {
                self.exchange();
            }
            if self.now.is_multiple_of(TICK_MS) {
                for front in 0..self.fronts.len() {
                    let now = Instant(self.now);
                    let steps = self.fronts[front].dispatcher.on_tick(now);
                    self.execute(front, steps);
                }
            }
            if self.requests.is_empty() && self.now > self.scenario.duration_ms {
                break;
            }
        }
        for engine in &self.engines {
            self.tally.prefilled += engine.prefilled;
            self.tally.wasted += engine.prefilled_again;
        }
        self.tally
    }

    /// Updates the endpoint list of all fronts.
    pub(crate) fn update_listing(&mut self) {
        let listed: Vec<ListedEndpoint> = self
            .names
            .iter()
            .zip(&self.engines)
            .map(|(id, engine)| ListedEndpoint {
                version: PoolVersion::default(),
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
        if self.now > self.scenario.duration_ms {
            return;
        }
        for (class, cfg) in CLASSES.iter().enumerate() {
            let mut mean = cfg.per_s * self.scenario.load / 1_000.0 / BATCH_SIZE as f64;
            let mut hot = 0.0;
            for disturbance in self.active_disturbances() {
                match disturbance {
                    Disturbance::Burst { class: of, factor } if of.is_none_or(|of| of == class) => {
                        mean *= factor
                    }
                    Disturbance::HotOrganisation { factor } => {
                        hot = mean * factor / self.scenario.tiers.len() as f64;
                    }
                    _ => {}
                }
            }
            for (mut mean, is_hot) in [(mean, false), (hot, true)] {
                while mean > 0.0 {
                    if self.rng.random_bool(mean.min(1.0)) {
                        let front = self.pick_front();
                        (0..BATCH_SIZE).for_each(|_| self.send(class, is_hot, front));
                    }
                    mean -= 1.0;
                }
            }
        }
    }

    fn pick_front(&mut self) -> usize {
        let up = (0..self.fronts.len()).filter(|f| self.fronts[*f].is_up);
        let up: Vec<usize> = up.collect();
        // Callers are distributed by hash, so some fronts have several times the load of others.
        let at = self.rng.random::<f64>().powf(LOAD_SKEW) * up.len() as f64;
        up[at as usize]
    }

    pub(crate) fn arrive_at_front(&mut self, id: Id, front: usize) {
        let now = self.now;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        (req.front, req.sent) = (front, now);
        req.tried.clear();
        self.assign(id);
        self.execute_pending();
    }

    fn assign(&mut self, id: Id) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let front = req.front;
        if matches!(self.policy, Policy::Sesamehaven | Policy::IgnoringReports) {
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
        state.next_engine += 1;
        let names = &self.names;
        let count = names.len();
        let chosen = (0..count)
            .map(|i| (i + state.next_engine) % count)
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

    fn execute(&mut self, front: usize, steps: Steps) {
        self.steps.extend(steps.into_iter().map(|s| (front, s)));
        self.execute_pending();
    }

    fn execute_pending(&mut self) {
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
            tokens: req.prompt + req.events_received,
            events: req.output - req.events_received,
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
        self.report(front, engine);
        let dispatcher = &mut self.fronts[front].dispatcher;
        let steps = match is_up {
            true => dispatcher.on_full(ticket, now),
            false => dispatcher.on_unreachable(ticket, now),
        };
        self.steps.extend(steps.into_iter().map(|s| (front, s)));
        match rejections > MAX_REJECTIONS {
            true => self.refuse(ticket, REJECTED_RETRY_AFTER),
            false => self.assign(id),
        }
    }

    /// Refuses a request, which its caller then retries if it has time and retries left.
    fn refuse(&mut self, ticket: Ticket, retry_after: Millis) {
        let id = ticket.0 as Id;
        let occupied: usize = self.engines.iter().map(|e| e.occupied()).sum();
        let slots: usize = self.engines.iter().map(|e| e.slots).sum();
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        self.tally.refused(req, self.now, occupied * 2 < slots);
        let remaining = req.deadline.saturating_sub(self.now);
        let wait = match req.retries {
            0 => remaining,
            n if n > RETRIES.1 => 1,
            _ => retry_after.0.min(remaining / MAX_WAIT_DIVISOR),
        };
        if wait >= remaining || req.runs > 0 {
            if let Some(req) = self.requests.remove(&id) {
                self.tally.fail(&req);
            }
            return;
        }
        req.retries -= 1;
        self.due.insert((self.now + wait.max(1), id), Due::Retry);
    }

    fn on_due(&mut self) {
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= self.now
        {
            let ((_, id), due) = entry.remove_entry();
            match due {
                Due::Retry => {
                    let front = self.pick_front();
                    self.arrive_at_front(id, front);
                }
                Due::Complete => {
                    self.stop_run(id, DispatchOutcome::Success);
                    if let Some(req) = self.requests.remove(&id) {
                        self.tally.serve(&req);
                    }
                }
                Due::Disconnect => {
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

    /// Ends the run of a request and frees its slot.
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
        self.execute(front, steps);
    }

    /// Handles an interrupted request, which is rerun once elsewhere.
    pub(crate) fn on_interrupted(&mut self, id: Id) {
        self.stop_run(id, DispatchOutcome::Failure);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.runs < 2 {
            self.assign(id);
            return self.execute_pending();
        }
        if let Some(req) = self.requests.remove(&id) {
            self.tally.fail(&req);
        }
    }

    fn advance_engines(&mut self) {
        let mut progress = Vec::new();
        for engine in 0..self.engines.len() {
            progress.clear();
            self.engines[engine].advance(self.now as f64, &mut progress);
            for step in &progress {
                match *step {
                    Progress::Event(id) => self.on_event(engine, id),
                    Progress::Ended(id) => {
                        self.due.insert((self.now + SLOT_GAP_MS, id), Due::Complete);
                    }
                }
            }
        }
    }

    fn on_event(&mut self, engine: usize, id: Id) {
        let failure_share = self.engines[engine].failure_share;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.events_received += 1;
        if req.events_received == 1 && failure_share > 0.0 && self.rng.random_bool(failure_share) {
            req.events_received = 0;
            return self.on_interrupted(id);
        }
        let class = &CLASSES[req.class];
        match req.first_event {
            None => {
                req.first_event = Some(self.now);
                req.is_late |= self.now - req.first_sent > class.objective_ms;
                self.fronts[req.front]
                    .dispatcher
                    .on_first_event(Ticket(id as u64), Instant(self.now));
            }
            Some(_) => req.is_late |= self.now - req.last_event > class.max_gap_ms,
        }
        self.fronts[req.front]
            .dispatcher
            .on_event(Ticket(id as u64), Instant(self.now));
        req.last_event = self.now;
        let (front, is_first) = (req.front, req.first_event == Some(self.now));
        if is_first {
            self.report(front, engine);
        }
    }

    /// Updates each front's counts of the others.
    fn exchange(&mut self) {
        if self
            .active_disturbances()
            .any(|d| matches!(d, Disturbance::FrontsApart))
        {
            for front in &mut self.fronts {
                front.peers.fill(0);
                front
                    .dispatcher
                    .set_peers(0, 0, Instant(self.now), |_| DispatchedLoad::default());
            }
            return;
        }
        let count = self.engines.len();
        let all: Vec<u32> = (0..count)
            .map(|e| self.fronts.iter().map(|f| f.outstanding[e]).sum())
            .collect();
        let waiting: Vec<usize> = self.fronts.iter().map(|f| f.dispatcher.waiting()).collect();
        let mut prefill: HashMap<u64, u32> = HashMap::new();
        for (hash, load) in self.fronts.iter().flat_map(|f| f.dispatcher.dispatched()) {
            *prefill.entry(hash).or_default() += load.prefill_ms;
        }
        let all_waiting: usize = waiting.iter().sum();
        let others = self.fronts.len() - 1;
        let hashes: Vec<u64> = self.names.iter().map(hash_of).collect();
        for (front, own) in self.fronts.iter_mut().zip(waiting) {
            front.peers = (0..count).map(|e| all[e] - front.outstanding[e]).collect();
            let peers = &front.peers;
            let peers_waiting = (all_waiting - own) as u32;
            let own: HashMap<u64, DispatchedLoad> = front.dispatcher.dispatched().collect();
            let of_others = |hash| {
                let at = hashes.iter().position(|h| *h == hash);
                let all_ms = prefill.get(&hash).copied().unwrap_or_default();
                let own_ms = own.get(&hash).map_or(0, |load| load.prefill_ms);
                DispatchedLoad {
                    running: at.map_or(0, |at| peers[at]),
                    prefill_ms: all_ms - own_ms,
                }
            };
            let now = Instant(self.now);
            front
                .dispatcher
                .set_peers(others, peers_waiting, now, of_others);
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
