//! The life of one request at its entry, from receipt to the caller's answer.
//!
//! A [`Flight`] decides who may be offered the request next and what the caller
//! is told. It holds the rule that a request is offered to one agent at a time,
//! and to another one only when the first has handed it back or never saw it.
//! The phases are drawn in
//! [`docs/ARCHITECTURE.md`](../../../docs/ARCHITECTURE.md).

use smallvec::{SmallVec, smallvec};

use crate::config::Repeat;
use crate::outcome::{Refusal, Refused};
use crate::unit::{Instant, Millis};

/// The longest wait for the answer to a withdrawal.
pub const WITHDRAW_TIMEOUT: Millis = Millis(1_000);
/// The longest wait for a lost link to an agent to come back.
pub const RESUME_TIMEOUT: Millis = Millis(2_500);
/// The longest wait for the verdict on an offer.
pub const OFFER_TIMEOUT: Millis = Millis(2_500);
/// How soon a caller may ask again about a request whose outcome is unknown.
pub const UNKNOWN_RETRY_AFTER: Millis = Millis(1_000);
/// The offers that one request may cause before its run is not repeated any more.
pub const OFFERS_MAX: u32 = 8;
/// The offers that one request may cause before a refusal is passed on.
///
/// The route refuses earlier, once no endpoint can take the request; a bound
/// below the number of endpoints would refuse while less urgent work is queued,
/// see [`docs/POLICY.md`](../../../docs/POLICY.md#shedding).
pub const REFUSED_OFFERS_MAX: u32 = 64;

/// What happened to a request; `P` names the place of an offer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event<P> {
    /// The route chose a place.
    Routed(P),
    /// The route found no place.
    Unroutable(Refused),
    /// The home of the key granted the dispatch.
    Granted,
    /// Another request with the same key is placed there; its answer serves both.
    Held(P),
    /// The home of the key cannot tell whether the key has been dispatched.
    Undecided,
    /// The agent queued the offer.
    Accepted,
    /// The agent refused the offer or handed the request back undispatched.
    Refused(Refused),
    /// The agent gave the request back on demand.
    Withdrawn,
    /// The agent had dispatched the request when it was asked back.
    AlreadyDispatched,
    /// The agent was never offered the request and will not take it any more.
    Unheard,
    /// The agent handed the request to its endpoint.
    Dispatched,
    /// The head of the answer arrived.
    Head,
    /// All of the answer arrived.
    Whole,
    /// The answer broke off.
    Broken,
    /// The link to the agent was lost; a new one is tried.
    LinkLost,
    /// A new link to the agent is up.
    LinkUp,
    /// The run of the agent that had the request is over.
    AgentLost,
    /// The caller went away.
    CallerGone,
    /// Time passed; compare with [`Flight::wake_at`].
    Tick,
}

/// What the entry has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step<P> {
    /// Choose a place and report [`Event::Routed`] or [`Event::Unroutable`].
    Route,
    /// Ask the home of the key for the dispatch at this place.
    Claim(P),
    /// Choose a place for running an idempotent call again, if the retry budget
    /// allows it; report as for [`Step::Route`].
    Rerun,
    /// Tell the home of the key that nothing was dispatched.
    Release,
    /// Offer the request.
    Offer(P),
    /// Ask for the request back.
    Withdraw(P),
    /// Tell the agent that nobody waits for the answer.
    Cancel(P),
    /// Take up the stream on a new link, or attach to another request's run.
    Resume(P),
    /// Tell the caller that the request was not run.
    NotRun(Refused),
    /// Tell the caller that nobody knows whether the request was run.
    Unknown(Doubt),
    /// Tell the caller that the answer is whole.
    Finish,
}

/// Why the outcome of a request is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// The agent was lost after the request was offered to it.
    AgentLost,
    /// The endpoint broke off.
    EndpointBroke,
    /// The deadline passed after dispatch.
    Timeout,
    /// The agent did not say whether it had dispatched the request.
    NoReply,
    /// The key may have been dispatched before.
    KeyUndecided,
}

impl Doubt {
    /// Returns the stable code that callers and counters see.
    pub fn code(self) -> &'static str {
        match self {
            Doubt::AgentLost => "agent_lost",
            Doubt::EndpointBroke => "endpoint_broke",
            Doubt::Timeout => "timeout",
            Doubt::NoReply => "no_reply",
            Doubt::KeyUndecided => "key_undecided",
        }
    }

    /// Returns whether time ran out, as opposed to something having failed.
    pub fn is_timeout(self) -> bool {
        matches!(self, Doubt::Timeout)
    }
}

/// Steps in the order in which they have to be taken.
pub type Steps<P> = SmallVec<[Step<P>; 2]>;

