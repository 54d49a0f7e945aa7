//! The agent's periodic work: evicts answers and ends requests that nobody waits for.

use actix::prelude::*;
use metrics::{counter, gauge};

use sesamehaven::gate::Withdrawal;
use sesamehaven::id::RequestId;
use sesamehaven::outcome::Refusal;
use sesamehaven::unit::Instant;

use crate::agent::{Agent, ORPHAN_GRACE, count_refusal};
use crate::clock;
use crate::execution::Execution;

impl Agent {
    /// Evicts expired answers and offer records, and ends orphaned requests.
    pub(crate) fn sweep(&mut self, cx: &mut Context<Self>) {
        self.homes.sweep();
        self.resolve_slots(cx);
        let now = clock::now();
        let retention = self.settings.limits.answer_retention;
        self.executions
            .retain(|_, execution| match execution.ended_at {
                Some(ended) if execution.key.is_some() => now.since(ended) < retention,
                Some(ended) => now.since(ended) < ORPHAN_GRACE,
                None => true,
            });
        let executions = &self.executions;
        self.offers
            .evict_expired(now, |id| executions.contains_key(&id));
        self.evict_answers();
        for id in self.orphans(now) {
            match self.withdraw(id, now) {
                Withdrawal::AlreadyDispatched => self.cancel(id),
                Withdrawal::Withdrawn => count_refusal(Refusal::Abandoned),
                Withdrawal::Unknown => {}
            }
        }
        self.broadcast_notices(now);
        // Retries sends that failed because a link's queue was full.
        for (id, execution) in &mut self.executions {
            execution.pump(*id);
        }
        self.update_status(now);
    }

    /// Evicts the oldest finished answers without readers while the total size
    /// exceeds the limit.
    pub(crate) fn evict_answers(&mut self) {
        let bound = self.settings.limits.all_answers.len();
        let mut held: usize = self.executions.values().map(Execution::held_bytes).sum();
        gauge!("agent_answer_bytes").set(held as f64);
        if held <= bound {
            return;
        }
        let finished = self
            .executions
            .iter()
            .filter(|(_, execution)| execution.has_ended_without_readers());
        let mut finished: Vec<_> = finished
            .map(|(id, execution)| (execution.ended_at, *id))
            .collect();
        finished.sort();
        for (_, id) in finished {
            if held <= bound {
                return;
            }
            let Some(execution) = self.executions.remove(&id) else {
                continue;
            };
            held -= execution.held_bytes();
            counter!("agent_answers_forgotten_total").increment(1);
        }
    }

    pub(crate) fn orphans(&self, now: Instant) -> Vec<RequestId> {
        let retention = self.settings.limits.answer_retention;
        let is_orphan = |execution: &Execution| {
            let may_end = |at: Instant| {
                // What must complete may still answer without end.
                let is_endless = execution.is_overlong || now >= at.after(retention);
                now >= at && (!execution.must_complete || is_endless)
            };
            execution.ended_at.is_none() && execution.abandon_at.is_some_and(may_end)
        };
        let orphans = self
            .executions
            .iter()
            .filter(|(_, execution)| is_orphan(execution));
        orphans.map(|(id, _)| *id).collect()
    }
}
