//! Rate limits that several processes enforce together by exchanging their usage; each
//! knows the usage of the others as of their last message.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#limits-that-processes-share).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::limit_use::LimitUse;
pub use crate::peer_tracker::{PeerId, PeerTracker};
use crate::sliding_window::SlidingWindow;
use crate::unit::{Instant, Millis};

/// The share of a limit from which its usage is persisted as one sum.
const HIGH_USAGE_SHARE: f64 = 0.5;
/// The share of a limit from which its usage is persisted with its ages. With nothing saved, this much counts
/// as used for a whole window, which leaves as much as an organisation below it needs to continue. Lower
/// shares cost more calls of the platform's store than they serve.
const SAVED_USAGE_SHARE: f64 = 0.5;
/// How old a persisted usage may be at the loss of all processes.
const MAX_SAVE_AGE: Millis = Millis(500);
/// How long after it was first heard a process from before the start reports its usage at the latest.
/// Reports come each second, so this is two of them. A later one is by a process that did not know the usage itself
/// until one window after its start.
const MAX_REPORT_DELAY: Millis = Millis(2_500);

/// A limit on the total consumption of all processes within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLimit {
    /// The length of the window.
    pub window: Millis,
    /// The amount that may be consumed within any such window.
    pub amount: u64,
}

/// The usage of a limit as persisted for a restart of all processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedUsage {
    /// The usage of all processes by age, in equal spans of the window, the latest first.
    pub by_age: Vec<u64>,
    /// The most that was used in one of these spans since the process that saved it started, if it has refused any
    /// of late: what comes free is then used at once.
    #[serde(default)]
    pub busiest: u64,
    /// The time between saves in milliseconds, if they take longer than usual.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub save_interval_ms: u64,
    /// The part of it that was used since the last loss of all processes, while some of it was from
    /// before that loss.
    #[serde(default)]
    pub since_loss: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Where the recorded usage of a process comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UsageSource {
    /// Nothing is known; the whole limit counts as used.
    Assumed,
    /// Nothing was persisted; the bound below which that is so counts as used.
    Estimated,
    /// What was persisted before the start.
    Restored,
    /// A process that was there before.
    Peer,
}

/// The consumption of several processes against one limit within a sliding window.
///
/// Each process sends the others its running total, so that the next message makes
/// up for a lost one. A process that has just started does not know the earlier
/// consumption and assumes that the limit is used up until another process reports
/// the usage, the persisted usage is restored or one window has passed.
///
/// # After the loss of all processes
///
/// No window that begins before the loss may contain more than the limit, although the window allows
/// the whole limit to be used in one moment. Continuing at the rate is therefore safe only if it is known when the
/// earlier amounts were used. The usage is persisted by age, and after the start each part counts
/// for as long as if no time had passed since it was saved, so it never expires too early. An
/// organisation that used `rate x span + burst` at most in any span can continue at the rate, since
/// as much expires as it uses. What was used after the last save, [`MAX_SAVE_AGE`] before
/// the loss or earlier if saves are slow, is unknown; the mean usage of that long counts for it and, if the limit was used
/// up of late, a burst like the largest one. Only an excess over that may exceed the limit. Ages are rounded
/// down to an eighth of the window, so usage near the whole limit waits up to that long.
/// Where nothing was persisted, less than [`SAVED_USAGE_SHARE`] was used, all of it perhaps in the last
/// moment, and that much counts for a whole window.
///
/// What the lost processes used falls to no process that runs now. It reduces what all groups of
/// connected processes may use, each by its share: with `R` of the limit `A` restored, a group
/// with the share `s` may use `s x (A - R)`, and all groups together `A - R`. Against `s x A`, as usage otherwise
/// counts, a process that starts before the others could use nothing until `R` had fallen
/// below its share. The usage that a peer from before the start reports includes that of
/// its own group and counts against the share in full.
///
/// The usage is compared with the limit as it is after the start, so that a limit which was lowered in the meantime holds
/// with the lower amount.
///
/// The amount of the limit may include a part of a tolerance; the rest of the tolerance covers totals that are
/// on their way, before and after a start.
#[derive(Debug)]
pub struct SharedWindow {
    limit: WindowLimit,
    window: SlidingWindow,
    /// The part of the usage that was persisted by processes that are gone.
    lost: SlidingWindow,
    /// What all processes have consumed since this one started, as far as it knows.
    measured: SlidingWindow,
    /// When the limit was last used up.
    refused_at: Option<Instant>,
    total: u64,
    peers: HashMap<PeerId, PeerTotal>,
    started: Instant,
    source: UsageSource,
    /// The part of the restored usage that may be of processes which run now.
    restored_since_loss: u64,
    /// What counts as used after the last save, and when it was added.
    unsaved: (f64, Instant),
}

