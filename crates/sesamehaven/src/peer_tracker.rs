//! The other processes that enforce a limit together with this one, and the share that falls to it.

use std::collections::HashMap;

use crate::unit::{Instant, Millis};

/// How long a process that sends no messages still counts as consuming its share.
const PEER_RETENTION: Millis = Millis(15_000);
/// The maximum age of the last message of a process that counts as connected.
const PEER_FRESHNESS: Millis = Millis(500);
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
