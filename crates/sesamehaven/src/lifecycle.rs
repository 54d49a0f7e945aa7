//! The lifecycle of one request at its entry, from receipt to the final response.
//!
//! A [`Lifecycle`] decides to which agent the request is offered next and what the caller
//! receives. It enforces that a request is offered to one agent at a time, and to another
//! one only after the first has returned it or never received it. An idempotent call may
//! also be repeated once after an unknown outcome, as long as no part of its response was
//! forwarded. The phases are shown in
//! [`docs/ARCHITECTURE.md`](../../../docs/ARCHITECTURE.md).

use smallvec::{SmallVec, smallvec};

use crate::config::Repeat;
use crate::outcome::{Refusal, Refused};
use crate::unit::{Instant, Millis};

/// The timeout of a withdrawal, after which the caller is told that the outcome is unknown.
///
/// Callers are told within two seconds after their deadline.
pub const WITHDRAW_TIMEOUT: Millis = Millis(1_750);
/// The timeout for a lost link to an agent to be restored.
pub const RESUME_TIMEOUT: Millis = Millis(2_500);
/// The timeout of an offer.
pub const OFFER_TIMEOUT: Millis = Millis(2_500);
/// The retry delay of a caller whose request has an unknown outcome or missed its deadline.
pub const UNKNOWN_RETRY_AFTER: Millis = Millis(1_000);
/// An unused bound on the number of offers of one request; a run is repeated at most once
/// regardless of it.
pub const MAX_OFFERS: u32 = 8;
/// The maximum number of offers of one request before a refusal is passed to the caller.
///
/// The router refuses earlier if no endpoint can take the request. A bound below the
/// number of endpoints would refuse requests while less urgent work is queued, see
/// [`docs/POLICY.md`](../../../docs/POLICY.md#shedding).
pub const MAX_REFUSED_OFFERS: u32 = 64;

/// An event in the lifecycle of a request; `P` identifies the target of an offer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event<P> {
    /// The router chose a target.
    Routed(P),
    /// The router found no target.
    Unroutable(Refused),
    /// The key's home granted the dispatch.
    Granted,
    /// Another request with the same key was assigned to this target; its response serves
    /// both.
    Attached(P),
    /// The key's home cannot determine whether the key has been dispatched.
    Undecided,
    /// The agent queued the offer.
    Accepted,
    /// The agent refused the offer or returned the request without dispatching it.
    Refused(Refused),
    /// The agent could not send the dispatched request to its endpoint, so it was not run.
    NotSent(Refused),
    /// The agent confirmed the withdrawal.
    Withdrawn,
    /// The agent had dispatched the request before the withdrawal.
    AlreadyDispatched,
    /// The agent never received the offer and will not accept it any more.
    NeverOffered,
    /// The agent dispatched the request to its endpoint.
    Dispatched,
    /// The head of the response arrived.
    Head,
    /// The complete response arrived.
    Completed,
    /// The response was interrupted.
    Interrupted,
    /// The link to the agent was lost; reconnection is in progress.
    LinkLost,
    /// The link to the agent was restored.
    LinkUp,
    /// The agent incarnation that had the request is gone.
    AgentLost,
    /// The caller disconnected.
    CallerGone,
    /// The time of [`Lifecycle::wake_at`] has come; an earlier tick is ignored.
    Tick,
}

/// An action for the entry to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Step<P> {
    /// Choose a target and report [`Event::Routed`] or [`Event::Unroutable`].
    Route,
    /// Ask the key's home to grant the dispatch to this target.
    Claim(P),
    /// Choose a target for repeating an idempotent call, if the retry budget allows it;
    /// report as for [`Step::Route`].
    Rerun,
    /// Notify the key's home that nothing was dispatched.
    Release,
    /// Offer the request.
    Offer(P),
    /// Withdraw the request.
    Withdraw(P),
    /// Cancel the request at the agent, as its response is no longer needed.
    Cancel(P),
    /// Resume the stream on a new link, or attach to another request's run.
    Resume(P),
    /// Respond that the request was not run.
    NotRun(Refused),
    /// Respond that it is unknown whether the request was run.
    Unknown(UnknownReason),
    /// Complete the response to the caller.
    Finish,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The agent was lost after the request was offered to it.
    AgentLost,
    /// The endpoint failed before the response was complete.
    EndpointFailed,
    /// The deadline passed after dispatch.
    Timeout,
    /// The agent did not report whether it had dispatched the request.
    NoReply,
    /// The key may have been dispatched before.
    KeyUndecided,
}

