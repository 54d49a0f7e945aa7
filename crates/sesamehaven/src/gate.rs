//! The only door to one endpoint: what is queued, dispatched, refused, evicted.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#gate).

use smallvec::{SmallVec, smallvec};

use crate::capacity::Capacity;
use crate::config::PoolKind;
use crate::fair::Lanes;
use crate::id::RequestId;
pub use crate::offer::{Ended, GateConfig, LoadView, Step, Verdict, Withdrawal, Work};
use crate::outcome::{Refusal, Refused};
use crate::queue::{Queue, Queued};
use crate::running::Running;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// How long a gate that refused a tier as full queues nothing less urgent.
pub const PROMISE: Millis = Millis(250);
/// The decode rate that is reported for plain services, which have no tokens.
const NO_DECODING: TokenRate = TokenRate(1e9);

/// The state of the door to one endpoint.
///
/// After each event the holder calls [`Gate::poll`], and again at
/// [`Gate::next_wake`].
#[derive(Debug)]
pub struct Gate {
    capacity: Capacity,
    queue: Queue,
    running: Running,
    promises: [Instant; Tier::COUNT],
    healthy: bool,
    leaving: bool,
    seq: u64,
}

impl Gate {
    /// Opens a gate with nothing queued or running.
    pub fn new(cfg: GateConfig) -> Self {
        Gate {
            capacity: Capacity::new(cfg),
            queue: Queue::default(),
            running: Running::default(),
            promises: [Instant::default(); Tier::COUNT],
            healthy: true,
            leaving: false,
            seq: 0,
        }
    }

    /// Takes changed settings; what is queued and running stays.
    pub fn set_config(&mut self, cfg: GateConfig) {
        self.capacity.cfg = cfg;
    }

