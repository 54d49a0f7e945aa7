//! The state of a front, which all of its tasks share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;

use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::patience::Patience;
use sesamehaven::quarantine::Quarantine;
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::connection_pool::ConnectionPool;
use crate::directory_cache::{ConfigCache, ListingCache};
use crate::logging::LogRateLimiter;
use crate::peers::Peers;
use crate::pools::Pools;
use crate::protocol::Protocol;
use crate::settings::Settings;
use crate::shared_limits::SharedLimits;

/// How long before the end of its trust a configuration stops vouching for keys.
const KEY_MAX_AGE_MARGIN: Millis = Millis(250);

/// The state of a front.
#[derive(Debug)]
pub struct Front<P> {
    /// What the front was told at its start, or since.
    pub settings: RefCell<Settings>,
    /// The configuration in force.
    pub config: ConfigCache,
    /// The endpoints that the directory lists.
    pub endpoints: ListingCache,
    /// The queues and endpoints.
    pub pools: Rc<Pools>,
    /// The connections to endpoints.
    pub connections: ConnectionPool,
    /// The limits that all fronts keep together.
    pub shared_limits: RefCell<SharedLimits>,
    /// The other fronts.
    pub peers: RefCell<Peers>,
    /// When the other fronts were last told what changes slowly.
    pub last_full_digest: Cell<Instant>,
    /// The patience of callers, by which requests that come back are known.
    pub first_sends: RefCell<Patience>,
    /// The requests that crash endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// The endpoints that are being asked whether they crashed.
    pub(crate) crash_probes: RefCell<SmallVec<[SmolStr; 4]>>,
    /// The requests in flight, by endpoint, as fingerprints.
    in_flight: RefCell<HashMap<SmolStr, SmallVec<[u64; 8]>>>,
    /// Whether the front is about to leave.
    pub is_draining: Cell<bool>,
    /// The requests that are being served.
    pub active_requests: Cell<u32>,
    /// The bytes of bodies held in memory.
    pub body_bytes: Cell<u64>,
    /// The bound of log lines about requests.
    pub log_limiter: LogRateLimiter,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Front<P> {
    /// Builds the state of a front that knows nothing yet.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let peers = Peers::new(settings.peers, incarnation, settings.seeds.clone());
        Front {
            config: ConfigCache::default(),
            endpoints: ListingCache::default(),
            pools: Rc::new(Pools::new(hash_of(settings.peers.to_string()))),
            connections: ConnectionPool::default(),
            shared_limits: RefCell::new(SharedLimits::default()),
            settings: RefCell::new(settings),
            peers: RefCell::new(peers),
            last_full_digest: Cell::new(Instant(0)),
            first_sends: RefCell::default(),
            quarantine: RefCell::new(Quarantine::default()),
            crash_probes: RefCell::default(),
            in_flight: RefCell::new(HashMap::new()),
            is_draining: Cell::new(false),
            active_requests: Cell::new(0),
            body_bytes: Cell::new(0),
            log_limiter: LogRateLimiter::default(),
            protocol: PhantomData,
        }
    }

    /// Returns whether the configuration is fresh enough to vouch for keys.
    pub fn can_verify_keys(&self, now: Instant) -> bool {
        let max_age = self.settings.borrow().bounds.key_max_age.0;
        self.config.age(now).0 < max_age.saturating_sub(KEY_MAX_AGE_MARGIN.0)
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining.get()
            && self.endpoints.digest() != 0
            && self.config.table().is_some()
            && self.can_verify_keys(clock::now())
    }

    /// Notes that a request is in flight at an endpoint, until the guard is dropped.
    pub fn track_in_flight(
        self: &Rc<Self>,
        endpoint: &SmolStr,
        fingerprint: u64,
    ) -> InFlightGuard<P> {
        let mut in_flight = self.in_flight.borrow_mut();
        in_flight
            .entry(endpoint.clone())
            .or_default()
            .push(fingerprint);
        InFlightGuard {
            front: Rc::clone(self),
            endpoint: endpoint.clone(),
            fingerprint,
        }
    }

    /// Lists the requests that are in flight at an endpoint, as fingerprints.
    pub fn in_flight(&self, endpoint: &str) -> SmallVec<[u64; 8]> {
        let in_flight = self.in_flight.borrow();
        in_flight.get(endpoint).cloned().unwrap_or_default()
    }
}

/// A request that is in flight at an endpoint.
#[derive(Debug)]
pub struct InFlightGuard<P: Protocol> {
    front: Rc<Front<P>>,
    endpoint: SmolStr,
    fingerprint: u64,
}

impl<P: Protocol> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        let mut in_flight = self.front.in_flight.borrow_mut();
        let Some(running) = in_flight.get_mut(&self.endpoint) else {
            return;
        };
        if let Some(at) = running.iter().position(|f| *f == self.fingerprint) {
            running.swap_remove(at);
        }
        if running.is_empty() {
            in_flight.remove(&self.endpoint);
        }
    }
}

/// Counts something for as long as it lives.
#[derive(Debug)]
pub struct CounterGuard<'a> {
    count: &'a Cell<u32>,
}

impl<'a> CounterGuard<'a> {
    /// Counts one more.
    pub fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        CounterGuard { count }
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
