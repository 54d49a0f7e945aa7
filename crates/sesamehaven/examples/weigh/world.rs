//! Entries, gates and engines in steps of a few milliseconds.

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use sesamehaven::Tier;
use sesamehaven::bloom::Bloom;
use sesamehaven::cache_view::CacheView;
use sesamehaven::config::{Objective, PoolKind, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::{Ended, Gate, GateConfig, LoadView, Step, Verdict, Work};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::Refused;
use sesamehaven::prefix::{PrefixIndex, covered_tokens};
use sesamehaven::route::{Choice, Job, Route};
use sesamehaven::unit::{Instant, Tokens};

use crate::engine::{CacheEvent, Engine, Speed};

const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 200;

/// How requests find an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Sesamehaven,
    RoundRobin,
    LeastOutstanding,
}

/// One case of the measurement.
#[derive(Debug, Clone)]
pub(crate) struct Case {
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
    pub(crate) entries: usize,
    pub(crate) engines: Vec<Speed>,
    pub(crate) span_ms: u64,
    pub(crate) requests_per_s: f64,
    pub(crate) burst: bool,
    pub(crate) flood: bool,
    pub(crate) slow_engine: bool,
    pub(crate) long_share: f64,
    pub(crate) groups: u64,
    pub(crate) report_lag_ms: u64,
    pub(crate) event_lag_ms: u64,
    pub(crate) event_loss: f64,
    pub(crate) summary_bytes: usize,
    pub(crate) from_dispatches: bool,
    pub(crate) prefix_weight: f64,
    pub(crate) reserve_percent: u8,
    pub(crate) preempt: bool,
}

/// What came of the requests of one tier.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    pub(crate) late: u32,
    pub(crate) first_token: Vec<u64>,
    pub(crate) between: Vec<f64>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) tiers: [Tally; 4],
    pub(crate) small: Tally,
    pub(crate) prompts: u64,
    pub(crate) prefilled: u64,
    pub(crate) wasted: u64,
    pub(crate) offers: u64,
    pub(crate) reversals: u32,
    pub(crate) summary_bytes: u64,
}

#[derive(Debug, Clone)]
struct Request {
    job: Job,
    entry: usize,
    organisation: u64,
    arrived: Instant,
    engine: usize,
    first: Option<Instant>,
    fresh: u64,
}

struct Report {
    due: u64,
    engine: usize,
    view: LoadView,
    summary: Bloom,
}

pub(crate) struct World<P> {
    case: Case,
    rng: ChaCha8Rng,
    names: Vec<EndpointName>,
    engines: Vec<Engine>,
    gates: Vec<Gate>,
    views: Vec<CacheView>,
    events: VecDeque<(u64, usize, CacheEvent)>,
    reports: VecDeque<Report>,
    routes: Vec<Route<P>>,
    requests: HashMap<RequestId, Request>,
    outstanding: Vec<Vec<u32>>,
    count: u32,
    seq: u64,
    now: Instant,
    pub(crate) outcome: Outcome,
}

const DEADLINES_MS: [u64; 4] = [8_000, 12_000, 20_000, 30_000];

