//! The history of the requests that an agent was offered.
//!
//! The dispatch guard asks an agent whether it may still dispatch a request. An agent
//! that has answered "no" must never dispatch it, even if the offer arrives later. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::{BTreeMap, HashMap};

use crate::id::RequestId;
use crate::unit::{Instant, Millis};

/// The retention period of individual requests.
const RETENTION: Millis = Millis(15 * 60 * 1000);
/// The maximum number of entry incarnations whose floors are kept.
const MAX_INCARNATIONS: usize = 4096;

/// The history of the requests that an agent was offered or asked about.
///
/// A request that was refused, withdrawn or asked about before its offer is never
/// accepted, however late the offer arrives. Recent requests are recorded individually;
/// older ones are covered by a floor for each entry incarnation, at or below which offers
/// are not accepted.
#[derive(Debug, Default)]
pub struct OfferHistory {
    recent: HashMap<RequestId, (bool, Instant)>,
    floors: BTreeMap<u128, u32>,
    evicted_up_to: Option<u128>,
}

/// Whether an offer may be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferCheck {
    /// The request is new.
    New,
    /// The request was accepted already, or may have been; the offer is not answered.
    Duplicate,
    /// The request was refused or asked about before and must not be accepted.
    Refused,
}

/// The status of a request at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferStatus {
    /// The request was accepted and has been, or may yet be, dispatched.
    Accepted,
    /// The request has not been dispatched and never will be.
    NeverDispatched,
    /// The request is older than the retention period and may have been dispatched.
    Forgotten,
}

impl OfferHistory {
    /// Decides whether an offer may be accepted, once for each request.
    ///
    /// Only [`OfferCheck::Refused`] may be answered as a refusal, since the entry may then
    /// offer the request elsewhere.
    pub fn try_accept(&mut self, req: RequestId, now: Instant) -> OfferCheck {
        match self.recent.get(&req) {
            Some((true, _)) => return OfferCheck::Duplicate,
            Some((false, _)) => return OfferCheck::Refused,
            None if self.is_below_floor(req) => return OfferCheck::Duplicate,
            None => {}
        }
        self.recent.insert(req, (true, now));
        OfferCheck::New
    }

    /// Records that a request was returned without being dispatched.
    pub fn refuse(&mut self, req: RequestId, now: Instant) {
        self.recent.insert(req, (false, now));
    }

    /// Returns whether a request is unknown, so that its offer may still arrive.
    pub fn is_new(&self, req: RequestId) -> bool {
        !self.recent.contains_key(&req) && !self.is_below_floor(req)
    }

    /// Returns the status of a request; one that was not accepted never will be.
    pub fn resolve(&mut self, req: RequestId, now: Instant) -> OfferStatus {
        if let Some((accepted, _)) = self.recent.get(&req) {
            return if *accepted {
                OfferStatus::Accepted
            } else {
                OfferStatus::NeverDispatched
            };
        }
        if self.is_below_floor(req) {
            return OfferStatus::Forgotten;
        }
        self.recent.insert(req, (false, now));
        OfferStatus::NeverDispatched
    }

    /// Evicts requests older than the retention period, except accepted ones that are still
    /// `running`.
    pub fn evict_expired(&mut self, now: Instant, running: impl Fn(RequestId) -> bool) {
        let floors = &mut self.floors;
        self.recent.retain(|req, (accepted, at)| {
            if now.since(*at) < RETENTION || (*accepted && running(*req)) {
                return true;
            }
            let (incarnation, count) = split(*req);
            let floor = floors.entry(incarnation).or_default();
            *floor = count.max(*floor);
            false
        });
        while self.floors.len() > MAX_INCARNATIONS {
            let earliest = self.floors.pop_first();
            self.evicted_up_to = earliest.map(|(incarnation, _)| incarnation);
        }
    }

    fn is_below_floor(&self, req: RequestId) -> bool {
        let (incarnation, count) = split(req);
        let is_evicted = self
            .evicted_up_to
            .is_some_and(|latest| incarnation <= latest);
        is_evicted
            || self
                .floors
                .get(&incarnation)
                .is_some_and(|floor| count <= *floor)
    }
}

/// Splits a request id into the entry incarnation and its request count.
fn split(req: RequestId) -> (u128, u32) {
    (req.0 >> u32::BITS, req.0 as u32)
}
