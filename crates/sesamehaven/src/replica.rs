//! What an entry believes about one endpoint.

use crate::gate::{FULL_COOLDOWN, LoadView};
use crate::outcome::Refused;
use crate::tier::Tier;
use crate::unit::{Instant, Millis, TokenRate};

/// The age from which a report no longer says that an endpoint is there.
const REPORT_EXPIRY: Millis = Millis(5_000);
/// The age from which the answer to an offer says nothing about the wait.
const REPLY_EXPIRY: Millis = Millis(1_000);
/// The failures in a row after which an endpoint is ejected.
const EJECT_FAILURES: u32 = 3;
/// The first time for which an endpoint is ejected.
const EJECT_MIN: Millis = Millis(1_000);
/// The longest time for which an endpoint is ejected.
const EJECT_MAX: Millis = Millis(30_000);
/// The time that a trial of an ejected endpoint may take before the next.
const TRIAL: Millis = Millis(2_000);
/// The expected time until a slot is free at an endpoint that is full.
const SLOT_WAIT: Millis = Millis(400);

/// An endpoint as seen from an entry.
#[derive(Debug, Clone)]
pub(crate) struct Replica {
    view: LoadView,
    seq: u64,
    reported: Instant,
    own: [f64; Tier::COUNT],
    own_reported: [f64; Tier::COUNT],
    own_running: u32,
    own_running_reported: u32,
    replies: [Option<Reply>; Tier::COUNT],
    promises: [Instant; Tier::COUNT],
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    trial_until: Instant,
    full: Option<Refused>,
}

/// What an accepted offer said about the wait in its tier.
#[derive(Debug, Clone, Copy)]
struct Reply {
    wait: f64,
    at: Instant,
    own: f64,
}

impl Replica {
    pub(crate) fn new(view: LoadView, seq: u64, now: Instant) -> Self {
        Replica {
            view,
            seq,
            reported: now,
            own: [0.0; Tier::COUNT],
            own_reported: [0.0; Tier::COUNT],
            own_running: 0,
            own_running_reported: 0,
            replies: [None; Tier::COUNT],
            promises: [Instant::default(); Tier::COUNT],
            failures: 0,
            ejections: 0,
            ejected_until: None,
            trial_until: Instant::default(),
            full: None,
        }
    }

    pub(crate) fn on_report(&mut self, view: LoadView, seq: u64, now: Instant) {
        if seq <= self.seq {
            return;
        }
        self.view = view;
        self.seq = seq;
        self.reported = now;
        self.own_reported = self.own;
        self.own_running_reported = self.own_running;
    }

    pub(crate) fn on_offer(&mut self, tier: Tier, prompt: f64, now: Instant) {
        self.own[tier.index()] += prompt;
        if self.ejected_until.is_some() {
            self.trial_until = now.after(TRIAL);
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
        self.replies[tier.index()] = Some(Reply {
            wait: (first_token.0 as f64 - prefill).max(0.0),
            at: now,
            own: self.own_down_to(tier) - prompt,
        });
    }

    pub(crate) fn on_refused_full(&mut self, tier: Tier, refused: Refused, sent: Instant) {
        self.full = Some(refused);
        let until = sent.after(FULL_COOLDOWN);
        let promise = &mut self.promises[tier.index()];
        *promise = until.max(*promise);
    }

    pub(crate) fn on_not_queued(&mut self, tier: Tier, prompt: f64) {
        let own = &mut self.own[tier.index()];
        *own = (*own - prompt).max(0.0);
    }

    pub(crate) fn on_dispatched(&mut self) {
        self.own_running += 1;
    }

    pub(crate) fn on_stopped(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    pub(crate) fn on_failure(&mut self, weight: u32, now: Instant) {
        self.failures += weight;
        let on_trial = self.ejections > 0 && self.ejected_until.is_some_and(|at| at <= now);
        if self.failures < EJECT_FAILURES && !on_trial {
            return;
        }
        let span = EJECT_MIN.0 << self.ejections.min(5);
        self.ejected_until = Some(now.after(Millis(span.min(EJECT_MAX.0))));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns whether the endpoint is healthy and known of lately.
    pub(crate) fn is_present(&self, now: Instant) -> bool {
        self.view.healthy && now.since(self.reported) < REPORT_EXPIRY
    }

    /// Returns whether the endpoint failed lately and is not due for a trial.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        let Some(until) = self.ejected_until else {
            return false;
        };
        until > now || self.trial_until > now
    }

    /// Returns whether the endpoint is known to queue nothing below the tier.
    pub(crate) fn is_closed_to(&self, tier: Tier, now: Instant) -> bool {
        let promises = &self.promises[..=tier.index()];
        promises.iter().any(|until| *until > now)
    }

    /// Returns the last refusal of the endpoint for lack of room.
    pub(crate) fn full(&self) -> Option<Refused> {
        self.full
    }

    /// Estimates the time until work of a tier would be dispatched, in milliseconds.
    pub(crate) fn wait(&self, tier: Tier, now: Instant) -> f64 {
        let own = self.own_down_to(tier);
        if let Some(reply) = self.replies[tier.index()]
            && reply.at >= self.reported
            && now.since(reply.at) < REPLY_EXPIRY
        {
            let since = self
                .view
                .prefill_rate
                .millis_for((own - reply.own).max(0.0));
            let passed = now.since(reply.at).0 as f64;
            return (reply.wait - passed).max(0.0) + since;
        }
        let queued: f64 = self.view.queued[..=tier.index()]
            .iter()
            .map(|n| f64::from(*n))
            .sum();
        let reported: f64 = self.own_reported[..=tier.index()].iter().sum();
        let queued = (queued + own - reported).max(0.0);
        self.view.prefill_rate.millis_for(queued) + self.slot_wait()
    }

    /// Estimates the wait for a slot out of the running requests.
    fn slot_wait(&self) -> f64 {
        let since = f64::from(self.own_running) - f64::from(self.own_running_reported);
        let running = f64::from(self.view.running) + since;
        let limit = f64::from(self.view.limit.max(1));
        let over = (running + 1.0 - limit) / limit;
        over.clamp(0.0, 1.0) * SLOT_WAIT.0 as f64
    }

    /// Estimates the requests that run at the endpoint.
    pub(crate) fn running(&self) -> u32 {
        let since = self.own_running.saturating_sub(self.own_running_reported);
        self.view.running + since
    }

    fn own_down_to(&self, tier: Tier) -> f64 {
        self.own[..=tier.index()].iter().sum()
    }

    pub(crate) fn prefill_rate(&self) -> TokenRate {
        self.view.prefill_rate
    }

    pub(crate) fn decode_rate(&self) -> TokenRate {
        self.view.decode_rate
    }
}
