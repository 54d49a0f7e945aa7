//! Messages between entries and the homes of idempotency keys.
//!
//! The contents are the typed inputs and outputs of the dispatch guard, which
//! is described in [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use serde::{Deserialize, Serialize};

pub use sesamehaven::guard::{FromHome, ToHome};

/// A message of the dispatch guard in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardMessage {
    /// From an entry to an agent.
    ToHome(ToHome),
    /// From an agent to an entry.
    FromHome(FromHome),
}
