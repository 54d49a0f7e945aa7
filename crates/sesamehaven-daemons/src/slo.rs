//! Recording of request outcomes for the service-level objectives.
//!
//! See [`docs/SLO.md`](../../../docs/SLO.md).

use metrics::counter;

use sesamehaven::burn::Outcome;
use sesamehaven::config::Objective;
use sesamehaven::id::OrganisationName;
use sesamehaven::outcome::Refusal;
use sesamehaven::tier::Tier;
use sesamehaven::unit::{Instant, Millis};

use crate::admin::Status;
use crate::caller::{Job, ToCaller};

/// The data from which the outcome of a request is derived. It is taken when the
/// outcome is recorded, so that each request counts once.
#[derive(Debug)]
pub(crate) struct SloTracker {
    tier: Tier,
    organisation: OrganisationName,
    objective: Objective,
    received: Instant,
    deadline: Instant,
    first: Option<Instant>,
    last: Instant,
    tokens: u64,
}

impl SloTracker {
    /// Creates the tracker of a request that has just been received.
    pub(crate) fn new(job: &Job, objective: Objective) -> Self {
        SloTracker {
            tier: job.tier,
            organisation: job.organisation.clone(),
            objective,
            received: job.received,
            deadline: job.deadline,
            first: None,
            last: job.received,
            tokens: 0,
        }
    }

    /// Records a chunk of the answer; each server-sent event counts as one token.
    pub(crate) fn on_chunk(&mut self, chunk: &[u8], now: Instant) {
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens += chunk.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
    }

    /// Records the outcome if a message to the caller is final.
    pub(crate) fn record(
        tracker: &mut Option<SloTracker>,
        message: &ToCaller,
        status: &Status,
        now: Instant,
    ) {
        let Some(slo) = tracker.as_ref() else {
            return;
        };
        let outcome = match message {
            ToCaller::Head(_) | ToCaller::Chunk(_) => return,
            ToCaller::Complete => slo.answered(now),
            ToCaller::NotRun(refused) => Outcome::NotRun(refused.reason),
            ToCaller::Unknown(_) => Outcome::Unknown,
        };
        slo.count(outcome, status, now);
        *tracker = None;
    }

    /// Records a request whose caller disconnected before it received a final
    /// message.
    pub(crate) fn record_abandoned(
        tracker: &mut Option<SloTracker>,
        status: &Status,
        now: Instant,
    ) {
        if let Some(slo) = tracker.take() {
            slo.count(Outcome::NotRun(Refusal::Abandoned), status, now);
        }
    }

    /// Returns the outcome of a complete answer; one without events has no token
    /// latencies.
    fn answered(&self, now: Instant) -> Outcome {
        let first = self.first.unwrap_or(now);
        let is_stream = self.tokens > 0;
        let gaps = self.tokens.saturating_sub(1).max(1);
        Outcome::Answered {
            in_time: now <= self.deadline,
            first_token: if is_stream {
                first.since(self.received)
            } else {
                Millis(0)
            },
            between_tokens: if is_stream {
                Millis(self.last.since(first).0 / gaps)
            } else {
                Millis(0)
            },
        }
    }

    fn count(&self, outcome: Outcome, status: &Status, now: Instant) {
        let mut counts = sesamehaven::burn::Counts::default();
        counts.add(outcome, &self.objective);
        let tier = self.tier.to_string();
        counter!("entry_outcomes_total", "tier" => tier, "outcome" => label(&counts)).increment(1);
        status.update_slo(|slo| {
            slo.add(self.tier, &self.organisation, outcome, &self.objective, now);
        });
    }
}

/// Returns the metric label of the outcome in the counts of a single request.
fn label(counts: &sesamehaven::burn::Counts) -> &'static str {
    let labels = [
        (counts.good, "good"),
        (counts.slow, "slow"),
        (counts.late, "late"),
        (counts.unknown, "unknown"),
        (counts.refused, "refused"),
    ];
    let found = labels.iter().find(|(count, _)| *count > 0);
    found.map_or("rejected", |(_, label)| label)
}

/// The prefill of a request at an endpoint, which counts as wasted unless the
/// answer is delivered.
#[derive(Debug)]
pub(crate) struct PrefillTracker {
    tier: Tier,
    tokens: u64,
}

impl PrefillTracker {
    /// Creates the tracker of a request that is handed to an endpoint.
    pub(crate) fn new(tier: Tier, tokens: u64) -> Self {
        PrefillTracker { tier, tokens }
    }

    /// Adds the prefill to the total and marks it as counted.
    ///
    /// A tracker that is dropped before this adds its tokens to the total and to the
    /// wasted tokens.
    pub(crate) fn count(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        counter!("agent_prefill_tokens_total", "tier" => self.tier.to_string()).increment(tokens);
    }

    /// Discards a prefill that did not take place.
    pub(crate) fn forget(mut self) {
        self.tokens = 0;
    }
}

impl Drop for PrefillTracker {
    fn drop(&mut self) {
        if self.tokens == 0 {
            return;
        }
        let tier = self.tier.to_string();
        let tokens = self.tokens;
        counter!("agent_wasted_prefill_tokens_total", "tier" => tier).increment(tokens);
        self.count();
    }
}
