//! Requests that wait for a place in a pool, by class.
//!
//! The load pattern: endpoints admit in order of arrival and know no rank, and
//! more is asked than they can run. Classes go by rank; a class that was served
//! less than its floor goes first, so that none starves. Inside a class, work
//! that can still meet its objective goes before work that is late anyway. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#waiting).

use std::collections::VecDeque;

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// How often a class is served before rank counts, against how often all are.
///
/// The users ask for a quarter at least over a whole day.
const FLOOR: f64 = 0.35;
/// How often the long requests of a class are served at least, against the class.
///
/// The users ask for a half at least over a whole day.
const LONG_FLOOR: f64 = 0.65;
/// The time in a place from which work counts as long, in milliseconds.
const LONG_MS: f64 = 700.0;
/// The time in a place from which work counts as the longest, in milliseconds.
const LONGEST_MS: f64 = 2_500.0;
/// The span over which shares are counted, in milliseconds.
const SHARE_SPAN_MS: f64 = 6_000.0;
/// The requests that a class must have sent before its share counts.
const SHARE_MIN: f64 = 4.0;

/// The order in which requests are served.
///
/// The rank of an organisation may be the same for all that it asks; the rank of
/// its route then decides.
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

/// How long a request is expected to hold its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Length {
    /// About as long as most.
    Short,
    /// Several times as long.
    Long,
    /// So long that few of them fill a pool.
    Longest,
}

impl Length {
    /// Tells the length of a request that holds its place for `slot_ms`.
    pub fn of(slot_ms: f64) -> Self {
        match slot_ms {
            ms if ms <= LONG_MS => Length::Short,
            ms if ms <= LONGEST_MS => Length::Long,
            _ => Length::Longest,
        }
    }

    /// Returns whether a request holds its place for longer than most.
    pub fn is_long(self) -> bool {
        self > Length::Short
    }
}

/// The number of a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request as the backlog sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// Its number.
    pub ticket: Ticket,
    /// The kind of request, which shares are counted by.
    pub class: SmolStr,
    /// How long it holds its place, roughly.
    pub length: Length,
    /// Its rank.
    pub rank: Rank,
    /// When its first byte came.
    pub arrived: Instant,
    /// The latest start that meets its objective.
    pub on_time_until: Instant,
    /// When it is refused if it has not started.
    pub give_up: Instant,
    /// How long it is expected to hold its place.
    pub slot_ms: f64,
}

#[derive(Debug)]
struct Class {
    name: SmolStr,
    length: Length,
    rank: Rank,
    queue: VecDeque<Waiting>,
    asked: f64,
    started: f64,
    counted: Instant,
}

impl Class {
    fn decay(&mut self, now: Instant) {
        let span = now.since(self.counted).0 as f64;
        let keep = (-span / SHARE_SPAN_MS).exp();
        self.asked *= keep;
        self.started *= keep;
        self.counted = now;
    }

    fn share(&self) -> f64 {
        self.started / self.asked.max(1.0)
    }

    fn is_kind_of(&self, other: &Class) -> bool {
        self.name == other.name && self.rank == other.rank
    }

    /// Returns the place in the queue of the request that goes next.
    ///
    /// The youngest goes first while it can be on time: when more is asked than
    /// can run, the oldest would all start just too late.
    fn next(&self, now: Instant) -> Option<usize> {
        let on_time = self.queue.iter().rposition(|w| w.on_time_until >= now);
        on_time.or(if self.queue.is_empty() { None } else { Some(0) })
    }
}

/// The requests that wait for one pool.
#[derive(Debug, Default)]
pub struct Backlog {
    classes: Vec<Class>,
}

