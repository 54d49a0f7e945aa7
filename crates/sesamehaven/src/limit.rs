//! The work that an endpoint is given at once, found from its response times.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#concurrency-limit).

use crate::unit::{Instant, Millis};

/// The shortest time over which samples are judged.
const WINDOW: Millis = Millis(400);
/// The time after which even a few samples are judged.
const LONGEST_WINDOW: Millis = Millis(1_500);
/// The samples that a window needs unless it has grown long.
const WINDOW_SAMPLES: u32 = 8;
/// The share of the target above which the endpoint counts as overloaded.
const TARGET_SHARE: f64 = 0.85;
/// The share of the threshold above which the limit no longer grows.
const HOLD_SHARE: f64 = 0.85;
/// How much slower than unloaded an endpoint may be that misses the target anyway.
const SLOWDOWN: f64 = 1.6;
/// The greatest step back of one window.
const STEP_BACK: f64 = 0.5;
/// The least step back of one window.
const LEAST_STEP_BACK: f64 = 0.9;
/// The growth of one window before the first overload.
const FAST_GROWTH: f64 = 1.5;
/// The growth of one window afterwards.
const SLOW_GROWTH: f64 = 1.06;
/// The share of the limit that has to be in use for it to grow.
const USED_SHARE: f64 = 0.7;
/// How fast the unloaded response time follows a slower endpoint.
const BASELINE_GAIN: f64 = 0.6;
/// An endpoint counts as unloaded up to this many times the least limit.
const UNLOADED_FLOORS: f64 = 1.5;

/// A concurrency limit in tokens of work.
///
/// The limit falls by up to half each window while response times are over the
/// target, and grows while they are under it and the limit is in use. An
/// endpoint that misses the target even when it is nearly idle is judged
/// against its own unloaded response time instead.
#[derive(Debug, Clone)]
pub struct Limit {
    tokens: f64,
    first_token: Signal,
    between_tokens: Signal,
    judged: bool,
    overloaded_once: bool,
    opened: Option<Instant>,
    peak: f64,
}

impl Limit {
    /// Starts with a limit of `tokens`, aiming at two response times.
    pub fn new(tokens: f64, first_token: Millis, between_tokens: Millis) -> Self {
        Limit {
            tokens,
            first_token: Signal::new(first_token),
            between_tokens: Signal::new(between_tokens),
            judged: false,
            overloaded_once: false,
            opened: None,
            peak: 0.0,
        }
    }

    /// Sets the limit, as long as no response time has been judged.
    pub fn start_at(&mut self, tokens: f64) {
        if !self.judged {
            self.tokens = tokens;
        }
    }

    /// Returns the limit.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes in the time to a first token, and the work that ran meanwhile.
    pub fn observe_first_token(&mut self, millis: f64, running: f64, now: Instant) {
        self.open(running, now);
        self.first_token.observe(millis);
    }

    /// Takes in a time between tokens, and the work that ran meanwhile.
    pub fn observe_between_tokens(&mut self, millis: f64, running: f64, now: Instant) {
        self.open(running, now);
        self.between_tokens.observe(millis);
    }

    /// Judges the window if it is over; `floor` is the least useful limit.
    pub fn tick(&mut self, floor: f64, ceiling: f64, now: Instant) {
        let Some(opened) = self.opened else {
            return;
        };
        let age = now.since(opened);
        let samples = self.first_token.samples + self.between_tokens.samples;
        let ripe = samples >= WINDOW_SAMPLES && age >= WINDOW;
        if !ripe && age < LONGEST_WINDOW {
            return;
        }
        let unloaded = self.peak <= floor * UNLOADED_FLOORS;
        let first_token = self.first_token.close(unloaded);
        let between_tokens = self.between_tokens.close(unloaded);
        self.step(first_token.max(between_tokens));
        self.tokens = self.tokens.clamp(floor, ceiling.max(floor));
        self.judged = true;
        self.opened = None;
        self.peak = 0.0;
    }

    fn open(&mut self, running: f64, now: Instant) {
        self.opened.get_or_insert(now);
        self.peak = self.peak.max(running);
    }

    fn step(&mut self, overload: f64) {
        if overload > 1.0 {
            self.overloaded_once = true;
            self.tokens *= (1.0 / overload).clamp(STEP_BACK, LEAST_STEP_BACK);
            return;
        }
        let in_use = self.peak >= self.tokens * USED_SHARE;
        if !in_use || overload > HOLD_SHARE {
            return;
        }
        let growth = if self.overloaded_once {
            SLOW_GROWTH
        } else {
            FAST_GROWTH
        };
        self.tokens *= growth;
    }
}

/// One kind of response time, with its target and its unloaded value.
#[derive(Debug, Clone)]
struct Signal {
    target: f64,
    baseline: Option<f64>,
    sum: f64,
    samples: u32,
}

impl Signal {
    fn new(target: Millis) -> Self {
        Signal {
            target: target.0 as f64 * TARGET_SHARE,
            baseline: None,
            sum: 0.0,
            samples: 0,
        }
    }

    fn observe(&mut self, millis: f64) {
        self.sum += millis;
        self.samples += 1;
    }

    /// Closes the window and returns its mean over the threshold.
    fn close(&mut self, unloaded: bool) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        let mean = self.sum / f64::from(self.samples);
        self.sum = 0.0;
        self.samples = 0;
        self.follow(mean, unloaded);
        let own = self.baseline.unwrap_or(0.0) * SLOWDOWN;
        mean / own.max(self.target)
    }

    fn follow(&mut self, mean: f64, unloaded: bool) {
        let Some(baseline) = &mut self.baseline else {
            self.baseline = Some(mean.min(self.target));
            return;
        };
        if mean < *baseline {
            *baseline = mean;
        } else if unloaded {
            *baseline += BASELINE_GAIN * (mean - *baseline);
        }
    }
}
