//! Connects the dispatcher of each pool to the tasks of its waiting requests.

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use sesamehaven::announcement::{Announcement, Announcements, Standing};
use sesamehaven::backlog::Ticket;
use sesamehaven::digest::{hash_of, short_hash};
use sesamehaven::dispatcher::{Dispatcher, Refusal, Step, Work};
use sesamehaven::endpoint_limits::{EndpointLimits, LimitNotice, own_share};
use sesamehaven::endpoint_load::EndpointLoad;
use sesamehaven::exposure::VersionRules;
use sesamehaven::placement::{DispatchOutcome, ListedEndpoint};
use sesamehaven::request_rate::RequestRate;
use sesamehaven::rollout_evidence::Evidence;
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::Millis;

use crate::clock;
use crate::load::{EndpointShare, Load, Loads};
use crate::protocol::EndpointEntry;

/// How often the queues are processed while requests are waiting.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why a request was assigned no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: Refusal,
    /// The delay after which the caller may retry.
    pub retry_after: Millis,
}

type Assignment = Result<SmolStr, Rejection>;

/// The largest number of slots that is taken from a list, so that sums over endpoints do not overflow.
const MAX_SLOTS: u32 = 1 << 16;

/// The request queues and endpoint slots of all pools.
#[derive(Debug, Default)]
pub struct Pools {
    seed: u64,
    pools: RefCell<HashMap<SmolStr, Dispatcher>>,
    announcements: RefCell<Announcements>,
    limits: RefCell<EndpointLimits>,
    /// The identities of the other fronts that are alive.
    others: RefCell<Vec<u64>>,
    had_limits: Cell<bool>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Assignment>>>,
    next_ticket: Cell<u64>,
    arrivals: Notify,
}

/// A slot at an endpoint, released on drop.
#[derive(Debug)]
pub struct Slot {
    pools: Rc<Pools>,
    pool: SmolStr,
    ticket: Ticket,
    /// The incarnation of the endpoint.
    pub endpoint: SmolStr,
    /// The version of its software when the slot was assigned.
    pub version: Option<PoolVersion>,
    outcome: Option<DispatchOutcome>,
}

impl Slot {
    /// Releases the slot and reports the outcome of the request.
    pub fn complete(mut self, outcome: DispatchOutcome) {
        self.outcome = Some(outcome);
    }

    /// Records that the first event of the response, or the response, has arrived.
    pub fn on_first_event(&self) {
        let (ticket, now) = (self.ticket, clock::now());
        if let Some(dispatcher) = self.pools.pools.borrow_mut().get_mut(&self.pool) {
            dispatcher.on_first_event(ticket, now);
        }
    }

    /// Records that an event of a stream has arrived, or several together.
    pub fn on_event(&self) {
        if let Some(dispatcher) = self.pools.pools.borrow_mut().get_mut(&self.pool) {
            dispatcher.on_event(self.ticket, clock::now());
        }
    }

    /// Releases the slot and marks the endpoint as unreachable.
    pub fn mark_unreachable(self) {
        let (ticket, now) = (self.ticket, clock::now());
        self.pools
            .apply(&self.pool, |d| d.on_unreachable(ticket, now));
    }

    /// Releases the slot and marks the endpoint as full.
    pub fn mark_full(self) {
        let (ticket, now) = (self.ticket, clock::now());
        self.pools.apply(&self.pool, |d| d.on_full(ticket, now));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(DispatchOutcome::Neutral);
        let (ticket, now) = (self.ticket, clock::now());
        self.pools
            .apply(&self.pool, |d| d.on_end(ticket, outcome, now));
    }
}

/// A waiting request, removed from the queue on drop.
struct QueuedRequest {
    pools: Rc<Pools>,
    pool: SmolStr,
    ticket: Ticket,
    assignment: oneshot::Receiver<Assignment>,
    is_resolved: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        self.pools.waiters.borrow_mut().remove(&self.ticket);
        let (ticket, now) = (self.ticket, clock::now());
        self.pools.apply(&self.pool, |d| {
            d.on_caller_gone(ticket);
            d.on_end(ticket, DispatchOutcome::Neutral, now)
        });
    }
}

impl Pools {
    /// Creates the pools of a front; the seed determines its order of preference among endpoints.
    pub fn new(seed: u64) -> Self {
        Pools {
            seed,
            ..Pools::default()
        }
    }

