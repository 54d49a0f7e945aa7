//! Rate limits that several processes enforce together by exchanging their usage; each
//! knows the usage of the others as of their last message.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#limits-that-processes-share).

use std::collections::{HashMap, VecDeque};

use crate::limit_use::LimitUse;
use crate::unit::{Instant, Millis};

/// How long a process that sends no messages still counts as consuming its share.
const PEER_RETENTION: Millis = Millis(15_000);
/// The maximum age of the last message of a process that counts as connected.
const PEER_FRESHNESS: Millis = Millis(500);
/// The share of a limit from which usage is persisted across restarts.
const HIGH_USAGE_SHARE: f64 = 0.5;
/// The number of buckets of a sliding window.
const BUCKETS: u64 = 40;
/// The share of the retry budget that may be used, since the number of processes is only
/// as recent as their last messages.
const USABLE_BUDGET_SHARE: f64 = 0.85;

/// The identifier of an incarnation of another process.
pub type PeerId = u64;

/// The other processes and when each was last heard from.
#[derive(Debug, Default)]
pub struct PeerTracker {
    peers: HashMap<PeerId, PeerState>,
    expected_peers: usize,
}

#[derive(Debug, Clone, Copy)]
struct PeerState {
    last_message: Instant,
    /// The number of processes that the peer reports as live, itself included.
    live_processes: usize,
}

impl PeerTracker {
    /// Sets the minimum number of other processes, including those not yet heard from.
    ///
    /// Without it, a process that starts while partitioned would claim the whole limit.
    pub fn set_expected_peers(&mut self, others: usize) {
        self.expected_peers = others;
    }

    /// Records a message from another process with the number of processes that it
    /// reports as live, itself included.
    pub fn on_message(&mut self, peer: PeerId, live_processes: usize, now: Instant) {
        self.peers
            .retain(|_, p| now.since(p.last_message) <= PEER_RETENTION);
        self.peers.insert(
            peer,
            PeerState {
                last_message: now,
                live_processes,
            },
        );
    }

    /// Removes a process that announces its shutdown.
    pub fn on_leave(&mut self, peer: PeerId) {
        self.peers.remove(&peer);
    }

    /// Returns the number of processes heard from recently, this one included.
    pub fn live_processes(&self, now: Instant) -> usize {
        1 + self.within(PEER_RETENTION, now).count()
    }

    /// Returns the estimated total number of processes, including those that only other
    /// processes hear from.
    pub fn total_processes(&self, now: Instant) -> usize {
        let reported = self
            .within(PEER_RETENTION, now)
            .map(|p| p.live_processes)
            .max();
        let lower_bound = reported.unwrap_or_default().max(self.expected_peers + 1);
        self.live_processes(now).max(lower_bound)
    }

    /// Returns the share of a common limit that falls to this process and the peers that
    /// it is connected to.
    pub fn limit_share(&self, now: Instant) -> f64 {
        (1 + self.within(PEER_FRESHNESS, now).count()) as f64 / self.total_processes(now) as f64
    }

    fn within(&self, span: Millis, now: Instant) -> impl Iterator<Item = &PeerState> {
        let all = self.peers.values();
        all.filter(move |p| now.since(p.last_message) <= span)
    }
}

/// A limit on the total consumption of all processes within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLimit {
    /// The length of the window.
    pub window: Millis,
    /// The amount that may be consumed within any such window.
    pub amount: u64,
}

/// The consumption of several processes against one limit within a sliding window.
///
/// Each process sends the others its running total, so that the next message makes
/// up for a lost one. A process that has just started does not know the earlier
/// consumption and assumes that the limit is used up until another process reports
/// the usage, the persisted usage is restored or one window has passed.
#[derive(Debug)]
pub struct SharedWindow {
    limit: WindowLimit,
    window: SlidingWindow,
    total: u64,
    peers: HashMap<PeerId, u64>,
    started: Instant,
    is_assumed: bool,
    /// Whether part of the usage is an estimate, until a peer reports it or one window has passed.
    is_estimated: bool,
}

