//! The requests that wait for a slot in a pool, by class.
//!
//! Endpoints admit requests in order of arrival, without regard to rank, so under
//! overload the order is decided here. Classes are served by rank; a class whose
//! served share is below its floor goes first, so that no class starves. Within a
//! class, requests that can still meet their objective precede late ones. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

use std::collections::VecDeque;

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::limit_use::LimitUse;
use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The served share of a class, relative to that of all requests, below which the
/// class precedes higher ranks.
///
/// Users require at least a quarter over a whole day.
const CLASS_FLOOR: f64 = 0.35;
/// The served share of the long requests of a class, relative to that of the class,
/// below which they precede higher ranks.
///
/// Users require at least a half over a whole day.
const LONG_FLOOR: f64 = 0.65;
/// The expected time in a slot above which a request counts as long, in milliseconds.
const LONG_MS: f64 = 700.0;
/// The expected time in a slot above which a request counts as very long, in milliseconds.
const VERY_LONG_MS: f64 = 2_500.0;
/// The time constant with which the counts of shares decay, in milliseconds.
const SHARE_DECAY_MS: f64 = 6_000.0;
/// The number of recent requests below which the share of a class is not evaluated.
const SHARE_MIN_REQUESTS: f64 = 4.0;

/// The priority of a request.
///
/// All requests of an organisation may have the same tier; the tier of the route
/// then decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The tier of the organisation, or of the route when the organisation has none.
    pub tier: Tier,
    /// The tier of the route.
    pub route: Tier,
}

impl From<Tier> for Rank {
    fn from(tier: Tier) -> Self {
        Rank { tier, route: tier }
    }
}

/// The expected time in a slot, as a category.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Length {
    /// Typical.
    Short,
    /// Several times the typical length.
    Long,
    /// So long that a few such requests occupy a whole pool.
    VeryLong,
}

impl Length {
    /// Returns the category of a request with the given expected time in a slot.
    pub fn of(slot_ms: f64) -> Self {
        match slot_ms {
            ms if ms <= LONG_MS => Length::Short,
            ms if ms <= VERY_LONG_MS => Length::Long,
            _ => Length::VeryLong,
        }
    }

    /// Returns whether the request holds its slot longer than is typical.
    pub fn is_long(self) -> bool {
        self > Length::Short
    }
}

/// The identifier of a request in a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request in the backlog.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingRequest {
    /// The identifier.
    pub ticket: Ticket,
    /// The class, for which served shares are computed.
    pub class: SmolStr,
    /// The category of its expected time in a slot.
    pub length: Length,
    /// The rank.
    pub rank: Rank,
    /// When the first byte of the request arrived.
    pub arrived: Instant,
    /// The latest start at which the objective is still met.
    pub latest_on_time_start: Instant,
    /// When the request is refused if it has not started.
    pub give_up_at: Instant,
    /// The expected time in a slot, in milliseconds.
    pub slot_ms: f64,
    /// How much of its limit its organisation has used.
    pub limit_use: LimitUse,
}

/// The queue of the requests of one class, length and rank.
#[derive(Debug)]
struct ClassQueue {
    name: SmolStr,
    length: Length,
    rank: Rank,
    queue: VecDeque<WaitingRequest>,
    requested: f64,
    started: f64,
    decayed_at: Instant,
}

impl ClassQueue {
    fn decay(&mut self, now: Instant) {
        let span = now.since(self.decayed_at).0 as f64;
        let keep = (-span / SHARE_DECAY_MS).exp();
        self.requested *= keep;
        self.started *= keep;
        self.decayed_at = now;
    }

    fn share(&self) -> f64 {
        self.started / self.requested.max(1.0)
    }

    fn is_same_class(&self, other: &ClassQueue) -> bool {
        self.name == other.name && self.rank == other.rank
    }

    /// Returns the queue index of the request that is served next.
    ///
    /// The newest request that can still be on time goes first: under overload, serving
    /// the oldest first would start every request just too late. Those of organisations that
    /// have used less of their limits precede it.
    fn next(&self, now: Instant) -> Option<usize> {
        let queue = self.queue.iter().enumerate();
        let on_time = queue.clone().filter(|(_, w)| w.latest_on_time_start >= now);
        let level = |(_, w): &(usize, &WaitingRequest)| w.limit_use.level();
        // The first of several equal requests is chosen.
        let next = on_time.rev().min_by_key(level);
        next.or_else(|| queue.min_by_key(level)).map(|(at, _)| at)
    }
}

/// The requests that wait for one pool.
#[derive(Debug, Default)]
pub struct Backlog {
    classes: Vec<ClassQueue>,
}

impl Backlog {
    /// Adds a request to the queue of its class, length and rank.
    pub fn push(&mut self, waiting: WaitingRequest, now: Instant) {
        let class = self.class(&waiting.class, waiting.length, waiting.rank, now);
        class.requested += 1.0;
        class.queue.push_back(waiting);
    }

    /// Counts a request that was refused without queueing.
    pub fn count_refused(&mut self, name: &SmolStr, length: Length, rank: Rank, now: Instant) {
        self.class(name, length, rank, now).requested += 1.0;
    }

