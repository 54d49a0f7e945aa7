//! Orders to endpoints to load and unload models and adapters.
//!
//! Only the holder of an endpoint's lease sends orders, each with the lease's
//! fencing token. Some endpoints reject stale tokens. For endpoints that ignore
//! tokens, a new holder waits until no order of an earlier holder can still arrive.
//! See [`docs/ORDERS.md`](../../../docs/ORDERS.md).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Fencing;
use crate::lease::Fence;
use crate::unit::{Instant, Millis};

/// The timeout of an order, after which it is abandoned and its connection closed.
pub const ORDER_TIMEOUT: Millis = Millis(5_000);
/// The minimum backoff after a failed order.
const RETRY_MIN: Millis = Millis(500);
/// The maximum backoff after failed orders.
const RETRY_MAX: Millis = Millis(30_000);

/// The kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// An order as sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the lease under which the order is sent.
    pub fence: Fence,
    /// The kind of the order.
    pub kind: Kind,
    /// The model or adapter.
    pub name: SmolStr,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderResult {
    /// The endpoint executed the order.
    Done,
    /// The endpoint has already received an order with a higher fencing token.
    Fenced,
    /// The order failed, or its result is unknown.
    Failed,
}

/// The next step for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Wait until the given time.
    Wait(Instant),
    /// Request permission from the weight store to fetch, then report the result.
    Fetch(SmolStr),
    /// Send the order, unless the lease expires first.
    Send(Order),
    /// The endpoint holds exactly the desired models and adapters.
    Idle,
}

/// The order state of one endpoint, as tracked by one contender for its lease.
#[derive(Debug)]
pub struct Orders {
    fencing: Fencing,
    desired: BTreeSet<SmolStr>,
    loaded: BTreeSet<SmolStr>,
    fetch_granted: BTreeSet<SmolStr>,
    fence: Option<Fence>,
    not_before: Instant,
    failures: u32,
    in_flight: Option<Order>,
}

impl Orders {
    /// Creates the state of an endpoint whose contents are unknown.
    pub fn new(fencing: Fencing) -> Self {
        Orders {
            fencing,
            desired: BTreeSet::new(),
            loaded: BTreeSet::new(),
            fetch_granted: BTreeSet::new(),
            fence: None,
            not_before: Instant(0),
            failures: 0,
            in_flight: None,
        }
    }

    /// Sets the models and adapters that the configuration assigns to the endpoint.
    pub fn set_desired(&mut self, names: impl IntoIterator<Item = SmolStr>) {
        self.desired = names.into_iter().collect();
    }

    /// Sets the models and adapters that the endpoint reports as loaded; none after
    /// a restart.
    pub fn set_loaded(&mut self, names: impl IntoIterator<Item = SmolStr>) {
        self.loaded = names.into_iter().collect();
    }

    /// Returns the next step, given the current fencing token of the lease.
    pub fn next(&mut self, fence: Option<Fence>, now: Instant) -> Next {
        if fence != self.fence {
            self.reset(fence, now);
        }
        let Some(fence) = fence else {
            return Next::Wait(now.after(RETRY_MIN));
        };
        if self.in_flight.is_some() || now < self.not_before {
            return Next::Wait(self.not_before);
        }
        if let Some(name) = self.loaded.difference(&self.desired).next().cloned() {
            return self.send(fence, Kind::Unload, name, now);
        }
        let Some(name) = self.desired.difference(&self.loaded).next().cloned() else {
            return Next::Idle;
        };
        match self.fetch_granted.contains(&name) {
            true => self.send(fence, Kind::Load, name, now),
            false => Next::Fetch(name),
        }
    }

    /// Records that the weight store granted the fetch of a model or adapter.
    pub fn on_fetch_granted(&mut self, name: SmolStr) {
        self.fetch_granted.insert(name);
    }

    /// Records that the weight store refused a fetch, with the delay that it requested.
    ///
    /// `jitter` is a random number from zero to one. It stretches the delay up to
    /// twofold, so that agents refused together share the store's rate without
    /// coordination.
    pub fn on_fetch_refused(&mut self, retry_after: Millis, jitter: f64, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let pause = self.backoff().0.max(retry_after.0) as f64;
        self.not_before = now.after(Millis((pause * (1.0 + jitter)) as u64));
    }

    /// Handles the result of the order in flight.
    pub fn on_result(&mut self, order: &Order, result: OrderResult, now: Instant) {
        if self.in_flight.as_ref() != Some(order) {
            return;
        }
        self.in_flight = None;
        self.not_before = now;
        match (result, order.kind) {
            (OrderResult::Done, Kind::Load) => {
                self.failures = 0;
                self.loaded.insert(order.name.clone());
            }
            (OrderResult::Done, Kind::Unload) => {
                self.failures = 0;
                self.loaded.remove(&order.name);
            }
            (OrderResult::Fenced | OrderResult::Failed, _) => {
                self.failures = self.failures.saturating_add(1);
                self.not_before = now.after(self.backoff());
            }
        }
    }

    fn send(&mut self, fence: Fence, kind: Kind, name: SmolStr, now: Instant) -> Next {
        let order = Order { fence, kind, name };
        self.in_flight = Some(order.clone());
        self.not_before = now.after(ORDER_TIMEOUT);
        Next::Send(order)
    }

    /// Resets the state under a new fencing token.
    ///
    /// The last orders of an earlier holder are unknown, so everything is ordered
    /// again. Loading a model that is already loaded is harmless.
    fn reset(&mut self, fence: Option<Fence>, now: Instant) {
        // Token 1 is the first, so no orders of an earlier holder can be in flight.
        let is_first = fence == Some(Fence(1));
        self.fence = fence;
        self.in_flight = None;
        self.loaded.clear();
        self.failures = 0;
        self.not_before = match self.fencing {
            Fencing::Ignored if !is_first => now.after(ORDER_TIMEOUT),
            Fencing::Ignored | Fencing::Checked => now,
        };
    }

    fn backoff(&self) -> Millis {
        let doublings = self.failures.saturating_sub(1).min(8);
        Millis((RETRY_MIN.0 << doublings).min(RETRY_MAX.0))
    }
}