impl UnknownReason {
    /// Returns the stable code used in responses and metrics.
    pub fn code(self) -> &'static str {
        match self {
            UnknownReason::AgentLost => "agent_lost",
            UnknownReason::EndpointFailed => "endpoint_broke",
            UnknownReason::Timeout => "timeout",
            UnknownReason::NoReply => "no_reply",
            UnknownReason::KeyUndecided => "key_undecided",
        }
    }

    /// Returns whether the reason is a timeout rather than a failure.
    pub fn is_timeout(self) -> bool {
        matches!(self, UnknownReason::Timeout)
    }
}

/// The steps that follow from an event, in the order of execution.
pub type Steps<P> = SmallVec<[Step<P>; 2]>;

/// The properties of a request that determine how it may be executed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExecutionPolicy {
    /// How often the call may run and how that is enforced.
    pub repeat: Repeat,
    /// Whether the home of an idempotency key must grant the dispatch.
    pub guarded: bool,
    /// When a response is no longer useful.
    pub deadline: Instant,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase<P> {
    Routing,
    Claiming(P),
    Offered(P),
    Queued(P),
    Withdrawing(P, Refused),
    Dispatched(P),
    Done,
}

/// The state of one request at its entry.
///
/// # Example
///
/// ```
/// use sesamehaven::config::Repeat;
/// use sesamehaven::lifecycle::{Event, ExecutionPolicy, Lifecycle, Step};
/// use sesamehaven::unit::Instant;
///
/// let policy = ExecutionPolicy { repeat: Repeat::AtMostOnce, guarded: false, deadline: Instant(5_000) };
/// let mut lifecycle = Lifecycle::new(policy);
/// let steps = lifecycle.on(Event::Routed("a1"), Instant(0));
/// assert_eq!(steps[..], [Step::Offer("a1")]);
/// lifecycle.on(Event::Dispatched, Instant(5));
/// // Once dispatched, a request that may run at most once is not offered again.
/// let steps = lifecycle.on(Event::AgentLost, Instant(9));
/// assert!(matches!(steps[..], [Step::Unknown(_)]));
/// ```
#[derive(Debug, Clone)]
pub struct Lifecycle<P> {
    policy: ExecutionPolicy,
    phase: Phase<P>,
    offers: u32,
    claimed: bool,
    head_forwarded: bool,
    /// Why an earlier run of an idempotent call may have taken place.
    earlier_run: Option<UnknownReason>,
    /// When the current wait for the agent times out.
    timeout_at: Option<Instant>,
}

impl<P: Clone + PartialEq> Lifecycle<P> {
    /// Creates the lifecycle of a new request; the first step is [`Step::Route`].
    pub fn new(policy: ExecutionPolicy) -> Self {
        Lifecycle {
            policy,
            phase: Phase::Routing,
            offers: 0,
            claimed: false,
            head_forwarded: false,
            earlier_run: None,
            timeout_at: None,
        }
    }

    /// Returns the target that has, or may have, the request.
    pub fn target(&self) -> Option<&P> {
        match &self.phase {
            Phase::Claiming(target)
            | Phase::Offered(target)
            | Phase::Queued(target)
            | Phase::Withdrawing(target, _)
            | Phase::Dispatched(target) => Some(target),
            Phase::Routing | Phase::Done => None,
        }
    }

