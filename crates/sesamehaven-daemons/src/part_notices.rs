//! The evidence about parts of prompts that crash endpoints, at entries and agents.
//!
//! Agents gather it and tell all entries, a few of which forward it to the other agents.

use metrics::{counter, gauge};
use spdlog::warn;

use sesamehaven::digest::hash_of;
use sesamehaven::id::{DaemonName, EndpointName, RequestId};
use sesamehaven::part_quarantine::{PartIds, PartNotice, PartQuarantine, RunAtCrash};
use sesamehaven::quarantine::CrashId;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::link::Sender;
use sesamehaven_wire::message::Frame;

use crate::agent::Agent;
use crate::clock;
use crate::entry::Entry;
use crate::execution::Execution;

/// Maximum number of notices about parts in one frame.
const NOTICES_MAX: usize = 64;
/// Number of entries that forward a notice to the other agents.
///
/// Without this bound, each notice would be sent by each entry to each agent.
const FORWARDERS: usize = 3;
/// Time for which an endpoint must go on after the beginning of an answer to have
/// survived it.
const SURVIVAL_TIME: Millis = Millis(250);

/// Sends what is known to a daemon whose link has opened.
pub(crate) fn send_summary(quarantine: &PartQuarantine, tx: &Sender) {
    let summary = quarantine.summary(NOTICES_MAX, clock::now());
    if !summary.is_empty() {
        // The send queue of a new link has room for its first frames.
        let _ = tx.try_send(Frame::PartNotices(summary));
    }
}

impl Entry {
    /// Merges notices about parts and forwards them to the other agents.
    pub(crate) fn on_part_notices(&mut self, from: &DaemonName, notices: &[PartNotice]) {
        if self.part_quarantine.merge(notices, clock::now()).is_empty() {
            return;
        }
        counter!("entry_quarantine_news_total").increment(1);
        gauge!("entry_quarantined_parts").set(self.part_quarantine.quarantined() as f64);
        if !self.is_forwarder() {
            return;
        }
        for (name, peer) in &self.peers {
            if let (true, Some((_, tx))) = (name != from, &peer.link) {
                // An agent that misses the notice gets a summary with its next link.
                let _ = tx.try_send(Frame::PartNotices(notices.to_vec()));
            }
        }
    }

    fn is_forwarder(&self) -> bool {
        let rank = |name: &DaemonName| hash_of(name.as_str());
        let own = rank(&self.settings.name);
        let entries = self.index.configuration.entries.iter();
        entries.filter(|e| rank(&e.name) < own).count() < FORWARDERS
    }
}

impl Agent {
    pub(crate) fn on_part_notices(&mut self, notices: &[PartNotice], now: Instant) {
        self.part_quarantine.merge(notices, now);
        self.on_parts_changed(&PartIds::new());
    }

    /// Sends changed notices about parts to all linked entries.
    pub(crate) fn broadcast_part_notices(&mut self, now: Instant) {
        let cursor = &mut self.part_news;
        let notices = self.part_quarantine.fresh(cursor, NOTICES_MAX, now);
        if notices.is_empty() {
            return;
        }
        for (_, tx) in self.links.values() {
            // An entry that misses the notices gets a summary with its next link.
            let _ = tx.try_send(Frame::PartNotices(notices.clone()));
        }
    }

    /// Returns whether a prompt with these parts crashes endpoints.
    pub(crate) fn has_crashing_part(&self, execution: &Execution) -> bool {
        self.part_quarantine.culprit(&execution.parts).is_some()
    }

    /// Holds a crash against the parts of the requests whose answers had not begun, or only just;
    /// returns whether the cause was known before.
    pub(crate) fn record_part_crash(
        &mut self,
        crash: CrashId,
        name: &EndpointName,
        broken: &[RequestId],
        now: Instant,
    ) -> bool {
        let at_endpoint = self.executions.iter().filter(|(id, e)| {
            let is_running = e.is_dispatched() && e.ended_at.is_none();
            e.endpoint == *name && (is_running || broken.contains(id))
        });
        let executions = at_endpoint.map(|(_, e)| e);
        let unanswered = executions.filter(|e| !e.is_answered_for(SURVIVAL_TIME, now));
        let (mut runs, mut pool, mut is_known) = (Vec::new(), None, false);
        for execution in unanswered {
            is_known |= self.has_crashing_part(execution);
            pool = Some(execution.pool);
            runs.push(RunAtCrash {
                parts: execution.parts.clone(),
                sent_at: execution.sent_at,
                has_begun: execution.began_at.is_some(),
            });
        }
        let pool = pool.unwrap_or_default();
        let quarantined = self.part_quarantine.on_crash(crash, pool, &runs, now);
        self.on_parts_changed(&quarantined);
        is_known
    }

    /// Records that an endpoint began or went on to answer a request, or has answered it.
    pub(crate) fn record_answer(&mut self, id: RequestId, is_complete: bool, now: Instant) {
        let Some(execution) = self.executions.get_mut(&id) else {
            return;
        };
        if execution.is_survived || !execution.is_success() {
            return;
        }
        if execution.began_at.is_none() {
            execution.began_at = Some(now);
            let quarantine = &mut self.part_quarantine;
            quarantine.on_begun(execution.pool, &execution.parts, now);
        }
        let Some(began_at) = execution.began_at else {
            return;
        };
        if !is_complete && !execution.is_answered_for(SURVIVAL_TIME, now) {
            return;
        }
        execution.is_survived = true;
        let (pool, parts) = (execution.pool, &execution.parts);
        let before = self.part_quarantine.quarantined();
        let quarantined = self.part_quarantine.on_survived(pool, parts, began_at, now);
        if self.part_quarantine.quarantined() != before {
            self.on_parts_changed(&quarantined);
        }
        self.broadcast_part_notices(now);
    }

    /// Holds the crashes that parts in quarantine explain against no request.
    fn on_parts_changed(&mut self, quarantined: &PartIds) {
        gauge!("agent_quarantined_parts").set(self.part_quarantine.quarantined() as f64);
        for part in quarantined {
            let crashes = self.part_quarantine.explained_crashes(*part);
            self.quarantine.on_explained(&crashes);
            warn!(
                "prompts with part {:016x} crash endpoints and are refused",
                part.0
            );
        }
    }
}
