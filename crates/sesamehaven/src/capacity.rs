//! The capacity of one endpoint: how much work it can take and how long work waits.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#gate).

use crate::config::PoolKind;
use crate::fair::{Item, Lane, Lanes};
use crate::forecast::Forecast;
use crate::id::RequestId;
use crate::limit::ConcurrencyLimit;
use crate::offer::{GateConfig, Work};
use crate::queue::{Queue, QueuedWork};
use crate::running::{Run, Running};
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The prefill time that the most urgent tier may have pending at the engine.
const URGENT_PREFILL_WINDOW: Millis = Millis(200);
/// The prefill time that other tiers may have pending at the engine.
const PREFILL_WINDOW: Millis = Millis(80);
/// The initial limit before any measurement, in requests of mean size.
const INITIAL_REQUESTS: f64 = 8.0;
/// The minimum limit, in requests of mean size.
const MIN_REQUESTS: f64 = 2.0;
/// Work counts as long above this multiple of the mean cost, but not below
/// [`LONG_SHARE`] of the limit, or if its prompt is above this multiple of the mean prompt
/// length, but not below half of the prefill window.
const LONG_FACTOR: f64 = 4.0;
/// The lower bound of the cost from which work counts as long, as a share of the limit.
///
/// The threshold is also the most that one run counts against the limit.
const LONG_SHARE: f64 = 0.25;
/// The maximum number of concurrent long runs.
const MAX_LONG_RUNS: u32 = 3;
/// A run without a first token counts as late after this multiple of the target.
const LATE_FACTOR: u64 = 2;

/// The capacity of one endpoint, as measured from its runs.
#[derive(Debug)]
pub(crate) struct Capacity {
    pub(crate) cfg: GateConfig,
    pub(crate) forecast: Forecast,
    limit: ConcurrencyLimit,
}

impl Capacity {
    /// Creates a capacity with initial estimates.
    pub(crate) fn new(cfg: GateConfig) -> Self {
        let forecast = Forecast::new(cfg.kind);
        let start = INITIAL_REQUESTS * forecast.mean_cost();
        let objective = &cfg.objective;
        Capacity {
            limit: ConcurrencyLimit::new(start, objective.first_token, objective.between_tokens),
            forecast,
            cfg,
        }
    }

