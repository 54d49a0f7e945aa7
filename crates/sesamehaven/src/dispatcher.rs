//! The queue and the choice of endpoints of one pool, for a process that dispatches directly.
//!
//! A pure state machine of (state, event, now): the caller carries out the
//! [`Step`]s. The load patterns that it answers are set out in
//! [`docs/FRONT.md`](../../../docs/FRONT.md#decisions-at-the-worst-load).
//!
//! # Example
//!
//! ```
//! use sesamehaven::Tier;
//! use sesamehaven::backlog::Ticket;
//! use sesamehaven::dispatcher::{Dispatcher, Step, Work};
//! use sesamehaven::placement::ListedEndpoint;
//! use sesamehaven::unit::{Instant, Millis};
//!
//! let mut pool = Dispatcher::default();
//! let id = "engine-1".into();
//! pool.set_endpoints([ListedEndpoint { id, slots: 4, is_near: true, is_ready: true }]);
//! let work = Work::new("brief", Tier::MOST_URGENT, Millis(500), Instant(0));
//! let steps = pool.on_arrival(Ticket(1), work, Instant(0));
//! assert!(matches!(&steps[..], [Step::Start { .. }]));
//! ```

use std::collections::HashMap;

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::backlog::{Backlog, Length, Rank, Ticket, Waiting, drain_time};
use crate::placement::{Demand, DispatchOutcome, ListedEndpoint, Placement};
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The share of the slots that the least urgent rank leaves free for those above it.
const RESERVE_SHARE: f64 = 0.14;
/// The part of the objective that a request may be expected to wait for a place.
const WAIT_SHARE: f64 = 0.6;
/// The same for the most urgent rank, which is worth serving late.
const URGENT_WAIT_SHARE: f64 = 2.0;
/// The part of the objective after which a request that has no place is given up.
const GIVE_UP_SHARE: f64 = 1.2;
/// The same for the most urgent rank.
const URGENT_GIVE_UP_SHARE: f64 = 3.0;
/// The part of the objective that a started request needs up to its first token.
const FIRST_TOKEN_SHARE: f64 = 0.3;
/// The times between counts for which requests must hold their slots, so that counts tell what is free.
const HOLD_COUNTS: f64 = 3.0;
/// The bounds of when a refused caller is asked to come back.
const RETRY_AFTER_RANGE: (Millis, Millis) = (Millis(150), Millis(2_000));
/// The weight of a new sample in the pool's averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The time factor of the pool is kept within these bounds.
const FACTOR_RANGE: (f64, f64) = (0.2, 10.0);

/// What the dispatcher needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The kind of request.
    pub class: SmolStr,
    /// Its rank.
    pub rank: Rank,
    /// When its first byte came.
    pub arrived: Instant,
    /// When its caller first sent it, before refusals; its objective counts from then.
    pub first_sent: Instant,
    /// The time within which its answer, or the first event, earns its full credit.
    pub objective: Millis,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// How long it would hold a place at an endpoint of ordinary speed.
    pub slot_ms: f64,
    /// The session or prefix whose cached prompt it would reuse.
    pub session: Option<u64>,
    /// The endpoints that it has tried.
    pub tried: SmallVec<[SmolStr; 2]>,
}

impl Work {
    /// Builds work of ordinary length without a session.
    pub fn new(class: &str, tier: Tier, objective: Millis, arrived: Instant) -> Self {
        Work {
            class: class.into(),
            rank: tier.into(),
            arrived,
            first_sent: arrived,
            objective,
            deadline: arrived.after(Millis(objective.0 * 8)),
            slot_ms: 100.0,
            session: None,
            tried: SmallVec::new(),
        }
    }

    fn demand(&self, ticket: Ticket) -> Demand {
        Demand {
            session: self.session,
            is_long: self.length().is_long(),
            draw: ticket.0,
        }
    }

    fn length(&self) -> Length {
        Length::of(self.slot_ms)
    }

    /// Returns the latest start that meets the objective.
    fn on_time_until(&self) -> Instant {
        let share = self.share_of_objective(1.0 - FIRST_TOKEN_SHARE);
        self.first_sent.after(share)
    }

    fn share_of_objective(&self, share: f64) -> Millis {
        Millis((self.objective.0 as f64 * share) as u64)
    }
}

/// Why a request is refused; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// More is waiting than can be served in time.
    Overload,
    /// It has waited for as long as made sense.
    Overdue,
    /// No endpoint takes work.
    NoEndpoint,
}

impl Refusal {
    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Overload => "overload",
            Refusal::Overdue => "overdue",
            Refusal::NoEndpoint => "no_endpoint",
        }
    }
}

/// What the caller of the dispatcher has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Dispatch the request to the endpoint.
    Start {
        /// The request.
        ticket: Ticket,
        /// The endpoint's incarnation.
        endpoint: SmolStr,
    },
    /// Tell the caller that its request has not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Refusal,
        /// When a place is likely to be free.
        retry_after: Millis,
    },
}