impl SharedWindow {
    /// Creates the window of a process that starts at `now`.
    pub fn new(limit: WindowLimit, now: Instant) -> Self {
        let mut window = SlidingWindow::new(limit.window);
        window.spread(limit.amount as f64, now);
        SharedWindow {
            limit,
            window,
            total: 0,
            peers: HashMap::new(),
            started: now,
            is_assumed: true,
            is_estimated: false,
        }
    }

    /// Changes the amount of the limit and keeps the recorded usage.
    ///
    /// The length of the window does not change; `limit.window` is ignored.
    pub fn set_limit(&mut self, limit: WindowLimit) {
        self.limit.amount = limit.amount;
    }

    /// Consumes `amount`, or returns how long to wait until it is available.
    ///
    /// `share` is the share of the limit that falls to the connected processes.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the limit would be exceeded.
    pub fn consume(&mut self, amount: u64, share: f64, now: Instant) -> Result<(), Millis> {
        self.window.expire(now);
        let available = self.limit.amount as f64 * share;
        let excess = self.window.sum + amount as f64 - available;
        // A request larger than the whole limit is admitted when the window is empty.
        if excess > 0.0 && self.window.sum > 0.0 {
            return Err(self.window.wait_for(excess, now));
        }
        self.window.add(amount as f64, now);
        self.total += amount;
        Ok(())
    }

    /// Returns how much of the limit all processes have used within the window, or [`None`] while it is
    /// unknown after a start.
    pub fn limit_use(&self, now: Instant) -> Option<LimitUse> {
        let used = self.usage(now)?;
        Some(LimitUse::of(used, self.limit.amount))
    }

    /// Refunds the amount of a request that has not run.
    pub fn refund(&mut self, amount: u64, now: Instant) {
        self.window.add(-(amount as f64), now);
        self.total = self.total.saturating_sub(amount);
    }

    /// Returns the total that this process has consumed.
    pub fn consumed(&self) -> u64 {
        self.total
    }

    /// Returns the consumption of all processes within the window, or [`None`] while it is
    /// unknown after a start.
    pub fn usage(&self, now: Instant) -> Option<u64> {
        let is_known = !self.is_assumed || now.since(self.started) >= self.limit.window;
        is_known.then_some(self.window.sum.max(0.0) as u64)
    }

    /// Returns the usage for other processes, or [`None`] while it is unknown or an estimate.
    pub fn reported_usage(&self, now: Instant) -> Option<u64> {
        let is_exact = !self.is_estimated || now.since(self.started) >= self.limit.window;
        self.usage(now).filter(|_| is_exact)
    }

    /// Returns the usage if it is high enough that it must survive a restart.
    pub fn high_usage(&self, now: Instant) -> Option<u64> {
        let threshold = self.limit.amount as f64 * HIGH_USAGE_SHARE;
        self.usage(now).filter(|usage| *usage as f64 >= threshold)
    }

    /// Applies the usage persisted before the start; [`None`] means that it was below
    /// `HIGH_USAGE_SHARE` of the limit, which is then assumed.
    pub fn on_restored(&mut self, usage: Option<u64>, now: Instant) {
        if self.usage(now).is_some() {
            return;
        }
        match usage {
            Some(usage) => self.set_usage(usage as f64, now),
            None => {
                let own = self.total as f64;
                self.window.clear();
                self.window
                    .spread(self.limit.amount as f64 * HIGH_USAGE_SHARE, now);
                self.window.add(own, now);
                self.is_estimated = true;
            }
        }
        self.is_assumed = false;
    }

