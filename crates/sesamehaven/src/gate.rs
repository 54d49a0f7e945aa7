//! The only door to one endpoint: what is queued, dispatched, refused, evicted.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#gate).

use smallvec::{SmallVec, smallvec};

use crate::config::PoolKind;
use crate::fair::{Item, Lane, Lanes};
use crate::forecast::Forecast;
use crate::id::RequestId;
use crate::limit::Limit;
pub use crate::offer::{Ended, GateConfig, LoadView, Step, Verdict, Withdrawal, Work};
use crate::outcome::{Refusal, Refused};
use crate::queue::{Queue, Queued};
use crate::running::{Run, Running};
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// How long a gate that refused a tier as full queues nothing less urgent.
pub const PROMISE: Millis = Millis(250);
/// The prefill that the most urgent tier may have waiting at the engine.
const URGENT_PREFILL: Millis = Millis(300);
/// The prefill that other tiers may have waiting at the engine.
const OTHER_PREFILL: Millis = Millis(150);
/// The requests that are dispatched at once before anything was measured.
const START_REQUESTS: f64 = 8.0;
/// The decode rate that is reported for plain services, which have no tokens.
const NO_DECODING: TokenRate = TokenRate(1e9);
/// The least limit, in requests of mean size.
const FLOOR_REQUESTS: f64 = 2.0;
/// Work is long from this many times the mean.
const LONG_FACTOR: f64 = 4.0;
/// Work is long from this share of the limit, and counts for no more.
const LONG_SHARE: f64 = 0.25;
/// The long runs that may go on side by side.
const LONG_RUNS: u32 = 3;
/// A run without first token counts as late after this many times the target.
const LATE_FACTOR: u64 = 2;

/// The state of the door to one endpoint.
///
/// After each event the holder calls [`Gate::poll`], and again at
/// [`Gate::next_wake`].
#[derive(Debug)]
pub struct Gate {
    cfg: GateConfig,
    queue: Queue,
    running: Running,
    limit: Limit,
    forecast: Forecast,
    promises: [Instant; Tier::COUNT],
    healthy: bool,
    leaving: bool,
    seq: u64,
}

impl Gate {
    /// Opens a gate with nothing queued or running.
    pub fn new(cfg: GateConfig) -> Self {
        let forecast = Forecast::new(cfg.kind);
        let start = START_REQUESTS * forecast.mean_cost();
        Gate {
            limit: Limit::new(
                start,
                cfg.objective.first_token,
                cfg.objective.between_tokens,
            ),
            forecast,
            queue: Queue::default(),
            running: Running::default(),
            promises: [Instant::default(); Tier::COUNT],
            healthy: true,
            leaving: false,
            seq: 0,
            cfg,
        }
    }

    /// Takes changed settings; what is queued and running stays.
    pub fn set_config(&mut self, cfg: GateConfig) {
        self.cfg = cfg;
    }