/// The steps that follow from one event.
pub type Steps = SmallVec<[Step; 2]>;

#[derive(Debug, Clone)]
struct Running {
    endpoint: SmolStr,
    rank: Rank,
    slot_ms: f64,
    started: Instant,
}

/// The queue and the endpoints of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    placement: Placement,
    backlog: Backlog,
    works: HashMap<Ticket, Work>,
    running: HashMap<Ticket, Running>,
    factor: f64,
    /// The part of what waits at all processes that waits here.
    part: f64,
    /// When the other processes were last counted.
    counted: Instant,
    /// How long requests held their slots lately, in milliseconds.
    hold_ms: f64,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Dispatcher::new(0)
    }
}

impl Dispatcher {
    /// Builds the dispatcher of a process, whose own order of endpoints follows from its seed.
    pub fn new(seed: u64) -> Self {
        Dispatcher {
            placement: Placement::new(seed),
            backlog: Backlog::default(),
            works: HashMap::new(),
            running: HashMap::new(),
            factor: 1.0,
            part: 1.0,
            counted: Instant(0),
            hold_ms: 0.0,
        }
    }

    /// Takes over the endpoints that the directory lists.
    pub fn set_endpoints(&mut self, listed: impl IntoIterator<Item = ListedEndpoint>) {
        self.placement.set_endpoints(listed);
    }

    /// Notes what the other processes run at each endpoint, how many they are, and what waits there.
    pub fn set_peers(
        &mut self,
        others: usize,
        waiting: u32,
        now: Instant,
        running: impl Fn(u64) -> u32,
    ) {
        let own = self.backlog.len() as f64 + 1.0;
        self.part = own / (own + f64::from(waiting) + others as f64);
        let age = now.since(self.counted).0 as f64;
        self.counted = now;
        let is_telling = others > 0 && self.hold_ms > age * HOLD_COUNTS;
        let part = is_telling.then_some(self.part);
        self.placement.set_peers(part, running);
    }

