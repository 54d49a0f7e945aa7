//! An adaptive concurrency limit for an endpoint, derived from its response times.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#concurrency-limit).

use crate::unit::{Instant, Millis};

/// The shortest window before samples are evaluated.
const MIN_WINDOW: Millis = Millis(400);
/// The window length after which samples are evaluated however few there are.
const MAX_WINDOW: Millis = Millis(1_500);
/// The number of samples that a window needs unless it has reached the longest length.
const MIN_SAMPLES: u32 = 8;
/// The share of the target above which the endpoint counts as overloaded.
const TARGET_SHARE: f64 = 0.85;
/// The share of the overload threshold above which the limit no longer grows.
const HOLD_SHARE: f64 = 0.85;
/// The factor by which response times may exceed the unloaded ones at an endpoint that
/// misses the target even when unloaded.
const MAX_SLOWDOWN: f64 = 1.6;
/// The factor of the largest decrease of the limit in one window.
const LOWEST_DECREASE_FACTOR: f64 = 0.5;
/// The factor of the smallest decrease of the limit in one window.
const HIGHEST_DECREASE_FACTOR: f64 = 0.9;
/// The growth factor of the limit in one window before the first overload.
const INITIAL_GROWTH_FACTOR: f64 = 1.5;
/// The growth factor of the limit in one window after the first overload.
const GROWTH_FACTOR: f64 = 1.06;
/// The share of the limit that must be in use for the limit to grow.
const MIN_UTILISATION: f64 = 0.7;
/// The gain with which the baseline follows rising unloaded response times.
const BASELINE_GAIN: f64 = 0.6;
/// An endpoint counts as unloaded up to this multiple of the minimum limit.
const UNLOADED_FLOOR_FACTOR: f64 = 1.5;

/// An adaptive concurrency limit, in tokens of work.
///
/// The limit decreases by up to half in each window whose mean response time exceeds the
/// overload threshold, a share of the target. It grows while the mean is well below the
/// threshold and the limit is in use. An endpoint that misses the target even when nearly
/// idle is compared with its own unloaded response time instead.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    tokens: f64,
    first_token: Signal,
    between_tokens: Signal,
    evaluated: bool,
    was_overloaded: bool,
    window_start: Option<Instant>,
    peak_running: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit of `tokens` with target response times for the first token and
    /// between tokens.
    pub fn new(tokens: f64, first_token: Millis, between_tokens: Millis) -> Self {
        ConcurrencyLimit {
            tokens,
            first_token: Signal::new(first_token),
            between_tokens: Signal::new(between_tokens),
            evaluated: false,
            was_overloaded: false,
            window_start: None,
            peak_running: 0.0,
        }
    }

    /// Sets the limit unless a window has been evaluated already.
    pub fn set_initial(&mut self, tokens: f64) {
        if !self.evaluated {
            self.tokens = tokens;
        }
    }

    /// Returns the current limit.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Records a time to first token and the work that was running.
    pub fn observe_first_token(&mut self, millis: f64, running: f64, now: Instant) {
        self.record_running(running, now);
        self.first_token.observe(millis);
    }

    /// Records a time between tokens and the work that was running.
    pub fn observe_between_tokens(&mut self, millis: f64, running: f64, now: Instant) {
        self.record_running(running, now);
        self.between_tokens.observe(millis);
    }

    /// Evaluates the window if it is complete; `floor` is the minimum useful limit.
    pub fn evaluate(&mut self, floor: f64, ceiling: f64, now: Instant) {
        let Some(window_start) = self.window_start else {
            return;
        };
        let age = now.since(window_start);
        let samples = self.first_token.samples + self.between_tokens.samples;
        let is_complete = samples >= MIN_SAMPLES && age >= MIN_WINDOW;
        if !is_complete && age < MAX_WINDOW {
            return;
        }
        let unloaded = self.peak_running <= floor * UNLOADED_FLOOR_FACTOR;
        let first_token = self.first_token.close(unloaded);
        let between_tokens = self.between_tokens.close(unloaded);
        self.adjust(first_token.max(between_tokens));
        self.tokens = self.tokens.clamp(floor, ceiling.max(floor));
        self.evaluated = true;
        self.window_start = None;
        self.peak_running = 0.0;
    }

    fn record_running(&mut self, running: f64, now: Instant) {
        self.window_start.get_or_insert(now);
        self.peak_running = self.peak_running.max(running);
    }

    fn adjust(&mut self, overload: f64) {
        if overload > 1.0 {
            self.was_overloaded = true;
            self.tokens *= (1.0 / overload).clamp(LOWEST_DECREASE_FACTOR, HIGHEST_DECREASE_FACTOR);
            return;
        }
        let in_use = self.peak_running >= self.tokens * MIN_UTILISATION;
        if !in_use || overload > HOLD_SHARE {
            return;
        }
        let growth = if self.was_overloaded {
            GROWTH_FACTOR
        } else {
            INITIAL_GROWTH_FACTOR
        };
        self.tokens *= growth;
    }
}

/// One kind of response time, with its overload threshold and its unloaded
/// baseline.
#[derive(Debug, Clone)]
struct Signal {
    threshold: f64,
    baseline: Option<f64>,
    sum: f64,
    samples: u32,
}

impl Signal {
    fn new(target: Millis) -> Self {
        Signal {
            threshold: target.0 as f64 * TARGET_SHARE,
            baseline: None,
            sum: 0.0,
            samples: 0,
        }
    }

    fn observe(&mut self, millis: f64) {
        self.sum += millis;
        self.samples += 1;
    }

    /// Closes the window and returns the ratio of its mean to the overload threshold.
    fn close(&mut self, unloaded: bool) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        let mean = self.sum / f64::from(self.samples);
        self.sum = 0.0;
        self.samples = 0;
        self.update_baseline(mean, unloaded);
        let own = self.baseline.unwrap_or(0.0) * MAX_SLOWDOWN;
        mean / own.max(self.threshold)
    }

    fn update_baseline(&mut self, mean: f64, unloaded: bool) {
        let Some(baseline) = &mut self.baseline else {
            self.baseline = Some(mean.min(self.threshold));
            return;
        };
        if mean < *baseline {
            *baseline = mean;
        } else if unloaded {
            *baseline += BASELINE_GAIN * (mean - *baseline);
        }
    }
}
