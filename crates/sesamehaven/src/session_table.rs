//! The endpoints that recently ran sessions, whose prompts they probably still have in memory.

use std::collections::{HashMap, VecDeque};

use crate::unit::{Instant, Millis};

/// How long the prompt of a session is assumed to stay cached.
const SESSION_RETENTION: Millis = Millis(10_000);
/// The maximum number of recorded session runs.
const MAX_SESSIONS: usize = 4_096;

/// The endpoints that recently ran sessions, as a bounded table.
#[derive(Debug, Default)]
pub(crate) struct SessionTable {
    endpoints: HashMap<u64, (u64, Instant)>,
    order: VecDeque<(Instant, u64)>,
}

impl SessionTable {
    /// Returns the hash of the endpoint that recently ran a session.
    pub(crate) fn endpoint(&self, session: u64, now: Instant) -> Option<u64> {
        let (endpoint, at) = self.endpoints.get(&session)?;
        (now.since(*at) <= SESSION_RETENTION).then_some(*endpoint)
    }

    /// Records that an endpoint runs a session.
    pub(crate) fn record(&mut self, session: u64, endpoint: u64, now: Instant) {
        self.endpoints.insert(session, (endpoint, now));
        self.order.push_back((now, session));
        while let Some((at, oldest)) = self.order.front().copied()
            && (now.since(at) > SESSION_RETENTION || self.order.len() > MAX_SESSIONS)
        {
            self.order.pop_front();
            // A session that has run again since has a newer entry in the order.
            if self
                .endpoints
                .get(&oldest)
                .is_some_and(|(_, last)| *last == at)
            {
                self.endpoints.remove(&oldest);
            }
        }
    }
}