    /// Lists the hash of each endpoint with the requests that this process runs there.
    pub fn running(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.placement.running()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the slots that are free, and all.
    pub fn slots(&self) -> (u32, u32) {
        (self.placement.free(), self.placement.slots())
    }

    /// Queues a request, or refuses it when it would wait for too long.
    pub fn on_arrival(&mut self, ticket: Ticket, work: Work, now: Instant) -> Steps {
        if !self.placement.has_ready() {
            return self.refuse(ticket, Refusal::NoEndpoint, work.arrived, now);
        }
        let wait = self.expected_wait(ticket, &work, now);
        let waited = now.since(work.arrived);
        let is_urgent = self.backlog.position(work.rank).0 == 0;
        let (wait_share, give_up_share) = match is_urgent {
            true => (URGENT_WAIT_SHARE, URGENT_GIVE_UP_SHARE),
            false => (WAIT_SHARE, GIVE_UP_SHARE),
        };
        let most = work.share_of_objective(wait_share);
        let length = work.length();
        let is_starved = self.backlog.is_starved(&work.class, length, work.rank);
        let is_hopeless = wait.0 > 0 && wait.0 + waited.0 > most.0;
        if is_hopeless && !is_starved && work.tried.is_empty() {
            self.backlog
                .count_refused(&work.class, length, work.rank, now);
            return self.refuse(ticket, Refusal::Overload, now.after(wait), now);
        }
        let give_up = work.arrived.after(work.share_of_objective(give_up_share));
        let waiting = Waiting {
            ticket,
            class: work.class.clone(),
            length,
            rank: work.rank,
            arrived: work.arrived,
            on_time_until: work.on_time_until(),
            give_up: give_up.min(work.deadline),
            slot_ms: work.slot_ms * self.factor,
        };
        self.backlog.push(waiting, now);
        self.works.insert(ticket, work);
        self.fill(now)
    }

    /// Forgets a request whose caller has left before it started.
    pub fn on_caller_gone(&mut self, ticket: Ticket) {
        self.backlog.remove(ticket);
        self.works.remove(&ticket);
    }

    /// Notes that a request has ended at its endpoint, which frees a place.
    pub fn on_end(&mut self, ticket: Ticket, ended: DispatchOutcome, now: Instant) -> Steps {
        let Some(run) = self.running.remove(&ticket) else {
            return Steps::new();
        };
        let took = now.since(run.started).0 as f64;
        let ratio = (took / run.slot_ms.max(1.0)).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        let factor = (ended == DispatchOutcome::Success).then(|| ratio / self.factor);
        if ended == DispatchOutcome::Success {
            let weight = if self.hold_ms > 0.0 {
                SAMPLE_WEIGHT
            } else {
                1.0
            };
            self.hold_ms += weight * (took - self.hold_ms);
            self.factor += SAMPLE_WEIGHT * (ratio - self.factor);
        }
        let is_long = Length::of(run.slot_ms).is_long();
        self.placement
            .on_end(&run.endpoint, is_long, ended, factor, now);
        self.fill(now)
    }

    /// Notes that an endpoint cannot be reached; the request has not run there.
    pub fn on_unreachable(&mut self, ticket: Ticket, now: Instant) -> Steps {
        if let Some(run) = self.running.get(&ticket) {
            self.placement.on_unreachable(&run.endpoint, now);
        }
        self.on_end(ticket, DispatchOutcome::Neutral, now)
    }

    /// Notes that an endpoint had no room; the request has not run there.
    pub fn on_full(&mut self, ticket: Ticket, now: Instant) -> Steps {
        if let Some(run) = self.running.get(&ticket) {
            self.placement.on_full(&run.endpoint, now);
        }
        self.on_end(ticket, DispatchOutcome::Neutral, now)
    }

    /// Refuses what has waited too long, and starts what has a place by now.
    pub fn on_tick(&mut self, now: Instant) -> Steps {
        let mut steps = Steps::new();
        for waiting in self.backlog.take_overdue(now) {
            let work = self.works.remove(&waiting.ticket);
            let wait = work.map_or(Millis(0), |w| self.expected_wait(waiting.ticket, &w, now));
            steps.extend(self.refuse(waiting.ticket, Refusal::Overdue, now.after(wait), now));
        }
        steps.extend(self.fill(now));
        steps
    }

    /// Starts waiting requests while there are slots for them.
    fn fill(&mut self, now: Instant) -> Steps {
        let mut steps = Steps::new();
        while self.start_one(now, &mut steps) {}
        steps
    }

    fn start_one(&mut self, now: Instant, steps: &mut Steps) -> bool {
        if self.backlog.is_empty() {
            return false;
        }
        let free = self.placement.free();
        let slots = self.placement.slots();
        for (ticket, starved) in self.backlog.turns(now) {
            let Some(work) = self.works.get(&ticket) else {
                continue;
            };
            if !starved && free <= self.reserve(work.rank, slots) {
                continue;
            }
            let demand = work.demand(ticket);
            // Long work below its floor is not held to the slots that long work may have.
            let chosen = Demand {
                is_long: demand.is_long && !starved,
                ..demand
            };
            let Some(endpoint) = self.placement.choose(&chosen, &work.tried, now) else {
                continue;
            };
            let Some(work) = self.works.remove(&ticket) else {
                continue;
            };
            self.backlog.start(ticket, now);
            self.placement.on_start(&endpoint, &demand, now);
            let run = Running {
                endpoint: endpoint.clone(),
                rank: work.rank,
                slot_ms: work.slot_ms,
                started: now,
            };
            self.running.insert(ticket, run);
            steps.push(Step::Start { ticket, endpoint });
            return true;
        }
        false
    }

    /// Estimates how long a request would wait behind those that go before it.
    fn expected_wait(&self, ticket: Ticket, work: &Work, now: Instant) -> Millis {
        let slots = self.placement.slots();
        let is_free = self.placement.free() > self.reserve(work.rank, slots);
        let demand = work.demand(ticket);
        if is_free && self.placement.has_place(&demand, &work.tried, now) {
            return Millis(0);
        }
        let above = self.running.values().filter(|r| r.rank < work.rank);
        let left = 1.0 - above.count() as f64 / self.running.len().max(1) as f64;
        let is_late = work.on_time_until() < now;
        let ahead =
            self.backlog.slot_ms_ahead(work.rank, is_late, now) + work.slot_ms * self.factor;
        let share = f64::from(slots.max(1)) * self.part;
        drain_time(ahead, share * left.max(0.25))
    }

    fn refuse(&self, ticket: Ticket, reason: Refusal, free_at: Instant, now: Instant) -> Steps {
        let (least, most) = RETRY_AFTER_RANGE;
        // The spread keeps callers that are refused together from returning together.
        let wait = free_at.since(now).0.clamp(least.0, most.0);
        let spread = wait / 2 * (ticket.0.wrapping_mul(0x9e37_79b9) >> 8 & 0xff) / 0xff;
        let retry_after = Millis((wait + spread).min(most.0));
        SmallVec::from_iter([Step::Refuse {
            ticket,
            reason,
            retry_after,
        }])
    }

    /// Returns the slots that a rank leaves free for those above it.
    fn reserve(&self, rank: Rank, slots: u32) -> u32 {
        let (above, ranks) = self.backlog.position(rank);
        let below_first = (ranks.max(2) - 1) as f64;
        (f64::from(slots) * RESERVE_SHARE * above as f64 / below_first).round() as u32
    }
}