    /// Notes whether the endpoint answers.
    ///
    /// While it does not, offers are refused and [`Gate::poll`] hands back what is queued.
    pub fn set_health(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// Decides about an offer.
    pub fn offer(&mut self, work: Work, now: Instant) -> Verdict {
        let queued = self.arrange(&work);
        if let Some(reason) = self.closed() {
            return Verdict::Refused(self.refused(reason, &queued, now));
        }
        let known = self.queue.get(work.id).is_some() || self.running.get(work.id).is_some();
        if known {
            return Verdict::Refused(self.refused(Refusal::Unavailable, &queued, now));
        }
        self.learn_size(&queued);
        let wait = self.wait(&queued);
        let start = Instant(now.0.saturating_add(wait as u64));
        let late = self.forecast.is_learned() && start > queued.latest_start;
        if late || now >= work.deadline {
            return Verdict::Refused(self.refuse(Refusal::Doomed, &queued, now));
        }
        let Some(evicted) = self.make_room(&queued, now) else {
            self.promises[work.tier.index()] = now.after(PROMISE);
            return Verdict::Refused(self.refuse(Refusal::Full, &queued, now));
        };
        self.queue.push(queued);
        let first_token = wait + self.forecast.prefill_time(queued.prompt);
        Verdict::Accepted {
            first_token: Millis(first_token as u64),
            evicted,
        }
    }

    /// Takes a request back that has not been dispatched.
    pub fn withdraw(&mut self, id: RequestId, _now: Instant) -> Withdrawal {
        if self.queue.remove(id).is_some() {
            return Withdrawal::Withdrawn;
        }
        match self.running.get(id) {
            Some(_) => Withdrawal::AlreadyDispatched,
            None => Withdrawal::Unknown,
        }
    }

    /// Returns what has to be done now.
    pub fn poll(&mut self, now: Instant) -> SmallVec<[Step; 4]> {
        let mut steps = SmallVec::new();
        self.judge(now);
        if !self.healthy {
            let handed_back = self.hand_back(Refusal::Unavailable, now);
            steps.extend(handed_back.into_iter().map(|(id, r)| Step::Refuse(id, r)));
            return steps;
        }
        while let Some(work) = self.queue.doomed(now).and_then(|id| self.queue.remove(id)) {
            let refused = self.refuse(Refusal::Doomed, &work, now);
            steps.push(Step::Refuse(work.item.id, refused));
        }
        while let Some(id) = self.dispatch(now) {
            steps.push(Step::Dispatch(id));
        }
        steps.extend(self.preempt().map(Step::Cancel));
        steps
    }

    /// Notes the first token of a run, or the head of a plain service's answer.
    pub fn on_first_token(&mut self, id: RequestId, now: Instant) {
        let counted = self.running.counted() as f64;
        let Some((run, prefill)) = self.running.first_token(id, now) else {
            return;
        };
        self.forecast.on_prefill(run.prompt, prefill);
        if !run.long && !run.late {
            let span = now.since(run.dispatched).0 as f64;
            self.limit.observe_first_token(span, counted, now);
        }
    }

    /// Notes further tokens of a run.
    pub fn on_tokens(&mut self, id: RequestId, count: u32, now: Instant) {
        let Some((count, gap)) = self.running.tokens(id, count, now) else {
            return;
        };
        if self.cfg.kind == PoolKind::Service {
            return;
        }
        self.forecast.on_tokens(count, gap);
        let between = gap as f64 / f64::from(count);
        let counted = self.running.counted() as f64;
        self.limit.observe_between_tokens(between, counted, now);
    }

    /// Notes the end of a run, which makes room.
    pub fn on_end(&mut self, id: RequestId, ended: Ended, now: Instant) {
        let Some(run) = self.running.remove(id, now) else {
            return;
        };
        if ended != Ended::Whole {
            return;
        }
        let span = now.since(run.dispatched);
        self.forecast.on_run(span);
        let unheard = run.first_token.is_none() && !run.late;
        if self.cfg.kind == PoolKind::Service && unheard {
            let counted = (self.running.counted() + run.counted) as f64;
            self.limit.observe_first_token(span.0 as f64, counted, now);
        }
    }

    /// Closes the gate for good and hands back what is queued.
    pub fn leave(&mut self, now: Instant) -> Vec<(RequestId, Refused)> {
        self.leaving = true;
        self.hand_back(Refusal::Leaving, now)
    }

    /// Returns when [`Gate::poll`] has to be called although nothing happened.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let doom = self.queue.next_doom().map(|at| at.after(Millis(1)));
        let late = self.next_late().map(|(at, _)| at);
        let next = doom.into_iter().chain(late).min()?;
        Some(next.max(now.after(Millis(1))))
    }

    /// Returns the load as it is reported.
    ///
    /// Queued work is given in prompt tokens that take as long to prefill as
    /// the work takes to drain, and for a plain service in requests.
    pub fn load(&self, now: Instant) -> LoadView {
        let (prefill_rate, decode_rate) = match self.cfg.kind {
            PoolKind::Model => (self.forecast.prefill_rate(), self.forecast.decode_rate()),
            PoolKind::Service => (self.forecast.drain_rate(self.drained_limit()), NO_DECODING),
        };
        let limit = self.drained_limit();
        let equivalent = |(cost, prompt): (u64, u64)| {
            let drain = self.forecast.drain_time(cost as f64, limit);
            let drain = drain * prefill_rate.0 / 1_000.0;
            drain.max(prompt as f64) as u32
        };
        let work = self.queue.costs().into_iter().zip(self.queue.prompts());
        let mut queued = [0; Tier::COUNT];
        for (to, from) in queued.iter_mut().zip(work) {
            *to = equivalent(from);
        }
        let requests = (self.limit() / self.forecast.mean_cost()) as u32;
        LoadView {
            healthy: self.healthy,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued,
            admits: self.admits(now),
            prefill_rate,
            decode_rate,
            limit: requests.clamp(1, self.cfg.concurrency.max(1)),
        }
    }

    /// Lists the fingerprints of what runs, which a crash marks.
    pub fn fingerprints(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.iter().map(|(_, run)| run.fingerprint)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn closed(&self) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        (!self.healthy).then_some(Refusal::Unavailable)
    }