/// What is fixed about a request when it is received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// How often the call may run.
    pub repeat: Repeat,
    /// Whether the dispatch has to be granted by the home of a key.
    pub guarded: bool,
    /// When an answer is of no use any more.
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
/// use sesamehaven::flight::{Event, Flight, Step, Terms};
/// use sesamehaven::unit::Instant;
///
/// let terms = Terms { repeat: Repeat::AtMostOnce, guarded: false, deadline: Instant(5_000) };
/// let mut flight = Flight::new(terms);
/// let steps = flight.on(Event::Routed("a1"), Instant(0));
/// assert_eq!(steps[..], [Step::Offer("a1")]);
/// flight.on(Event::Dispatched, Instant(5));
/// // Once dispatched, such a request is not offered to anybody else.
/// let steps = flight.on(Event::AgentLost, Instant(9));
/// assert!(matches!(steps[..], [Step::Unknown(_)]));
/// ```
#[derive(Debug, Clone)]
pub struct Flight<P> {
    terms: Terms,
    phase: Phase<P>,
    offers: u32,
    claimed: bool,
    head_told: bool,
    /// Why an earlier run of an idempotent call may have taken place.
    earlier_run: Option<Doubt>,
    /// When the current wait for an agent's word ends.
    patience: Option<Instant>,
}

impl<P: Clone + PartialEq> Flight<P> {
    /// Begins the life of a request; the first step is [`Step::Route`].
    pub fn new(terms: Terms) -> Self {
        Flight {
            terms,
            phase: Phase::Routing,
            offers: 0,
            claimed: false,
            head_told: false,
            earlier_run: None,
            patience: None,
        }
    }

    /// Returns where the request is or may be.
    pub fn place(&self) -> Option<&P> {
        match &self.phase {
            Phase::Claiming(p)
            | Phase::Offered(p)
            | Phase::Queued(p)
            | Phase::Withdrawing(p, _)
            | Phase::Dispatched(p) => Some(p),
            Phase::Routing | Phase::Done => None,
        }
    }

    /// Returns whether the caller has had its final word.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Returns whether the request is known to be with an endpoint.
    pub fn is_dispatched(&self) -> bool {
        matches!(self.phase, Phase::Dispatched(_))
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Instant {
        match self.patience {
            Some(patience) => patience.min(self.terms.deadline),
            None => self.terms.deadline,
        }
    }

    /// Takes an event in and returns what has to be done.
    pub fn on(&mut self, event: Event<P>, now: Instant) -> Steps<P> {
        match (self.phase.clone(), event) {
            (Phase::Done, _) => Steps::new(),
            (_, Event::CallerGone) => self.abandon(),
            (phase, Event::Tick) => self.tick(phase, now),
            (Phase::Routing, event) => self.routing(event, now),
            (Phase::Claiming(p), event) => self.claiming(p, event, now),
            (Phase::Offered(p) | Phase::Queued(p), event) => self.waiting(p, event, now),
            (Phase::Withdrawing(p, why), event) => self.withdrawing(p, why, event),
            (Phase::Dispatched(p), event) => self.dispatched(p, event, now),
        }
    }

    fn routing(&mut self, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Routed(p) if self.terms.guarded => {
                self.phase = Phase::Claiming(p.clone());
                smallvec![Step::Claim(p)]
            }
            Event::Routed(p) => self.offer(p, now),
            Event::Unroutable(refused) => self.not_run(refused),
            _ => Steps::new(),
        }
    }