    /// Updates the running total of another process, with its usage of the window if it
    /// knows it.
    pub fn on_peer(&mut self, peer: PeerId, total: u64, usage: Option<u64>, now: Instant) {
        let previous = self.peers.insert(peer, total);
        self.window.expire(now);
        let is_first_window = now.since(self.started) < self.limit.window;
        match (usage, previous) {
            (Some(usage), _) if self.usage(now).is_none() => self.set_usage(usage as f64, now),
            // An estimate says nothing of the times of consumption, so it may expire too early.
            (Some(usage), None) if is_first_window && self.is_estimated => {
                self.is_estimated = false;
                self.set_usage((usage + self.total) as f64, now);
            }
            // What was restored is older than what a peer knows.
            (Some(usage), None) if is_first_window => {
                let missing = usage as f64 - self.window.sum;
                self.window.add(missing.max(0.0), now);
            }
            (_, None) => {}
            // A smaller total results from refunds.
            (_, Some(previous)) => self.window.add(total as f64 - previous as f64, now),
        }
    }

    /// Replaces the usage assumed at the start.
    fn set_usage(&mut self, usage: f64, now: Instant) {
        self.window.clear();
        self.is_assumed = false;
        // The times of consumption are unknown, so all of it counts for a full window from now.
        self.window.add(usage.max(self.total as f64), now);
    }
}

/// A sum over a sliding window, in buckets.
#[derive(Debug)]
struct SlidingWindow {
    span: Millis,
    buckets: VecDeque<(u64, f64)>,
    sum: f64,
}

impl SlidingWindow {
    fn new(span: Millis) -> Self {
        SlidingWindow {
            span,
            buckets: VecDeque::new(),
            sum: 0.0,
        }
    }

    fn bucket_ms(&self) -> u64 {
        (self.span.0 / BUCKETS).max(1)
    }

    fn add(&mut self, amount: f64, now: Instant) {
        let bucket = now.0 / self.bucket_ms();
        match self.buckets.back_mut() {
            Some((last, n)) if *last >= bucket => *n += amount,
            _ => self.buckets.push_back((bucket, amount)),
        }
        self.sum += amount;
    }

    /// Distributes an amount evenly over an empty window.
    fn spread(&mut self, amount: f64, now: Instant) {
        let newest = now.0 / self.bucket_ms();
        let each = amount / BUCKETS as f64;
        let oldest = (newest + 1).saturating_sub(BUCKETS);
        self.buckets
            .extend((oldest..=newest).map(|bucket| (bucket, each)));
        self.sum = self.buckets.iter().map(|(_, n)| n).sum();
    }

    fn clear(&mut self) {
        self.buckets.clear();
        self.sum = 0.0;
    }

    fn expire(&mut self, now: Instant) {
        let oldest = (now.0 / self.bucket_ms()).saturating_sub(BUCKETS);
        while let Some((bucket, n)) = self.buckets.front().copied()
            && bucket < oldest
        {
            self.buckets.pop_front();
            self.sum -= n;
        }
        if self.buckets.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns how long it takes until `excess` has left the window.
    fn wait_for(&self, excess: f64, now: Instant) -> Millis {
        let mut left = excess;
        for (bucket, n) in &self.buckets {
            left -= n;
            if left <= 0.0 {
                let expiry = Instant((bucket + BUCKETS + 1) * self.bucket_ms());
                return expiry.since(now);
            }
        }
        self.span
    }
}

/// The share of one process in a retry budget that all processes have in common.
///
/// The part in proportion to requests needs no coordination; the constant part is
/// divided evenly.
#[derive(Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    slack: f64,
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl SharedRetryBudget {
    /// Creates a budget of `ratio` of the requests within `window`, plus `slack` for all
    /// processes together.
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        SharedRetryBudget {
            ratio,
            slack,
            requests: SlidingWindow::new(window),
            retries: SlidingWindow::new(window),
        }
    }

    /// Records a request.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.expire(now);
        self.requests.add(1.0, now);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_consume(&mut self, processes: usize, now: Instant) -> bool {
        self.requests.expire(now);
        self.retries.expire(now);
        let budget = self.ratio * self.requests.sum + self.slack / processes.max(1) as f64;
        if self.retries.sum + 1.0 > budget * USABLE_BUDGET_SHARE {
            return false;
        }
        self.retries.add(1.0, now);
        true
    }
}