    /// Removes and returns a waiting request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        for class in &mut self.classes {
            if let Some(at) = class.queue.iter().position(|w| w.ticket == ticket) {
                return class.queue.remove(at);
            }
        }
        None
    }

    /// Returns the next request of each queue in the order of service, each with whether its
    /// queue is starved.
    pub fn candidates(&mut self, now: Instant) -> Vec<(Ticket, bool)> {
        for class in &mut self.classes {
            class.decay(now);
        }
        let all = share(self.classes.iter());
        let mut heads: Vec<(bool, Rank, u32, Instant, Ticket)> = Vec::new();
        for class in &self.classes {
            let Some(at) = class.next(now) else {
                continue;
            };
            let head = &class.queue[at];
            heads.push((
                !self.is_below_floor(class, all),
                class.rank,
                head.limit_use.level(),
                head.arrived,
                head.ticket,
            ));
        }
        heads.sort();
        let candidates = heads
            .into_iter()
            .map(|(is_served, .., ticket)| (ticket, !is_served));
        candidates.collect()
    }

    /// Removes a request that is being started and counts it as served.
    pub fn start(&mut self, ticket: Ticket, now: Instant) -> Option<WaitingRequest> {
        let waiting = self.remove(ticket)?;
        self.class(&waiting.class, waiting.length, waiting.rank, now)
            .started += 1.0;
        Some(waiting)
    }

    /// Removes and returns the requests that have exceeded their maximum waiting time.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<WaitingRequest> {
        let mut overdue = Vec::new();
        for class in &mut self.classes {
            let all = class.queue.drain(..);
            let (expired, kept) = split_overdue(all, now);
            class.queue = kept;
            overdue.extend(expired);
        }
        overdue
    }

    /// Returns the total expected slot time of the requests that precede a request of the
    /// given rank and use of a limit; a late request also waits behind the late ones of its rank.
    pub fn slot_ms_ahead(
        &self,
        rank: Rank,
        limit_use: LimitUse,
        is_late: bool,
        now: Instant,
    ) -> f64 {
        let ahead = self.classes.iter().filter(|c| c.rank <= rank);
        let waiting = ahead.flat_map(|c| c.queue.iter().map(move |w| (c.rank, w)));
        waiting
            .filter(|(above, w)| *above < rank || w.limit_use.level() <= limit_use.level())
            .filter(|(above, w)| *above < rank || is_late || w.latest_on_time_start >= now)
            .map(|(_, w)| w.slot_ms)
            .sum()
    }

    /// Returns the sum of the weights of the waiting requests; see [`LimitUse::weight`].
    pub fn weight(&self) -> f64 {
        let waiting = self.classes.iter().flat_map(|c| &c.queue);
        waiting.map(|w| w.limit_use.weight()).sum()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|c| c.queue.len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|c| c.queue.is_empty())
    }

    /// Returns whether the queue of a class, length and rank is starved: its class is below
    /// its floor, or its long requests are below theirs.
    pub fn is_starved(&self, name: &str, length: Length, rank: Rank) -> bool {
        let found = self
            .classes
            .iter()
            .find(|c| c.name == name && c.length == length && c.rank == rank);
        let all = share(self.classes.iter());
        found.is_some_and(|c| self.is_below_floor(c, all))
    }

    /// Returns whether a class is below its floor relative to all requests, or its long
    /// requests below theirs relative to the class.
    fn is_below_floor(&self, class: &ClassQueue, all: f64) -> bool {
        let class_share = share(self.classes.iter().filter(|c| c.is_same_class(class)));
        class.requested >= SHARE_MIN_REQUESTS
            && (class_share < CLASS_FLOOR * all
                || class.length.is_long() && class.share() < LONG_FLOOR * class_share)
    }

    /// Returns the number of higher ranks and of all ranks, counting only ranks of a queue
    /// with at least `SHARE_MIN_REQUESTS` recent requests.
    pub fn rank_position(&self, rank: Rank) -> (usize, usize) {
        let mut ranks: SmallVec<[Rank; 8]> = SmallVec::new();
        for class in &self.classes {
            if class.requested >= SHARE_MIN_REQUESTS && !ranks.contains(&class.rank) {
                ranks.push(class.rank);
            }
        }
        let above = ranks.iter().filter(|r| **r < rank).count();
        (above, ranks.len())
    }

    fn class(
        &mut self,
        name: &SmolStr,
        length: Length,
        rank: Rank,
        now: Instant,
    ) -> &mut ClassQueue {
        let index = self
            .classes
            .iter()
            .position(|c| c.name == *name && c.length == length && c.rank == rank);
        let index = index.unwrap_or_else(|| {
            self.classes.push(ClassQueue {
                name: name.clone(),
                length,
                rank,
                queue: VecDeque::new(),
                requested: 0.0,
                started: 0.0,
                decayed_at: now,
            });
            self.classes.len() - 1
        });
        let class = &mut self.classes[index];
        class.decay(now);
        class
    }
}

/// Returns the share of the recent requests of some classes that were started.
fn share<'a>(classes: impl Iterator<Item = &'a ClassQueue>) -> f64 {
    let (mut requested, mut started) = (0.0, 0.0);
    for class in classes {
        requested += class.requested;
        started += class.started;
    }
    if requested > 0.0 {
        started / requested
    } else {
        1.0
    }
}

/// Returns the time that `slots` slots need for `slot_ms` of expected slot time.
pub fn drain_time(slot_ms: f64, slots: f64) -> Millis {
    Millis((slot_ms / slots.max(1.0)).min(1e9) as u64)
}

/// Splits requests into overdue ones and the others.
fn split_overdue(
    all: impl Iterator<Item = WaitingRequest>,
    now: Instant,
) -> (Vec<WaitingRequest>, VecDeque<WaitingRequest>) {
    let (mut overdue, mut kept) = (Vec::new(), VecDeque::new());
    for waiting in all {
        match waiting.give_up_at <= now {
            true => overdue.push(waiting),
            false => kept.push_back(waiting),
        }
    }
    (overdue, kept)
}
