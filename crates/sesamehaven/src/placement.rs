//! The choice of an endpoint among those of a pool, by a process that dispatches directly.
//!
//! Several processes dispatch to the same endpoints, and each knows the work of
//! the others only as of their last message. So each begins with endpoints of its
//! own order, which keeps them from crowding together on those that looked free
//! to all. A session returns to the endpoint that ran it lately. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#placing).

use std::collections::{HashMap, VecDeque};

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::digest::hash_of;
use crate::unit::{Instant, Millis};

/// The weight of a new sample in the averages of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The samples before an endpoint's failures are judged.
const SAMPLES_MIN: u32 = 4;
/// The share of failures, beyond that of its pool, that ejects an endpoint.
const FAILURE_EXCESS: f64 = 0.25;
/// How long an endpoint is first ejected; it doubles with each ejection in a row.
const EJECTION: Millis = Millis(1_000);
/// The longest ejection.
const EJECTION_MAX: Millis = Millis(8_000);
/// The time factor, against its pool, from which an endpoint only runs one trial at a time.
const SLOW_FACTOR: f64 = 3.0;
/// The bounds of the time factor of an endpoint.
const FACTOR_RANGE: (f64, f64) = (0.1, 20.0);
/// What the endpoint that ran a session lately is worth, as a share of a full endpoint's load.
const SESSION_BONUS: f64 = 1.2;
/// How long a session is expected to find its prompt cached.
const SESSION_KEPT: Millis = Millis(10_000);
/// The sessions that are remembered.
const SESSIONS_MAX: usize = 4_096;
/// What an endpoint in the same data centre is worth, as a share of a full endpoint's load.
const NEAR_BONUS: f64 = 0.05;
/// The requests that an endpoint holds beyond those that it runs, so that its batch stays full.
const AHEAD: u32 = 1;
/// How long an endpoint is passed over that had no room, about the time that a request holds a place.
const FULL_KEPT: Millis = Millis(150);
/// How strongly a process prefers endpoints by its own order, as a share of a full endpoint's load.
///
/// Processes whose counts of each other are stale crowd together less when each
/// begins elsewhere.
const OWN_ORDER: f64 = 1.0;
/// How much chance adds, as a share of a full endpoint's load.
const TIE: f64 = 0.05;
/// The part of the slots from which on there is room for all processes.
const ROOM_SHARE: f64 = 0.5;
/// The processes that may take one free place, on average.
const CLAIMS_PER_PLACE: f64 = 2.0;
/// The share of an endpoint's slots that long work may hold.
const LONG_SHARE: f64 = 0.67;

/// An endpoint as the directory lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// The name of this incarnation of the endpoint.
    pub id: SmolStr,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in the data centre of this process.
    pub is_near: bool,
    /// Whether it takes new work.
    pub is_ready: bool,
}

/// What placement needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The session or prefix whose cached prompt the request would reuse.
    pub session: Option<u64>,
    /// Whether it holds its place for much longer than the others.
    pub is_long: bool,
    /// A number that breaks ties, different for each request.
    pub draw: u64,
}

/// What became of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// It gave a whole answer.
    Success,
    /// It failed, or its answer was spoilt.
    Failure,
    /// It says nothing about the endpoint, as when the caller left.
    Neutral,
}

#[derive(Debug, Clone)]
struct Member {
    listed: ListedEndpoint,
    hash: u64,
    own: u32,
    own_long: u32,
    peers: u32,
    /// The slots that this process may take before the next count.
    open: u32,
    factor: f64,
    failures: f64,
    samples: u32,
    ejected_until: Instant,
    ejections: u32,
    full_until: Instant,
}

impl Member {
    fn new(listed: ListedEndpoint) -> Self {
        Member {
            hash: hash_of(&listed.id),
            listed,
            own: 0,
            own_long: 0,
            peers: 0,
            open: 0,
            factor: 1.0,
            failures: 0.0,
            samples: 0,
            ejected_until: Instant(0),
            ejections: 0,
            full_until: Instant(0),
        }
    }

    fn load(&self) -> u32 {
        self.own + self.peers
    }

    /// Sets the endpoint aside, for twice as long as the last time.
    fn eject(&mut self, now: Instant) {
        let span = EJECTION.0 << self.ejections.min(8);
        self.ejected_until = now.after(Millis(span.min(EJECTION_MAX.0)));
        self.ejections += 1;
    }

    fn free(&self) -> u32 {
        (self.listed.slots + AHEAD).saturating_sub(self.load())
    }
}

