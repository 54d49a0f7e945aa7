//! Endpoint selection within a pool, for a process that dispatches directly.
//!
//! Several processes dispatch to the same endpoints, and the load that each sees of
//! the others is as old as their last message. Each process therefore has its own
//! preference order of endpoints, which prevents all of them from choosing those
//! that last looked idle. A session returns to the endpoint that recently ran it. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#placing).

use std::cell::LazyCell;

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::announcement::Standing;
use crate::candidate_choice;
use crate::digest::{mix_bits, to_unit_interval};
use crate::endpoint_load::EndpointLoad;
use crate::endpoint_score::{Preference, score};
use crate::exposure::{Access, VersionRules};
use crate::pool_endpoint::{FAILURE_EXCESS, PoolEndpoint, QUEUED_AHEAD};
use crate::request_rate::{Allowance, RequestRate};
use crate::session_table::SessionTable;
use crate::slow_endpoint::SlowLimits;
use crate::software_version::PoolVersion;
use crate::unit::{Instant, Millis};

pub use crate::pool_endpoint::{Demand, DispatchOutcome, DispatchedLoad, ListedEndpoint};

/// The time to the first event, relative to the pool median, above which an endpoint gets only
/// requests that are on time there.
const SLOW_FIRST_EVENT: f64 = 2.0;
/// How long an endpoint that rejected a request as full is skipped; about the time
/// that a request holds a slot.
const FULL_COOLDOWN: Millis = Millis(150);
/// The share of free slots below which processes divide them among themselves.
const CONTENTION_SHARE: f64 = 0.5;
/// The average number of processes that may claim one free slot.
const CLAIMS_PER_SLOT: f64 = 2.0;
/// The share of an endpoint's slots that long requests may hold.
const LONG_SLOT_SHARE: f64 = 0.67;

/// The endpoints of one pool, with the load and health that this process observes.
#[derive(Debug, Default)]
pub struct Placement {
    endpoints: Vec<PoolEndpoint>,
    sessions: SessionTable,
    preference: Preference,
    rules: VersionRules,
    /// Whether other processes dispatch to the same endpoints.
    is_shared: bool,
    peer_updates: u64,
}

impl Placement {
    /// Creates a placement; the seed determines this process's own preference order of
    /// endpoints.
    pub fn new(seed: u64) -> Self {
        Placement {
            endpoints: Vec::new(),
            sessions: SessionTable::default(),
            preference: Preference::new(seed),
            rules: VersionRules::default(),
            is_shared: false,
            peer_updates: 0,
        }
    }

    /// Replaces the list of endpoints, keeping the statistics of those that remain.
    pub fn set_endpoints(&mut self, listed: impl IntoIterator<Item = ListedEndpoint>) {
        let mut old = std::mem::take(&mut self.endpoints);
        for entry in listed {
            let endpoint = match old.iter().position(|e| e.listed.id == entry.id) {
                Some(at) => PoolEndpoint {
                    listed: entry,
                    ..old.swap_remove(at)
                },
                None => PoolEndpoint::new(entry),
            };
            self.endpoints.push(endpoint);
        }
        // Requests that still run at an endpoint that is no longer listed finish there.
        let retired = old.into_iter().filter(|e| e.own_running > 0).map(|mut e| {
            e.listed.is_ready = false;
            e
        });
        self.endpoints.extend(retired);
        self.apply_version_rules();
    }

    /// Replaces the rules for software versions.
    pub fn set_version_rules(&mut self, rules: VersionRules) {
        self.rules = rules;
        self.apply_version_rules();
    }

