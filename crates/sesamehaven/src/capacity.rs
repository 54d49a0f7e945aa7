//! How much work an endpoint can take now, and how long it will take.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#gate).

use crate::config::PoolKind;
use crate::fair::{Item, Lane, Lanes};
use crate::forecast::Forecast;
use crate::id::RequestId;
use crate::limit::Limit;
use crate::offer::{GateConfig, Work};
use crate::queue::{Queue, Queued};
use crate::running::{Run, Running};
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The prefill that the most urgent tier may have waiting at the engine.
const URGENT_PREFILL: Millis = Millis(200);
/// The prefill that other tiers may have waiting at the engine.
const OTHER_PREFILL: Millis = Millis(80);
/// The requests that are dispatched at once before anything was measured.
const START_REQUESTS: f64 = 8.0;
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

/// The capacity of one endpoint, as learned from what ran there.
#[derive(Debug)]
pub(crate) struct Capacity {
    pub(crate) cfg: GateConfig,
    pub(crate) forecast: Forecast,
    limit: Limit,
}

impl Capacity {
    /// Starts with guesses.
    pub(crate) fn new(cfg: GateConfig) -> Self {
        let forecast = Forecast::new(cfg.kind);
        let start = START_REQUESTS * forecast.mean_cost();
        let objective = &cfg.objective;
        Capacity {
            limit: Limit::new(start, objective.first_token, objective.between_tokens),
            forecast,
            cfg,
        }
    }

    /// Arranges an offer for the queue, with its size, lane and latest start.
    pub(crate) fn arrange(&self, work: &Work, seq: u64) -> Queued {
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
            seq,
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
        let long_prompt = LONG_FACTOR * self.forecast.mean_prompt();
        let long_prompt = long_prompt.max(self.prefill_window(work.tier) / 2.0);
        let long = cost as f64 > self.long_cost() || prompt as f64 > long_prompt;
        match self.cfg.kind == PoolKind::Model && long {
            true => Lane::Long,
            false => Lane::Short,
        }
    }

    /// Builds the run of work that is dispatched now, and learns its size.
    pub(crate) fn dispatch(&mut self, work: &Queued, now: Instant) -> Run {
        let prefill = (self.prefill_window(work.tier) / 2.0) as u64;
        let counted = work.item.cost.min(self.long_cost() as u64);
        self.forecast.on_work(work.prompt, work.item.cost);
        Run {
            tier: work.tier,
            counted: counted.max(1),
            prompt: work.prompt,
            prefill: work.prompt.min(prefill),
            long: work.item.lane == Lane::Long,
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
        }
    }

    /// Learns the size of an offer as long as hardly any were seen.
    pub(crate) fn learn_size(&mut self, work: &Queued) {
        if self.forecast.knows_sizes() {
            return;
        }
        self.forecast.on_work(work.prompt, work.item.cost);
        let start = START_REQUESTS * self.forecast.mean_cost();
        self.limit.start_at(start);
    }

    /// Takes in the time to a first token.
    pub(crate) fn on_first_token(&mut self, run: &Run, counted: u64, now: Instant) {
        if run.long || run.late {
            return;
        }
        let span = now.since(run.dispatched).0 as f64;
        self.limit.observe_first_token(span, counted as f64, now);
    }

    /// Takes in that `count` tokens of one stream came after `gap` milliseconds.
    pub(crate) fn on_tokens(&mut self, count: u32, gap: u64, counted: u64, now: Instant) {
        self.forecast.on_tokens(count, gap);
        let between = gap as f64 / f64::from(count);
        let counted = counted as f64;
        self.limit.observe_between_tokens(between, counted, now);
    }

    /// Lets the limit judge its window, in which late first tokens count too.
    pub(crate) fn judge(&mut self, running: &mut Running, now: Instant) {
        if let Some((_, id)) = self.next_late(running).filter(|(at, _)| *at <= now) {
            let since = running.get(id).map(|r| now.since(r.dispatched).0);
            running.mark_late(id);
            let span = since.unwrap_or_default() as f64;
            let counted = running.counted() as f64;
            self.limit.observe_first_token(span, counted, now);
        }
        let mean = self.forecast.mean_cost();
        let ceiling = 2.0 * f64::from(self.cfg.concurrency) * mean;
        self.limit.tick(FLOOR_REQUESTS * mean, ceiling, now);
    }