#[derive(Debug, Clone, Copy)]
struct PeerTotal {
    total: u64,
    /// The total when the peer was first heard.
    first: u64,
    first_heard: Instant,
    /// Whether the peer has reported the usage of the window.
    has_reported: bool,
}

impl SharedWindow {
    /// Creates the window of a process that starts at `now`.
    ///
    /// The whole limit counts as used at that moment, until the usage before the start is known.
    pub fn new(limit: WindowLimit, now: Instant) -> Self {
        let mut window = SlidingWindow::new(limit.window);
        window.add(limit.amount as f64, now);
        SharedWindow {
            limit,
            window,
            lost: SlidingWindow::new(limit.window),
            measured: SlidingWindow::new(limit.window),
            refused_at: None,
            total: 0,
            peers: HashMap::new(),
            started: now,
            source: UsageSource::Assumed,
            restored_since_loss: 0,
            unsaved: (0.0, now),
        }
    }

    /// Creates the window of a limit that is added while the process runs.
    ///
    /// The limit counts as used evenly until now, so that the organisation continues at its rate.
    pub fn added(limit: WindowLimit, now: Instant) -> Self {
        let mut added = SharedWindow::new(limit, now);
        added.window.clear();
        added.window.spread(limit.amount as f64, now);
        added
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
        self.lost.expire(now);
        let lost = self.lost.sum.max(0.0);
        let available = lost + (self.limit.amount as f64 - lost) * share;
        let excess = self.window.sum + amount as f64 - available;
        // A request larger than the whole limit is admitted when the window is empty.
        if excess > 0.0 && self.window.sum > 0.0 {
            // What was only assumed to be used says nothing of the demand.
            let is_assumed = matches!(self.source, UsageSource::Assumed | UsageSource::Estimated);
            if !(is_assumed && self.is_first_window(now)) {
                self.refused_at = Some(now);
            }
            return Err(self.window.wait_for(excess, now));
        }
        self.window.add(amount as f64, now);
        self.measured.expire(now);
        self.measured.add(amount as f64, now);
        self.total += amount;
        Ok(())
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
        let is_known = self.source != UsageSource::Assumed || !self.is_first_window(now);
        is_known.then_some(self.window.sum.max(0.0) as u64)
    }

    /// Returns how much of the limit all processes have used within the window, or [`None`] while it is
    /// unknown after a start.
    pub fn limit_use(&self, now: Instant) -> Option<LimitUse> {
        let used = self.usage(now)?;
        Some(LimitUse::of(used, self.limit.amount))
    }

    /// Returns the usage for other processes, or [`None`] while no process from before the start has
    /// reported it.
    ///
    /// A receiver takes a reported usage for that of a process from before the start.
    pub fn reported_usage(&self, now: Instant) -> Option<u64> {
        let is_exact = self.source == UsageSource::Peer || !self.is_first_window(now);
        self.usage(now).filter(|_| is_exact)
    }

    /// Returns the usage if it is high enough that it must survive a restart.
    pub fn high_usage(&self, now: Instant) -> Option<u64> {
        self.usage_from(HIGH_USAGE_SHARE, now)
    }

    /// Returns the usage with its ages if it must survive a restart with them.
    pub fn saved_usage(&self, now: Instant) -> Option<SavedUsage> {
        let usage = self.usage_from(SAVED_USAGE_SHARE, now)?;
        let is_after_loss = self.source != UsageSource::Peer && self.is_first_window(now);
        let peers = self.peers.values();
        let of_peers = peers.map(|p| p.total.saturating_sub(p.first)).sum::<u64>();
        Some(SavedUsage {
            by_age: self.window.spans(now),
            busiest: match self.has_refused(now) {
                true => self
                    .measured
                    .spans(now)
                    .into_iter()
                    .max()
                    .unwrap_or_default(),
                false => 0,
            },
            save_interval_ms: 0,
            since_loss: match is_after_loss {
                true => usage.min(self.total + of_peers),
                false => 0,
            },
        })
    }

    fn usage_from(&self, share: f64, now: Instant) -> Option<u64> {
        let threshold = self.limit.amount as f64 * share;
        self.usage(now).filter(|usage| *usage as f64 >= threshold)
    }

    fn has_refused(&self, now: Instant) -> bool {
        let is_recent = |at| now.since(at) < self.limit.window;
        self.refused_at.is_some_and(is_recent)
    }

    fn is_first_window(&self, now: Instant) -> bool {
        now.since(self.started) < self.limit.window
    }

    /// Applies the usage persisted before the start without ages; [`None`] means that it was below
    /// `HIGH_USAGE_SHARE` of the limit, which is then assumed.
    pub fn on_restored(&mut self, usage: Option<u64>, now: Instant) {
        if self.usage(now).is_some() {
            return;
        }
        let mut lost = SlidingWindow::new(self.limit.window);
        match usage {
            // The times of consumption are unknown, so all of it counts for a full window from now.
            Some(usage) => {
                lost.add(usage as f64, now);
                self.restore(lost, UsageSource::Restored, 0, now);
            }
            None => {
                let bound = self.limit.amount as f64 * HIGH_USAGE_SHARE;
                lost.spread(bound, now);
                self.restore(lost, UsageSource::Estimated, bound as u64, now);
            }
        }
    }

