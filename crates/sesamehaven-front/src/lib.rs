//! A front that takes callers' requests and dispatches them directly to endpoints.
//!
//! Where every process may reach every endpoint and none has a slot beside
//! them, a front is entry and gate in one. The decisions are those of the crate
//! `sesamehaven`; this crate is their I/O. How callers, endpoints and the
//! directory speak is left to a [`dialect`](dialect::Dialect).
//!
//! The design is described in [`docs/FRONT.md`](../../../docs/FRONT.md).

mod admit;
pub mod body;
pub mod clock;
pub mod crash;
pub mod dialect;
pub mod error;
pub mod events;
pub mod front;
pub mod gossip;
mod headers;
pub mod hosts;
pub mod job;
pub mod journal;
pub mod knowledge;
pub mod peers;
pub mod pools;
pub mod refresh;
pub mod relay;
pub mod reply;
pub mod run;
pub mod serve;
pub mod settings;
pub mod spending;
pub mod table;

pub use crate::error::{Error, Result};
