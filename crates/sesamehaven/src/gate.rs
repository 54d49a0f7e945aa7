//! Admission control for one endpoint: queueing, dispatch, refusal and eviction.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#gate).

use smallvec::{SmallVec, smallvec};

use crate::capacity::Capacity;
use crate::config::PoolKind;
use crate::endpoint_limits::own_share;
use crate::fair::Lanes;
use crate::id::RequestId;
pub use crate::offer::{GateConfig, LoadView, RunOutcome, Step, Verdict, Withdrawal, Work};
use crate::outcome::{Refusal, Refused};
use crate::queue::{Queue, QueuedWork};
use crate::request_rate::{Allowance, RequestRate};
use crate::running::Running;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// How long a gate that refused a tier as full queues nothing less urgent.
pub const FULL_COOLDOWN: Millis = Millis(250);
/// The decode rate reported for plain services, which have no tokens.
const SERVICE_DECODE_RATE: TokenRate = TokenRate(1e9);

/// The admission gate of one endpoint, through which all of its requests pass.
///
/// The owner calls [`Gate::poll`] after each event, and again at
/// [`Gate::next_wake`].
#[derive(Debug)]
pub struct Gate {
    capacity: Capacity,
    queue: Queue,
    running: Running,
    closed_until: [Instant; Tier::COUNT],
    held_until: Instant,
    /// What may be dispatched of the rate that the endpoint named.
    allowance: Option<Allowance>,
    healthy: bool,
    leaving: bool,
    seq: u64,
}

impl Gate {
    /// Creates an open gate with no requests.
    pub fn new(cfg: GateConfig) -> Self {
        Gate {
            capacity: Capacity::new(cfg),
            queue: Queue::default(),
            running: Running::default(),
            closed_until: [Instant::default(); Tier::COUNT],
            held_until: Instant::default(),
            allowance: None,
            healthy: true,
            leaving: false,
            seq: 0,
        }
    }

    /// Applies changed settings; queued and running requests are unaffected.
    pub fn set_config(&mut self, cfg: GateConfig) {
        self.capacity.cfg = cfg;
    }

    /// Sets whether the endpoint responds to health checks.
    ///
    /// While it is unhealthy, offers are refused and [`Gate::poll`] refuses queued requests.
    pub fn set_health(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// Dispatches nothing before `until`, as the endpoint asked for when it turned a request away.
    ///
    /// Requests that could not start in time then are refused, the queued ones by the next
    /// [`Gate::poll`]; others wait.
    pub fn hold(&mut self, until: Instant) {
        self.held_until = self.held_until.max(until);
    }

    /// Dispatches no more requests per second than `limit`, or as many as there is room for.
    ///
    /// Requests that could not start in time then are refused, as by [`Gate::hold`].
    pub fn set_rate_limit(&mut self, limit: Option<RequestRate>, now: Instant) {
        // All requests to the endpoint pass through this gate, so it holds the limit alone.
        let rate = limit.map(|limit| own_share(limit, 0, 0, []));
        match (rate, &mut self.allowance) {
            (None, allowance) => *allowance = None,
            (Some(rate), Some(allowance)) => allowance.set_rate(rate, now),
            (Some(rate), allowance) => *allowance = Some(Allowance::new(rate, 0.0, now)),
        }
    }

    /// Returns the rate that the endpoint named, if any.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.allowance.map(|a| a.rate())
    }

    /// Returns whether the gate dispatches nothing at present because of [`Gate::hold`] or the rate of
    /// the endpoint.
    pub fn is_held(&self, now: Instant) -> bool {
        now < self.opens_at(1, now)
    }

    /// Returns when the `n`th request from now may be dispatched, as far as the endpoint has said.
    fn opens_at(&self, n: usize, now: Instant) -> Instant {
        let allowed_at = self.allowance.and_then(|a| a.opens_at(n, now));
        allowed_at.unwrap_or(now).max(self.held_until)
    }

    /// Accepts or refuses an offer.
    pub fn offer(&mut self, work: Work, now: Instant) -> Verdict {
        self.seq += 1;
        let queued = self.capacity.to_queued(&work, self.seq);
        if let Some(reason) = self.refusal_reason() {
            return Verdict::Refused(self.refusal(reason, &queued, now));
        }
        let is_duplicate = self.queue.get(work.id).is_some() || self.running.get(work.id).is_some();
        if is_duplicate {
            return Verdict::Refused(self.refusal(Refusal::Unavailable, &queued, now));
        }
        self.capacity.record_size(&queued);
        let wait = self
            .capacity
            .expected_wait(&self.queue, &self.running, &queued);
        let opens_at = self.opens_at(self.queue.len() + 1, now);
        let start = Instant(now.0.saturating_add(wait as u64)).max(opens_at);
        let late = self.capacity.forecast.is_learned() && start > queued.latest_start;
        let late = late || (opens_at > now && opens_at > queued.latest_start);
        if late || now >= work.deadline {
            return Verdict::Refused(self.refuse(Refusal::DeadlineUnreachable, &queued, now));
        }
        let Some(evicted) = self.make_room(&queued, now) else {
            self.closed_until[work.tier.index()] = now.after(FULL_COOLDOWN);
            return Verdict::Refused(self.refuse(Refusal::Full, &queued, now));
        };
        self.queue.push(queued);
        let first_token =
            start.since(now).0 as f64 + self.capacity.forecast.prefill_time(queued.prompt);
        Verdict::Accepted {
            first_token: Millis(first_token as u64),
            evicted,
        }
    }