/// The endpoints of one pool, with what this process runs there and has learned of them.
#[derive(Debug, Default)]
pub struct Placement {
    members: Vec<Member>,
    sessions: Sessions,
    seed: u64,
    /// Whether other processes dispatch to the same endpoints.
    is_shared: bool,
    counts: u64,
}

/// Where sessions ran lately.
#[derive(Debug, Default)]
struct Sessions {
    endpoints: HashMap<u64, (u64, Instant)>,
    order: VecDeque<(Instant, u64)>,
}

impl Sessions {
    fn endpoint(&self, session: u64, now: Instant) -> Option<u64> {
        let (endpoint, at) = self.endpoints.get(&session)?;
        (now.since(*at) <= SESSION_KEPT).then_some(*endpoint)
    }

    fn note(&mut self, session: u64, endpoint: u64, now: Instant) {
        self.endpoints.insert(session, (endpoint, now));
        self.order.push_back((now, session));
        while let Some((at, oldest)) = self.order.front().copied()
            && (now.since(at) > SESSION_KEPT || self.order.len() > SESSIONS_MAX)
        {
            self.order.pop_front();
            // A session that ran again since has a younger place in the order.
            if self
                .endpoints
                .get(&oldest)
                .is_some_and(|(_, last)| *last == at)
            {
                self.endpoints.remove(&oldest);
            }
        }
    }
}

impl Placement {
    /// Builds the placement of a process, whose own order of endpoints follows from its seed.
    pub fn new(seed: u64) -> Self {
        Placement {
            members: Vec::new(),
            sessions: Sessions::default(),
            seed,
            is_shared: false,
            counts: 0,
        }
    }

    /// Takes over what the directory lists, keeping what was learned of endpoints that stay.
    pub fn set_endpoints(&mut self, listed: impl IntoIterator<Item = ListedEndpoint>) {
        let mut old = std::mem::take(&mut self.members);
        for entry in listed {
            let member = match old.iter().position(|m| m.listed.id == entry.id) {
                Some(at) => Member {
                    listed: entry,
                    ..old.swap_remove(at)
                },
                None => Member::new(entry),
            };
            self.members.push(member);
        }
        // Work that still runs at an endpoint that is no longer listed ends there.
        let retired = old.into_iter().filter(|m| m.own > 0).map(|mut m| {
            m.listed.is_ready = false;
            m
        });
        self.members.extend(retired);
    }

    /// Notes how many requests the other processes run at each endpoint.
    ///
    /// All of them see the same few free slots. So each draws which of them it
    /// may take until the next count, by its `part` of what waits; without a
    /// part it may take any.
    pub fn set_peers(&mut self, part: Option<f64>, running: impl Fn(u64) -> u32) {
        self.is_shared = part.is_some();
        let part = part.unwrap_or(1.0);
        self.counts += 1;
        for member in &mut self.members {
            member.peers = running(member.hash);
        }
        let draw = mix(self.seed ^ self.counts);
        for member in &mut self.members {
            let wins = |place: &u32| {
                unit(mix(member.hash ^ draw ^ u64::from(*place))) < part * CLAIMS_PER_PLACE
            };
            member.open = (0..member.free()).filter(wins).count() as u32;
        }
    }

    /// Lists the hash of each endpoint with the requests that this process runs there.
    pub fn running(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        let busy = self.members.iter().filter(|m| m.own > 0);
        busy.map(|m| (m.hash, m.own))
    }

    /// Returns the slots of all endpoints that take work.
    pub fn slots(&self) -> u32 {
        self.ready().map(|m| m.listed.slots + AHEAD).sum()
    }

    /// Returns the slots that are free.
    pub fn free(&self) -> u32 {
        self.ready().map(Member::free).sum()
    }

    /// Returns whether any endpoint takes work.
    pub fn has_ready(&self) -> bool {
        self.ready().next().is_some()
    }

    /// Returns whether a request finds a free place, whoever may take it.
    pub fn has_place(&self, demand: &Demand, tried: &[SmolStr], now: Instant) -> bool {
        let median = self.median_factor();
        let is_fit =
            |m: &Member| !tried.contains(&m.listed.id) && self.has_room(m, demand, median, now);
        self.ready().any(is_fit)
    }