    fn apply_version_rules(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.access = self.rules.access(endpoint.listed.version);
        }
    }

    /// Returns the number of requests that run at endpoints other than those of a version, as far as
    /// this process knows.
    pub fn running_elsewhere(&self, version: PoolVersion, now: Instant) -> u32 {
        let others = self.endpoints.iter();
        let others = others.filter(|e| e.listed.version != version);
        others.map(|e| e.load(now)).sum()
    }

    /// Updates whether each endpoint takes requests, by its own account.
    pub fn set_standings(&mut self, standing: impl Fn(&str) -> Standing) {
        for endpoint in &mut self.endpoints {
            endpoint.standing = standing(&endpoint.listed.id);
        }
    }

    /// Updates the share of this process in the limit of each endpoint that has named one.
    pub fn set_limits(&mut self, share: impl Fn(u64) -> Option<RequestRate>, now: Instant) {
        for endpoint in &mut self.endpoints {
            let Some(rate) = share(endpoint.hash) else {
                endpoint.allowance = None;
                continue;
            };
            let delay = to_unit_interval(mix_bits(endpoint.hash ^ self.preference.seed));
            let new = || Allowance::new(rate, delay, now);
            endpoint
                .allowance
                .get_or_insert_with(new)
                .set_rate(rate, now);
        }
    }

    /// Returns the requests per second that this process may send to the endpoints that a request may
    /// go to, or [`None`] if one of them has no limit.
    pub fn limited_rate(&self, version: Option<PoolVersion>, tried: &[SmolStr]) -> Option<f64> {
        let untried = self.untried(version, tried);
        let rates = untried.map(|e| e.allowance.map(|a| a.rate().per_second()));
        rates.sum()
    }

    /// Updates what the other processes run at each endpoint.
    ///
    /// All processes see the same few free slots. Each therefore draws at random which of
    /// them it may claim until the next update, in proportion to `waiting_share`, its share of
    /// all waiting requests; without one it may claim any of them. Reports of endpoints about all
    /// requests count for `freshness`.
    pub fn set_peers(
        &mut self,
        waiting_share: Option<f64>,
        freshness: Millis,
        now: Instant,
        dispatched: impl Fn(u64) -> DispatchedLoad,
    ) {
        self.is_shared = waiting_share.is_some();
        let waiting_share = waiting_share.unwrap_or(1.0);
        self.peer_updates += 1;
        for endpoint in &mut self.endpoints {
            let load = dispatched(endpoint.hash);
            endpoint.peer_running = load.running;
            endpoint.peer_prefill_ms = f64::from(load.prefill_ms);
            endpoint.freshness = freshness;
        }
        let draw = mix_bits(self.preference.seed ^ self.peer_updates);
        for endpoint in &mut self.endpoints {
            let is_claimed = |slot: &u32| {
                to_unit_interval(mix_bits(endpoint.hash ^ draw ^ u64::from(*slot)))
                    < waiting_share * CLAIMS_PER_SLOT
            };
            endpoint.claimable = (0..endpoint.free(now)).filter(is_claimed).count() as u32;
        }
    }

    /// Updates the number of other processes, and whether their counts are recent enough to choose by.
    pub fn set_others(&mut self, others: usize, has_timely_counts: bool) {
        self.preference.set_others(others, has_timely_counts);
    }

    /// Returns the hash of each endpoint at which this process runs requests, with what it runs there.
    pub fn dispatched(&self) -> impl Iterator<Item = (u64, DispatchedLoad)> + '_ {
        let busy = self.endpoints.iter().filter(|e| e.own_running > 0);
        busy.map(|e| {
            let load = DispatchedLoad {
                running: e.own_running,
                prefill_ms: e.own_prefill_ms.round() as u32,
            };
            (e.hash, load)
        })
    }

    /// Returns the number of requests that all ready endpoints accept, including
    /// `QUEUED_AHEAD` for each.
    pub fn slots(&self, now: Instant) -> u32 {
        let endpoints = self.open(now).filter(|e| e.takes(None));
        endpoints.map(|e| e.listed.slots + QUEUED_AHEAD).sum()
    }

    /// Returns how many more requests the ready endpoints accept, including
    /// `QUEUED_AHEAD` for each.
    pub fn free(&self, now: Instant) -> u32 {
        let endpoints = self.open(now).filter(|e| e.takes(None));
        endpoints.map(|e| e.free(now)).sum()
    }

    /// Returns whether any endpoint that a request may go to, of its version if it has one, accepts
    /// requests, now or after a pause.
    pub fn has_ready(&self, version: Option<PoolVersion>, tried: &[SmolStr]) -> bool {
        self.untried(version, tried).next().is_some()
    }

    /// Returns when the first endpoint that a request may go to, of its version if it has one, takes
    /// requests, which is now unless all of them asked for a pause or are at their limits.
    pub fn opens_at(
        &self,
        version: Option<PoolVersion>,
        tried: &[SmolStr],
        now: Instant,
    ) -> Instant {
        let untried = self.untried(version, tried);
        let first = untried.map(|e| e.opens_at(now)).min();
        first.unwrap_or(now).max(now)
    }

    /// Returns the software version of an endpoint.
    pub fn version(&self, id: &str) -> Option<PoolVersion> {
        let endpoint = self.endpoints.iter().find(|e| e.listed.id == id);
        endpoint.map(|e| e.listed.version)
    }

    /// Returns whether any endpoint has a free slot for a request, regardless of which
    /// process may claim it.
    pub fn has_free_slot(&self, demand: &Demand, tried: &[SmolStr], now: Instant) -> bool {
        let limits = self.slow_limits(demand, tried, now);
        let is_fit = |e: &PoolEndpoint| {
            !tried.contains(&e.listed.id)
                && demand.allows(e)
                && self.has_room(e, demand, limits, now)
        };
        self.open(now).any(is_fit)
    }

    /// Chooses the endpoint of a request, excluding those already tried.
    ///
    /// Endpoints of a pool may differ so much in speed that a long prompt is late on the slow ones
    /// even if it starts at once. While some endpoint can still be on time, the others are left to
    /// requests for which they are fast enough.
    pub fn choose(&self, demand: &Demand, tried: &[SmolStr], now: Instant) -> Option<SmolStr> {
        let last = demand.session.and_then(|s| self.sessions.endpoint(s, now));
        let limits = self.slow_limits(demand, tried, now);
        let is_contended = self.is_contended(now);
        // Most endpoints are on time, and then neither the median nor the others matter.
        let slow_factor = LazyCell::new(|| {
            let can_be_on_time = self.can_be_on_time(demand, tried, now);
            can_be_on_time.then(|| SLOW_FIRST_EVENT * self.median_first_event_factor())
        });
        let mut best: Option<(f64, &PoolEndpoint)> = None;
        for endpoint in self.open(now) {
            // A stream that goes on has few endpoints to choose from, so it takes any free slot there.
            // A limit is divided among the processes already.
            let is_open = !is_contended
                || endpoint.claimable > 0
                || endpoint.allowance.is_some()
                || demand.version.is_some();
            if !is_open || !demand.allows(endpoint) || tried.contains(&endpoint.listed.id) {
                continue;
            }
            if !self.has_room(endpoint, demand, limits, now) {
                continue;
            }
            let is_slow = || slow_factor.is_some_and(|f| endpoint.first_event_factor > f);
            if !endpoint.is_on_time(demand) && is_slow() {
                continue;
            }
            if endpoint.is_probe_due(now) {
                return Some(endpoint.listed.id.clone());
            }
            let score = score(endpoint, demand, last, self.preference, now);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint.listed.id.clone())
    }

    /// Chooses an endpoint of the version that is tried, which has a slot free at once.
    pub fn choose_candidate(&self, demand: &Demand, now: Instant) -> Option<SmolStr> {
        let limits = self.slow_limits(demand, &[], now);
        let draw = mix_bits(demand.tie_breaker ^ self.preference.seed);
        let has_room = |e: &PoolEndpoint| self.has_room(e, demand, limits, now);
        let chosen = candidate_choice::choose(self.open(now), draw, now, has_room);
        chosen.map(|e| e.listed.id.clone())
    }

    /// Records that a request was dispatched.
    pub fn on_start(&mut self, id: &str, demand: &Demand, now: Instant) {
        let Some(endpoint) = self.endpoint(id) else {
            return;
        };
        endpoint.own_running += 1;
        endpoint.sent_at = now;
        if let Some(allowance) = &mut endpoint.allowance {
            allowance.consume(now);
            endpoint.probed_at = now;
        }
        endpoint.claimable = endpoint.claimable.saturating_sub(1);
        endpoint.reports.on_start(now);
        endpoint.own_long_running += u32::from(demand.is_long);
        endpoint.own_prefill_ms += demand.prefill_ms;
        let hash = endpoint.hash;
        if let Some(session) = demand.session {
            self.sessions.record(session, hash, now);
        }
    }

    /// Records the load that an endpoint reported in a response that has just arrived.
    pub fn on_load(&mut self, id: &str, load: EndpointLoad, now: Instant) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.reports.on_report(load, endpoint.own_running, now);
        }
    }

    /// Records the mean interval between some events of a stream, in milliseconds.
    pub fn on_event_interval(&mut self, id: &str, interval_ms: f64) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.pace.observe(interval_ms);
        }
        let median_ms = median(self.ready().filter_map(|e| e.pace.interval_ms()));
        for endpoint in &mut self.endpoints {
            endpoint.set_median_interval(median_ms);
        }
    }

    /// Records the first event of a response; `factor` is the ratio of the actual to the expected
    /// time to it.
    pub fn on_first_event(&mut self, id: &str, factor: f64) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.on_first_event(factor);
        }
    }

    /// Records that an endpoint has read a prompt, or has ended before.
    pub fn on_prefill_end(&mut self, id: &str, prefill_ms: f64) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.own_prefill_ms = (endpoint.own_prefill_ms - prefill_ms).max(0.0);
        }
    }

    /// Records that a request has ended; `factor` is the ratio of its actual to its
    /// expected duration.
    pub fn on_end(
        &mut self,
        id: &str,
        is_long: bool,
        outcome: DispatchOutcome,
        factor: Option<f64>,
        now: Instant,
    ) {
        let mean = self.mean_failure_rate();
        let access = self.endpoints.iter().find(|e| e.listed.id == id);
        let access = access.map_or(Access::Open, |e| e.access);
        // Half of those that take the same requests, since the others cannot stand in for them.
        let alike = self.endpoints.iter().filter(|e| e.access == access);
        let max_ejected = alike.clone().count() / 2;
        let ejected = alike.filter(|e| e.ejected_until > now).count();
        let Some(endpoint) = self.endpoint(id) else {
            return;
        };
        endpoint.own_running = endpoint.own_running.saturating_sub(1);
        endpoint.claimable += 1;
        endpoint.own_long_running = endpoint.own_long_running.saturating_sub(u32::from(is_long));
        endpoint.on_outcome(outcome, factor);
        let excess = endpoint.failure_excess(mean);
        if outcome == DispatchOutcome::Failure && excess > FAILURE_EXCESS && ejected < max_ejected {
            endpoint.eject(now);
        }
    }

    /// Skips an endpoint for a while after it rejected a request as full.
    pub fn on_full(&mut self, id: &str, now: Instant) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.full_until = now.after(FULL_COOLDOWN);
        }
    }

    /// Ejects an endpoint that could not be reached.
    pub fn on_unreachable(&mut self, id: &str, now: Instant) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.eject(now);
            if let Some(allowance) = &mut endpoint.allowance {
                allowance.refund();
            }
        }
    }

    /// Returns whether some endpoint, free or not, is fast enough for a request to be on time.
    fn can_be_on_time(&self, demand: &Demand, tried: &[SmolStr], now: Instant) -> bool {
        let is_fit = |e: &PoolEndpoint| {
            e.ejected_until <= now
                && !tried.contains(&e.listed.id)
                && demand.allows(e)
                && e.is_on_time(demand)
        };
        demand.time_left.is_some() && self.open(now).any(is_fit)
    }

    /// Returns whether free slots are so scarce that processes have to divide them.
    fn is_contended(&self, now: Instant) -> bool {
        let free = f64::from(self.free(now));
        self.is_shared && free < f64::from(self.slots(now)) * CONTENTION_SHARE
    }

    fn ready(&self) -> impl Iterator<Item = &PoolEndpoint> {
        let is_ready = |e: &&PoolEndpoint| {
            e.listed.is_ready && !e.standing.is_draining && e.access != Access::Closed
        };
        self.endpoints.iter().filter(is_ready)
    }

    /// Returns the ready endpoints that a request may go to.
    fn untried(
        &self,
        version: Option<PoolVersion>,
        tried: &[SmolStr],
    ) -> impl Iterator<Item = &PoolEndpoint> {
        self.ready()
            .filter(move |e| e.takes(version) && !tried.contains(&e.listed.id))
    }

    /// Returns the ready endpoints that have not asked for a pause and are not at their limits.
    fn open(&self, now: Instant) -> impl Iterator<Item = &PoolEndpoint> {
        self.ready().filter(move |e| e.opens_at(now) <= now)
    }

    fn endpoint(&mut self, id: &str) -> Option<&mut PoolEndpoint> {
        self.endpoints.iter_mut().find(|e| e.listed.id == id)
    }

    fn has_room(
        &self,
        endpoint: &PoolEndpoint,
        demand: &Demand,
        limits: SlowLimits,
        now: Instant,
    ) -> bool {
        if endpoint.free(now) == 0 {
            return false;
        }
        if endpoint.ejected_until > now || endpoint.full_until > now {
            return false;
        }
        if endpoint.ejections > 0 && endpoint.own_running > 0 {
            return false;
        }
        if !limits.allow(endpoint, demand, now) {
            return false;
        }
        let long_max = (f64::from(endpoint.listed.slots) * LONG_SLOT_SHARE).ceil();
        !demand.is_long || f64::from(endpoint.own_long_running) < long_max
    }

    /// Returns the limits of slow endpoints, which hold while a faster one, free or not, may take the request.
    fn slow_limits(&self, demand: &Demand, tried: &[SmolStr], now: Instant) -> SlowLimits {
        let limits = SlowLimits::new(median(self.ready().map(|e| e.time_factor)));
        let is_faster = |e: &PoolEndpoint| {
            e.ejected_until <= now
                && !tried.contains(&e.listed.id)
                && demand.allows(e)
                && !limits.is_slow(e)
        };
        match self.open(now).any(is_faster) {
            true => limits,
            false => SlowLimits::NONE,
        }
    }

    fn median_first_event_factor(&self) -> f64 {
        median(self.ready().map(|e| e.first_event_factor))
    }

    fn mean_failure_rate(&self) -> f64 {
        let count = self.ready().count().max(1);
        self.ready().map(|e| e.failure_rate).sum::<f64>() / count as f64
    }
}

/// Returns the median of factors, or one if there are none.
fn median(factors: impl Iterator<Item = f64>) -> f64 {
    let mut factors: SmallVec<[f64; 16]> = factors.collect();
    factors.sort_by(f64::total_cmp);
    factors.get(factors.len() / 2).copied().unwrap_or(1.0)
}
