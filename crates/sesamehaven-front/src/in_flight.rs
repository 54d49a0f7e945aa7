//! The requests that are in flight at each endpoint, which are asked for a cause when it crashes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::part_quarantine::{PartIds, PoolId};
use sesamehaven::unit::{Instant, Millis};

/// A request that was sent to an endpoint.
#[derive(Debug)]
pub struct SentRequest {
    /// The id of the request.
    pub id: SmolStr,
    /// The digest that identifies the request in the quarantine.
    pub fingerprint: u64,
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The parts of its prompt that other requests may share.
    pub parts: PartIds,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the first event of the response, or the response, arrived.
    pub answered_at: Cell<Option<Instant>>,
    /// Whether it is known that the endpoint survived the beginning of the response.
    pub is_survived: Cell<bool>,
}

impl SentRequest {
    /// Returns whether the response began at least `span` ago.
    pub fn is_answered_for(&self, span: Millis, now: Instant) -> bool {
        let answered_at = self.answered_at.get();
        answered_at.is_some_and(|at| now.since(at) >= span)
    }
}

/// The requests at one endpoint.
pub type SentRequests = SmallVec<[Rc<SentRequest>; 8]>;

/// The requests in flight, by endpoint.
#[derive(Debug, Default)]
pub struct InFlight {
    requests: RefCell<HashMap<SmolStr, SentRequests>>,
}

impl InFlight {
    /// Records a request as in flight at an endpoint until the guard is dropped.
    pub fn track(self: &Rc<Self>, endpoint: &SmolStr, request: SentRequest) -> InFlightGuard {
        let request = Rc::new(request);
        let mut requests = self.requests.borrow_mut();
        let running = requests.entry(endpoint.clone()).or_default();
        running.push(Rc::clone(&request));
        InFlightGuard {
            in_flight: Rc::clone(self),
            endpoint: endpoint.clone(),
            request,
        }
    }

    /// Returns the requests in flight at an endpoint.
    pub fn at(&self, endpoint: &str) -> SentRequests {
        let requests = self.requests.borrow();
        requests.get(endpoint).cloned().unwrap_or_default()
    }
}

/// Keeps a request recorded as in flight at an endpoint.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Rc<InFlight>,
    endpoint: SmolStr,
    request: Rc<SentRequest>,
}

impl InFlightGuard {
    /// Returns the request.
    pub fn request(&self) -> &SentRequest {
        &self.request
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut requests = self.in_flight.requests.borrow_mut();
        let Some(running) = requests.get_mut(&self.endpoint) else {
            return;
        };
        running.retain(|r| !Rc::ptr_eq(r, &self.request));
        if running.is_empty() {
            requests.remove(&self.endpoint);
        }
    }
}
