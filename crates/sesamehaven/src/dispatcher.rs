//! Admission, queueing and endpoint selection for one pool, for a process that
//! dispatches directly to endpoints.
//!
//! A pure state machine over (state, event, now): the caller executes the
//! returned [`Step`]s. The load patterns that it is designed for are described in
//! [`docs/FRONT.md`](../../../docs/FRONT.md#decisions-at-the-worst-load).
//!
//! # Example
//!
//! ```
//! use sesamehaven::Tier;
//! use sesamehaven::backlog::Ticket;
//! use sesamehaven::dispatcher::{Dispatcher, Step, Work};
//! use sesamehaven::placement::ListedEndpoint;
//! use sesamehaven::software_version::PoolVersion;
//! use sesamehaven::unit::{Instant, Millis};
//!
//! let mut pool = Dispatcher::default();
//! let id = "engine-1".into();
//! let version = PoolVersion::default();
//! pool.set_endpoints([ListedEndpoint { id, slots: 4, is_near: true, is_ready: true, version }]);
//! let work = Work::new("brief", Tier::MOST_URGENT, Millis(500), Instant(0));
//! let steps = pool.on_arrival(Ticket(1), work, Instant(0));
//! assert!(matches!(&steps[..], [Step::Start { .. }]));
//! ```

use std::collections::HashMap;

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::announcement::Standing;
use crate::backlog::{Backlog, Length, Ticket, WaitingRequest, drain_time};
use crate::digest::hash_of;
use crate::dispatched_run::Run;
use crate::endpoint_load::{EndpointLoad, freshness};
use crate::event_pace::StreamPace;
use crate::exposure::VersionRules;
use crate::placement::{Demand, DispatchOutcome, DispatchedLoad, ListedEndpoint, Placement};
use crate::refusal::{self, RETRY_AFTER_MAX};
use crate::request_rate::RequestRate;
use crate::rollout_evidence::Evidence;
use crate::rollout_traffic::RolloutTraffic;
use crate::software_version::PoolVersion;
use crate::unit::{Instant, Millis};
use crate::wait_limits::{WaitLimits, limited_wait};

pub use crate::refusal::Refusal;
pub use crate::step::{Step, Steps};
pub use crate::work::Work;

/// The share of the slots that the lowest rank leaves free for higher ranks.
const RESERVE_SHARE: f64 = 0.14;
/// Requests must hold their slots for at least this many intervals between peer
/// counts; with shorter requests, the counts are out of date before they are used.
const MIN_HOLD_INTERVALS: f64 = 3.0;
/// The weight of a new sample in the moving averages of the pool.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The lower and upper bound of the pool's time factor.
const TIME_FACTOR_RANGE: (f64, f64) = (0.2, 10.0);

/// The queue and the endpoints of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    placement: Placement,
    backlog: Backlog,
    pending: HashMap<Ticket, Work>,
    running: HashMap<Ticket, Run>,
    /// The moving average of the ratio of actual to expected slot time in the pool.
    time_factor: f64,
    /// The share of the requests waiting at all processes that wait at this one.
    waiting_share: f64,
    /// When the counts of the other processes were last updated.
    peers_updated_at: Instant,
    /// The moving average of the time that requests hold their slots, in milliseconds.
    mean_hold_ms: f64,
    /// What was sent and seen since a rollout began, while one is under way.
    rollout: Option<RolloutTraffic>,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Dispatcher::new(0)
    }
}

impl Dispatcher {
    /// Creates a dispatcher; the seed determines this process's own preference order of
    /// endpoints.
    pub fn new(seed: u64) -> Self {
        Dispatcher {
            placement: Placement::new(seed),
            backlog: Backlog::default(),
            pending: HashMap::new(),
            running: HashMap::new(),
            time_factor: 1.0,
            waiting_share: 1.0,
            peers_updated_at: Instant(0),
            mean_hold_ms: 0.0,
            rollout: None,
        }
    }