    fn claiming(&mut self, p: P, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Granted => {
                self.claimed = true;
                self.offer(p, now)
            }
            Event::Held(p) => {
                // A grant of its own, if it had one, has passed to the holder.
                self.claimed = false;
                self.phase = Phase::Dispatched(p.clone());
                self.patience = Some(now.after(RESUME_TIMEOUT));
                smallvec![Step::Resume(p)]
            }
            Event::Undecided => self.unknown(Doubt::KeyUndecided),
            Event::Refused(refused) => self.not_run(refused),
            _ => Steps::new(),
        }
    }

    fn offer(&mut self, p: P, now: Instant) -> Steps<P> {
        self.offers += 1;
        self.phase = Phase::Offered(p.clone());
        self.patience = Some(now.after(OFFER_TIMEOUT));
        smallvec![Step::Offer(p)]
    }

    fn waiting(&mut self, p: P, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Accepted => {
                self.phase = Phase::Queued(p);
                self.patience = None;
                Steps::new()
            }
            Event::Refused(refused) => self.hand_back(refused),
            Event::Unheard => self.reroute(),
            Event::Dispatched | Event::AlreadyDispatched => self.dispatch(p),
            Event::Head => {
                self.head_told = true;
                self.dispatch(p)
            }
            Event::LinkLost => self.await_link(now),
            Event::LinkUp => smallvec![Step::Resume(p)],
            Event::AgentLost | Event::Broken => self.lost(Doubt::AgentLost),
            Event::Whole => self.finish(),
            _ => Steps::new(),
        }
    }

    fn withdrawing(&mut self, p: P, why: Refused, event: Event<P>) -> Steps<P> {
        match event {
            Event::Withdrawn | Event::Unheard | Event::Refused(_) => self.not_run(why),
            Event::AlreadyDispatched | Event::Dispatched | Event::Head => {
                let mut steps = self.unknown(Doubt::Timeout);
                steps.insert(0, Step::Cancel(p));
                steps
            }
            Event::Whole | Event::Broken => self.unknown(Doubt::Timeout),
            Event::LinkLost | Event::AgentLost => self.unknown(Doubt::NoReply),
            _ => Steps::new(),
        }
    }

    fn dispatched(&mut self, p: P, event: Event<P>, now: Instant) -> Steps<P> {
        match event {
            Event::Head => {
                self.head_told = true;
                self.patience = None;
                Steps::new()
            }
            Event::Dispatched | Event::AlreadyDispatched => {
                self.patience = None;
                Steps::new()
            }
            Event::Whole => self.finish(),
            Event::Broken => self.lost(Doubt::EndpointBroke),
            Event::LinkLost => self.await_link(now),
            Event::LinkUp => smallvec![Step::Resume(p)],
            Event::AgentLost => self.lost(Doubt::AgentLost),
            // An attached request whose run was never offered may be run anew.
            Event::Unheard if !self.claimed && self.terms.guarded => self.reroute(),
            Event::Unheard => self.lost(Doubt::AgentLost),
            _ => Steps::new(),
        }
    }

    fn tick(&mut self, phase: Phase<P>, now: Instant) -> Steps<P> {
        if now >= self.terms.deadline {
            return self.expire(phase, now);
        }
        let out_of_patience = self.patience.is_some_and(|patience| now >= patience);
        if !out_of_patience {
            return Steps::new();
        }
        match phase {
            Phase::Withdrawing(..) => self.unknown(Doubt::NoReply),
            _ => self.lost(Doubt::AgentLost),
        }
    }

    /// Gives the request up because its answer would be late.
    fn expire(&mut self, phase: Phase<P>, now: Instant) -> Steps<P> {
        let doomed = Refused {
            reason: Refusal::DeadlineUnreachable,
            retry_after: UNKNOWN_RETRY_AFTER,
            admits: None,
        };
        match phase {
            Phase::Routing | Phase::Claiming(_) => self.not_run(doomed),
            Phase::Offered(p) | Phase::Queued(p) => {
                self.phase = Phase::Withdrawing(p.clone(), doomed);
                self.terms.deadline = now.after(WITHDRAW_TIMEOUT);
                self.patience = Some(self.terms.deadline);
                smallvec![Step::Withdraw(p)]
            }
            Phase::Withdrawing(..) => self.unknown(Doubt::NoReply),
            Phase::Dispatched(p) => {
                let mut steps = self.unknown(Doubt::Timeout);
                steps.insert(0, Step::Cancel(p));
                steps
            }
            Phase::Done => Steps::new(),
        }
    }

    fn dispatch(&mut self, p: P) -> Steps<P> {
        self.phase = Phase::Dispatched(p);
        self.patience = None;
        Steps::new()
    }

    fn await_link(&mut self, now: Instant) -> Steps<P> {
        if self.patience.is_none() {
            self.patience = Some(now.after(RESUME_TIMEOUT));
        }
        Steps::new()
    }

    fn hand_back(&mut self, refused: Refused) -> Steps<P> {
        if refused.reason.may_retry_elsewhere() && self.offers < REFUSED_OFFERS_MAX {
            return self.reroute();
        }
        self.not_run(refused)
    }

    /// Ends or repeats a request whose run nobody can tell about.
    fn lost(&mut self, doubt: Doubt) -> Steps<P> {
        let repeatable = self.terms.repeat == Repeat::Idempotent;
        if !repeatable || self.head_told || self.earlier_run.is_some() {
            return self.unknown(doubt);
        }
        self.earlier_run = Some(doubt);
        self.phase = Phase::Routing;
        self.patience = None;
        smallvec![Step::Rerun]
    }

    fn reroute(&mut self) -> Steps<P> {
        self.phase = Phase::Routing;
        self.patience = None;
        smallvec![Step::Route]
    }

    fn not_run(&mut self, refused: Refused) -> Steps<P> {
        if let Some(doubt) = self.earlier_run {
            return self.unknown(doubt);
        }
        self.phase = Phase::Done;
        if self.claimed {
            return smallvec![Step::Release, Step::NotRun(refused)];
        }
        smallvec![Step::NotRun(refused)]
    }

    fn unknown(&mut self, doubt: Doubt) -> Steps<P> {
        self.phase = Phase::Done;
        smallvec![Step::Unknown(doubt)]
    }

    fn finish(&mut self) -> Steps<P> {
        self.phase = Phase::Done;
        smallvec![Step::Finish]
    }

    /// Ends the request of a caller that went away.
    fn abandon(&mut self) -> Steps<P> {
        let place = self.place().cloned();
        let claiming = matches!(self.phase, Phase::Claiming(_));
        self.phase = Phase::Done;
        match place {
            Some(p) if !claiming => smallvec![Step::Cancel(p)],
            _ => Steps::new(),
        }
    }
}