    /// Converts an offer to a queue entry with its cost, lane and latest start.
    pub(crate) fn to_queued(&self, work: &Work, seq: u64) -> QueuedWork {
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
        QueuedWork {
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
        // A prompt of at most half the window leaves room for others, see `new_run`.
        let long_prompt = long_prompt.max(self.prefill_window(work.tier) / 2.0);
        let long = cost as f64 > self.long_cost() || prompt as f64 > long_prompt;
        match self.cfg.kind == PoolKind::Model && long {
            true => Lane::Long,
            false => Lane::Short,
        }
    }

    /// Creates the run of work that is dispatched now, and records its size.
    pub(crate) fn new_run(&mut self, work: &QueuedWork, now: Instant) -> Run {
        // One run counts for at most half of the window, so that a long prompt does not close
        // the window to others.
        let prefill = (self.prefill_window(work.tier) / 2.0) as u64;
        let counted = work.item.cost.min(self.long_cost() as u64);
        self.forecast.on_work(work.prompt, work.item.cost);
        Run {
            tier: work.tier,
            counted_tokens: counted.max(1),
            prompt: work.prompt,
            prefill: work.prompt.min(prefill),
            long: work.item.lane == Lane::Long,
            suspect: work.item.lane == Lane::Suspect,
            repeat: work.repeat,
            fingerprint: work.fingerprint,
            dispatched: now,
            prefill_clock: 0.0,
            first_token: None,
            last_token: now,
            unmeasured: 0,
            cancelling: false,
            late: false,
        }
    }

    /// Records the size of an offer while there is no estimate of request sizes yet.
    pub(crate) fn record_size(&mut self, work: &QueuedWork) {
        if self.forecast.has_size_estimate() {
            return;
        }
        self.forecast.on_work(work.prompt, work.item.cost);
        let start = INITIAL_REQUESTS * self.forecast.mean_cost();
        self.limit.set_initial(start);
    }

    /// Records the time to a first token.
    pub(crate) fn on_first_token(&mut self, run: &Run, counted: u64, now: Instant) {
        if run.long || run.late {
            return;
        }
        let span = now.since(run.dispatched).0 as f64;
        self.limit.observe_first_token(span, counted as f64, now);
    }

    /// Records that `count` tokens of one stream arrived after `gap` milliseconds.
    pub(crate) fn on_tokens(&mut self, count: u32, gap: u64, counted: u64, now: Instant) {
        self.forecast.on_tokens(count, gap);
        let between = gap as f64 / f64::from(count);
        let counted = counted as f64;
        self.limit.observe_between_tokens(between, counted, now);
    }

    /// Records an overdue first token, if there is one, and evaluates the limit's window.
    pub(crate) fn evaluate_limit(&mut self, running: &mut Running, now: Instant) {
        if let Some((_, id)) = self.next_late(running).filter(|(at, _)| *at <= now) {
            let since = running.get(id).map(|r| now.since(r.dispatched).0);
            running.mark_late(id);
            let span = since.unwrap_or_default() as f64;
            let counted = running.counted_tokens() as f64;
            self.limit.observe_first_token(span, counted, now);
        }
        let mean = self.forecast.mean_cost();
        // The limit may grow to twice the configured concurrency, in requests of mean size.
        let ceiling = 2.0 * f64::from(self.cfg.concurrency) * mean;
        self.limit.evaluate(MIN_REQUESTS * mean, ceiling, now);
    }

    /// Returns when the longest-waiting run becomes late.
    pub(crate) fn next_late(&self, running: &Running) -> Option<(Instant, RequestId)> {
        let (dispatched, id) = running.oldest_waiting()?;
        let run = running.get(id).filter(|r| !r.late)?;
        let prefill = Millis(self.forecast.prefill_time(run.prompt) as u64);
        let target = self.cfg.objective.first_token.max(prefill);
        Some((dispatched.after(Millis(target.0 * LATE_FACTOR)), id))
    }

    /// Returns the limit, in tokens.
    pub(crate) fn limit(&self) -> f64 {
        let floor = MIN_REQUESTS * self.forecast.mean_cost();
        self.limit.tokens().max(floor)
    }

    /// Returns the part of the limit that the configured concurrency can use, in tokens.
    pub(crate) fn usable_limit(&self) -> f64 {
        let usable = f64::from(self.cfg.concurrency) * self.forecast.mean_cost();
        self.limit().min(usable)
    }

    /// Returns whether the limit admits another run of a tier.
    pub(crate) fn has_room(&self, running: &Running, tier: Tier) -> bool {
        let share = self.share(tier);
        let slots = (f64::from(self.cfg.concurrency) * share).max(1.0);
        let free = (running.counted_tokens() as f64) < self.limit() * share;
        free && running.len() < slots as usize
    }

    /// Returns the lanes of a tier from which a request may be dispatched now, or [`None`] if
    /// the tier may dispatch nothing.
    pub(crate) fn available_lanes(&self, running: &Running, tier: Tier) -> Option<Lanes> {
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
            long: long_runs < MAX_LONG_RUNS && long_prefill == 0,
            suspect: !running.has_suspect(),
        })
    }

    /// Estimates the time until new work would be dispatched, in milliseconds.
    pub(crate) fn expected_wait(&self, queue: &Queue, running: &Running, work: &QueuedWork) -> f64 {
        let (cost, prompt) = queue.work_ahead(work);
        let prefill = match self.cfg.kind {
            PoolKind::Model => prompt + running.prefill_down_to(work.tier),
            PoolKind::Service => 0,
        };
        let prefill_time = self.forecast.prefill_rate().millis_for(prefill as f64);
        let tier_limit = self.limit() * self.share(work.tier);
        let full = running.len() >= self.cfg.concurrency as usize;
        let room = if full {
            0.0
        } else {
            (tier_limit - running.counted_tokens() as f64).max(0.0)
        };
        let waiting = cost as f64 + 1.0 - room;
        let drain_time = self.forecast.drain_time(waiting, self.usable_limit());
        prefill_time.max(drain_time)
    }

    fn long_cost(&self) -> f64 {
        let mean = LONG_FACTOR * self.forecast.mean_cost();
        mean.max(LONG_SHARE * self.limit())
    }

    fn prefill_window(&self, tier: Tier) -> f64 {
        let span = if self.cfg.most_urgent.outranks(tier) {
            PREFILL_WINDOW
        } else {
            URGENT_PREFILL_WINDOW
        };
        let tokens = self.forecast.prefill_rate().0 * span.0 as f64 / 1_000.0;
        tokens.max(self.forecast.mean_prompt())
    }

    /// Returns the share of the endpoint that a tier may use.
    fn share(&self, tier: Tier) -> f64 {
        if self.cfg.most_urgent.outranks(tier) {
            return 1.0 - f64::from(self.cfg.reserve_percent.min(100)) / 100.0;
        }
        1.0
    }
}
