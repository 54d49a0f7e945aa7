//! Limits that several processes keep together, each knowing the others' use only as of their last message.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#limits-that-processes-share).

use std::collections::{HashMap, VecDeque};

use crate::unit::{Instant, Millis};

/// How long a process that has fallen silent is counted as one that still spends.
const SILENT_KEPT: Millis = Millis(15_000);
/// How long after its last message a process counts as heard.
const HEARD: Millis = Millis(500);
/// The part of a limit from which on what was drawn is worth keeping beyond a restart.
const HOT_SHARE: f64 = 0.5;
/// The steps that a sliding window moves in.
const STEPS: u64 = 40;
/// The part of a limit that is used, since counts are a message old.
const USED_SHARE: f64 = 0.85;

/// The number by which a process knows an incarnation of another.
pub type PeerId = u64;

/// Which of the other processes were heard of lately.
#[derive(Debug, Default)]
pub struct PeerTracker {
    heard: HashMap<PeerId, Heard>,
    expected: usize,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Instant,
    /// How many processes that one heard itself, with itself.
    hears: usize,
}

impl PeerTracker {
    /// Notes how many other processes there are at least, whether or not they were heard yet.
    ///
    /// A process that starts cut off must not take the whole of a limit for its own.
    pub fn set_expected_peers(&mut self, others: usize) {
        self.expected = others;
    }

    /// Notes a message of another process, which says how many it hears, with itself.
    pub fn on_message(&mut self, peer: PeerId, hears: usize, now: Instant) {
        self.heard.retain(|_, h| now.since(h.at) <= SILENT_KEPT);
        self.heard.insert(peer, Heard { at: now, hears });
    }

    /// Forgets a process that says that it leaves.
    pub fn on_leave(&mut self, peer: PeerId) {
        self.heard.remove(&peer);
    }

    /// Returns the number of processes that were heard of, this one included.
    pub fn live_processes(&self, now: Instant) -> usize {
        1 + self.within(SILENT_KEPT, now).count()
    }

    /// Returns the number of processes, also of those that only others hear.
    pub fn total_processes(&self, now: Instant) -> usize {
        let told = self.within(SILENT_KEPT, now).map(|h| h.hears).max();
        let least = told.unwrap_or_default().max(self.expected + 1);
        self.live_processes(now).max(least)
    }

    /// Returns the part of a common limit that falls to the processes that hear each other.
    pub fn limit_share(&self, now: Instant) -> f64 {
        (1 + self.within(HEARD, now).count()) as f64 / self.total_processes(now) as f64
    }

    fn within(&self, span: Millis, now: Instant) -> impl Iterator<Item = &Heard> {
        let all = self.heard.values();
        all.filter(move |h| now.since(h.at) <= span)
    }
}

/// What may be drawn within a window by all processes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLimit {
    /// The length of the window.
    pub window: Millis,
    /// The amount that may be drawn within any such window.
    pub amount: u64,
}

/// What several processes have drawn on one limit within a sliding window.
///
/// Each tells the others the total that it has drawn, so that a lost message is
/// made good by the next one. A process that has just started does not know what
/// was drawn before, and assumes that it was all that is allowed until another
/// process tells it better.
#[derive(Debug)]
pub struct SharedWindow {
    allowance: WindowLimit,
    window: Window,
    drawn: u64,
    peers: HashMap<PeerId, u64>,
    started: Instant,
    is_assumed: bool,
}

impl SharedWindow {
    /// Builds the window of a process that starts at `now`.
    pub fn new(allowance: WindowLimit, now: Instant) -> Self {
        let mut window = Window::new(allowance.window);
        window.spread(allowance.amount as f64, now);
        SharedWindow {
            allowance,
            window,
            drawn: 0,
            peers: HashMap::new(),
            started: now,
            is_assumed: true,
        }
    }

    /// Takes over a changed limit, without forgetting what was drawn.
    pub fn set_limit(&mut self, allowance: WindowLimit) {
        self.allowance.amount = allowance.amount;
    }

    /// Draws `amount`, or says how long it takes until that much is allowed.
    ///
    /// `share` is the part of the limit that falls to the processes in touch.
    ///
    /// # Errors
    ///
    /// Returns the time to wait when the window holds too much already.
    pub fn consume(&mut self, amount: u64, share: f64, now: Instant) -> Result<(), Millis> {
        self.window.expire(now);
        let most = self.allowance.amount as f64 * share;
        let excess = self.window.sum + amount as f64 - most;
        // A request that is larger than the whole limit passes an empty window.
        if excess > 0.0 && self.window.sum > 0.0 {
            return Err(self.window.wait_for(excess, now));
        }
        self.window.add(amount as f64, now);
        self.drawn += amount;
        Ok(())
    }

    /// Gives back what was drawn for a request that has not run.
    pub fn refund(&mut self, amount: u64, now: Instant) {
        self.window.add(-(amount as f64), now);
        self.drawn = self.drawn.saturating_sub(amount);
    }

