//! The state of one endpoint as estimated by an entry.

use crate::gate::{FULL_COOLDOWN, LoadView};
use crate::outcome::Refused;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// The age at which a load report expires and the endpoint counts as absent.
const REPORT_EXPIRY: Millis = Millis(5_000);
/// The age at which the wait reported with an accepted offer expires.
const REPLY_EXPIRY: Millis = Millis(1_000);
/// The number of consecutive failures after which an endpoint is ejected.
const EJECT_FAILURES: u32 = 3;
/// The duration of the first ejection.
const EJECT_MIN: Millis = Millis(1_000);
/// The longest ejection.
const EJECT_MAX: Millis = Millis(30_000);
/// The time that a probe of an ejected endpoint may take before the next one.
const PROBE_TIMEOUT: Millis = Millis(2_000);
/// The expected wait for a free slot at a full endpoint.
const SLOT_WAIT: Millis = Millis(400);

/// An endpoint as seen by an entry.
#[derive(Debug, Clone)]
pub(crate) struct EndpointState {
    view: LoadView,
    seq: u64,
    reported_at: Instant,
    own_queued: [f64; Tier::COUNT],
    own_queued_at_report: [f64; Tier::COUNT],
    own_running: u32,
    own_running_at_report: u32,
    replies: [Option<QueueReply>; Tier::COUNT],
    closed_until: [Instant; Tier::COUNT],
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probe_until: Instant,
    last_full: Option<Refused>,
}

/// The wait in a tier, as reported with an accepted offer.
#[derive(Debug, Clone, Copy)]
struct QueueReply {
    wait_ms: f64,
    at: Instant,
    /// The work that this entry had queued in the tier and more urgent ones at the time of the
    /// reply, without the request itself, in prompt tokens or requests.
    own_queued: f64,
}

impl EndpointState {
    pub(crate) fn new(view: LoadView, seq: u64, now: Instant) -> Self {
        EndpointState {
            view,
            seq,
            reported_at: now,
            own_queued: [0.0; Tier::COUNT],
            own_queued_at_report: [0.0; Tier::COUNT],
            own_running: 0,
            own_running_at_report: 0,
            replies: [None; Tier::COUNT],
            closed_until: [Instant::default(); Tier::COUNT],
            failures: 0,
            ejections: 0,
            ejected_until: None,
            probe_until: Instant::default(),
            last_full: None,
        }
    }

    pub(crate) fn on_report(&mut self, view: LoadView, seq: u64, now: Instant) {
        if seq <= self.seq {
            return;
        }
        self.view = view;
        self.seq = seq;
        self.reported_at = now;
        self.own_queued_at_report = self.own_queued;
        self.own_running_at_report = self.own_running;
    }

    pub(crate) fn on_offer(&mut self, tier: Tier, prompt: f64, now: Instant) {
        self.own_queued[tier.index()] += prompt;
        if self.ejected_until.is_some() {
            self.probe_until = now.after(PROBE_TIMEOUT);
        }
    }

    pub(crate) fn on_accepted(
        &mut self,
        tier: Tier,
        prompt: f64,
        first_token: Millis,
        now: Instant,
    ) {
        let prefill = self.view.prefill_rate.millis_for(prompt);
        self.replies[tier.index()] = Some(QueueReply {
            wait_ms: (first_token.0 as f64 - prefill).max(0.0),
            at: now,
            own_queued: self.own_queued_down_to(tier) - prompt,
        });
    }

    pub(crate) fn on_refused_full(&mut self, tier: Tier, refused: Refused, sent: Instant) {
        self.last_full = Some(refused);
        let until = sent.after(FULL_COOLDOWN);
        let current = &mut self.closed_until[tier.index()];
        *current = until.max(*current);
    }

    pub(crate) fn on_not_queued(&mut self, tier: Tier, prompt: f64) {
        let own = &mut self.own_queued[tier.index()];
        *own = (*own - prompt).max(0.0);
    }

    pub(crate) fn on_dispatched(&mut self) {
        self.own_running += 1;
    }

    pub(crate) fn on_ended(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    pub(crate) fn on_failure(&mut self, weight: u32, now: Instant) {
        self.failures += weight;
        let is_probe = self.ejections > 0 && self.ejected_until.is_some_and(|at| at <= now);
        if self.failures < EJECT_FAILURES && !is_probe {
            return;
        }
        let span = EJECT_MIN.0 << self.ejections.min(5);
        self.ejected_until = Some(now.after(Millis(span.min(EJECT_MAX.0))));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns whether the endpoint is healthy and its last report has not expired.
    pub(crate) fn is_present(&self, now: Instant) -> bool {
        self.view.healthy && now.since(self.reported_at) < REPORT_EXPIRY
    }

    /// Returns whether the endpoint is ejected and not due for a probe.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        let Some(until) = self.ejected_until else {
            return false;
        };
        until > now || self.probe_until > now
    }

    /// Returns whether the endpoint queues nothing of the tier, because it recently refused
    /// this tier or a more urgent one as full.
    pub(crate) fn is_closed_to(&self, tier: Tier, now: Instant) -> bool {
        let closed_until = &self.closed_until[..=tier.index()];
        closed_until.iter().any(|until| *until > now)
    }

    /// Returns the last refusal of the endpoint for lack of room.
    pub(crate) fn last_full(&self) -> Option<Refused> {
        self.last_full
    }

    /// Estimates the time until work of a tier would be dispatched, in milliseconds.
    pub(crate) fn wait(&self, tier: Tier, now: Instant) -> f64 {
        let own = self.own_queued_down_to(tier);
        if let Some(reply) = self.replies[tier.index()]
            && reply.at >= self.reported_at
            && now.since(reply.at) < REPLY_EXPIRY
        {
            let since = self
                .view
                .prefill_rate
                .millis_for((own - reply.own_queued).max(0.0));
            let passed = now.since(reply.at).0 as f64;
            return (reply.wait_ms - passed).max(0.0) + since;
        }
        let queued: f64 = self.view.queued[..=tier.index()]
            .iter()
            .map(|n| f64::from(*n))
            .sum();
        let reported: f64 = self.own_queued_at_report[..=tier.index()].iter().sum();
        let queued = (queued + own - reported).max(0.0);
        self.view.prefill_rate.millis_for(queued) + self.slot_wait()
    }

    /// Estimates the wait for a slot from the number of running requests, in milliseconds.
    fn slot_wait(&self) -> f64 {
        let since = f64::from(self.own_running) - f64::from(self.own_running_at_report);
        let running = f64::from(self.view.running) + since;
        let limit = f64::from(self.view.limit.max(1));
        let over = (running + 1.0 - limit) / limit;
        over.clamp(0.0, 1.0) * SLOT_WAIT.0 as f64
    }

    /// Estimates the number of requests running at the endpoint.
    pub(crate) fn running(&self) -> u32 {
        let since = self.own_running.saturating_sub(self.own_running_at_report);
        self.view.running + since
    }

    fn own_queued_down_to(&self, tier: Tier) -> f64 {
        self.own_queued[..=tier.index()].iter().sum()
    }

    pub(crate) fn prefill_rate(&self) -> TokenRate {
        self.view.prefill_rate
    }

    pub(crate) fn decode_rate(&self) -> TokenRate {
        self.view.decode_rate
    }
}
