//! Rates of work that are learned on line from an endpoint's answers.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#estimates).

use crate::unit::TokenRate;

/// The share of the sums that each new sample displaces.
const FORGET: f64 = 0.08;
/// A sample counts as at most this many times slower or faster than the mean.
const CLIP: f64 = 5.0;
/// The samples after which an estimate may justify a refusal.
const LEARNED_SAMPLES: u32 = 4;

/// A rate in tokens a second that single outliers cannot move far.
///
/// Tokens and time are summed apart, so that long requests weigh by their
/// length and a fixed cost of each request does not distort the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateEstimate {
    tokens: f64,
    millis: f64,
    samples: u32,
}

impl RateEstimate {
    /// Starts from a guess, which the first samples replace.
    pub fn new(guess: TokenRate) -> Self {
        RateEstimate {
            tokens: guess.0.max(f64::MIN_POSITIVE),
            millis: 1_000.0,
            samples: 0,
        }
    }

    /// Takes in that `tokens` were worked off in `millis`.
    pub fn observe(&mut self, tokens: f64, millis: f64) {
        if tokens <= 0.0 || millis < 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.tokens = tokens;
            self.millis = millis.max(f64::EPSILON);
            return;
        }
        let expected = tokens * self.millis / self.tokens;
        let millis = millis.clamp(expected / CLIP, expected * CLIP);
        let keep = 1.0 - FORGET.max(1.0 / f64::from(self.samples));
        self.tokens = self.tokens * keep + tokens * (1.0 - keep);
        self.millis = self.millis * keep + millis * (1.0 - keep);
    }

    /// Returns the rate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.tokens * 1_000.0 / self.millis)
    }

    /// Returns whether enough was seen to refuse work on the strength of it.
    pub fn is_learned(&self) -> bool {
        self.samples >= LEARNED_SAMPLES
    }
}

/// A mean that follows recent samples and that single outliers cannot move far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanEstimate {
    mean: f64,
    samples: u32,
}

impl MeanEstimate {
    /// Starts from a guess, which the first samples replace.
    pub fn new(guess: f64) -> Self {
        MeanEstimate {
            mean: guess,
            samples: 0,
        }
    }

    /// Takes in one sample, which is not negative.
    pub fn observe(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = sample;
            return;
        }
        let sample = sample.min(self.mean.max(f64::MIN_POSITIVE) * CLIP + 1.0);
        let part = FORGET.max(1.0 / f64::from(self.samples));
        self.mean += part * (sample - self.mean);
    }

    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns whether enough was seen to refuse work on the strength of it.
    pub fn is_learned(&self) -> bool {
        self.samples >= LEARNED_SAMPLES
    }
}