    /// Returns whether the caller has received the final response.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Returns whether the request is known to be dispatched to an endpoint.
    pub fn is_dispatched(&self) -> bool {
        matches!(self.phase, Phase::Dispatched(_))
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Instant {
        match self.timeout_at {
            Some(timeout_at) => timeout_at.min(self.policy.deadline),
            None => self.policy.deadline,
        }
    }

    /// Handles an event and returns the resulting steps.
    pub fn on(&mut self, event: Event<P>, now: Instant) -> Steps<P> {
        match (self.phase.clone(), event) {
            (Phase::Done, _) => Steps::new(),
            (_, Event::CallerGone) => self.abandon(),
            (phase, Event::Tick) => self.tick(phase, now),
            (Phase::Routing, event) => self.on_routing(event, now),
            (Phase::Claiming(target), event) => self.on_claiming(target, event, now),
            (Phase::Offered(target) | Phase::Queued(target), event) => {
                self.on_waiting(target, event, now)
            }
            (Phase::Withdrawing(target, refused), event) => {
                self.on_withdrawing(target, refused, event)
            }
            (Phase::Dispatched(target), event) => self.on_dispatched(target, event, now),
        }
    }

    fn on_routing(&mut self, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Routed(target) if self.policy.guarded => {
                self.phase = Phase::Claiming(target.clone());
                smallvec![Step::Claim(target)]
            }
            Event::Routed(target) => self.start_offer(target, now),
            Event::Unroutable(refused) => self.not_run(refused),
            _ => Steps::new(),
        }
    }