    /// Returns when the run that has waited longest counts as late.
    pub(crate) fn next_late(&self, running: &Running) -> Option<(Instant, RequestId)> {
        let (dispatched, id) = running.oldest_waiting()?;
        let run = running.get(id).filter(|r| !r.late)?;
        let prefill = Millis(self.forecast.prefill_time(run.prompt) as u64);
        let target = self.cfg.objective.first_token.max(prefill);
        Some((dispatched.after(Millis(target.0 * LATE_FACTOR)), id))
    }

    /// Returns the limit, in tokens.
    pub(crate) fn limit(&self) -> f64 {
        let floor = FLOOR_REQUESTS * self.forecast.mean_cost();
        self.limit.tokens().max(floor)
    }

    /// Returns the part of the limit that the configured concurrency can use.
    pub(crate) fn drained_limit(&self) -> f64 {
        let most = f64::from(self.cfg.concurrency) * self.forecast.mean_cost();
        self.limit().min(most)
    }

    /// Returns whether the limit has room for another run of a tier.
    pub(crate) fn has_room(&self, running: &Running, tier: Tier) -> bool {
        let share = self.share(tier);
        let slots = (f64::from(self.cfg.concurrency) * share).max(1.0);
        let free = (running.counted() as f64) < self.limit() * share;
        free && running.len() < slots as usize
    }

    /// Returns which lanes of a tier may be served now.
    pub(crate) fn lanes(&self, running: &Running, tier: Tier) -> Option<Lanes> {
        if running.is_empty() {
            return Some(Lanes::ALL);
        }
        if !self.has_room(running, tier) {
            return None;
        }
        if running.prefill_down_to(tier) as f64 >= self.prefill_window(tier) {
            return None;
        }
        let long_runs = running.long_down_to(tier);
        let long_prefill = running.long_prefill_down_to(tier);
        Some(Lanes {
            short: true,
            long: long_runs < LONG_RUNS && long_prefill == 0,
            suspect: !running.has_suspect(),
        })
    }

    /// Estimates the time until new work would be dispatched, in milliseconds.
    pub(crate) fn wait(&self, queue: &Queue, running: &Running, work: &Queued) -> f64 {
        let (cost, prompt) = queue.ahead(work);
        let prefill = match self.cfg.kind {
            PoolKind::Model => prompt + running.prefill_down_to(work.tier),
            PoolKind::Service => 0,
        };
        let prefill_time = self.forecast.prefill_rate().millis_for(prefill as f64);
        let share = self.limit() * self.share(work.tier);
        let full = running.len() >= self.cfg.concurrency as usize;
        let room = if full {
            0.0
        } else {
            (share - running.counted() as f64).max(0.0)
        };
        let waiting = cost as f64 + 1.0 - room;
        let drain_time = self.forecast.drain_time(waiting, self.drained_limit());
        prefill_time.max(drain_time)
    }

    fn long_cost(&self) -> f64 {
        let mean = LONG_FACTOR * self.forecast.mean_cost();
        mean.max(LONG_SHARE * self.limit())
    }

    fn prefill_window(&self, tier: Tier) -> f64 {
        let span = if self.cfg.most_urgent.outranks(tier) {
            OTHER_PREFILL
        } else {
            URGENT_PREFILL
        };
        let tokens = self.forecast.prefill_rate().0 * span.0 as f64 / 1_000.0;
        tokens.max(self.forecast.mean_prompt())
    }

    /// Returns the part of the endpoint that a tier may use.
    fn share(&self, tier: Tier) -> f64 {
        if self.cfg.most_urgent.outranks(tier) {
            return 1.0 - f64::from(self.cfg.reserve_percent.min(100)) / 100.0;
        }
        1.0
    }
}
