//! Messages between entries and the homes of idempotency keys.
//!
//! The home of a key is the agent that grants the key to at most one request. The
//! messages are inputs and outputs of the dispatch guard, which is described in
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use serde::{Deserialize, Serialize};

pub use sesamehaven::guard::{FromHome, ToHome};

/// The maximum number of messages in one frame.
pub const MAX_MESSAGES_PER_FRAME: usize = 32;

/// A batch of dispatch guard messages in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardMessage {
    /// Messages from an entry to an agent that is the home of the keys.
    ToHome(Vec<ToHome>),
    /// Messages from an agent that is the home of the keys to an entry.
    FromHome(Vec<FromHome>),
}