    /// Replaces the endpoints with those that the directory lists.
    ///
    /// The rules for software versions apply before any request is sent there.
    pub fn set_endpoints(
        &self,
        entries: &[EndpointEntry],
        data_centre: &str,
        rules: impl Fn(&str) -> VersionRules,
    ) {
        let mut listed: HashMap<SmolStr, Vec<ListedEndpoint>> = HashMap::new();
        for entry in entries {
            let mut announcements = self.announcements.borrow_mut();
            announcements.on_listed(&entry.id, entry.started_at);
            drop(announcements);
            listed
                .entry(entry.pool.clone())
                .or_default()
                .push(ListedEndpoint {
                    id: entry.id.clone(),
                    slots: entry.slots.min(MAX_SLOTS),
                    is_near: entry.data_centre == data_centre,
                    is_ready: entry.is_ready,
                    version: PoolVersion::new(&entry.pool, &entry.version),
                });
        }
        {
            let mut pools = self.pools.borrow_mut();
            for (name, pool) in pools.iter_mut() {
                pool.set_version_rules(rules(name));
                pool.set_endpoints(listed.remove(name).unwrap_or_default());
            }
            for (name, listed) in listed {
                let mut pool = Dispatcher::new(self.seed);
                pool.set_version_rules(rules(&name));
                pool.set_endpoints(listed);
                pools.insert(name, pool);
            }
        }
        self.update_standings();
        self.update_limits();
        self.tick();
    }

    /// Replaces the rules for the software versions of each pool.
    pub fn set_version_rules(&self, rules: impl Fn(&str) -> VersionRules) {
        for (name, pool) in self.pools.borrow_mut().iter_mut() {
            pool.set_version_rules(rules(name));
        }
        self.tick();
    }

    /// Passes on how the responses of a pool's versions compare, while one of them is rolled out.
    pub fn with_rollout_evidence(&self, pool: &str, read: impl FnOnce(&Evidence)) {
        if let Some(evidence) = self
            .pools
            .borrow()
            .get(pool)
            .and_then(Dispatcher::rollout_evidence)
        {
            read(evidence);
        }
    }

    /// Returns the number of requests that run at endpoints other than those of a version, as far as
    /// this front knows.
    pub fn running_elsewhere(&self, pool: &str, version: PoolVersion) -> u32 {
        let pools = self.pools.borrow();
        let now = clock::now();
        pools
            .get(pool)
            .map_or(0, |d| d.running_elsewhere(version, now))
    }

    /// Applies what an endpoint said about itself, and returns the part that begins with it.
    pub fn on_announcement(
        &self,
        endpoint: &str,
        started_at: Option<u64>,
        announcement: Announcement,
    ) -> Announcement {
        let mut announcements = self.announcements.borrow_mut();
        let news = announcements.on_announcement(endpoint, started_at, announcement, clock::now());
        drop(announcements);
        self.update_standings();
        news
    }

    /// Records the load that an endpoint of a pool reported in a response.
    pub fn on_load(&self, pool: &str, endpoint: &str, load: EndpointLoad) {
        if let Some(dispatcher) = self.pools.borrow_mut().get_mut(pool) {
            dispatcher.on_load(endpoint, load, clock::now());
        }
    }

    /// Records the limit that an endpoint named in a response, or that it named none; returns whether
    /// it has changed.
    pub fn on_limit(&self, endpoint: &str, limit: Option<RequestRate>) -> bool {
        let mut limits = self.limits.borrow_mut();
        let has_changed = limits.on_response(hash_of(endpoint), limit, clock::now());
        drop(limits);
        if has_changed {
            self.update_limits();
        }
        has_changed
    }

    /// Adds what other fronts have heard of limits; returns whether any has changed.
    pub fn merge_limits(&self, notices: &[LimitNotice]) -> bool {
        let has_changed = self.limits.borrow_mut().merge(notices, clock::now());
        if has_changed {
            self.update_limits();
        }
        has_changed
    }