    /// Withdraws a request that has not been dispatched.
    pub fn withdraw(&mut self, id: RequestId, _now: Instant) -> Withdrawal {
        if self.queue.remove(id).is_some() {
            return Withdrawal::Withdrawn;
        }
        match self.running.get(id) {
            Some(_) => Withdrawal::AlreadyDispatched,
            None => Withdrawal::Unknown,
        }
    }

    /// Returns the actions that are due now.
    pub fn poll(&mut self, now: Instant) -> SmallVec<[Step; 4]> {
        let mut steps = SmallVec::new();
        self.capacity.evaluate_limit(&mut self.running, now);
        if !self.healthy {
            let drained = self.drain_queue(Refusal::Unavailable, now);
            steps.extend(drained.into_iter().map(|(id, r)| Step::Refuse(id, r)));
            return steps;
        }
        while let Some(work) = self
            .queue
            .first_expired(now.max(self.opens_at(1, now)))
            .and_then(|id| self.queue.remove(id))
        {
            let refused = self.refuse(Refusal::DeadlineUnreachable, &work, now);
            steps.push(Step::Refuse(work.item.id, refused));
        }
        if self.is_held(now) {
            return steps;
        }
        while !self.is_held(now)
            && let Some(id) = self.dispatch(now)
        {
            steps.push(Step::Dispatch(id));
        }
        steps.extend(self.preempt().map(Step::Cancel));
        steps
    }

    /// Records the first token of a run, or the response head of a plain service.
    pub fn on_first_token(&mut self, id: RequestId, now: Instant) {
        let counted = self.running.counted_tokens();
        let Some((run, prefill)) = self.running.first_token(id, now) else {
            return;
        };
        self.capacity.forecast.on_prefill(run.prompt, prefill);
        self.capacity.on_first_token(&run, counted, now);
    }

    /// Records further tokens of a run.
    pub fn on_tokens(&mut self, id: RequestId, count: u32, now: Instant) {
        let Some((count, gap)) = self.running.tokens(id, count, now) else {
            return;
        };
        if self.capacity.cfg.kind == PoolKind::Model {
            let counted = self.running.counted_tokens();
            self.capacity.on_tokens(count, gap, counted, now);
        }
    }

    /// Records the end of a run, which frees its share of the capacity.
    pub fn on_end(&mut self, id: RequestId, outcome: RunOutcome, now: Instant) {
        let counted = self.running.counted_tokens();
        let Some(run) = self.running.remove(id, now) else {
            return;
        };
        if outcome != RunOutcome::Completed {
            return;
        }
        self.capacity.forecast.on_run(now.since(run.dispatched));
        if self.capacity.cfg.kind == PoolKind::Service && run.first_token.is_none() {
            self.capacity.on_first_token(&run, counted, now);
        }
    }

    /// Closes the gate permanently and returns the queued requests.
    pub fn close(&mut self, now: Instant) -> Vec<(RequestId, Refused)> {
        self.leaving = true;
        self.drain_queue(Refusal::Leaving, now)
    }