impl Backlog {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting, now: Instant) {
        let class = self.class(&waiting.class, waiting.length, waiting.rank, now);
        class.asked += 1.0;
        class.queue.push_back(waiting);
    }

    /// Counts a request that was refused without waiting.
    pub fn count_refused(&mut self, name: &SmolStr, length: Length, rank: Rank, now: Instant) {
        self.class(name, length, rank, now).asked += 1.0;
    }

    /// Takes a request out that its caller has left.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        for class in &mut self.classes {
            if let Some(at) = class.queue.iter().position(|w| w.ticket == ticket) {
                return class.queue.remove(at);
            }
        }
        None
    }

    /// Returns the requests that may go next, one a class, in the order of their turn.
    pub fn turns(&mut self, now: Instant) -> Vec<(Ticket, bool)> {
        for class in &mut self.classes {
            class.decay(now);
        }
        let all = share(self.classes.iter());
        let mut heads: Vec<(bool, Rank, Instant, Ticket)> = Vec::new();
        for class in &self.classes {
            let Some(at) = class.next(now) else { continue };
            let head = &class.queue[at];
            heads.push((
                !self.is_below_floor(class, all),
                class.rank,
                head.arrived,
                head.ticket,
            ));
        }
        heads.sort();
        let turns = heads.into_iter().map(|(fed, .., ticket)| (ticket, !fed));
        turns.collect()
    }

    /// Takes the request out that starts.
    pub fn start(&mut self, ticket: Ticket, now: Instant) -> Option<Waiting> {
        let waiting = self.remove(ticket)?;
        self.class(&waiting.class, waiting.length, waiting.rank, now)
            .started += 1.0;
        Some(waiting)
    }

    /// Takes out the requests that have waited too long.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Waiting> {
        let mut overdue = Vec::new();
        for class in &mut self.classes {
            let all = class.queue.drain(..);
            let (gone, kept) = split(all, now);
            class.queue = kept;
            overdue.extend(gone);
        }
        overdue
    }

    /// Returns the time of places that goes before a request of a rank, which may be late already.
    pub fn slot_ms_ahead(&self, rank: Rank, is_late: bool, now: Instant) -> f64 {
        let ahead = self.classes.iter().filter(|c| c.rank <= rank);
        let waiting = ahead.flat_map(|c| c.queue.iter().map(move |w| (c.rank, w)));
        waiting
            .filter(|(above, w)| *above < rank || is_late || w.on_time_until >= now)
            .map(|(_, w)| w.slot_ms)
            .sum()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|c| c.queue.len()).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|c| c.queue.is_empty())
    }

    /// Returns whether a class was served less than its floor lately.
    pub fn is_starved(&self, name: &str, length: Length, rank: Rank) -> bool {
        let found = self
            .classes
            .iter()
            .find(|c| c.name == name && c.length == length && c.rank == rank);
        let all = share(self.classes.iter());
        found.is_some_and(|c| self.is_below_floor(c, all))
    }

    /// A class has a floor against all requests, and its long ones have one against their class.
    fn is_below_floor(&self, class: &Class, all: f64) -> bool {
        let kind = share(self.classes.iter().filter(|c| c.is_kind_of(class)));
        class.asked >= SHARE_MIN
            && (kind < FLOOR * all || class.length.is_long() && class.share() < LONG_FLOOR * kind)
    }

    /// Returns how many ranks above this one were asked for lately, and how many in all.
    pub fn position(&self, rank: Rank) -> (usize, usize) {
        let mut ranks: SmallVec<[Rank; 8]> = SmallVec::new();
        for class in &self.classes {
            if class.asked >= SHARE_MIN && !ranks.contains(&class.rank) {
                ranks.push(class.rank);
            }
        }
        let above = ranks.iter().filter(|r| **r < rank).count();
        (above, ranks.len())
    }

    fn class(&mut self, name: &SmolStr, length: Length, rank: Rank, now: Instant) -> &mut Class {
        let at = self
            .classes
            .iter()
            .position(|c| c.name == *name && c.length == length && c.rank == rank);
        let at = at.unwrap_or_else(|| {
            self.classes.push(Class {
                name: name.clone(),
                length,
                rank,
                queue: VecDeque::new(),
                asked: 0.0,
                started: 0.0,
                counted: now,
            });
            self.classes.len() - 1
        });
        let class = &mut self.classes[at];
        class.decay(now);
        class
    }
}

/// Returns how often the requests of some classes were started lately.
fn share<'a>(classes: impl Iterator<Item = &'a Class>) -> f64 {
    let (mut asked, mut started) = (0.0, 0.0);
    for class in classes {
        asked += class.asked;
        started += class.started;
    }
    if asked > 0.0 { started / asked } else { 1.0 }
}

/// Returns the time that `slot_ms` of work takes on `places`.
pub fn drain_time(slot_ms: f64, places: f64) -> Millis {
    Millis((slot_ms / places.max(1.0)).min(1e9) as u64)
}

/// Splits requests into those that have waited too long and the others.
fn split(all: impl Iterator<Item = Waiting>, now: Instant) -> (Vec<Waiting>, VecDeque<Waiting>) {
    let (mut gone, mut kept) = (Vec::new(), VecDeque::new());
    for waiting in all {
        match waiting.give_up <= now {
            true => gone.push(waiting),
            false => kept.push_back(waiting),
        }
    }
    (gone, kept)
}
