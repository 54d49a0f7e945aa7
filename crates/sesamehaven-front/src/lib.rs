//! An HTTP front that dispatches callers' requests directly to endpoints.
//!
//! It is used where every process can reach every endpoint and no agent runs beside the endpoints,
//! so that a front does the work of both entry and agent. The scheduling decisions are made by the crate
//! `sesamehaven`; this crate does their I/O. The formats that callers, endpoints and the directory
//! use are defined by a [`Protocol`](protocol::Protocol).
//!
//! The design is described in [`docs/FRONT.md`](../../../docs/FRONT.md).

mod admission;
mod announcements;
pub mod attempt;
pub mod body;
pub mod body_memory;
pub mod caller_stream;
pub mod clock;
pub mod connection_pool;
pub mod crash;
pub mod directory_cache;
pub mod error;
pub mod events;
pub mod failover;
pub mod failure;
pub mod front;
pub mod gossip;
mod headers;
pub mod in_flight;
pub mod job;
mod listen;
pub mod load;
pub mod logging;
pub mod origins;
pub mod peers;
pub mod pools;
pub mod protocol;
pub mod refresh;
pub mod relay;
pub mod rollouts;
pub mod routing_table;
pub mod run;
pub mod saved_versions;
pub mod serve;
pub mod settings;
pub mod shared_limits;
mod snapshot;
pub mod source;
pub mod start_gate;
pub mod stop;
pub mod unreadable;

pub use crate::error::{Error, Result};
