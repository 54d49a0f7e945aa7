//! The state of a front, which all of its tasks share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;

use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::quarantine::Quarantine;
use sesamehaven::retry_detector::RetryDetector;
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::dialect::Dialect;
use crate::hosts::Hosts;
use crate::journal::LineBudget;
use crate::knowledge::{Knowledge, Listed};
use crate::peers::Peers;
use crate::pools::Pools;
use crate::settings::Settings;
use crate::spending::Spending;

/// How long before the end of its trust a configuration stops vouching for keys.
const KEY_TRUST_MARGIN: Millis = Millis(250);

/// The state of a front.
#[derive(Debug)]
pub struct Front<D> {
    /// What the front was told at its start, or since.
    pub settings: RefCell<Settings>,
    /// The configuration in force.
    pub knowledge: Knowledge,
    /// The endpoints that the directory lists.
    pub listed: Listed,
    /// The queues and endpoints.
    pub pools: Rc<Pools>,
    /// The connections to endpoints.
    pub hosts: Hosts,
    /// The limits that all fronts keep together.
    pub spending: RefCell<Spending>,
    /// The other fronts.
    pub peers: RefCell<Peers>,
    /// When the other fronts were last told what changes slowly.
    pub told_all: Cell<Instant>,
    /// The patience of callers, by which requests that come back are known.
    pub patience: RefCell<RetryDetector>,
    /// The requests that crash endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// The endpoints that are being asked whether they crashed.
    pub(crate) suspects: RefCell<SmallVec<[SmolStr; 4]>>,
    /// The requests in flight, by endpoint, as fingerprints.
    flights: RefCell<HashMap<SmolStr, SmallVec<[u64; 8]>>>,
    /// Whether the front is about to leave.
    pub is_draining: Cell<bool>,
    /// The requests that are being served.
    pub active: Cell<u32>,
    /// The bytes of bodies held in memory.
    pub body_bytes: Cell<u64>,
    /// The bound of log lines about requests.
    pub lines: LineBudget,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Front<D> {
    /// Builds the state of a front that knows nothing yet.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let peers = Peers::new(settings.peers, incarnation, settings.seeds.clone());
        Front {
            knowledge: Knowledge::default(),
            listed: Listed::default(),
            pools: Rc::new(Pools::new(hash_of(settings.peers.to_string()))),
            hosts: Hosts::default(),
            spending: RefCell::new(Spending::default()),
            settings: RefCell::new(settings),
            peers: RefCell::new(peers),
            told_all: Cell::new(Instant(0)),
            patience: RefCell::default(),
            quarantine: RefCell::new(Quarantine::default()),
            suspects: RefCell::default(),
            flights: RefCell::new(HashMap::new()),
            is_draining: Cell::new(false),
            active: Cell::new(0),
            body_bytes: Cell::new(0),
            lines: LineBudget::default(),
            dialect: PhantomData,
        }
    }

    /// Returns whether the configuration is fresh enough to vouch for keys.
    pub fn vouches_for_keys(&self, now: Instant) -> bool {
        let trust = self.settings.borrow().bounds.key_trust.0;
        self.knowledge.age(now).0 < trust.saturating_sub(KEY_TRUST_MARGIN.0)
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining.get()
            && self.listed.digest() != 0
            && self.knowledge.table().is_some()
            && self.vouches_for_keys(clock::now())
    }

    /// Notes that a request is in flight at an endpoint, until the guard is dropped.
    pub fn fly(self: &Rc<Self>, endpoint: &SmolStr, fingerprint: u64) -> Flight<D> {
        let mut flights = self.flights.borrow_mut();
        flights
            .entry(endpoint.clone())
            .or_default()
            .push(fingerprint);
        Flight {
            front: Rc::clone(self),
            endpoint: endpoint.clone(),
            fingerprint,
        }
    }

    /// Lists the requests that are in flight at an endpoint, as fingerprints.
    pub fn in_flight(&self, endpoint: &str) -> SmallVec<[u64; 8]> {
        let flights = self.flights.borrow();
        flights.get(endpoint).cloned().unwrap_or_default()
    }
}

/// A request that is in flight at an endpoint.
#[derive(Debug)]
pub struct Flight<D: Dialect> {
    front: Rc<Front<D>>,
    endpoint: SmolStr,
    fingerprint: u64,
}

impl<D: Dialect> Drop for Flight<D> {
    fn drop(&mut self) {
        let mut flights = self.front.flights.borrow_mut();
        let Some(running) = flights.get_mut(&self.endpoint) else {
            return;
        };
        if let Some(at) = running.iter().position(|f| *f == self.fingerprint) {
            running.swap_remove(at);
        }
        if running.is_empty() {
            flights.remove(&self.endpoint);
        }
    }
}

/// Counts something for as long as it lives.
#[derive(Debug)]
pub struct Counted<'a> {
    count: &'a Cell<u32>,
}

impl<'a> Counted<'a> {
    /// Counts one more.
    pub fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Counted { count }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