    /// Notes whether the endpoint answers.
    ///
    /// While it does not, offers are refused and [`Gate::poll`] hands back what is queued.
    pub fn set_health(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// Decides about an offer.
    pub fn offer(&mut self, work: Work, now: Instant) -> Verdict {
        self.seq += 1;
        let queued = self.capacity.arrange(&work, self.seq);
        if let Some(reason) = self.closed() {
            return Verdict::Refused(self.refused(reason, &queued, now));
        }
        let known = self.queue.get(work.id).is_some() || self.running.get(work.id).is_some();
        if known {
            return Verdict::Refused(self.refused(Refusal::Unavailable, &queued, now));
        }
        self.capacity.learn_size(&queued);
        let wait = self.capacity.wait(&self.queue, &self.running, &queued);
        let start = Instant(now.0.saturating_add(wait as u64));
        let late = self.capacity.forecast.is_learned() && start > queued.latest_start;
        if late || now >= work.deadline {
            return Verdict::Refused(self.refuse(Refusal::DeadlineUnreachable, &queued, now));
        }
        let Some(evicted) = self.make_room(&queued, now) else {
            self.promises[work.tier.index()] = now.after(PROMISE);
            return Verdict::Refused(self.refuse(Refusal::Full, &queued, now));
        };
        self.queue.push(queued);
        let first_token = wait + self.capacity.forecast.prefill_time(queued.prompt);
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
        self.capacity.judge(&mut self.running, now);
        if !self.healthy {
            let handed_back = self.hand_back(Refusal::Unavailable, now);
            steps.extend(handed_back.into_iter().map(|(id, r)| Step::Refuse(id, r)));
            return steps;
        }
        while let Some(work) = self.queue.doomed(now).and_then(|id| self.queue.remove(id)) {
            let refused = self.refuse(Refusal::DeadlineUnreachable, &work, now);
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
        let counted = self.running.counted();
        let Some((run, prefill)) = self.running.first_token(id, now) else {
            return;
        };
        self.capacity.forecast.on_prefill(run.prompt, prefill);
        self.capacity.on_first_token(&run, counted, now);
    }

    /// Notes further tokens of a run.
    pub fn on_tokens(&mut self, id: RequestId, count: u32, now: Instant) {
        let Some((count, gap)) = self.running.tokens(id, count, now) else {
            return;
        };
        if self.capacity.cfg.kind == PoolKind::Model {
            let counted = self.running.counted();
            self.capacity.on_tokens(count, gap, counted, now);
        }
    }

    /// Notes the end of a run, which makes room.
    pub fn on_end(&mut self, id: RequestId, ended: Ended, now: Instant) {
        let counted = self.running.counted();
        let Some(run) = self.running.remove(id, now) else {
            return;
        };
        if ended != Ended::Whole {
            return;
        }
        self.capacity.forecast.on_run(now.since(run.dispatched));
        if self.capacity.cfg.kind == PoolKind::Service && run.first_token.is_none() {
            self.capacity.on_first_token(&run, counted, now);
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
        let late = self.capacity.next_late(&self.running).map(|(at, _)| at);
        let next = doom.into_iter().chain(late).min()?;
        Some(next.max(now.after(Millis(1))))
    }

    /// Returns the load as it is reported.
    ///
    /// Queued work is given in prompt tokens that take as long to prefill as
    /// the work takes to drain, and for a plain service in requests.
    pub fn load(&self, now: Instant) -> LoadView {
        let forecast = &self.capacity.forecast;
        let limit = self.capacity.drained_limit();
        let (prefill_rate, decode_rate) = match self.capacity.cfg.kind {
            PoolKind::Model => (forecast.prefill_rate(), forecast.decode_rate()),
            PoolKind::Service => (forecast.drain_rate(limit), NO_DECODING),
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

    fn dispatch(&mut self, now: Instant) -> Option<RequestId> {
        let tier = self.queue.most_urgent()?;
        let lanes = self.capacity.lanes(&self.running, tier)?;
        let id = self.queue.next(tier, lanes)?;
        let work = self.queue.serve(id)?;
        let run = self.capacity.dispatch(&work, now);
        self.running.insert(id, run);
        Some(id)
    }

    fn preempt(&mut self) -> Option<RequestId> {
        let tier = self.queue.most_urgent()?;
        let cfg = &self.capacity.cfg;
        let allowed = cfg.preempt && !cfg.urgent.outranks(tier);
        if !allowed || self.capacity.has_room(&self.running, tier) {
            return None;
        }
        self.running.preempt(tier)
    }

    /// Returns what was evicted for the work, or nothing when it has to be refused.
    fn make_room(
        &mut self,
        work: &Queued,
        now: Instant,
    ) -> Option<SmallVec<[(RequestId, Refused); 2]>> {
        if self.promised_above(work.tier, now) {
            let at_once = self.queue.is_empty() && self.is_open_to_all(work.tier);
            return at_once.then(SmallVec::new);
        }
        if self.queue.len() < self.capacity.cfg.queue_requests as usize {
            return Some(SmallVec::new());
        }
        let victim = self.queue.victim(work)?;
        let victim = self.queue.remove(victim)?;
        let refused = self.refuse(Refusal::Evicted, &victim, now);
        Some(smallvec![(victim.item.id, refused)])
    }

    fn is_open_to_all(&self, tier: Tier) -> bool {
        self.capacity.lanes(&self.running, tier) == Some(Lanes::ALL)
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
        self.capacity
            .forecast
            .on_refused(work.tier, work.item.cost, now);
        refused
    }

    fn refused(&self, reason: Refusal, work: &Queued, now: Instant) -> Refused {
        let queued = self.queue.cost_down_to(work.tier);
        let limit = self.capacity.drained_limit();
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

    /// Returns the least urgent tier that the queue would take, if any.
    fn admits(&self, now: Instant) -> Option<Tier> {
        self.closed().is_none().then_some(())?;
        let full = self.queue.len() >= self.capacity.cfg.queue_requests as usize;
        let lowest = self.queue.least_urgent().filter(|_| full);
        let by_room = match lowest {
            Some(lowest) => Tier::all().rev().find(|t| t.outranks(lowest))?,
            None => Tier::LEAST_URGENT,
        };
        let promised = Tier::all().find(|t| self.promises[t.index()] > now);
        Some(promised.map_or(by_room, |t| t.min(by_room)))
    }
}
