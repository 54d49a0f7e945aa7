//! The state that all tasks of a front share.

use std::cell::{Cell, RefCell};
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::Notify;

use sesamehaven::digest::hash_of;
use sesamehaven::grace::RunTimes;
use sesamehaven::part_quarantine::PartQuarantine;
use sesamehaven::quarantine::Quarantine;
use sesamehaven::restore::RestoreGuard;
use sesamehaven::retry_detector::RetryDetector;
use sesamehaven::unit::{Instant, Millis};

use crate::body_memory::BodyMemory;
use crate::clock;
use crate::connection_pool::ConnectionPool;
use crate::directory_cache::{ConfigCache, ListingCache};
use crate::gossip::StallDetector;
use crate::in_flight::InFlight;
use crate::logging::LogRateLimiter;
use crate::origins::Origins;
use crate::peers::Peers;
use crate::pools::Pools;
use crate::protocol::Protocol;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::shared_limits::SharedLimits;
use crate::start_gate::StartGate;
use crate::stop::Stop;

/// Keys are rejected this long before the configuration reaches its maximum age.
const KEY_MAX_AGE_MARGIN: Millis = Millis(250);

/// How long after a stall requests wait for a new list of endpoints.
const STALL_LIST_TIMEOUT: Millis = Millis(1_000);
/// How often a waiting request checks whether there is a new list.
const STALL_LIST_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a request that needs a list read after its arrival waits for it.
const FRESH_LIST_TIMEOUT: Millis = Millis(1_000);

/// The shared state of a front.
#[derive(Debug)]
pub struct Front<P> {
    /// The settings, as last loaded.
    pub settings: RefCell<Settings>,
    /// The configuration in force.
    pub config: ConfigCache,
    /// The endpoints listed by the directory.
    pub endpoints: ListingCache,
    /// Wakes the task that reads the list of endpoints.
    pub list_wanted: Notify,
    /// What is believed of the directory since it came back from an older copy.
    pub restore_guard: RefCell<RestoreGuard>,
    /// The request queues and endpoint slots of all pools.
    pub pools: Rc<Pools>,
    /// The connections to endpoints.
    pub connections: ConnectionPool,
    /// The limits shared by all fronts.
    pub shared_limits: RefCell<SharedLimits>,
    /// The software versions that began streams.
    pub origins: Origins,
    /// The rollouts of software versions.
    pub rollouts: Rollouts,
    /// The other fronts.
    pub peers: RefCell<Peers>,
    /// Detects requests that callers send again after a refusal.
    pub retry_detector: RefCell<RetryDetector>,
    /// The requests suspected of crashing endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// The parts of prompts suspected of crashing endpoints.
    pub part_quarantine: RefCell<PartQuarantine>,
    /// Detects that this process was suspended.
    pub stalls: StallDetector,
    /// The endpoints that are being probed for a crash.
    pub(crate) crash_probes: RefCell<SmallVec<[SmolStr; 4]>>,
    /// The requests in flight, by endpoint.
    pub in_flight: Rc<InFlight>,
    /// Holds requests until the front knows what it needs to.
    pub start_gate: StartGate,
    /// Tells when the front stops.
    pub stop: Stop,
    /// How long requests have run lately.
    pub run_times: RefCell<RunTimes>,
    /// The number of requests being served.
    pub active_requests: Cell<u32>,
    /// The number of open connections of callers.
    pub caller_connections: Rc<Cell<u32>>,
    /// The memory of the bodies of requests, responses and streams.
    pub body_memory: Rc<BodyMemory>,
    /// The rate limit for log lines about requests.
    pub log_limiter: LogRateLimiter,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Front<P> {
    /// Creates the state of a front without configuration or endpoints.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let peers = Peers::new(
            settings.peers,
            incarnation,
            &settings.data_centre,
            settings.seeds.clone(),
        );
        Front {
            config: ConfigCache::default(),
            endpoints: ListingCache::default(),
            list_wanted: Notify::new(),
            restore_guard: RefCell::default(),
            pools: Rc::new(Pools::new(hash_of(settings.peers.to_string()))),
            connections: ConnectionPool::default(),
            shared_limits: RefCell::new(SharedLimits::default()),
            origins: Origins::new(settings.is_first_start),
            rollouts: Rollouts::default(),
            body_memory: Rc::new(BodyMemory::new(settings.max_body_memory.0)),
            settings: RefCell::new(settings),
            peers: RefCell::new(peers),
            retry_detector: RefCell::default(),
            quarantine: RefCell::new(Quarantine::default()),
            part_quarantine: RefCell::default(),
            stalls: StallDetector::default(),
            crash_probes: RefCell::default(),
            in_flight: Rc::default(),
            start_gate: StartGate::new(clock::now()),
            stop: Stop::default(),
            run_times: RefCell::default(),
            active_requests: Cell::new(0),
            caller_connections: Rc::default(),
            log_limiter: LogRateLimiter::default(),
            protocol: PhantomData,
        }
    }

    /// Returns whether the configuration is fresh enough to validate keys.
    pub fn can_verify_keys(&self, now: Instant) -> bool {
        let max_age = self.settings.borrow().bounds.key_max_age.0;
        self.config.age(now).0 < max_age.saturating_sub(KEY_MAX_AGE_MARGIN.0)
    }

    /// Returns whether the list of endpoints is from before a stall and may be outdated.
    ///
    /// If the directory does not respond soon after the stall, the list is used as in any outage.
    pub fn is_list_outdated(&self, now: Instant) -> bool {
        let since_stall = now.since(self.stalls.resumed_at(now));
        since_stall < STALL_LIST_TIMEOUT && self.endpoints.age(now) > since_stall
    }

    /// Waits until the list of endpoints is not outdated by a stall.
    ///
    /// Endpoints that left during the stall have drained by the rules for a front that runs, so the
    /// first requests after it must not be sent there.
    pub async fn wait_for_list(&self) {
        while self.is_list_outdated(clock::now()) {
            tokio::time::sleep(STALL_LIST_POLL_INTERVAL).await;
        }
    }

    /// Waits until the list of endpoints is known to have been current at a time; returns whether it is.
    pub async fn wait_for_list_at(&self, at: Instant) -> bool {
        let end = clock::now().after(FRESH_LIST_TIMEOUT);
        while !self.endpoints.is_confirmed_at(at) {
            if clock::now() >= end {
                return false;
            }
            self.list_wanted.notify_one();
            tokio::time::sleep(STALL_LIST_POLL_INTERVAL).await;
        }
        true
    }

    /// Returns whether the front is ready for callers.
    pub fn is_ready(&self) -> bool {
        !self.stop.has_begun()
            && self.start_gate.is_open(clock::now())
            && self.endpoints.digest() != 0
            && self.config.table().is_some()
            && self.can_verify_keys(clock::now())
    }
}

/// Increments a counter for the lifetime of the guard.
#[derive(Debug)]
pub struct CounterGuard<'a> {
    count: &'a Cell<u32>,
}

impl<'a> CounterGuard<'a> {
    /// Increments the counter.
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
