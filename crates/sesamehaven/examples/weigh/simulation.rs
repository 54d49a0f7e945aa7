//! A discrete-time simulation of entries, gates and engines.

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use sesamehaven::Tier;
use sesamehaven::bloom::Bloom;
use sesamehaven::cache_view::CacheView;
use sesamehaven::config::{Objective, PoolKind, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::{Gate, GateConfig, LoadView, RunOutcome, Step, Verdict, Work};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::Refused;
use sesamehaven::prefix::{PrefixIndex, covered_tokens};
use sesamehaven::router::{Choice, Job, Router};
use sesamehaven::unit::{Instant, Tokens};

use crate::engine::{CacheEvent, Engine, EngineSpec};

/// The length of a simulation step.
const STEP_MS: u64 = 5;

/// The interval between the load reports of an engine.
const REPORT_INTERVAL_MS: u64 = 200;

/// A routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Sesamehaven,
    RoundRobin,
    LeastOutstanding,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
    pub(crate) entries: usize,
    pub(crate) engines: Vec<EngineSpec>,
    /// The time during which requests arrive.
    pub(crate) duration_ms: u64,
    pub(crate) requests_per_s: f64,
    /// Whether the request rate triples for 10 s after a third of the time.
    pub(crate) burst: bool,
    /// Whether one organisation sends 70 % of the requests.
    pub(crate) flood: bool,
    /// Whether the first engine drops to a quarter of its speed after a third of the time.
    pub(crate) slow_engine: bool,
    /// The proportion of requests with a long prompt.
    pub(crate) long_share: f64,
    /// The number of groups of requests that share a prompt prefix.
    pub(crate) groups: u64,
    /// The delay of load reports.
    pub(crate) report_lag_ms: u64,
    /// The delay of cache events.
    pub(crate) event_lag_ms: u64,
    /// The probability that a cache event is lost.
    pub(crate) event_loss: f64,
    pub(crate) summary_bytes: usize,
    /// Whether agents add the prefixes of dispatched requests to their view of the cache.
    pub(crate) from_dispatches: bool,
    pub(crate) prefix_weight: f64,
    pub(crate) reserve_percent: u8,
    pub(crate) preempt: bool,
}

/// The statistics of the requests of one tier.
#[derive(Debug, Clone, Default)]
pub(crate) struct TierStats {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    pub(crate) late: u32,
    pub(crate) first_token_ms: Vec<u64>,
    pub(crate) between_tokens_ms: Vec<f64>,
}

/// The results of a simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) tiers: [TierStats; 4],
    /// The statistics of all organisations but the one that floods.
    pub(crate) small_organisations: TierStats,
    /// The total number of prompt tokens of dispatched requests.
    pub(crate) prompts: u64,
    /// The total number of prefilled tokens.
    pub(crate) prefilled: u64,
    /// The prefilled tokens that another engine had cached or whose response was late.
    pub(crate) wasted_tokens: u64,
    pub(crate) offers: u64,
    /// The number of requests refused for lack of capacity while a less urgent one was queued.
    pub(crate) reversals: u32,
    pub(crate) summary_bytes: u64,
}

/// A request that has not ended.
#[derive(Debug, Clone)]
struct Request {
    job: Job,
    entry: usize,
    organisation: u64,
    arrived: Instant,
    engine: usize,
    first_token: Option<Instant>,
    /// The prompt tokens that are not cached; zero until the request is dispatched.
    uncached_tokens: u64,
}

/// A load report in transit.
struct Report {
    /// The time of arrival, in milliseconds.
    due_ms: u64,
    engine: usize,
    view: LoadView,
    summary: Bloom,
}

/// A simulation of a scenario with a prefix index.
pub(crate) struct Simulation<P> {
    scenario: Scenario,
    rng: ChaCha8Rng,
    names: Vec<EndpointName>,
    engines: Vec<Engine>,
    gates: Vec<Gate>,
    views: Vec<CacheView>,
    /// Cache events in transit, with their time of arrival in milliseconds and their engine.
    events: VecDeque<(u64, usize, CacheEvent)>,
    reports: VecDeque<Report>,
    routers: Vec<Router<P>>,
    requests: HashMap<RequestId, Request>,
    /// The number of outstanding requests, by entry and engine.
    outstanding: Vec<Vec<u32>>,
    request_count: u32,
    report_seq: u64,
    now: Instant,
    pub(crate) outcome: Outcome,
}

