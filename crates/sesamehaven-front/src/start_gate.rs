//! What a front has to know before it serves its first request.

use std::cell::Cell;

use tokio::sync::Notify;

use sesamehaven::unit::{Instant, Millis};

use crate::clock;

/// The longest time from the start until requests are served with what is known.
const MAX_WAIT: Millis = Millis(1_000);

/// Holds requests until the other fronts and the directory have been asked for what is newer than the start.
///
/// The directory alone may be an older copy, and says nothing of limits that were used up a moment ago. What has
/// not answered after [`MAX_WAIT`] is not waited for: each decision then goes by what is known, and requests
/// whose limits are not known are refused.
#[derive(Debug)]
pub struct StartGate {
    has_asked_peers: Cell<bool>,
    has_asked_usage: Cell<bool>,
    opens_at: Instant,
    changed: Notify,
}

impl StartGate {
    /// Creates the gate of a front that starts at `now`.
    pub fn new(now: Instant) -> Self {
        StartGate {
            has_asked_peers: Cell::default(),
            has_asked_usage: Cell::default(),
            opens_at: now.after(MAX_WAIT),
            changed: Notify::new(),
        }
    }

    /// Records that all fronts which are known at the start have answered or failed to.
    pub fn on_peers_asked(&self) {
        self.has_asked_peers.set(true);
        self.changed.notify_waiters();
    }

    /// Records that the usage from before the start is restored, or cannot be read.
    pub fn on_usage_asked(&self) {
        self.has_asked_usage.set(true);
        self.changed.notify_waiters();
    }

    /// Returns whether requests are served.
    pub fn is_open(&self, now: Instant) -> bool {
        let has_asked = self.has_asked_peers.get() && self.has_asked_usage.get();
        has_asked || now >= self.opens_at
    }

    /// Waits until requests are served.
    pub async fn wait(&self) {
        loop {
            let changed = self.changed.notified();
            let now = clock::now();
            if self.is_open(now) {
                return;
            }
            let remaining = self.opens_at.since(now);
            // Whether it has changed or is open by now is asked in the next turn.
            let _ = tokio::time::timeout(remaining.duration(), changed).await;
        }
    }
}