    fn arrange(&mut self, work: &Work) -> Queued {
        self.seq += 1;
        let model = self.cfg.kind == PoolKind::Model;
        let prompt = if model { work.prompt.0 } else { 0 };
        let output = if model { work.output.0 } else { 0 };
        let cost = (prompt + output).max(1);
        let run_time = match self.forecast.is_learned() {
            true => self.forecast.run_time(prompt, output),
            false => 0.0,
        };
        let item = Item {
            id: work.id,
            organisation: work.organisation,
            weight: work.weight.max(1),
            cost,
            deadline: work.deadline,
            seq: self.seq,
            lane: self.lane(work, prompt, cost),
        };
        Queued {
            tier: work.tier,
            item,
            prompt,
            output,
            repeat: work.repeat,
            fingerprint: work.fingerprint,
            latest_start: Instant(work.deadline.0.saturating_sub(run_time as u64)),
        }
    }

    fn lane(&self, work: &Work, prompt: u64, cost: u64) -> Lane {
        if work.suspect {
            return Lane::Suspect;
        }
        let long_cost = self.long_cost();
        let long_prompt = LONG_FACTOR * self.forecast.mean_prompt();
        let window = self.prefill_window(work.tier) / 2.0;
        let long = cost as f64 > long_cost || prompt as f64 > long_prompt.max(window);
        match self.cfg.kind == PoolKind::Model && long {
            true => Lane::Long,
            false => Lane::Short,
        }
    }

    fn learn_size(&mut self, work: &Queued) {
        if self.forecast.knows_sizes() {
            return;
        }
        self.forecast.on_work(work.prompt, work.item.cost);
        let start = START_REQUESTS * self.forecast.mean_cost();
        self.limit.start_at(start);
    }

    fn limit(&self) -> f64 {
        let floor = FLOOR_REQUESTS * self.forecast.mean_cost();
        self.limit.tokens().max(floor)
    }

    fn long_cost(&self) -> f64 {
        let mean = LONG_FACTOR * self.forecast.mean_cost();
        mean.max(LONG_SHARE * self.limit())
    }

    fn prefill_window(&self, tier: Tier) -> f64 {
        let span = if tier.outranks(self.cfg.urgent) || tier == self.cfg.urgent {
            URGENT_PREFILL
        } else {
            OTHER_PREFILL
        };
        let tokens = self.forecast.prefill_rate().0 * span.0 as f64 / 1_000.0;
        tokens.max(self.forecast.mean_prompt())
    }

    /// The part of the endpoint that a tier may use.
    fn share(&self, tier: Tier) -> f64 {
        if self.cfg.urgent.outranks(tier) {
            return 1.0 - f64::from(self.cfg.reserve_percent.min(100)) / 100.0;
        }
        1.0
    }

    fn has_room(&self, tier: Tier) -> bool {
        let share = self.share(tier);
        let slots = (f64::from(self.cfg.concurrency) * share).max(1.0);
        let free = (self.running.counted() as f64) < self.limit() * share;
        free && self.running.len() < slots as usize
    }

    /// Returns which lanes of a tier may be served now.
    fn lanes(&self, tier: Tier) -> Option<Lanes> {
        if self.running.is_empty() {
            return Some(Lanes::ALL);
        }
        if !self.has_room(tier) {
            return None;
        }
        let prefill = self.running.prefill_down_to(tier) as f64;
        if prefill >= self.prefill_window(tier) {
            return None;
        }
        let long_runs = self.running.long_down_to(tier);
        let long_prefill = self.running.long_prefill_down_to(tier);
        Some(Lanes {
            short: true,
            long: long_runs < LONG_RUNS && long_prefill == 0,
            suspect: !self.running.has_suspect(),
        })
    }

    fn dispatch(&mut self, now: Instant) -> Option<RequestId> {
        let tier = self.queue.most_urgent()?;
        let lanes = self.lanes(tier)?;
        let id = self.queue.next(tier, lanes)?;
        let work = self.queue.serve(id)?;
        let long = work.item.lane == Lane::Long;
        let run = Run {
            tier,
            counted: work.item.cost.min(self.long_cost() as u64).max(1),
            prompt: work.prompt,
            prefill: work.prompt.min((self.prefill_window(tier) / 2.0) as u64),
            long,
            suspect: work.item.lane == Lane::Suspect,
            repeat: work.repeat,
            fingerprint: work.fingerprint,
            dispatched: now,
            served: 0.0,
            first_token: None,
            last_token: now,
            unmeasured: 0,
            cancelling: false,
            late: false,
        };
        self.forecast.on_work(work.prompt, work.item.cost);
        self.running.insert(id, run);
        Some(id)
    }

    fn preempt(&mut self) -> Option<RequestId> {
        let tier = self.queue.most_urgent()?;
        if !self.cfg.preempt || self.cfg.urgent.outranks(tier) || self.has_room(tier) {
            return None;
        }
        self.running.preempt(tier)
    }