    /// Chooses the endpoint of a request, outside of those that it has tried.
    pub fn choose(&self, demand: &Demand, tried: &[SmolStr], now: Instant) -> Option<SmolStr> {
        let last = demand.session.and_then(|s| self.sessions.endpoint(s, now));
        let median = self.median_factor();
        let is_contended = self.is_contended();
        let mut best: Option<(f64, &Member)> = None;
        for member in self.ready() {
            let is_open = !is_contended || member.open > 0;
            if !is_open || tried.contains(&member.listed.id) {
                continue;
            }
            if !self.has_room(member, demand, median, now) {
                continue;
            }
            let score = self.score(member, demand, last);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, member));
            }
        }
        best.map(|(_, member)| member.listed.id.clone())
    }

    /// Notes that a request was dispatched.
    pub fn on_start(&mut self, id: &str, demand: &Demand, now: Instant) {
        let Some(member) = self.member(id) else {
            return;
        };
        member.own += 1;
        member.open = member.open.saturating_sub(1);
        member.own_long += u32::from(demand.is_long);
        let hash = member.hash;
        if let Some(session) = demand.session {
            self.sessions.note(session, hash, now);
        }
    }

    /// Notes that a request has ended; `factor` compares its time with what was expected.
    pub fn on_end(
        &mut self,
        id: &str,
        is_long: bool,
        ended: DispatchOutcome,
        factor: Option<f64>,
        now: Instant,
    ) {
        let mean = self.mean_failures();
        let most = self.members.len() / 2;
        let ejected = self
            .members
            .iter()
            .filter(|m| m.ejected_until > now)
            .count();
        let Some(member) = self.member(id) else {
            return;
        };
        member.own = member.own.saturating_sub(1);
        member.open += 1;
        member.own_long = member.own_long.saturating_sub(u32::from(is_long));
        if let Some(factor) = factor {
            let factor = factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
            member.factor += SAMPLE_WEIGHT * (factor - member.factor);
        }
        let failed = match ended {
            DispatchOutcome::Success => 0.0,
            DispatchOutcome::Failure => 1.0,
            DispatchOutcome::Neutral => return,
        };
        member.samples = member.samples.saturating_add(1);
        member.failures += SAMPLE_WEIGHT * (failed - member.failures);
        if failed == 0.0 {
            if member.failures < FAILURE_EXCESS / 2.0 {
                member.ejections = 0;
            }
            return;
        }
        let excess = member.failures - mean.min(member.failures / 2.0);
        if member.samples >= SAMPLES_MIN && excess > FAILURE_EXCESS && ejected < most {
            member.eject(now);
        }
    }

    /// Passes over an endpoint for a while that had no room for a request.
    pub fn on_full(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.member(id) {
            member.full_until = now.after(FULL_KEPT);
        }
    }

    /// Sets an endpoint aside that cannot be reached.
    pub fn on_unreachable(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.member(id) {
            member.eject(now);
        }
    }

    /// Returns whether slots are so few that processes have to share them.
    fn is_contended(&self) -> bool {
        let free = f64::from(self.free());
        self.is_shared && free < f64::from(self.slots()) * ROOM_SHARE
    }

    fn ready(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.listed.is_ready)
    }

    fn member(&mut self, id: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.listed.id == id)
    }

    fn has_room(&self, member: &Member, demand: &Demand, median: f64, now: Instant) -> bool {
        if member.free() == 0 {
            return false;
        }
        if member.ejected_until > now || member.full_until > now {
            return false;
        }
        if member.ejections > 0 && member.own > 0 {
            return false;
        }
        if member.factor > SLOW_FACTOR * median && member.own > 0 {
            return false;
        }
        let long_max = (f64::from(member.listed.slots) * LONG_SHARE).ceil();
        !demand.is_long || f64::from(member.own_long) < long_max
    }

    /// Rates an endpoint for a request; the least is the best.
    fn score(&self, member: &Member, demand: &Demand, last: Option<u64>) -> f64 {
        let load = f64::from(member.load() + 1) / f64::from(member.listed.slots.max(1));
        let ran_session = last == Some(member.hash);
        let bonus = if ran_session { SESSION_BONUS } else { 0.0 };
        let near = if member.listed.is_near {
            NEAR_BONUS
        } else {
            0.0
        };
        let own = unit(mix(member.hash ^ self.seed)) * OWN_ORDER;
        let tie = unit(mix(member.hash ^ demand.draw)) * TIE;
        load * member.factor - bonus - near + own + tie
    }

    fn median_factor(&self) -> f64 {
        let mut factors: SmallVec<[f64; 16]> = self.ready().map(|m| m.factor).collect();
        factors.sort_by(f64::total_cmp);
        factors.get(factors.len() / 2).copied().unwrap_or(1.0)
    }

    fn mean_failures(&self) -> f64 {
        let count = self.ready().count().max(1);
        self.ready().map(|m| m.failures).sum::<f64>() / count as f64
    }
}

/// Maps a number to the range from 0 to 1.
fn unit(n: u64) -> f64 {
    (n >> 40) as f64 / (1u64 << 24) as f64
}

/// Spreads the bits of a number, so that its neighbours fall far apart.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
