//! Detection of endpoints that are silent before a response head.
//!
//! Before its response head, a request that waits in a long queue at its endpoint looks like one whose
//! endpoint has stalled. They differ in what else the endpoint sends: a working one sends bytes of the
//! requests that it runs.

use crate::unit::{Instant, Millis};

/// A request that waits for its response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadWait {
    since: Instant,
    timeout: Millis,
}

impl HeadWait {
    /// Starts to wait for the head of a request that is being sent.
    pub fn new(sent_at: Instant, timeout: Millis) -> Self {
        HeadWait {
            since: sent_at,
            timeout,
        }
    }

    /// Starts the timeout again, after a search for another endpoint in vain.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
    }

    /// Returns the earliest time until the endpoint counts as silent, or [`None`] if it does.
    ///
    /// `last_received` is when the endpoint last sent any byte to this process, for whichever request.
    pub fn remaining(&self, last_received: Option<Instant>, now: Instant) -> Option<Millis> {
        let silent_since = last_received.map_or(self.since, |at| at.max(self.since));
        let silent_at = silent_since.after(self.timeout);
        (silent_at > now).then(|| silent_at.since(now))
    }
}