/// The time from arrival to deadline, by tier.
const DEADLINES_MS: [u64; 4] = [8_000, 12_000, 20_000, 30_000];

impl<P: PrefixIndex> Simulation<P> {
    pub(crate) fn new(scenario: Scenario, new_index: impl Fn() -> P) -> Self {
        let names = (0..scenario.engines.len()).map(|i| format!("e{i}").parse());
        let cfg = GateConfig {
            kind: PoolKind::Model,
            queue_requests: 64,
            concurrency: 64,
            reserve_percent: scenario.reserve_percent,
            preempt: scenario.preempt,
            most_urgent: Tier::MOST_URGENT,
            objective: Objective::default(),
        };
        let routers = (0..scenario.entries)
            .map(|_| Router::with_prefix_index(scenario.prefix_weight, new_index()));
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            names: names.map(|n| n.expect("a valid name")).collect(),
            engines: scenario.engines.iter().map(|e| Engine::new(*e)).collect(),
            gates: scenario
                .engines
                .iter()
                .map(|_| Gate::new(cfg.clone()))
                .collect(),
            views: scenario
                .engines
                .iter()
                .map(|_| CacheView::new(2_048))
                .collect(),
            events: VecDeque::new(),
            reports: VecDeque::new(),
            routers: routers.collect(),
            requests: HashMap::new(),
            outstanding: vec![vec![0; scenario.engines.len()]; scenario.entries],
            request_count: 0,
            report_seq: 0,
            now: Instant(0),
            outcome: Outcome::default(),
            scenario,
        }
    }

    /// Runs the simulation until all requests have ended, at most 40 s after the last arrival.
    pub(crate) fn run(mut self) -> Outcome {
        let drain_ms = 40_000;
        while self.now.0 < self.scenario.duration_ms + drain_ms {
            self.now.0 += STEP_MS;
            self.deliver_reports();
            self.arrive();
            for engine in 0..self.engines.len() {
                self.poll(engine);
                self.step(engine);
            }
            if self.requests.is_empty() && self.now.0 > self.scenario.duration_ms {
                break;
            }
        }
        self.outcome.prefilled = self.engines.iter().map(|e| e.prefilled).sum();
        let unfinished = std::mem::take(&mut self.requests);
        unfinished.into_values().for_each(|r| self.record_late(&r));
        self.outcome
    }

    /// Sends new load reports and applies the reports and cache events whose delay has elapsed.
    fn deliver_reports(&mut self) {
        let now_ms = self.now.0;
        while self
            .events
            .front()
            .is_some_and(|(due_ms, _, _)| *due_ms <= now_ms)
        {
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
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) || now_ms == STEP_MS {
            for engine in 0..self.engines.len() {
                let is_first_step = now_ms == STEP_MS;
                let due_ms = if is_first_step {
                    now_ms
                } else {
                    now_ms + self.scenario.report_lag_ms
                };
                let view = self.gates[engine].load(self.now);
                let summary = self.views[engine].summary(self.scenario.summary_bytes);
                self.reports.push_back(Report {
                    due_ms,
                    engine,
                    view,
                    summary,
                });
            }
        }
        while self.reports.front().is_some_and(|r| r.due_ms <= now_ms) {
            let Some(report) = self.reports.pop_front() else {
                return;
            };
            self.report_seq += 1;
            let name = &self.names[report.engine];
            for router in &mut self.routers {
                router.on_report(name, report.view, self.report_seq, self.now);
                if self.report_seq.is_multiple_of(5) {
                    router.on_prefixes(name, report.summary.as_bytes());
                    self.outcome.summary_bytes += self.scenario.summary_bytes as u64;
                }
            }
        }
    }

    /// Submits the requests that arrive in this step.
    fn arrive(&mut self) {
        if self.now.0 > self.scenario.duration_ms {
            return;
        }
        let (start_ms, end_ms) = (
            self.scenario.duration_ms / 3,
            self.scenario.duration_ms / 3 + 10_000,
        );
        let in_burst = (start_ms..end_ms).contains(&self.now.0);
        let factor = if self.scenario.burst && in_burst {
            3.0
        } else {
            1.0
        };
        if self.scenario.slow_engine {
            self.engines[0].speed_factor = if self.now.0 > start_ms { 0.25 } else { 1.0 };
        }
        let mut expected = self.scenario.requests_per_s * factor * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                self.submit();
            }
            expected -= 1.0;
        }
    }

    /// Generates a request and routes it.
    fn submit(&mut self) {
        let tier = [0, 0, 0, 1, 1, 2, 2, 3, 3, 3][self.rng.random_range(0..10)];
        let long = self.rng.random_bool(self.scenario.long_share);
        let group = (self.scenario.groups as f64 * self.rng.random::<f64>().powi(3)) as u64;
        let shared_tokens = covered_tokens(1 + group as usize % 3);
        let own_tokens = self.rng.random_range(50..300);
        let prompt = if long {
            20_000
        } else {
            shared_tokens + own_tokens
        };
        // Prefixes up to the shared length belong to the group; longer ones are unique.
        self.request_count += 1;
        let unique = u64::from(self.request_count) << 32;
        let digest = |i: usize| {
            let shared = !long && covered_tokens(i) <= shared_tokens;
            let base = if shared { group * 16 } else { unique };
            (base + i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
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
        let flooding = self.scenario.flood && self.rng.random_bool(0.7);
        let request = Request {
            job,
            entry: self.rng.random_range(0..self.scenario.entries),
            organisation: if flooding { 0 } else { 1 + group % 20 },
            arrived: self.now,
            engine: 0,
            first_token: None,
            uncached_tokens: 0,
        };
        self.outcome.tiers[usize::from(tier)].sent += 1;
        if request.organisation != 0 {
            self.outcome.small_organisations.sent += 1;
        }
        self.route(RequestId(self.request_count.into()), request);
    }

    /// Routes a request by the policy of the scenario.
    fn route(&mut self, id: RequestId, mut request: Request) {
        match self.scenario.policy {
            Policy::Sesamehaven => self.offer(id, request),
            Policy::RoundRobin => {
                request.engine = self.request_count as usize % self.engines.len();
                self.dispatch(id, request);
            }
            Policy::LeastOutstanding => {
                let outstanding = &self.outstanding[request.entry];
                let least = (0..outstanding.len()).min_by_key(|i| outstanding[*i]);
                request.engine = least.unwrap_or(0);
                self.dispatch(id, request);
            }
        }
    }

    /// Offers a request to endpoints until one accepts it or the router refuses it.
    fn offer(&mut self, id: RequestId, mut request: Request) {
        loop {
            let draw = self.rng.random();
            let router = &mut self.routers[request.entry];
            let name = match router.choose(&request.job, draw, self.now) {
                Choice::Offer(name) => name,
                Choice::Refuse(refused) => return self.refuse(&request, &refused),
            };
            self.outcome.offers += 1;
            router.on_offer(&name, id, &request.job, self.now);
            let engine = self.names.iter().position(|n| *n == name);
            request.engine = engine.expect("a known endpoint");
            let verdict = self.gates[request.engine].offer(work(id, &request), self.now);
            match verdict {
                Verdict::Accepted {
                    first_token,
                    evicted,
                } => {
                    router.on_accepted(id, first_token, self.now);
                    let engine = request.engine;
                    self.requests.insert(id, request);
                    evicted.into_iter().for_each(|(id, r)| self.reroute(id, r));
                    return self.poll(engine);
                }
                Verdict::Refused(refused) => {
                    router.on_refused(id, &refused, self.now);
                    record_refusal(&mut request, &self.names, refused);
                }
            }
        }
    }

    /// Offers a request again that its engine did not dispatch.
    fn reroute(&mut self, id: RequestId, refused: Refused) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        self.routers[request.entry].on_refused(id, &refused, self.now);
        record_refusal(&mut request, &self.names, refused);
        self.offer(id, request);
    }

    /// Records a refused request, and a reversal if a less urgent one is queued in its place.
    fn refuse(&mut self, request: &Request, refused: &Refused) {
        if refused.reason.is_lack_of_capacity() {
            let is_candidate = |r: &Request| {
                let name = &self.names[r.engine];
                !request.job.excluded.contains(name)
            };
            let queued = self.requests.values().filter(|r| r.uncached_tokens == 0);
            let lower = queued.filter(|r| request.job.tier.outranks(r.job.tier));
            let reversed = lower.filter(|r| is_candidate(r)).count();
            self.outcome.reversals += u32::from(reversed > 0);
        }
        self.outcome.tiers[request.job.tier.index()].refused += 1;
    }

    /// Carries out the steps that the gate of an engine decides on.
    fn poll(&mut self, engine: usize) {
        if self.scenario.policy != Policy::Sesamehaven {
            return;
        }
        for step in self.gates[engine].poll(self.now) {
            match step {
                Step::Dispatch(id) => {
                    let Some(request) = self.requests.remove(&id) else {
                        continue;
                    };
                    self.routers[request.entry].on_dispatched(id, self.now);
                    self.dispatch(id, request);
                }
                Step::Refuse(id, refused) => self.reroute(id, refused),
                Step::Cancel(_) => {}
            }
        }
    }

    /// Submits a request to its engine and records the wasted prefill.
    fn dispatch(&mut self, id: RequestId, mut request: Request) {
        let job = &request.job;
        let engine = &mut self.engines[request.engine];
        let cached = engine.cached_prefixes(&job.prefixes);
        let uncached_tokens =
            |cached: usize| job.prompt.0 - covered_tokens(cached).min(job.prompt.0);
        if self.scenario.from_dispatches {
            self.views[request.engine].add(&job.prefixes);
        }
        engine.submit(id, job.prompt.0, job.output.0, &job.prefixes);
        let best = self
            .engines
            .iter()
            .map(|e| e.cached_prefixes(&job.prefixes))
            .max();
        self.outcome.wasted_tokens +=
            uncached_tokens(cached) - uncached_tokens(best.unwrap_or(cached));
        self.outcome.prompts += job.prompt.0;
        request.uncached_tokens = uncached_tokens(cached).max(1);
        self.outstanding[request.entry][request.engine] += 1;
        self.requests.insert(id, request);
    }

    /// Advances an engine by one step and processes its events.
    fn step(&mut self, engine: usize) {
        let events = self.engines[engine].step(STEP_MS as f64);
        for event in std::mem::take(&mut self.engines[engine].events) {
            if !self.rng.random_bool(self.scenario.event_loss) {
                let due_ms = self.now.0 + self.scenario.event_lag_ms;
                self.events.push_back((due_ms, engine, event));
            }
        }
        for id in events.first_tokens {
            self.gates[engine].on_first_token(id, self.now);
            if let Some(request) = self.requests.get_mut(&id) {
                request.first_token = Some(self.now);
            }
        }
        for (id, tokens) in events.tokens {
            self.gates[engine].on_tokens(id, tokens, self.now);
        }
        for id in events.ended {
            self.gates[engine].on_end(id, RunOutcome::Completed, self.now);
            if let Some(request) = self.requests.remove(&id) {
                self.routers[request.entry].on_end(id, RunOutcome::Completed, self.now);
                self.outstanding[request.entry][engine] -= 1;
                self.finish(&request);
            }
        }
    }

    /// Records the statistics of a complete response.
    fn finish(&mut self, request: &Request) {
        if self.now > request.job.deadline {
            return self.record_late(request);
        }
        let first_token = request.first_token.unwrap_or(self.now);
        let tokens = request.job.output.0.max(2) - 1;
        let is_small = request.organisation != 0;
        let stats = &mut self.outcome.tiers[request.job.tier.index()];
        stats.in_time += 1;
        stats
            .first_token_ms
            .push(first_token.since(request.arrived).0);
        stats
            .between_tokens_ms
            .push(self.now.since(first_token).0 as f64 / tokens as f64);
        self.outcome.small_organisations.in_time += u32::from(is_small);
    }

    /// Records a response that missed its deadline, which wastes its prefill.
    fn record_late(&mut self, request: &Request) {
        self.outcome.tiers[request.job.tier.index()].late += 1;
        self.outcome.wasted_tokens += request.uncached_tokens;
    }
}

/// Records a refusal for the next routing decision.
fn record_refusal(request: &mut Request, names: &[EndpointName], refused: Refused) {
    request.job.refused = Some(refused);
    if !refused.reason.is_lack_of_capacity() {
        request.job.excluded.push(names[request.engine].clone());
    }
}

/// Builds the offer of a request to a gate.
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
