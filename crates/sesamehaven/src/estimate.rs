//! Online estimates of rates and means, measured from an endpoint's responses.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#estimates).

use crate::unit::TokenRate;

/// The minimum weight of a new sample.
const MIN_SAMPLE_WEIGHT: f64 = 0.08;
/// The factor by which a sample may deviate from the estimate; beyond it, it is clipped.
///
/// A mean clips only upwards.
const MAX_DEVIATION: f64 = 5.0;
/// The number of samples after which an estimate may justify a refusal.
const RELIABLE_SAMPLES: u32 = 4;

/// A rate in tokens per second that is robust to single outliers.
///
/// Tokens and time are summed separately, so that long requests have more weight and a
/// fixed cost per request does not distort the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateEstimate {
    tokens: f64,
    millis: f64,
    samples: u32,
}

impl RateEstimate {
    /// Creates an estimate with an initial value, which the first sample replaces.
    pub fn new(initial: TokenRate) -> Self {
        RateEstimate {
            tokens: initial.0.max(f64::MIN_POSITIVE),
            millis: 1_000.0,
            samples: 0,
        }
    }

    /// Records that `tokens` were processed in `millis` milliseconds.
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
        let millis = millis.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION);
        let keep = 1.0 - MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.tokens = self.tokens * keep + tokens * (1.0 - keep);
        self.millis = self.millis * keep + millis * (1.0 - keep);
    }

    /// Returns the estimated rate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.tokens * 1_000.0 / self.millis)
    }

    /// Returns whether there are enough samples to base a refusal on.
    pub fn is_learned(&self) -> bool {
        self.samples >= RELIABLE_SAMPLES
    }
}

/// A mean of recent samples that is robust to single outliers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanEstimate {
    mean: f64,
    samples: u32,
}

impl MeanEstimate {
    /// Creates an estimate with an initial value, which the first sample replaces.
    pub fn new(initial: f64) -> Self {
        MeanEstimate {
            mean: initial,
            samples: 0,
        }
    }

    /// Records a sample, which must not be negative.
    pub fn observe(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = sample;
            return;
        }
        let sample = sample.min(self.mean.max(f64::MIN_POSITIVE) * MAX_DEVIATION + 1.0);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += weight * (sample - self.mean);
    }

    /// Returns the estimated mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns whether there are enough samples to base a refusal on.
    pub fn is_learned(&self) -> bool {
        self.samples >= RELIABLE_SAMPLES
    }
}
