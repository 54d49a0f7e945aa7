//! Messages between entries and the homes of idempotency keys.
//!
//! The contents are the typed inputs and outputs of the dispatch guard, which
//! is described in [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use serde::{Deserialize, Serialize};

pub use sesamehaven::guard::{FromHome, ToHome};

/// The greatest number of messages in one frame.
pub const MAX_MESSAGES_PER_FRAME: usize = 32;

/// Messages of the dispatch guard in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardMessage {
    /// From an entry to an agent.
    ToHome(Vec<ToHome>),
    /// From an agent to an entry.
    FromHome(Vec<FromHome>),
}