impl<P: PrefixIndex> World<P> {
    pub(crate) fn new(case: Case, knowledge: impl Fn() -> P) -> Self {
        let names = (0..case.engines.len()).map(|i| format!("e{i}").parse());
        let cfg = GateConfig {
            kind: PoolKind::Model,
            queue_requests: 64,
            concurrency: 64,
            reserve_percent: case.reserve_percent,
            preempt: case.preempt,
            urgent: Tier::MOST_URGENT,
            objective: Objective::default(),
        };
        let routes =
            (0..case.entries).map(|_| Route::with_knowledge(case.prefix_weight, knowledge()));
        World {
            rng: ChaCha8Rng::seed_from_u64(case.seed),
            names: names.map(|n| n.expect("a valid name")).collect(),
            engines: case.engines.iter().map(|s| Engine::new(*s)).collect(),
            gates: case
                .engines
                .iter()
                .map(|_| Gate::new(cfg.clone()))
                .collect(),
            views: case.engines.iter().map(|_| CacheView::new(2_048)).collect(),
            events: VecDeque::new(),
            reports: VecDeque::new(),
            routes: routes.collect(),
            requests: HashMap::new(),
            outstanding: vec![vec![0; case.engines.len()]; case.entries],
            count: 0,
            seq: 0,
            now: Instant(0),
            outcome: Outcome::default(),
            case,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let drain = 40_000;
        while self.now.0 < self.case.span_ms + drain {
            self.now.0 += STEP_MS;
            self.report();
            self.arrive();
            for engine in 0..self.engines.len() {
                self.poll(engine);
                self.step(engine);
            }
            if self.requests.is_empty() && self.now.0 > self.case.span_ms {
                break;
            }
        }
        self.outcome.prefilled = self.engines.iter().map(|e| e.prefilled).sum();
        let left = std::mem::take(&mut self.requests);
        left.into_values().for_each(|r| self.lose(&r));
        self.outcome
    }

    /// Passes on reports after their lag, and cache events after theirs.
    fn report(&mut self) {
        let now = self.now.0;
        while self.events.front().is_some_and(|(due, _, _)| *due <= now) {
            let Some((_, engine, event)) = self.events.pop_front() else {
                return;
            };
            match event {
                CacheEvent::Add(prefix) => {
                    self.views[engine].add(&[prefix]);
                }
                CacheEvent::Evict(prefix) => {
                    self.views[engine].evict(prefix);
                }
            }
        }
        if now.is_multiple_of(REPORT_MS) || now == STEP_MS {
            for engine in 0..self.engines.len() {
                let first = now == STEP_MS;
                let due = if first {
                    now
                } else {
                    now + self.case.report_lag_ms
                };
                let view = self.gates[engine].load(self.now);
                let summary = self.views[engine].summary(self.case.summary_bytes);
                self.reports.push_back(Report {
                    due,
                    engine,
                    view,
                    summary,
                });
            }
        }
        while self.reports.front().is_some_and(|r| r.due <= now) {
            let Some(report) = self.reports.pop_front() else {
                return;
            };
            self.seq += 1;
            let name = &self.names[report.engine];
            for route in &mut self.routes {
                route.on_report(name, report.view, self.seq, self.now);
                if self.seq.is_multiple_of(5) {
                    route.on_prefixes(name, report.summary.as_bytes());
                    self.outcome.summary_bytes += self.case.summary_bytes as u64;
                }
            }
        }
    }

    fn arrive(&mut self) {
        if self.now.0 > self.case.span_ms {
            return;
        }
        let (from, to) = (self.case.span_ms / 3, self.case.span_ms / 3 + 10_000);
        let during = (from..to).contains(&self.now.0);
        let factor = if self.case.burst && during { 3.0 } else { 1.0 };
        if self.case.slow_engine {
            self.engines[0].factor = if self.now.0 > from { 0.25 } else { 1.0 };
        }
        let mut mean = self.case.requests_per_s * factor * STEP_MS as f64 / 1_000.0;
        while mean > 0.0 {
            if self.rng.random_bool(mean.min(1.0)) {
                self.submit();
            }
            mean -= 1.0;
        }
    }

    fn submit(&mut self) {
        let tier = [0, 0, 0, 1, 1, 2, 2, 3, 3, 3][self.rng.random_range(0..10)];
        let long = self.rng.random_bool(self.case.long_share);
        let group = (self.case.groups as f64 * self.rng.random::<f64>().powi(3)) as u64;
        let shared_tokens = covered_tokens(1 + group as usize % 3);
        let own_tokens = self.rng.random_range(50..300);
        let prompt = if long {
            20_000
        } else {
            shared_tokens + own_tokens
        };
        // Prefixes up to the shared length are those of the group, the others the request's own.
        self.count += 1;
        let own = u64::from(self.count) << 32;
        let digest = |i: usize| {
            let shared = !long && covered_tokens(i) <= shared_tokens;
            let of = if shared { group * 16 } else { own };
            (of + i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        };
        let lengths = (1..=8).take_while(|i| covered_tokens(*i) <= prompt);
        let prefixes: SmallVec<[u64; 8]> = lengths.map(digest).collect();
        let job = Job {
            tier: Tier::new(tier).expect("a tier"),
            prompt: Tokens(prompt),
            output: Tokens(self.rng.random_range(20..80)),
            prefixes,
            deadline: Instant(self.now.0 + DEADLINES_MS[usize::from(tier)]),
            suspect: false,
            excluded: SmallVec::new(),
            refused: None,
        };
        let flooding = self.case.flood && self.rng.random_bool(0.7);
        let request = Request {
            job,
            entry: self.rng.random_range(0..self.case.entries),
            organisation: if flooding { 0 } else { 1 + group % 20 },
            arrived: self.now,
            engine: 0,
            first: None,
            fresh: 0,
        };
        self.outcome.tiers[usize::from(tier)].sent += 1;
        if request.organisation != 0 {
            self.outcome.small.sent += 1;
        }
        self.place(RequestId(self.count.into()), request);
    }

    fn place(&mut self, id: RequestId, mut request: Request) {
        match self.case.policy {
            Policy::Sesamehaven => self.offer(id, request),
            Policy::RoundRobin => {
                request.engine = self.count as usize % self.engines.len();
                self.dispatch(id, request);
            }
            Policy::LeastOutstanding => {
                let own = &self.outstanding[request.entry];
                let least = (0..own.len()).min_by_key(|i| own[*i]);
                request.engine = least.unwrap_or(0);
                self.dispatch(id, request);
            }
        }
    }

    fn offer(&mut self, id: RequestId, mut request: Request) {
        loop {
            let draw = self.rng.random();
            let route = &mut self.routes[request.entry];
            let name = match route.choose(&request.job, draw, self.now) {
                Choice::Offer(name) => name,
                Choice::Refuse(refused) => return self.refuse(&request, &refused),
            };
            self.outcome.offers += 1;
            route.on_offer(&name, id, &request.job, self.now);
            let engine = self.names.iter().position(|n| *n == name);
            request.engine = engine.expect("a known endpoint");
            let verdict = self.gates[request.engine].offer(work(id, &request), self.now);
            match verdict {
                Verdict::Accepted {
                    first_token,
                    evicted,
                } => {
                    route.on_accepted(id, first_token, self.now);
                    let engine = request.engine;
                    self.requests.insert(id, request);
                    evicted
                        .into_iter()
                        .for_each(|(id, r)| self.hand_back(id, r));
                    return self.poll(engine);
                }
                Verdict::Refused(refused) => {
                    route.on_refused(id, &refused, self.now);
                    note(&mut request, &self.names, refused);
                }
            }
        }
    }

    fn hand_back(&mut self, id: RequestId, refused: Refused) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        self.routes[request.entry].on_refused(id, &refused, self.now);
        note(&mut request, &self.names, refused);
        self.offer(id, request);
    }

    fn refuse(&mut self, request: &Request, refused: &Refused) {
        if refused.reason.is_capacity() {
            let may_run = |r: &Request| {
                let name = &self.names[r.engine];
                !request.job.excluded.contains(name)
            };
            let queued = self.requests.values().filter(|r| r.fresh == 0);
            let lower = queued.filter(|r| request.job.tier.outranks(r.job.tier));
            let reversed = lower.filter(|r| may_run(r)).count();
            self.outcome.reversals += u32::from(reversed > 0);
        }
        self.outcome.tiers[request.job.tier.index()].refused += 1;
    }

    fn poll(&mut self, engine: usize) {
        if self.case.policy != Policy::Sesamehaven {
            return;
        }
        for step in self.gates[engine].poll(self.now) {
            match step {
                Step::Dispatch(id) => {
                    let Some(request) = self.requests.remove(&id) else {
                        continue;
                    };
                    self.routes[request.entry].on_dispatched(id, self.now);
                    self.dispatch(id, request);
                }
                Step::Refuse(id, refused) => self.hand_back(id, refused),
                Step::Cancel(_) => {}
            }
        }
    }

    fn dispatch(&mut self, id: RequestId, mut request: Request) {
        let job = &request.job;
        let engine = &mut self.engines[request.engine];
        let held = engine.holds(&job.prefixes);
        let fresh = |held: usize| job.prompt.0 - covered_tokens(held).min(job.prompt.0);
        if self.case.from_dispatches {
            self.views[request.engine].add(&job.prefixes);
        }
        engine.submit(id, job.prompt.0, job.output.0, &job.prefixes);
        let elsewhere = self.engines.iter().map(|e| e.holds(&job.prefixes)).max();
        self.outcome.wasted += fresh(held) - fresh(elsewhere.unwrap_or(held));
        self.outcome.prompts += job.prompt.0;
        request.fresh = fresh(held).max(1);
        self.outstanding[request.entry][request.engine] += 1;
        self.requests.insert(id, request);
    }

    fn step(&mut self, engine: usize) {
        let done = self.engines[engine].step(STEP_MS as f64);
        for event in std::mem::take(&mut self.engines[engine].events) {
            if !self.rng.random_bool(self.case.event_loss) {
                let due = self.now.0 + self.case.event_lag_ms;
                self.events.push_back((due, engine, event));
            }
        }
        for id in done.first {
            self.gates[engine].on_first_token(id, self.now);
            if let Some(request) = self.requests.get_mut(&id) {
                request.first = Some(self.now);
            }
        }
        for (id, tokens) in done.tokens {
            self.gates[engine].on_tokens(id, tokens, self.now);
        }
        for id in done.ended {
            self.gates[engine].on_end(id, Ended::Whole, self.now);
            if let Some(request) = self.requests.remove(&id) {
                self.routes[request.entry].on_end(id, Ended::Whole, self.now);
                self.outstanding[request.entry][engine] -= 1;
                self.finish(&request);
            }
        }
    }

    fn finish(&mut self, request: &Request) {
        if self.now > request.job.deadline {
            return self.lose(request);
        }
        let first = request.first.unwrap_or(self.now);
        let tokens = request.job.output.0.max(2) - 1;
        let small = request.organisation != 0;
        let tally = &mut self.outcome.tiers[request.job.tier.index()];
        tally.in_time += 1;
        tally.first_token.push(first.since(request.arrived).0);
        tally
            .between
            .push(self.now.since(first).0 as f64 / tokens as f64);
        self.outcome.small.in_time += u32::from(small);
    }

    /// Counts an answer that came too late, whose prefill was for nothing.
    fn lose(&mut self, request: &Request) {
        self.outcome.tiers[request.job.tier.index()].late += 1;
        self.outcome.wasted += request.fresh;
    }
}

fn note(request: &mut Request, names: &[EndpointName], refused: Refused) {
    request.job.refused = Some(refused);
    if !refused.reason.is_capacity() {
        request.job.excluded.push(names[request.engine].clone());
    }
}

fn work(id: RequestId, request: &Request) -> Work {
    let job = &request.job;
    Work {
        id,
        tier: job.tier,
        organisation: OrganisationDigest(request.organisation),
        weight: 1,
        prompt: job.prompt,
        output: job.output,
        deadline: job.deadline,
        repeat: Repeat::Idempotent,
        fingerprint: 0,
        suspect: false,
    }
}
