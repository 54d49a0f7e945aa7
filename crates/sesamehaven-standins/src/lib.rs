//! Stand-ins and tools for tests, demonstrations and measurements.
//!
//! The stand-ins replace the external systems that sesamehaven interacts with:
//! the platform, model engines and plain services. They implement the
//! interfaces in [`docs/INTERFACES.md`](../../../docs/INTERFACES.md), record
//! what they do and inject faults on request. They are described in
//! [`docs/STANDINS.md`](../../../docs/STANDINS.md). No product crate depends
//! on this one.

pub mod abort;
pub mod answer_check;
pub mod arrival;
pub mod batch;
pub mod caller;
pub mod check;
pub mod client;
pub mod completion;
pub mod engine;
pub mod engine_faults;
pub mod engine_routes;
pub mod engine_state;
pub mod error;
pub mod json_lines;
pub mod load;
pub mod load_history;
pub mod load_plan;
pub mod objects;
pub mod orders;
pub mod platform;
pub mod prefix_cache;
pub mod proxy;
pub mod proxy_routes;
pub mod proxy_tcp;
pub mod proxy_udp;
pub mod record;
pub mod request_record;
pub mod server;
pub mod service;
pub mod sse;
pub mod tally;
pub mod target;
pub mod vm;
pub mod weight_store;

pub use crate::error::{Error, Result};