    /// Returns the total that this process has drawn.
    pub fn consumed(&self) -> u64 {
        self.drawn
    }

    /// Returns what all processes have drawn within the window, once that is known.
    pub fn usage(&self, now: Instant) -> Option<u64> {
        let is_known = !self.is_assumed || now.since(self.started) >= self.allowance.window;
        is_known.then_some(self.window.sum.max(0.0) as u64)
    }

    /// Returns what was drawn within the window, when it is so much that a restart must not forget it.
    pub fn high_usage(&self, now: Instant) -> Option<u64> {
        let least = self.allowance.amount as f64 * HOT_SHARE;
        self.usage(now).filter(|sum| *sum as f64 >= least)
    }

    /// Takes in what was kept of the time before the start; [`None`] says that it was not much.
    pub fn on_restored(&mut self, sum: Option<u64>, now: Instant) {
        if self.usage(now).is_some() {
            return;
        }
        match sum {
            Some(sum) => self.learn(sum as f64, now),
            None => {
                let own = self.drawn as f64;
                self.window.clear();
                self.window
                    .spread(self.allowance.amount as f64 * HOT_SHARE, now);
                self.window.add(own, now);
            }
        }
        self.is_assumed = false;
    }

    /// Takes in the total that another process has drawn, and its sum of the window if it knows it.
    pub fn on_peer(&mut self, peer: PeerId, drawn: u64, sum: Option<u64>, now: Instant) {
        let known = self.peers.insert(peer, drawn).unwrap_or(drawn);
        self.window.expire(now);
        match sum {
            Some(sum) if self.usage(now).is_none() => self.learn(sum as f64, now),
            // A total that shrank comes from amounts that were given back.
            _ => self.window.add(drawn as f64 - known as f64, now),
        }
    }

    /// Replaces what was assumed of the time before the start.
    fn learn(&mut self, sum: f64, now: Instant) {
        self.window.clear();
        self.is_assumed = false;
        // When it was drawn is not known, so it counts for a whole window from now.
        self.window.add(sum.max(self.drawn as f64), now);
    }
}

/// Sums amounts over a sliding window, in steps.
#[derive(Debug)]
struct Window {
    span: Millis,
    steps: VecDeque<(u64, f64)>,
    sum: f64,
}

impl Window {
    fn new(span: Millis) -> Self {
        Window {
            span,
            steps: VecDeque::new(),
            sum: 0.0,
        }
    }

    fn step_ms(&self) -> u64 {
        (self.span.0 / STEPS).max(1)
    }

    fn add(&mut self, amount: f64, now: Instant) {
        let step = now.0 / self.step_ms();
        match self.steps.back_mut() {
            Some((last, n)) if *last >= step => *n += amount,
            _ => self.steps.push_back((step, amount)),
        }
        self.sum += amount;
    }

    /// Spreads an amount over an empty window, as if it had come evenly.
    fn spread(&mut self, amount: f64, now: Instant) {
        let newest = now.0 / self.step_ms();
        let each = amount / STEPS as f64;
        let oldest = (newest + 1).saturating_sub(STEPS);
        self.steps
            .extend((oldest..=newest).map(|step| (step, each)));
        self.sum = self.steps.iter().map(|(_, n)| n).sum();
    }

    fn clear(&mut self) {
        self.steps.clear();
        self.sum = 0.0;
    }

    fn expire(&mut self, now: Instant) {
        let oldest = (now.0 / self.step_ms()).saturating_sub(STEPS);
        while let Some((step, n)) = self.steps.front().copied()
            && step < oldest
        {
            self.steps.pop_front();
            self.sum -= n;
        }
        if self.steps.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns how long it takes until `excess` has left the window.
    fn wait_for(&self, excess: f64, now: Instant) -> Millis {
        let mut left = excess;
        for (step, n) in &self.steps {
            left -= n;
            if left <= 0.0 {
                let gone = Instant((step + STEPS + 1) * self.step_ms());
                return gone.since(now);
            }
        }
        self.span
    }
}

/// The second sends that one process may make to a pool, out of a budget that all share.
///
/// The share in proportion to requests needs no message; the constant part is
/// split evenly.
#[derive(Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    slack: f64,
    requests: Window,
    repeats: Window,
}

impl SharedRetryBudget {
    /// Builds a budget of `ratio` of the requests within `window`, and `slack` for all processes.
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        SharedRetryBudget {
            ratio,
            slack,
            requests: Window::new(window),
            repeats: Window::new(window),
        }
    }

    /// Notes a request.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.expire(now);
        self.requests.add(1.0, now);
    }

    /// Returns whether a request may be sent once more, and counts that.
    pub fn try_consume(&mut self, processes: usize, now: Instant) -> bool {
        self.requests.expire(now);
        self.repeats.expire(now);
        let most = self.ratio * self.requests.sum + self.slack / processes.max(1) as f64;
        if self.repeats.sum + 1.0 > most * USED_SHARE {
            return false;
        }
        self.repeats.add(1.0, now);
        true
    }
}