    fn on_claiming(&mut self, target: P, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Granted => {
                self.claimed = true;
                self.start_offer(target, now)
            }
            Event::Attached(target) => {
                // If this request had a grant, it has passed to the holder of the key.
                self.claimed = false;
                self.phase = Phase::Dispatched(target.clone());
                self.timeout_at = Some(now.after(RESUME_TIMEOUT));
                smallvec![Step::Resume(target)]
            }
            Event::Undecided => self.unknown(UnknownReason::KeyUndecided),
            Event::Refused(refused) => self.not_run(refused),
            _ => Steps::new(),
        }
    }

    fn start_offer(&mut self, target: P, now: Instant) -> Steps<P> {
        self.offers += 1;
        self.phase = Phase::Offered(target.clone());
        self.timeout_at = Some(now.after(OFFER_TIMEOUT));
        smallvec![Step::Offer(target)]
    }

    fn on_waiting(&mut self, target: P, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Accepted => {
                self.phase = Phase::Queued(target);
                self.timeout_at = None;
                Steps::new()
            }
            Event::Refused(refused) => self.on_refused(refused),
            Event::NeverOffered => self.reroute(),
            Event::Dispatched | Event::AlreadyDispatched => self.set_dispatched(target),
            Event::Head => {
                self.head_forwarded = true;
                self.set_dispatched(target)
            }
            Event::LinkLost => self.await_link(now),
            Event::LinkUp => smallvec![Step::Resume(target)],
            Event::AgentLost | Event::Interrupted => {
                self.on_outcome_unknown(UnknownReason::AgentLost)
            }
            Event::Completed => self.finish(),
            _ => Steps::new(),
        }
    }

    fn on_withdrawing(&mut self, target: P, refused: Refused, event: Event<P>) -> Steps<P> {
        match event {
            Event::Withdrawn | Event::NeverOffered | Event::Refused(_) => self.not_run(refused),
            Event::AlreadyDispatched | Event::Dispatched | Event::Head => {
                let mut steps = self.unknown(UnknownReason::Timeout);
                steps.insert(0, Step::Cancel(target));
                steps
            }
            Event::Completed | Event::Interrupted => self.unknown(UnknownReason::Timeout),
            Event::LinkLost | Event::AgentLost => self.unknown(UnknownReason::NoReply),
            _ => Steps::new(),
        }
    }

    fn on_dispatched(&mut self, target: P, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Head => {
                self.head_forwarded = true;
                self.timeout_at = None;
                Steps::new()
            }
            // The run of another request, whose answer this one reads, may still be queued.
            Event::Accepted | Event::Dispatched | Event::AlreadyDispatched => {
                self.timeout_at = None;
                Steps::new()
            }
            Event::NotSent(refused) if !self.head_forwarded => self.on_refused(refused),
            Event::Completed => self.finish(),
            Event::Interrupted => self.on_outcome_unknown(UnknownReason::EndpointFailed),
            Event::LinkLost => self.await_link(now),
            Event::LinkUp => smallvec![Step::Resume(target)],
            Event::AgentLost => self.on_outcome_unknown(UnknownReason::AgentLost),
            // An attached request whose run was never offered may be run anew.
            Event::NeverOffered if !self.claimed && self.policy.guarded => self.reroute(),
            Event::NeverOffered => self.on_outcome_unknown(UnknownReason::AgentLost),
            _ => Steps::new(),
        }
    }

    fn tick(&mut self, phase: Phase<P>, now: Instant) -> Steps<P> {
        if now >= self.policy.deadline {
            return self.expire(phase, now);
        }
        let timed_out = self.timeout_at.is_some_and(|timeout_at| now >= timeout_at);
        if !timed_out {
            return Steps::new();
        }
        match phase {
            Phase::Withdrawing(..) => self.unknown(UnknownReason::NoReply),
            _ => self.on_outcome_unknown(UnknownReason::AgentLost),
        }
    }

    /// Ends the request because its deadline has passed.
    fn expire(&mut self, phase: Phase<P>, now: Instant) -> Steps<P> {
        let refused = Refused {
            reason: Refusal::DeadlineUnreachable,
            retry_after: UNKNOWN_RETRY_AFTER,
            admits: None,
        };
        match phase {
            Phase::Routing | Phase::Claiming(_) => self.not_run(refused),
            Phase::Offered(target) | Phase::Queued(target) => {
                self.phase = Phase::Withdrawing(target.clone(), refused);
                self.policy.deadline = now.after(WITHDRAW_TIMEOUT);
                self.timeout_at = Some(self.policy.deadline);
                smallvec![Step::Withdraw(target)]
            }
            Phase::Withdrawing(..) => self.unknown(UnknownReason::NoReply),
            Phase::Dispatched(target) => {
                let mut steps = self.unknown(UnknownReason::Timeout);
                steps.insert(0, Step::Cancel(target));
                steps
            }
            Phase::Done => Steps::new(),
        }
    }

    fn set_dispatched(&mut self, target: P) -> Steps<P> {
        self.phase = Phase::Dispatched(target);
        self.timeout_at = None;
        Steps::new()
    }

    fn await_link(&mut self, now: Instant) -> Steps<P> {
        if self.timeout_at.is_none() {
            self.timeout_at = Some(now.after(RESUME_TIMEOUT));
        }
        Steps::new()
    }

    fn on_refused(&mut self, refused: Refused) -> Steps<P> {
        if refused.reason.may_retry_elsewhere() && self.offers < MAX_REFUSED_OFFERS {
            return self.reroute();
        }
        self.not_run(refused)
    }

    /// Ends or repeats a request that may or may not have run.
    fn on_outcome_unknown(&mut self, reason: UnknownReason) -> Steps<P> {
        let repeatable = self.policy.repeat == Repeat::Idempotent;
        if !repeatable || self.head_forwarded || self.earlier_run.is_some() {
            return self.unknown(reason);
        }
        self.earlier_run = Some(reason);
        self.phase = Phase::Routing;
        self.timeout_at = None;
        smallvec![Step::Rerun]
    }

    fn reroute(&mut self) -> Steps<P> {
        self.phase = Phase::Routing;
        self.timeout_at = None;
        smallvec![Step::Route]
    }

    fn not_run(&mut self, refused: Refused) -> Steps<P> {
        if let Some(reason) = self.earlier_run {
            return self.unknown(reason);
        }
        self.phase = Phase::Done;
        if self.claimed {
            return smallvec![Step::Release, Step::NotRun(refused)];
        }
        smallvec![Step::NotRun(refused)]
    }

    fn unknown(&mut self, reason: UnknownReason) -> Steps<P> {
        self.phase = Phase::Done;
        smallvec![Step::Unknown(reason)]
    }

    fn finish(&mut self) -> Steps<P> {
        self.phase = Phase::Done;
        smallvec![Step::Finish]
    }

    /// Ends a request whose caller disconnected.
    fn abandon(&mut self) -> Steps<P> {
        let target = self.target().cloned();
        let claiming = matches!(self.phase, Phase::Claiming(_));
        self.phase = Phase::Done;
        match target {
            Some(target) if !claiming => smallvec![Step::Cancel(target)],
            _ => Steps::new(),
        }
    }
}