    /// Returns what endpoints have said of their limits, for other fronts.
    pub fn limits(&self) -> Ref<'_, EndpointLimits> {
        self.limits.borrow()
    }

    /// Applies the share of this front in the limits, which depends on the fronts that are alive.
    fn update_limits(&self) {
        let (limits, others, now) = (self.limits.borrow(), self.others.borrow(), clock::now());
        let share = |endpoint: u64| {
            let limit = limits.limit(endpoint, now)?;
            Some(own_share(
                limit,
                endpoint,
                self.seed,
                others.iter().copied(),
            ))
        };
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_limits(share, now);
        }
    }

    /// Returns the number of endpoints that named a limit.
    pub fn limited(&self) -> usize {
        self.limits.borrow().limited(clock::now())
    }

    /// Returns whether an endpoint takes requests, by its own account.
    pub fn standing(&self, endpoint: &str) -> Standing {
        self.announcements.borrow().standing(endpoint)
    }

    /// Returns how long a caller of a pool that is refused should wait at least.
    pub fn retry_after(&self, pool: &str, min: Millis) -> Millis {
        let pools = self.pools.borrow();
        pools
            .get(pool)
            .map_or(min, |p| p.retry_after(min, clock::now()))
    }

    fn update_standings(&self) {
        let announcements = self.announcements.borrow();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_standings(|endpoint| announcements.standing(endpoint));
        }
    }

    /// Updates the running and waiting requests of the other fronts.
    pub fn set_peer_loads(&self, loads: &Loads) {
        for (name, pool) in self.pools.borrow_mut().iter_mut() {
            let waiting = loads.waiting.get(&short_hash(hash_of(name)));
            let waiting = waiting.copied().unwrap_or_default();
            pool.set_peers(loads.fronts, waiting, clock::now(), |hash| {
                let dispatched = loads.dispatched.get(&short_hash(hash)).copied();
                dispatched.unwrap_or_default()
            });
        }
        self.others.borrow_mut().clone_from(&loads.ids);
        let has_limits = !self.limits.borrow().is_empty();
        if has_limits || self.had_limits.replace(has_limits) {
            self.update_limits();
        }
        self.tick();
    }

    /// Returns the requests of this front running at each endpoint and, weighted, waiting for each pool.
    pub fn local_load(&self) -> Load {
        let pools = self.pools.borrow();
        let dispatched = pools.values().flat_map(Dispatcher::dispatched);
        let dispatched = dispatched.map(|(hash, load)| EndpointShare {
            endpoint: short_hash(hash),
            running: load.running,
            prefill_ms: load.prefill_ms,
        });
        let waiting = pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        Load {
            dispatched: dispatched.collect(),
            waiting: waiting
                .map(|(name, pool)| (short_hash(hash_of(name)), pool.weighted_waiting()))
                .collect(),
        }
    }

    /// Returns the number of free slots, of all slots and of waiting requests of a pool.
    pub fn occupancy(&self, pool: &str) -> (u32, u32, usize) {
        let pools = self.pools.borrow();
        let Some(pool) = pools.get(pool) else {
            return (0, 0, 0);
        };
        let (free, slots) = pool.slots(clock::now());
        (free, slots, pool.waiting())
    }

    /// Returns whether an endpoint of a software version accepts requests.
    pub fn serves(&self, pool: &str, version: PoolVersion) -> bool {
        let pools = self.pools.borrow();
        pools.get(pool).is_some_and(|d| d.serves(version))
    }

    /// Waits for a slot at an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the reason and a retry delay if the pool is unknown or no slot becomes available in
    /// time.
    pub async fn acquire(self: &Rc<Self>, pool: &SmolStr, work: Work) -> Result<Slot, Rejection> {
        let no_endpoint = Rejection {
            reason: Refusal::NoEndpoint,
            retry_after: NO_POOL_RETRY_AFTER,
        };
        if !self.pools.borrow().contains_key(pool) {
            return Err(no_endpoint);
        }
        let ticket = Ticket(self.next_ticket.replace(self.next_ticket.get() + 1));
        let (tx, assignment) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        let mut queued = QueuedRequest {
            pools: Rc::clone(self),
            pool: pool.clone(),
            ticket,
            assignment,
            is_resolved: false,
        };
        self.apply(pool, |d| d.on_arrival(ticket, work, clock::now()));
        self.arrivals.notify_one();
        let assignment = (&mut queued.assignment).await;
        queued.is_resolved = true;
        let endpoint = assignment.unwrap_or(Err(no_endpoint))?;
        let pools = self.pools.borrow();
        let version = pools.get(pool).and_then(|d| d.version(&endpoint));
        drop(pools);
        Ok(Slot {
            pools: Rc::clone(self),
            pool: pool.clone(),
            ticket,
            endpoint,
            version,
            outcome: None,
        })
    }

    /// Processes the queues periodically while requests are waiting.
    pub async fn run(&self) {
        loop {
            if self.pools.borrow().values().all(|p| p.waiting() == 0) {
                self.arrivals.notified().await;
            }
            tokio::time::sleep(TICK_INTERVAL).await;
            self.tick();
        }
    }

    fn tick(&self) {
        let names: Vec<SmolStr> = self.pools.borrow().keys().cloned().collect();
        for name in &names {
            self.apply(name, |d| d.on_tick(clock::now()));
        }
    }

    /// Updates the gauges of all pools.
    pub fn record_gauges(&self) {
        for (name, pool) in self.pools.borrow().iter() {
            let (free, _) = pool.slots(clock::now());
            gauge!("front_free_slots", "pool" => name.to_string()).set(free);
            gauge!("front_waiting_requests", "pool" => name.to_string()).set(pool.waiting() as f64);
        }
    }

    /// Passes an event to a pool's dispatcher and resolves the requests that it decides on.
    fn apply(
        &self,
        pool: &str,
        event: impl FnOnce(&mut Dispatcher) -> sesamehaven::dispatcher::Steps,
    ) {
        let steps = match self.pools.borrow_mut().get_mut(pool) {
            Some(dispatcher) => event(dispatcher),
            None => return,
        };
        for step in steps {
            let (ticket, assignment) = match step {
                Step::Start { ticket, endpoint } => (ticket, Ok(endpoint)),
                Step::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => (
                    ticket,
                    Err(Rejection {
                        reason,
                        retry_after,
                    }),
                ),
            };
            let tx = self.waiters.borrow_mut().remove(&ticket);
            if let Some(tx) = tx {
                // If the request was cancelled, dropping its queue entry has already released the
                // slot.
                let _ = tx.send(assignment);
            }
        }
    }
}

/// Retry-After for a pool without any listed endpoint.
const NO_POOL_RETRY_AFTER: Millis = Millis(500);