    /// Returns when [`Gate::poll`] must be called next in the absence of events.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let expiry = self.queue.next_expiry().map(|at| at.after(Millis(1)));
        let late = self.capacity.next_late(&self.running).map(|(at, _)| at);
        let held = (!self.queue.is_empty() && self.is_held(now)).then(|| self.opens_at(1, now));
        let next = expiry.into_iter().chain(late).chain(held).min()?;
        Some(next.max(now.after(Millis(1))))
    }

    /// Returns the load for reports.
    ///
    /// Queued work is reported as the number of prompt tokens whose prefill takes as long
    /// as the work takes to drain; for a plain service, as a number of requests. The time for
    /// which the endpoint wants nothing counts as queued work of the most urgent tier.
    pub fn load(&self, now: Instant) -> LoadView {
        let forecast = &self.capacity.forecast;
        let limit = self.capacity.usable_limit();
        let (prefill_rate, decode_rate) = match self.capacity.cfg.kind {
            PoolKind::Model => (forecast.prefill_rate(), forecast.decode_rate()),
            PoolKind::Service => (forecast.drain_rate(limit), SERVICE_DECODE_RATE),
        };
        let equivalent = |cost: u64, prompt: u64| {
            let drain = forecast.drain_time(cost as f64, limit);
            let drain = drain * prefill_rate.0 / 1_000.0;
            drain.max(prompt as f64) as u32
        };
        let mut queued = [0; Tier::COUNT];
        let work = self.queue.costs().into_iter().zip(self.queue.prompts());
        for (to, (cost, prompt)) in queued.iter_mut().zip(work) {
            *to = equivalent(cost, prompt);
        }
        let opens_at = self.opens_at(self.queue.len() + 1, now);
        let held = prefill_rate.0 * opens_at.since(now).0 as f64 / 1_000.0;
        queued[0] = queued[0].max(held as u32);
        let requests = (self.capacity.limit() / forecast.mean_cost()) as u32;
        LoadView {
            healthy: self.healthy,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued,
            admits: self.admits(now),
            prefill_rate,
            decode_rate,
            limit: requests.clamp(1, self.capacity.cfg.concurrency.max(1)),
        }
    }

    /// Returns the fingerprints of the running requests.
    ///
    /// They become suspects in a crash, unless there are suspects among them already.
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

    fn refusal_reason(&self) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        (!self.healthy).then_some(Refusal::Unavailable)
    }

    fn dispatch(&mut self, now: Instant) -> Option<RequestId> {
        let tier = self.queue.most_urgent()?;
        let lanes = self.capacity.available_lanes(&self.running, tier)?;
        let id = self.queue.next(tier, lanes)?;
        let work = self.queue.serve(id)?;
        let run = self.capacity.new_run(&work, now);
        self.running.insert(id, run);
        if let Some(allowance) = &mut self.allowance {
            allowance.consume(now);
        }
        Some(id)
    }

    fn preempt(&mut self) -> Option<RequestId> {
        let tier = self.queue.most_urgent()?;
        let cfg = &self.capacity.cfg;
        let allowed = cfg.preempt && !cfg.most_urgent.outranks(tier);
        if !allowed || self.capacity.has_room(&self.running, tier) {
            return None;
        }
        self.running.preempt(tier)
    }

    /// Makes room in the queue and returns the evicted requests, or [`None`] if the work
    /// must be refused.
    fn make_room(
        &mut self,
        work: &QueuedWork,
        now: Instant,
    ) -> Option<SmallVec<[(RequestId, Refused); 2]>> {
        if self.is_closed_to(work.tier, now) {
            let is_free = self.queue.is_empty() && self.is_open_to_all(work.tier);
            let dispatches_at_once = is_free && !self.is_held(now);
            return dispatches_at_once.then(SmallVec::new);
        }
        if self.queue.len() < self.capacity.cfg.queue_requests as usize {
            return Some(SmallVec::new());
        }
        let victim = self.queue.eviction_candidate(work)?;
        let victim = self.queue.remove(victim)?;
        let refused = self.refuse(Refusal::Evicted, &victim, now);
        Some(smallvec![(victim.item.id, refused)])
    }

    fn is_open_to_all(&self, tier: Tier) -> bool {
        self.capacity.available_lanes(&self.running, tier) == Some(Lanes::ALL)
    }

    /// Returns whether a more urgent tier was refused as full within [`FULL_COOLDOWN`].
    ///
    /// Entries rely on such a refusal to mean that nothing less urgent is queued here
    /// meanwhile; otherwise less urgent work would be served while the refused request is
    /// turned away.
    fn is_closed_to(&self, tier: Tier, now: Instant) -> bool {
        self.closed_until[..tier.index()].iter().any(|at| *at > now)
    }

    fn drain_queue(&mut self, reason: Refusal, now: Instant) -> Vec<(RequestId, Refused)> {
        let work = self.queue.drain();
        let refused = |w: &QueuedWork| (w.item.id, self.refusal(reason, w, now));
        work.iter().map(refused).collect()
    }

    /// Refuses work because of load and records it as refused demand.
    fn refuse(&mut self, reason: Refusal, work: &QueuedWork, now: Instant) -> Refused {
        let refused = self.refusal(reason, work, now);
        self.capacity
            .forecast
            .on_refused(work.tier, work.item.cost, now);
        refused
    }

    fn refusal(&self, reason: Refusal, work: &QueuedWork, now: Instant) -> Refused {
        let queued = self.queue.cost_down_to(work.tier);
        let limit = self.capacity.usable_limit();
        let id = work.item.id;
        let retry_after = self
            .capacity
            .forecast
            .retry_after(id, work.tier, queued, limit, now);
        Refused {
            reason,
            retry_after,
            admits: self.admits(now),
        }
    }

    /// Returns the least urgent tier that is accepted, if any.
    fn admits(&self, now: Instant) -> Option<Tier> {
        self.refusal_reason().is_none().then_some(())?;
        let full = self.queue.len() >= self.capacity.cfg.queue_requests as usize;
        let least_urgent = self.queue.least_urgent().filter(|_| full);
        let by_room = match least_urgent {
            Some(least_urgent) => Tier::all().rev().find(|t| t.outranks(least_urgent))?,
            None => Tier::LEAST_URGENT,
        };
        let closed = Tier::all().find(|t| self.closed_until[t.index()] > now);
        Some(closed.map_or(by_room, |t| t.min(by_room)))
    }
}