    /// Applies the usage persisted before the start with its ages; [`None`] means that it was below
    /// `SAVED_USAGE_SHARE` of the limit, which then counts for a full window.
    pub fn on_restored_with_ages(&mut self, usage: Option<&SavedUsage>, now: Instant) {
        if self.usage(now).is_some() {
            return;
        }
        let mut lost = SlidingWindow::new(self.limit.window);
        let Some(usage) = usage else {
            let bound = self.limit.amount as f64 * SAVED_USAGE_SHARE;
            lost.add(bound, now);
            return self.restore(lost, UsageSource::Estimated, bound as u64, now);
        };
        let sum = usage.by_age.iter().sum::<u64>() as f64;
        lost.set_spans(&usage.by_age, now);
        // What was used after the last save: the mean, and a burst like the largest of late.
        let window = self.limit.window.0.max(1) as f64;
        let interval = usage.save_interval_ms.max(MAX_SAVE_AGE.0) as f64;
        let unsaved = sum * interval / window + usage.busiest as f64;
        lost.add(unsaved, now);
        self.unsaved = (unsaved, now);
        self.restore(lost, UsageSource::Restored, usage.since_loss, now);
    }

    fn restore(&mut self, lost: SlidingWindow, source: UsageSource, since_loss: u64, now: Instant) {
        self.window = lost.clone();
        self.lost = lost;
        // What was consumed since the start is not in what was persisted before.
        self.window.add(self.total as f64, now);
        for peer in self.peers.values() {
            self.window.add(peer.total as f64 - peer.first as f64, now);
            // A peer that started earlier may have persisted its usage, which is not lost.
            self.lost.add(-(peer.total as f64), now);
        }
        self.source = source;
        self.restored_since_loss = since_loss;
    }

    /// Updates the running total of another process, with its usage of the window if it
    /// knows it.
    pub fn on_peer(&mut self, peer: PeerId, total: u64, usage: Option<u64>, now: Instant) {
        let previous = self.peers.get(&peer).copied();
        let is_first_window = self.is_first_window(now);
        self.window.expire(now);
        match previous {
            // A smaller total results from refunds.
            Some(previous) => {
                let consumed = total as f64 - previous.total as f64;
                self.window.add(consumed, now);
                self.measured.expire(now);
                self.measured.add(consumed, now);
            }
            // What it consumed earlier may be part of what was persisted, but is not lost.
            None if is_first_window => self.lost.add(-(total as f64), now),
            None => {}
        }
        let first_heard = previous.map_or(now, |p| p.first_heard);
        let has_reported = previous.is_some_and(|p| p.has_reported);
        let current = PeerTotal {
            total,
            first: previous.map_or(total, |p| p.first),
            first_heard,
            has_reported: has_reported || usage.is_some(),
        };
        self.peers.insert(peer, current);
        let Some(usage) = usage.filter(|_| is_first_window && !has_reported) else {
            return;
        };
        // The peer's usage includes that of the group that it is connected to.
        self.lost.clear();
        let is_late = now.since(first_heard) > MAX_REPORT_DELAY;
        match self.source {
            UsageSource::Assumed if !is_late => self.set_usage(usage as f64, now),
            // An estimate says nothing of the times of consumption, so it may expire too early.
            UsageSource::Estimated if !is_late => self.set_usage((usage + self.total) as f64, now),
            // What was restored is older than what a peer knows.
            _ => {
                let (unsaved, added_at) = std::mem::take(&mut self.unsaved);
                self.window.remove(unsaved, added_at);
                let missing = usage as f64 - self.window.sum;
                self.window.add(missing.max(0.0), now);
            }
        }
        self.source = UsageSource::Peer;
    }

    /// Counts what a process that started less than one window ago had consumed when it was first heard, as far as
    /// that is not part of what was restored.
    pub fn on_recent_start(&mut self, peer: PeerId, now: Instant) {
        let Some(peer) = self.peers.get_mut(&peer).filter(|p| !p.has_reported) else {
            return;
        };
        let consumed = std::mem::take(&mut peer.first);
        let restored = consumed.min(self.restored_since_loss);
        self.restored_since_loss -= restored;
        self.window.expire(now);
        self.window.add((consumed - restored) as f64, now);
    }

    /// Replaces the usage assumed at the start.
    fn set_usage(&mut self, usage: f64, now: Instant) {
        self.window.clear();
        // The times of consumption are unknown, so all of it counts for a full window from now.
        self.window.add(usage.max(self.total as f64), now);
    }
}
