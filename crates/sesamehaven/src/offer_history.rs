//! What an agent remembers of the requests that it was offered.
//!
//! The dispatch guard asks an agent whether it may still dispatch a request;
//! the answer "no" has to hold for ever, also when the offer comes late. See
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::collections::{BTreeMap, HashMap};

use crate::id::RequestId;
use crate::unit::{Instant, Millis};

/// How long a request is remembered one by one.
const RETENTION: Millis = Millis(15 * 60 * 1000);
/// The greatest number of runs of entries whose floors are kept.
const MAX_RUNS: usize = 4096;

/// What an agent remembers of the requests that it was offered or asked about.
///
/// A request that was refused, withdrawn or asked about before it was offered
/// is never taken, however late its offer comes. Those of the last minutes are
/// kept one by one; older ones are covered by a floor for each run of an entry,
/// below which offers are refused.
#[derive(Debug, Default)]
pub struct OfferHistory {
    recent: HashMap<RequestId, (bool, Instant)>,
    floors: BTreeMap<u128, u32>,
    forgotten: Option<u128>,
}

/// Whether an offer may be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferCheck {
    /// The request is new.
    New,
    /// The request is, or may be, taken already; the offer is not answered.
    Duplicate,
    /// The request was refused or asked about before and never will be taken.
    Refused,
}

/// What became of a request at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferStatus {
    /// It was taken and has been, or may yet be, dispatched.
    Taken,
    /// It was not dispatched and never will be.
    NeverDispatched,
    /// It is of long ago and may have been dispatched.
    Forgotten,
}

impl OfferHistory {
    /// Decides whether an offer may be taken, once for each request.
    ///
    /// Only [`OfferCheck::Refused`] may be answered as a refusal: the entry takes a
    /// refusal as leave to offer the request elsewhere.
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

    /// Notes that a request was handed back before it was dispatched.
    pub fn refuse(&mut self, req: RequestId, now: Instant) {
        self.recent.insert(req, (false, now));
    }

    /// Returns whether nothing is known of a request, so that its offer may yet come.
    pub fn is_new(&self, req: RequestId) -> bool {
        !self.recent.contains_key(&req) && !self.is_below_floor(req)
    }

    /// Tells what became of a request; one that is not taken never will be.
    pub fn resolve(&mut self, req: RequestId, now: Instant) -> OfferStatus {
        if let Some((taken, _)) = self.recent.get(&req) {
            return if *taken {
                OfferStatus::Taken
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

    /// Forgets requests of long ago; `running` tells which ones to keep.
    pub fn evict_expired(&mut self, now: Instant, running: impl Fn(RequestId) -> bool) {
        let floors = &mut self.floors;
        self.recent.retain(|req, (taken, at)| {
            if now.since(*at) < RETENTION || (*taken && running(*req)) {
                return true;
            }
            let (run, count) = split(*req);
            let floor = floors.entry(run).or_default();
            *floor = count.max(*floor);
            false
        });
        while self.floors.len() > MAX_RUNS {
            let earliest = self.floors.pop_first();
            self.forgotten = earliest.map(|(run, _)| run);
        }
    }

    fn is_below_floor(&self, req: RequestId) -> bool {
        let (run, count) = split(req);
        let is_forgotten = self.forgotten.is_some_and(|latest| run <= latest);
        is_forgotten || self.floors.get(&run).is_some_and(|floor| count <= *floor)
    }
}

/// Splits a request's id into the run of its entry and its count there.
fn split(req: RequestId) -> (u128, u32) {
    (req.0 >> u32::BITS, req.0 as u32)
}
