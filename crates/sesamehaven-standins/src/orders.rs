//! Orders to an engine, with or without a check of their fencing numbers.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::record::unix_ms;

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the sender's lease.
    pub fence: u64,
    /// `load`, `unload` or `role`.
    pub kind: OrderKind,
    /// The model, adapter, version or role.
    pub name: SmolStr,
}

/// The kinds of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Hold a model, adapter or version.
    Load,
    /// Hold it no more.
    Unload,
    /// Change the role.
    Role,
}

/// An order that was received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// Whether it was carried out.
    pub accepted: bool,
    /// When it came, in milliseconds since 1970.
    pub at_ms: f64,
}

/// The orders of an engine and what they brought about.
#[derive(Debug, Default)]
pub struct Orders {
    enforces_fencing: bool,
    greatest_fence: u64,
    loaded: Vec<SmolStr>,
    records: Vec<OrderRecord>,
}

impl Orders {
    /// Builds the state of an engine that checks fencing numbers, or ignores them.
    pub fn new(enforces_fencing: bool) -> Self {
        Orders {
            enforces_fencing,
            ..Orders::default()
        }
    }

    /// Takes an order; returns whether it was carried out.
    pub fn take(&mut self, order: Order) -> bool {
        let accepted = !self.enforces_fencing || order.fence >= self.greatest_fence;
        self.greatest_fence = self.greatest_fence.max(order.fence);
        if accepted {
            self.carry_out(&order);
        }
        self.records.push(OrderRecord {
            order,
            accepted,
            at_ms: unix_ms(),
        });
        accepted
    }

    /// Lists what is loaded.
    pub fn loaded(&self) -> &[SmolStr] {
        &self.loaded
    }

    /// Lists all orders so far.
    pub fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    fn carry_out(&mut self, order: &Order) {
        match order.kind {
            OrderKind::Load if !self.loaded.contains(&order.name) => {
                self.loaded.push(order.name.clone());
            }
            OrderKind::Unload => self.loaded.retain(|name| *name != order.name),
            OrderKind::Load | OrderKind::Role => {}
        }
    }
}
