//! Limits that several processes keep together, each knowing the others' use only as of their last message.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#limits-that-processes-share).

use std::collections::{HashMap, VecDeque};

use crate::unit::{Instant, Millis};

/// How long a process that has fallen silent is counted as one that still spends.
const SILENT_KEPT: Millis = Millis(15_000);
/// How long after its last message a process counts as heard.
const HEARD: Millis = Millis(1_000);
/// The part of its burst that a bucket starts with, as others may have spent the rest.
const START_SHARE: f64 = 0.25;
/// The steps that a sliding window moves in.
const STEPS: u64 = 20;
/// The part of a limit that is used, since counts are a message old.
const USED_SHARE: f64 = 0.85;

/// The number by which a process knows an incarnation of another.
pub type PeerId = u64;

/// Which of the other processes were heard of lately.
#[derive(Debug, Default)]
pub struct Hearing {
    heard: HashMap<PeerId, Instant>,
}

impl Hearing {
    /// Notes a message of another process.
    pub fn on_message(&mut self, peer: PeerId, now: Instant) {
        self.heard.retain(|_, at| now.since(*at) <= SILENT_KEPT);
        self.heard.insert(peer, now);
    }

    /// Forgets a process that says that it leaves.
    pub fn on_leave(&mut self, peer: PeerId) {
        self.heard.remove(&peer);
    }

    /// Returns whether a process was heard of lately.
    pub fn hears(&self, peer: PeerId, now: Instant) -> bool {
        self.heard
            .get(&peer)
            .is_some_and(|at| now.since(*at) <= HEARD)
    }

    /// Returns the number of processes, this one included.
    pub fn known(&self, now: Instant) -> usize {
        1 + self.count(now, SILENT_KEPT)
    }

    /// Returns the part of a common limit that falls to the processes that hear each other.
    pub fn share(&self, now: Instant) -> f64 {
        (1 + self.count(now, HEARD)) as f64 / self.known(now) as f64
    }

    fn count(&self, now: Instant, within: Millis) -> usize {
        let recent = self.heard.values().filter(|at| now.since(**at) <= within);
        recent.count()
    }
}

/// A token bucket that several processes draw on.
///
/// Each tells the others the total that it has drawn, so that a lost message
/// is made good by the next one.
#[derive(Debug)]
pub struct SharedBucket {
    rate_per_ms: f64,
    burst: f64,
    level: f64,
    at: Instant,
    drawn: u64,
    peers: HashMap<PeerId, u64>,
}

impl SharedBucket {
    /// Builds a bucket that fills by `rate_per_s` and holds at most `burst`.
    pub fn new(rate_per_s: u64, burst: u64, now: Instant) -> Self {
        SharedBucket {
            rate_per_ms: rate_per_s as f64 / 1_000.0,
            burst: burst as f64,
            level: burst as f64 * START_SHARE,
            at: now,
            drawn: 0,
            peers: HashMap::new(),
        }
    }

    /// Takes over a changed limit, without giving back what was drawn.
    pub fn set_limit(&mut self, rate_per_s: u64, burst: u64) {
        self.rate_per_ms = rate_per_s as f64 / 1_000.0;
        self.burst = burst as f64;
        self.level = self.level.min(self.burst);
    }

    /// Draws `amount`, or says how long it takes until that much is there.
    ///
    /// # Errors
    ///
    /// Returns the time to wait when the bucket holds less.
    pub fn draw(&mut self, amount: u64, share: f64, now: Instant) -> Result<(), Millis> {
        self.refill(share, now);
        // A request larger than the burst passes when the bucket is full.
        let needed = (amount as f64).min(self.burst);
        if self.level < needed {
            let rate = (self.rate_per_ms * share).max(1e-6);
            return Err(Millis(((needed - self.level) / rate).ceil().min(1e9) as u64));
        }
        self.level -= amount as f64;
        self.drawn += amount;
        Ok(())
    }

    /// Gives back what was drawn for a request that has not run.
    pub fn give_back(&mut self, amount: u64) {
        self.level = (self.level + amount as f64).min(self.burst);
        self.drawn = self.drawn.saturating_sub(amount);
    }

    /// Returns the total that this process has drawn.
    pub fn drawn(&self) -> u64 {
        self.drawn
    }

    /// Takes in the total that another process has drawn.
    pub fn on_peer(&mut self, peer: PeerId, drawn: u64) {
        let known = self.peers.insert(peer, drawn).unwrap_or(drawn);
        // A total that shrank comes from refunds.
        self.level = (self.level - (drawn as f64 - known as f64)).min(self.burst);
    }

    fn refill(&mut self, share: f64, now: Instant) {
        let span = now.since(self.at).0 as f64;
        self.at = now;
        self.level = (self.level + span * self.rate_per_ms * share).min(self.burst);
    }
}

/// Counts events over a sliding window, in steps.
#[derive(Debug)]
struct Window {
    step_ms: u64,
    steps: VecDeque<(u64, u32)>,
}

impl Window {
    fn new(span: Millis) -> Self {
        Window {
            step_ms: (span.0 / STEPS).max(1),
            steps: VecDeque::new(),
        }
    }

    fn add(&mut self, now: Instant) {
        let step = now.0 / self.step_ms;
        match self.steps.back_mut() {
            Some((last, n)) if *last == step => *n += 1,
            _ => self.steps.push_back((step, 1)),
        }
    }

    fn count(&mut self, now: Instant) -> u32 {
        let oldest = (now.0 / self.step_ms).saturating_sub(STEPS);
        while self.steps.front().is_some_and(|(step, _)| *step < oldest) {
            self.steps.pop_front();
        }
        self.steps.iter().map(|(_, n)| n).sum()
    }
}

/// The second sends that one process may make to a pool, out of a budget that all share.
///
/// The share in proportion to requests needs no message; the constant part is
/// split evenly.
#[derive(Debug)]
pub struct RetryShare {
    ratio: f64,
    slack: f64,
    requests: Window,
    repeats: Window,
}

impl RetryShare {
    /// Builds a budget of `ratio` of the requests within `window`, and `slack` for all processes.
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        RetryShare {
            ratio,
            slack,
            requests: Window::new(window),
            repeats: Window::new(window),
        }
    }

    /// Notes a request.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.add(now);
    }

    /// Returns whether a request may be sent once more, and counts that.
    pub fn take(&mut self, processes: usize, now: Instant) -> bool {
        let most =
            self.ratio * f64::from(self.requests.count(now)) + self.slack / processes.max(1) as f64;
        if f64::from(self.repeats.count(now)) + 1.0 > most * USED_SHARE {
            return false;
        }
        self.repeats.add(now);
        true
    }
}
