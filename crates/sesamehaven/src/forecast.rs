//! Estimates of how long work waits and runs at one endpoint.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#estimates).

use crate::config::PoolKind;
use crate::estimate::{MeanEstimate, RateEstimate};
use crate::id::RequestId;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// The prefill rate assumed before any measurement.
///
/// It is optimistic: an endpoint that looks slow before it was tried would never be
/// tried while a measured one has room.
const INITIAL_PREFILL_RATE: TokenRate = TokenRate(20_000.0);
/// The decode rate of one stream assumed before any measurement.
const INITIAL_DECODE_RATE: TokenRate = TokenRate(30.0);
/// The cost of a request assumed before any measurement, in tokens.
const INITIAL_COST_TOKENS: f64 = 640.0;
/// The prompt length assumed before any measurement, in tokens.
const INITIAL_PROMPT_TOKENS: f64 = 512.0;
/// The duration of a run assumed before any measurement.
const INITIAL_RUN_TIME: Millis = Millis(2_000);
/// The minimum time over which prefill is measured.
const MIN_PREFILL_SPAN: Millis = Millis(20);
/// The half-life of refused demand.
const REFUSED_HALF_LIFE: Millis = Millis(4_000);
/// The minimum retry delay of a refused caller, before jitter.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
/// The maximum retry delay of a refused caller, before jitter.
const MAX_RETRY_AFTER: Millis = Millis(120_000);

/// The measured rates of one endpoint and the estimates derived from them.
#[derive(Debug, Clone)]
pub struct Forecast {
    kind: PoolKind,
    prefill: RateEstimate,
    decode: RateEstimate,
    cost: MeanEstimate,
    prompt: MeanEstimate,
    run: MeanEstimate,
    prefill_tokens: f64,
    prefill_millis: f64,
    refused: [f64; Tier::COUNT],
    refused_at: Instant,
}

impl Forecast {
    /// Creates a forecast with initial estimates.
    pub fn new(kind: PoolKind) -> Self {
        Forecast {
            kind,
            prefill: RateEstimate::new(INITIAL_PREFILL_RATE),
            decode: RateEstimate::new(INITIAL_DECODE_RATE),
            cost: MeanEstimate::new(INITIAL_COST_TOKENS),
            prompt: MeanEstimate::new(INITIAL_PROMPT_TOKENS),
            run: MeanEstimate::new(INITIAL_RUN_TIME.0 as f64),
            prefill_tokens: 0.0,
            prefill_millis: 0.0,
            refused: [0.0; Tier::COUNT],
            refused_at: Instant::default(),
        }
    }

    /// Records the size of a request.
    pub fn on_work(&mut self, prompt: u64, cost: u64) {
        self.prompt.observe(prompt as f64);
        self.cost.observe(cost as f64);
    }

    /// Records that a prompt was prefilled in `millis` milliseconds of the endpoint's time.
    pub fn on_prefill(&mut self, prompt: u64, millis: f64) {
        self.prefill_tokens += prompt as f64;
        self.prefill_millis += millis;
        if self.prefill_millis < MIN_PREFILL_SPAN.0 as f64 {
            return;
        }
        self.prefill
            .observe(self.prefill_tokens, self.prefill_millis);
        self.prefill_tokens = 0.0;
        self.prefill_millis = 0.0;
    }

    /// Records tokens of one stream that arrived after `gap` milliseconds.
    pub fn on_tokens(&mut self, count: u32, gap: u64) {
        self.decode.observe(f64::from(count), gap as f64);
    }

    /// Records the duration of a completed run.
    pub fn on_run(&mut self, span: Millis) {
        self.run.observe(span.0 as f64);
    }

    /// Records work that was refused because of load.
    pub fn on_refused(&mut self, tier: Tier, cost: u64, now: Instant) {
        let decay = self.refused_decay(now);
        self.refused.iter_mut().for_each(|r| *r *= decay);
        self.refused_at = now;
        self.refused[tier.index()] += cost as f64;
    }

    fn refused_decay(&self, now: Instant) -> f64 {
        let age = now.since(self.refused_at).0 as f64;
        0.5_f64.powf(age / REFUSED_HALF_LIFE.0 as f64)
    }

    /// Returns the measured prefill rate.
    pub fn prefill_rate(&self) -> TokenRate {
        self.prefill.rate()
    }

    /// Returns the measured decode rate of one stream.
    pub fn decode_rate(&self) -> TokenRate {
        self.decode.rate()
    }

    /// Returns the mean cost of a request, in tokens.
    pub fn mean_cost(&self) -> f64 {
        self.cost.mean().max(1.0)
    }

    /// Returns the mean prompt length, in tokens.
    pub fn mean_prompt(&self) -> f64 {
        self.prompt.mean().max(1.0)
    }

    /// Returns whether enough requests were seen to estimate their size.
    pub fn has_size_estimate(&self) -> bool {
        self.cost.is_learned()
    }

    /// Returns whether the estimates are reliable enough to refuse work.
    pub fn is_learned(&self) -> bool {
        match self.kind {
            PoolKind::Model => self.prefill.is_learned() && self.decode.is_learned(),
            PoolKind::Service => self.run.is_learned(),
        }
    }

    /// Returns the time to first token of work that starts at once, in milliseconds.
    pub fn prefill_time(&self, prompt: u64) -> f64 {
        match self.kind {
            PoolKind::Model => self.prefill_rate().millis_for(prompt as f64),
            PoolKind::Service => self.run.mean(),
        }
    }

    /// Returns the time to the last token of work that starts at once, in milliseconds.
    pub fn run_time(&self, prompt: u64, output: u64) -> f64 {
        let decode = match self.kind {
            PoolKind::Model => self.decode_rate().millis_for(output as f64),
            PoolKind::Service => 0.0,
        };
        self.prefill_time(prompt) + decode
    }

    /// Returns the time until work of `cost` tokens has completed at a fully used limit, in
    /// milliseconds.
    pub fn drain_time(&self, cost: f64, limit: f64) -> f64 {
        if !self.run.is_learned() || cost <= 0.0 {
            return 0.0;
        }
        cost * self.run.mean() / limit.max(1.0)
    }

    /// Returns the rate at which work completes at a fully used limit.
    pub fn drain_rate(&self, limit: f64) -> TokenRate {
        TokenRate(limit.max(1.0) * 1_000.0 / self.run.mean().max(1.0))
    }

    /// Returns the delay after which a refused caller should retry.
    ///
    /// It is the time to drain the queue and the recently refused demand, with a jitter of
    /// a quarter either way so that callers do not return together.
    pub fn retry_after(
        &self,
        id: RequestId,
        tier: Tier,
        queued: u64,
        limit: f64,
        now: Instant,
    ) -> Millis {
        let refused: f64 = self.refused[..=tier.index()].iter().sum();
        let demand = queued as f64 + refused * self.refused_decay(now);
        let span = demand * self.run.mean() / limit.max(1.0);
        let span = span.clamp(MIN_RETRY_AFTER.0 as f64, MAX_RETRY_AFTER.0 as f64);
        Millis((span * jitter(id)) as u64)
    }
}

/// Returns a jitter factor, evenly distributed between 0.75 and 1.25.
fn jitter(id: RequestId) -> f64 {
    let folded = (id.0 >> 64) as u64 ^ id.0 as u64;
    let mixed = folded.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    0.75 + 0.5 * (mixed >> 11) as f64 / (1u64 << 53) as f64
}
