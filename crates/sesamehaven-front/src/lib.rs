//! A front that takes callers' requests and dispatches them directly to endpoints.
//!
//! Where every process may reach every endpoint and none has a slot beside
//! them, a front is entry and gate in one. The decisions are those of the crate
//! `sesamehaven`; this crate is their I/O. How callers, endpoints and the
//! directory speak is left to a [`dialect`](dialect::Dialect).
//!
//! The design is described in [`docs/FRONT.md`](../../../docs/FRONT.md).

mod admission;
pub mod body;
pub mod clock;
pub mod connection_pool;
pub mod crash;
pub mod directory_cache;
pub mod error;
pub mod events;
pub mod failure;
pub mod front;
pub mod gossip;
mod headers;
pub mod job;
pub mod logging;
pub mod peers;
pub mod pools;
pub mod protocol;
pub mod refresh;
pub mod relay;
pub mod routing_table;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shared_limits;

pub use crate::error::{Error, Result};