    /// Replaces the list of endpoints with the one from the directory.
    pub fn set_endpoints(&mut self, listed: impl IntoIterator<Item = ListedEndpoint>) {
        self.placement.set_endpoints(listed);
    }

    /// Replaces the rules for software versions.
    ///
    /// What was sent and seen is counted from when a version begins to be tried until the rules name no
    /// version any more that is tried or retired.
    pub fn set_version_rules(&mut self, rules: VersionRules) {
        if let Some(candidate) = rules.candidate
            && self
                .rollout
                .as_ref()
                .is_none_or(|r| r.candidate() != candidate)
        {
            self.rollout = Some(RolloutTraffic::new(candidate, rules.share));
        }
        if rules.candidate.is_none() && rules.retired.is_empty() {
            self.rollout = None;
        }
        self.placement.set_version_rules(rules);
    }

    /// Returns how the responses of the versions compare, while a version is rolled out.
    pub fn rollout_evidence(&self) -> Option<&Evidence> {
        self.rollout.as_ref().map(RolloutTraffic::evidence)
    }

    /// Returns the number of requests that run at endpoints other than those of a version.
    pub fn running_elsewhere(&self, version: PoolVersion, now: Instant) -> u32 {
        self.placement.running_elsewhere(version, now)
    }

    /// Updates whether each endpoint takes requests, by its own account.
    pub fn set_standings(&mut self, standing: impl Fn(&str) -> Standing) {
        self.placement.set_standings(standing);
    }

    /// Updates the share of this process in the limit of each endpoint that has named one, by the hash
    /// of the endpoint.
    pub fn set_limits(&mut self, share: impl Fn(u64) -> Option<RequestRate>, now: Instant) {
        self.placement.set_limits(share, now);
    }

    /// Records the load that an endpoint reported in a response that has just arrived.
    pub fn on_load(&mut self, endpoint: &str, load: EndpointLoad, now: Instant) {
        self.placement.on_load(endpoint, load, now);
    }

    /// Updates the number of other processes, their [`weighted_waiting`](Self::weighted_waiting), and what
    /// they run at each endpoint.
    pub fn set_peers(
        &mut self,
        others: usize,
        waiting: u32,
        now: Instant,
        dispatched: impl Fn(u64) -> DispatchedLoad,
    ) {
        let own = self.backlog.weight() + 1.0;
        self.waiting_share = own / (own + f64::from(waiting) + others as f64);
        let age = now.since(self.peers_updated_at);
        self.peers_updated_at = now;
        let is_informative = others > 0 && self.mean_hold_ms > age.0 as f64 * MIN_HOLD_INTERVALS;
        let share = is_informative.then_some(self.waiting_share);
        self.placement.set_others(others, is_informative);
        self.placement
            .set_peers(share, freshness(others, age), now, dispatched);
    }

