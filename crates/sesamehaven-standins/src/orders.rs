//! Orders to an engine, with optional enforcement of fencing numbers.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::record::unix_ms;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the sender's lease.
    pub fence: u64,
    /// The kind: `load`, `unload` or `role`.
    pub kind: OrderKind,
    /// The model, adapter, version or role.
    pub name: SmolStr,
}

/// The kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model, adapter or version.
    Load,
    /// Unloads a model, adapter or version.
    Unload,
    /// Changes the role of the engine.
    Role,
}

/// The record of a received order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// Whether it was executed.
    pub accepted: bool,
    /// The time of receipt, in milliseconds since 1970.
    pub at_ms: f64,
}

/// The received orders of an engine and the models, adapters and versions they loaded.
#[derive(Debug, Default)]
pub struct Orders {
    enforces_fencing: bool,
    max_fence: u64,
    loaded: Vec<SmolStr>,
    records: Vec<OrderRecord>,
}

impl Orders {
    /// Builds an empty order log that enforces fencing numbers or ignores them.
    pub fn new(enforces_fencing: bool) -> Self {
        Orders {
            enforces_fencing,
            ..Orders::default()
        }
    }

    /// Records an order and executes it, unless fencing is enforced and its number is
    /// stale; returns whether it was executed.
    pub fn receive(&mut self, order: Order) -> bool {
        let accepted = !self.enforces_fencing || order.fence >= self.max_fence;
        self.max_fence = self.max_fence.max(order.fence);
        if accepted {
            self.execute(&order);
        }
        self.records.push(OrderRecord {
            order,
            accepted,
            at_ms: unix_ms(),
        });
        accepted
    }

    /// Returns the names of what is loaded.
    pub fn loaded(&self) -> &[SmolStr] {
        &self.loaded
    }

    /// Returns the records of all orders so far.
    pub fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    fn execute(&mut self, order: &Order) {
        match order.kind {
            OrderKind::Load if !self.loaded.contains(&order.name) => {
                self.loaded.push(order.name.clone());
            }
            OrderKind::Unload => self.loaded.retain(|name| *name != order.name),
            OrderKind::Load | OrderKind::Role => {}
        }
    }
}
