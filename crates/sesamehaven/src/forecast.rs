//! How long work will wait and run at one endpoint.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#estimates).

use crate::config::PoolKind;
use crate::estimate::{MeanEstimate, RateEstimate};
use crate::id::RequestId;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// The prefill rate that is assumed before any was measured.
///
/// It is generous, since an endpoint that looks slow before it was tried would
/// never be tried while a measured one has room.
const PREFILL_GUESS: TokenRate = TokenRate(20_000.0);
/// The decode rate of one stream that is assumed before any was measured.
const DECODE_GUESS: TokenRate = TokenRate(30.0);
/// The work of a request that is assumed before any was seen, in tokens.
const COST_GUESS: f64 = 640.0;
/// The prompt of a request that is assumed before any was seen, in tokens.
const PROMPT_GUESS: f64 = 512.0;
/// The time of a run that is assumed before any was seen.
const RUN_GUESS: Millis = Millis(2_000);
/// Prefill is measured over spans of at least this length.
const PREFILL_SPAN: Millis = Millis(20);
/// The time in which refused demand is forgotten by half.
const REFUSED_HALF_LIFE: Millis = Millis(4_000);
/// The shortest time after which a refused caller is asked to come back.
const RETRY_MIN: Millis = Millis(1_000);
/// The longest time after which a refused caller is asked to come back.
const RETRY_MAX: Millis = Millis(120_000);

/// Learned rates of one endpoint and what follows from them.
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
    /// Starts with guesses.
    pub fn new(kind: PoolKind) -> Self {
        Forecast {
            kind,
            prefill: RateEstimate::new(PREFILL_GUESS),
            decode: RateEstimate::new(DECODE_GUESS),
            cost: MeanEstimate::new(COST_GUESS),
            prompt: MeanEstimate::new(PROMPT_GUESS),
            run: MeanEstimate::new(RUN_GUESS.0 as f64),
            prefill_tokens: 0.0,
            prefill_millis: 0.0,
            refused: [0.0; Tier::COUNT],
            refused_at: Instant::default(),
        }
    }

    /// Takes in the size of a request.
    pub fn on_work(&mut self, prompt: u64, cost: u64) {
        self.prompt.observe(prompt as f64);
        self.cost.observe(cost as f64);
    }

    /// Takes in that a prompt was prefilled in so many milliseconds of the
    /// endpoint's time.
    pub fn on_prefill(&mut self, prompt: u64, millis: f64) {
        self.prefill_tokens += prompt as f64;
        self.prefill_millis += millis;
        if self.prefill_millis < PREFILL_SPAN.0 as f64 {
            return;
        }
        self.prefill
            .observe(self.prefill_tokens, self.prefill_millis);
        self.prefill_tokens = 0.0;
        self.prefill_millis = 0.0;
    }

    /// Takes in tokens of one stream that arrived after `gap` milliseconds.
    pub fn on_tokens(&mut self, count: u32, gap: u64) {
        self.decode.observe(f64::from(count), gap as f64);
    }

    /// Takes in how long a run took that came to its end.
    pub fn on_run(&mut self, span: Millis) {
        self.run.observe(span.0 as f64);
    }

    /// Takes in work that was refused for load.
    pub fn on_refused(&mut self, tier: Tier, cost: u64, now: Instant) {
        let part = self.remembered(now);
        self.refused.iter_mut().for_each(|r| *r *= part);
        self.refused_at = now;
        self.refused[tier.index()] += cost as f64;
    }

    fn remembered(&self, now: Instant) -> f64 {
        let age = now.since(self.refused_at).0 as f64;
        0.5_f64.powf(age / REFUSED_HALF_LIFE.0 as f64)
    }

    /// Returns the learned prefill rate.
    pub fn prefill_rate(&self) -> TokenRate {
        self.prefill.rate()
    }

    /// Returns the learned decode rate of one stream.
    pub fn decode_rate(&self) -> TokenRate {
        self.decode.rate()
    }

    /// Returns the mean work of a request, in tokens.
    pub fn mean_cost(&self) -> f64 {
        self.cost.mean().max(1.0)
    }

    /// Returns the mean prompt of a request, in tokens.
    pub fn mean_prompt(&self) -> f64 {
        self.prompt.mean().max(1.0)
    }

    /// Returns whether the sizes of requests are known.
    pub fn knows_sizes(&self) -> bool {
        self.cost.is_learned()
    }

    /// Returns whether work may be refused on the strength of the estimates.
    pub fn is_learned(&self) -> bool {
        match self.kind {
            PoolKind::Model => self.prefill.is_learned() && self.decode.is_learned(),
            PoolKind::Service => self.run.is_learned(),
        }
    }

    /// Returns the time to the first token of work that starts at once.
    pub fn prefill_time(&self, prompt: u64) -> f64 {
        match self.kind {
            PoolKind::Model => self.prefill_rate().millis_for(prompt as f64),
            PoolKind::Service => self.run.mean(),
        }
    }

    /// Returns the time to the last token of work that starts at once.
    pub fn run_time(&self, prompt: u64, output: u64) -> f64 {
        let decode = match self.kind {
            PoolKind::Model => self.decode_rate().millis_for(output as f64),
            PoolKind::Service => 0.0,
        };
        self.prefill_time(prompt) + decode
    }

    /// Returns the time in which work ends that takes up `cost` tokens of a
    /// limit, when all of the limit is in use.
    pub fn drain_time(&self, cost: f64, limit: f64) -> f64 {
        if !self.run.is_learned() || cost <= 0.0 {
            return 0.0;
        }
        cost * self.run.mean() / limit.max(1.0)
    }

    /// Returns the rate at which work ends when all of a limit is in use.
    pub fn drain_rate(&self, limit: f64) -> TokenRate {
        TokenRate(limit.max(1.0) * 1_000.0 / self.run.mean().max(1.0))
    }

    /// Returns when it is worth coming back.
    ///
    /// This is the time to work off what is queued and what has been refused
    /// lately, spread by a quarter either way so that callers do not return
    /// together.
    pub fn retry_after(
        &self,
        id: RequestId,
        tier: Tier,
        queued: u64,
        limit: f64,
        now: Instant,
    ) -> Millis {
        let refused: f64 = self.refused[..=tier.index()].iter().sum();
        let demand = queued as f64 + refused * self.remembered(now);
        let span = demand * self.run.mean() / limit.max(1.0);
        let span = span.clamp(RETRY_MIN.0 as f64, RETRY_MAX.0 as f64);
        Millis((span * spread(id)) as u64)
    }
}

/// Spreads requests evenly between 0.75 and 1.25.
fn spread(id: RequestId) -> f64 {
    let folded = (id.0 >> 64) as u64 ^ id.0 as u64;
    let mixed = folded.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    0.75 + 0.5 * (mixed >> 11) as f64 / (1u64 << 53) as f64
}