    /// Returns the hash of each endpoint at which this process runs requests, with what it runs there.
    pub fn dispatched(&self) -> impl Iterator<Item = (u64, DispatchedLoad)> + '_ {
        self.placement.dispatched()
    }

    /// Returns the software version of an endpoint.
    pub fn version(&self, endpoint: &str) -> Option<PoolVersion> {
        self.placement.version(endpoint)
    }

    /// Returns whether an endpoint of a software version accepts requests.
    pub fn serves(&self, version: PoolVersion) -> bool {
        self.placement.has_ready(Some(version), &[])
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the number of waiting requests as other processes weigh it against their own, lower for
    /// requests of organisations that have used much of their limits.
    pub fn weighted_waiting(&self) -> u32 {
        self.backlog.weight().ceil() as u32
    }

    /// Returns how many more requests the ready endpoints accept, and how many they accept
    /// in total. Both include one queued request for each endpoint.
    ///
    /// Endpoints that asked for a pause or are at their limits are left out.
    pub fn slots(&self, now: Instant) -> (u32, u32) {
        (self.placement.free(now), self.placement.slots(now))
    }

    /// Returns how long a refused caller should wait at least, which is until the first endpoint
    /// takes requests again if all of them asked for a pause.
    ///
    /// Callers are not told to wait longer than after other refusals, since endpoints may join.
    pub fn retry_after(&self, min: Millis, now: Instant) -> Millis {
        let pause = self.placement.opens_at(None, &[], now).since(now);
        pause.min(RETRY_AFTER_MAX).max(min)
    }

    /// Queues a request, or refuses it if no endpoint is ready, its expected wait is too
    /// long, or all endpoints asked for a pause that it cannot wait for.
    ///
    /// Requests of starved classes and those that have been dispatched before, also by another process,
    /// are queued regardless of the wait.
    pub fn on_arrival(&mut self, ticket: Ticket, work: Work, now: Instant) -> Steps {
        if !self.placement.has_ready(None, &[]) {
            return self.refuse(ticket, Refusal::NoEndpoint, work.arrived, now);
        }
        let has_untried = self.placement.has_ready(work.version, &work.tried);
        if work.version.is_some() && !has_untried {
            return self.refuse(ticket, Refusal::NoVersion, now, now);
        }
        let is_urgent = self.backlog.rank_position(work.rank).0 == 0;
        let WaitLimits {
            max_wait,
            give_up_at,
        } = WaitLimits::of(&work, is_urgent);
        if self.is_paused_beyond(give_up_at, &work, now) {
            return self.refuse(ticket, Refusal::Paused, now, now);
        }
        if !has_untried {
            return self.refuse(ticket, Refusal::Overload, now, now);
        }
        let wait = self.expected_wait(ticket, &work, now);
        let waited = now.since(work.arrived);
        let length = work.length();
        let class = work.queue_class();
        let is_starved = self.backlog.is_starved(&class, length, work.rank);
        let is_too_late = wait.0 > 0 && wait.0 + waited.0 > max_wait.0;
        let has_run = !work.tried.is_empty() || work.version.is_some();
        if is_too_late && !is_starved && !has_run {
            self.backlog.count_refused(&class, length, work.rank, now);
            let reason = match self.placement.opens_at(None, &[], now) > now {
                true => Refusal::Paused,
                false => Refusal::Overload,
            };
            return self.refuse(ticket, reason, now.after(wait), now);
        }
        let waiting = WaitingRequest {
            ticket,
            class,
            length,
            rank: work.rank,
            arrived: work.arrived,
            latest_on_time_start: work.latest_on_time_start(),
            give_up_at,
            slot_ms: work.slot_ms * self.time_factor,
            limit_use: work.limit_use,
        };
        self.backlog.push(waiting, now);
        self.pending.insert(ticket, work);
        self.fill(now)
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn on_caller_gone(&mut self, ticket: Ticket) {
        self.backlog.remove(ticket);
        self.pending.remove(&ticket);
    }

    /// Records that the first event of a request's response, or the response, has arrived.
    pub fn on_first_event(&mut self, ticket: Ticket, now: Instant) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        let factor = run.first_event_factor(now);
        let prefill_ms = std::mem::take(&mut run.pending_prefill_ms);
        self.placement.on_prefill_end(&run.endpoint, prefill_ms);
        self.placement.on_first_event(&run.endpoint, factor);
        if let (Some(rollout), Some(sample)) = (&mut self.rollout, &mut run.sample) {
            rollout.on_first_event(sample, factor);
        }
    }

    /// Records that an event of a stream has arrived, the first one or a later one.
    pub fn on_event(&mut self, ticket: Ticket, now: Instant) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        if let Some(interval_ms) = run.pace.on_event(now) {
            self.placement.on_event_interval(&run.endpoint, interval_ms);
        }
    }

    /// Records that a request has ended at its endpoint and starts waiting requests in
    /// the freed slot.
    pub fn on_end(&mut self, ticket: Ticket, outcome: DispatchOutcome, now: Instant) -> Steps {
        let Some(run) = self.running.remove(&ticket) else {
            return Steps::new();
        };
        let took = now.since(run.started).0 as f64;
        let ratio = (took / run.slot_ms.max(1.0)).clamp(TIME_FACTOR_RANGE.0, TIME_FACTOR_RANGE.1);
        let factor = (outcome == DispatchOutcome::Success).then(|| ratio / self.time_factor);
        if outcome == DispatchOutcome::Success {
            let weight = if self.mean_hold_ms > 0.0 {
                SAMPLE_WEIGHT
            } else {
                1.0
            };
            self.mean_hold_ms += weight * (took - self.mean_hold_ms);
            self.time_factor += SAMPLE_WEIGHT * (ratio - self.time_factor);
        }
        if let (Some(rollout), Some(sample)) = (&mut self.rollout, run.sample) {
            rollout.on_end(sample, outcome, run.first_event_factor(now));
        }
        let is_long = Length::of(run.slot_ms).is_long();
        self.placement
            .on_prefill_end(&run.endpoint, run.pending_prefill_ms);
        self.placement
            .on_end(&run.endpoint, is_long, outcome, factor, now);
        self.fill(now)
    }

    /// Records that the endpoint could not be reached; the request has not run there.
    pub fn on_unreachable(&mut self, ticket: Ticket, now: Instant) -> Steps {
        if let Some(run) = self.running.get(&ticket) {
            self.placement.on_unreachable(&run.endpoint, now);
        }
        self.on_end(ticket, DispatchOutcome::Neutral, now)
    }

    /// Records that the endpoint rejected the request as full; it has not run there.
    pub fn on_full(&mut self, ticket: Ticket, now: Instant) -> Steps {
        if let Some(run) = self.running.get(&ticket) {
            self.placement.on_full(&run.endpoint, now);
        }
        self.on_end(ticket, DispatchOutcome::Neutral, now)
    }

    /// Refuses requests that are overdue, or would be at the end of a pause that all endpoints asked
    /// for, and starts requests for which a slot is free.
    pub fn on_tick(&mut self, now: Instant) -> Steps {
        let mut steps = Steps::new();
        let opens_at = self.placement.opens_at(None, &[], now);
        for waiting in self.backlog.take_overdue(opens_at) {
            let reason = match waiting.give_up_at > now {
                true => Refusal::Paused,
                false => Refusal::Overdue,
            };
            let work = self.pending.remove(&waiting.ticket);
            let wait = work.map_or(Millis(0), |w| self.expected_wait(waiting.ticket, &w, now));
            steps.extend(self.refuse(waiting.ticket, reason, now.after(wait), now));
        }
        steps.extend(self.fill(now));
        steps
    }

    /// Starts waiting requests until no slot is available to any of them.
    fn fill(&mut self, now: Instant) -> Steps {
        let mut steps = Steps::new();
        while self.start_one(now, &mut steps) {}
        steps
    }

    fn start_one(&mut self, now: Instant, steps: &mut Steps) -> bool {
        if self.backlog.is_empty() {
            return false;
        }
        let (free, slots) = self.slots(now);
        for (ticket, starved) in self.backlog.candidates(now) {
            let Some(work) = self.pending.get(&ticket) else {
                continue;
            };
            let demand = work.demand(ticket, self.time_factor, now);
            if let Some(endpoint) = self.choose_candidate(work, &demand, now) {
                self.start(ticket, &demand, endpoint, now, steps);
                return true;
            }
            if !starved && free <= self.reserve(work, slots, now) {
                continue;
            }
            // A starved long request is exempt from the cap on slots held by long requests.
            let chosen = Demand {
                is_long: demand.is_long && !starved,
                ..demand
            };
            let Some(endpoint) = self.placement.choose(&chosen, &work.tried, now) else {
                continue;
            };
            self.start(ticket, &demand, endpoint, now, steps);
            return true;
        }
        false
    }

    /// Chooses an endpoint of the version that is tried, if the request may go there.
    fn choose_candidate(&self, work: &Work, demand: &Demand, now: Instant) -> Option<SmolStr> {
        let rollout = self.rollout.as_ref()?;
        let is_first_attempt = work.version.is_none() && work.tried.is_empty();
        match is_first_attempt && rollout.may_expose(&work.class) {
            true => self.placement.choose_candidate(demand, now),
            false => None,
        }
    }

    fn start(
        &mut self,
        ticket: Ticket,
        demand: &Demand,
        endpoint: SmolStr,
        now: Instant,
        steps: &mut Steps,
    ) {
        let Some(work) = self.pending.remove(&ticket) else {
            return;
        };
        self.backlog.start(ticket, now);
        self.placement.on_start(&endpoint, demand, now);
        let version = self.placement.version(&endpoint);
        let rollout = self.rollout.as_mut();
        let run = Run {
            sample: rollout.map(|r| r.on_start(&work.class, version, hash_of(&endpoint))),
            endpoint: endpoint.clone(),
            rank: work.rank,
            slot_ms: work.slot_ms,
            first_event_ms: work.first_event_ms,
            pending_prefill_ms: work.prefill_ms,
            started: now,
            pace: StreamPace::default(),
        };
        self.running.insert(ticket, run);
        steps.push(Step::Start { ticket, endpoint });
    }

    /// Estimates the wait for a slot behind the requests that precede this one.
    fn expected_wait(&self, ticket: Ticket, work: &Work, now: Instant) -> Millis {
        let opens_at = self.placement.opens_at(work.version, &work.tried, now);
        let rate = self.placement.limited_rate(work.version, &work.tried);
        let pause = opens_at
            .since(now)
            .max(limited_wait(rate, self.backlog.len()));
        let (free, slots) = self.slots(opens_at);
        let is_free = free > self.reserve(work, slots, now);
        let demand = work.demand(ticket, self.time_factor, now);
        if is_free && self.placement.has_free_slot(&demand, &work.tried, opens_at) {
            return pause;
        }
        let above = self.running.values().filter(|r| r.rank < work.rank);
        let capacity_share = 1.0 - above.count() as f64 / self.running.len().max(1) as f64;
        let is_late = work.latest_on_time_start() < now;
        let ahead = self
            .backlog
            .slot_ms_ahead(work.rank, work.limit_use, is_late, now)
            + work.slot_ms * self.time_factor;
        let own_slots = f64::from(slots.max(1)) * self.waiting_share;
        // A rank is assumed to get at least a quarter of the slots, however many of the running
        // requests have a higher rank.
        Millis(pause.0 + drain_time(ahead, own_slots * capacity_share.max(0.25)).0)
    }

    /// Returns whether no endpoint takes a request before it gives up, since those that it has not
    /// tried asked for a pause.
    fn is_paused_beyond(&self, give_up_at: Instant, work: &Work, now: Instant) -> bool {
        if !self.placement.has_ready(work.version, &work.tried) {
            return self.placement.opens_at(work.version, &[], now) > now;
        }
        let opens_at = self.placement.opens_at(work.version, &work.tried, now);
        opens_at > now && opens_at >= give_up_at
    }

    fn refuse(&self, ticket: Ticket, reason: Refusal, free_at: Instant, now: Instant) -> Steps {
        let free_at = free_at.max(self.placement.opens_at(None, &[], now));
        let retry_after = refusal::retry_after(free_at.since(now), ticket);
        SmallVec::from_iter([Step::Refuse {
            ticket,
            reason,
            retry_after,
        }])
    }

    /// Returns the number of slots that a request leaves free for others: a rank for higher ranks,
    /// and a request that is late already for those that can be on time.
    fn reserve(&self, work: &Work, slots: u32, now: Instant) -> u32 {
        let (above, ranks) = self.backlog.rank_position(work.rank);
        let lower_ranks = (ranks.max(2) - 1) as f64;
        let share = match work.latest_on_time_start() < now {
            true => 1.0,
            false => above as f64 / lower_ranks,
        };
        (f64::from(slots) * RESERVE_SHARE * share).round() as u32
    }
}