    /// Estimates the time until the work would be dispatched, in milliseconds.
    fn wait(&self, work: &Queued) -> f64 {
        let (cost, prompt) = self.queue.ahead(work);
        let prefill = match self.cfg.kind {
            PoolKind::Model => prompt + self.running.prefill_down_to(work.tier),
            PoolKind::Service => 0,
        };
        let prefill_time = self.forecast.prefill_rate().millis_for(prefill as f64);
        let share = self.limit() * self.share(work.tier);
        let full = self.running.len() >= self.cfg.concurrency as usize;
        let room = if full {
            0.0
        } else {
            share - self.running.counted() as f64
        };
        let waiting = cost as f64 + 1.0 - room.max(0.0);
        let drain_time = self.forecast.drain_time(waiting, self.drained_limit());
        prefill_time.max(drain_time)
    }

    fn drained_limit(&self) -> f64 {
        let most = f64::from(self.cfg.concurrency) * self.forecast.mean_cost();
        self.limit().min(most)
    }

    /// Returns what was evicted for the work, or nothing when it has to be refused.
    fn make_room(
        &mut self,
        work: &Queued,
        now: Instant,
    ) -> Option<SmallVec<[(RequestId, Refused); 2]>> {
        if self.promised_above(work.tier, now) {
            let at_once = self.queue.is_empty() && self.lanes(work.tier) == Some(Lanes::ALL);
            return at_once.then(SmallVec::new);
        }
        if self.queue.len() < self.cfg.queue_requests as usize {
            return Some(SmallVec::new());
        }
        let victim = self.queue.victim(work)?;
        let victim = self.queue.remove(victim)?;
        let refused = self.refuse(Refusal::Evicted, &victim, now);
        Some(smallvec![(victim.item.id, refused)])
    }

    /// Returns whether a more urgent tier was refused so lately that queueing
    /// this one would break the promise that went with it.
    fn promised_above(&self, tier: Tier, now: Instant) -> bool {
        self.promises[..tier.index()].iter().any(|at| *at > now)
    }

    fn hand_back(&mut self, reason: Refusal, now: Instant) -> Vec<(RequestId, Refused)> {
        let work = self.queue.drain();
        let refused = |w: &Queued| (w.item.id, self.refused(reason, w, now));
        work.iter().map(refused).collect()
    }

    /// Refuses work for load and remembers it as demand.
    fn refuse(&mut self, reason: Refusal, work: &Queued, now: Instant) -> Refused {
        let refused = self.refused(reason, work, now);
        self.forecast.on_refused(work.tier, work.item.cost, now);
        refused
    }

    fn refused(&self, reason: Refusal, work: &Queued, now: Instant) -> Refused {
        let queued = self.queue.cost_down_to(work.tier);
        let limit = self.drained_limit();
        let id = work.item.id;
        let retry_after = self.forecast.retry_after(id, work.tier, queued, limit, now);
        Refused {
            reason,
            retry_after,
            admits: self.admits(now),
        }
    }

    /// Returns the least urgent tier that the queue would take, if any.
    fn admits(&self, now: Instant) -> Option<Tier> {
        self.closed().is_none().then_some(())?;
        let full = self.queue.len() >= self.cfg.queue_requests as usize;
        let lowest = self.queue.least_urgent().filter(|_| full);
        let by_room = match lowest {
            Some(lowest) => Tier::all().rev().find(|t| t.outranks(lowest))?,
            None => Tier::LEAST_URGENT,
        };
        let promised = Tier::all().find(|t| self.promises[t.index()] > now);
        Some(promised.map_or(by_room, |t| t.min(by_room)))
    }

    /// Lets the limit judge its window, in which late first tokens count too.
    fn judge(&mut self, now: Instant) {
        if let Some((_, id)) = self.next_late().filter(|(at, _)| *at <= now) {
            let since = self.running.get(id).map(|r| now.since(r.dispatched).0);
            self.running.mark_late(id);
            let counted = self.running.counted() as f64;
            let span = since.unwrap_or_default() as f64;
            self.limit.observe_first_token(span, counted, now);
        }
        let mean = self.forecast.mean_cost();
        let ceiling = 2.0 * f64::from(self.cfg.concurrency) * mean;
        self.limit.tick(FLOOR_REQUESTS * mean, ceiling, now);
    }

    /// Returns when the run that has waited longest counts as late.
    fn next_late(&self) -> Option<(Instant, RequestId)> {
        let (dispatched, id) = self.running.oldest_waiting()?;
        let run = self.running.get(id).filter(|r| !r.late)?;
        let prefill = Millis(self.forecast.prefill_time(run.prompt) as u64);
        let target = self.cfg.objective.first_token.max(prefill);
        Some((dispatched.after(Millis(target.0 * LATE_FACTOR)), id))
    }
}
