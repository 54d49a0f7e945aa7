//! Orders to endpoints: what they are to hold, and who may tell them so.
//!
//! Only the holder of an endpoint's lease gives orders, each with the lease's
//! fencing number. Some endpoints refuse old numbers; before those that ignore
//! them, a new holder waits until no order of an earlier one can still arrive.
//! See [`docs/ORDERS.md`](../../../docs/ORDERS.md).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Fencing;
use crate::lease::Fence;
use crate::unit::{Instant, Millis};

/// The longest time that an order may be under way, after which it is abandoned
/// and its connection closed.
pub const ORDER_TIMEOUT: Millis = Millis(5_000);
/// The shortest pause after an order that failed.
const RETRY_MIN: Millis = Millis(500);
/// The longest pause after orders that failed.
const RETRY_MAX: Millis = Millis(30_000);

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Holds a model or an adapter.
    Load,
    /// Drops one.
    Unload,
}

/// An order as an endpoint gets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The number of the lease under which it is given.
    pub fence: Fence,
    /// What it asks for.
    pub kind: Kind,
    /// The model or adapter.
    pub name: SmolStr,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The endpoint has done it.
    Done,
    /// The endpoint has had an order with a greater number.
    Outdated,
    /// It failed, or its end is not known.
    Failed,
}

/// What to do next for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing until then.
    Wait(Instant),
    /// Asks the weight store for leave to fetch, then reports it.
    Fetch(SmolStr),
    /// Gives the order, unless the lease lapses first.
    Give(Order),
    /// Everything is as it should be.
    Idle,
}

/// The orders of one endpoint, as one contender for its lease keeps them.
#[derive(Debug)]
pub struct Orders {
    fencing: Fencing,
    desired: BTreeSet<SmolStr>,
    held: BTreeSet<SmolStr>,
    fetched: BTreeSet<SmolStr>,
    fence: Option<Fence>,
    not_before: Instant,
    failures: u32,
    under_way: Option<Order>,
}

impl Orders {
    /// Builds the orders of an endpoint that holds nothing that is known.
    pub fn new(fencing: Fencing) -> Self {
        Orders {
            fencing,
            desired: BTreeSet::new(),
            held: BTreeSet::new(),
            fetched: BTreeSet::new(),
            fence: None,
            not_before: Instant(0),
            failures: 0,
            under_way: None,
        }
    }

    /// Takes what the configuration wants the endpoint to hold.
    pub fn desire(&mut self, names: impl IntoIterator<Item = SmolStr>) {
        self.desired = names.into_iter().collect();
    }

    /// Takes what the endpoint says that it holds, or nothing after it restarted.
    pub fn observe(&mut self, names: impl IntoIterator<Item = SmolStr>) {
        self.held = names.into_iter().collect();
    }

    /// Returns what to do, given the fencing number of the lease at this moment.
    pub fn next(&mut self, fence: Option<Fence>, now: Instant) -> Next {
        if fence != self.fence {
            self.change_holder(fence, now);
        }
        let Some(fence) = fence else {
            return Next::Wait(now.after(RETRY_MIN));
        };
        if self.under_way.is_some() || now < self.not_before {
            return Next::Wait(self.not_before);
        }
        if let Some(name) = self.held.difference(&self.desired).next().cloned() {
            return self.give(fence, Kind::Unload, name, now);
        }
        let Some(name) = self.desired.difference(&self.held).next().cloned() else {
            return Next::Idle;
        };
        match self.fetched.contains(&name) {
            true => self.give(fence, Kind::Load, name, now),
            false => Next::Fetch(name),
        }
    }

    /// Notes that the weight store allows to fetch a model or adapter.
    pub fn on_fetch(&mut self, name: SmolStr) {
        self.fetched.insert(name);
    }

    /// Notes that the weight store refused, with the time that it asks to wait.
    ///
    /// `jitter` is a random number from zero to one. Agents that are refused
    /// together come back spread over twice the time, so that they share the
    /// store's rate without knowing of each other.
    pub fn on_fetch_refused(&mut self, retry_after: Millis, jitter: f64, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let pause = self.backoff().0.max(retry_after.0) as f64;
        self.not_before = now.after(Millis((pause * (1.0 + jitter)) as u64));
    }

    /// Takes what came of the order that was given.
    pub fn on_answer(&mut self, order: &Order, answer: Answer, now: Instant) {
        if self.under_way.as_ref() != Some(order) {
            return;
        }
        self.under_way = None;
        self.not_before = now;
        match (answer, order.kind) {
            (Answer::Done, Kind::Load) => {
                self.failures = 0;
                self.held.insert(order.name.clone());
            }
            (Answer::Done, Kind::Unload) => {
                self.failures = 0;
                self.held.remove(&order.name);
            }
            (Answer::Outdated | Answer::Failed, _) => {
                self.failures = self.failures.saturating_add(1);
                self.not_before = now.after(self.backoff());
            }
        }
    }

    fn give(&mut self, fence: Fence, kind: Kind, name: SmolStr, now: Instant) -> Next {
        let order = Order { fence, kind, name };
        self.under_way = Some(order.clone());
        self.not_before = now.after(ORDER_TIMEOUT);
        Next::Give(order)
    }

    /// Starts anew under another number.
    ///
    /// What an earlier holder did last is not known, so everything is ordered
    /// again; loading what is held is harmless.
    fn change_holder(&mut self, fence: Option<Fence>, now: Instant) {
        let is_first = fence == Some(Fence(1));
        self.fence = fence;
        self.under_way = None;
        self.held.clear();
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
