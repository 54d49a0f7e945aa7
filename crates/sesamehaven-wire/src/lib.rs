//! Messages and links between sesamehaven processes.
//!
//! Entries and agents exchange length-prefixed, postcard-encoded
//! [`Frame`](message::Frame)s over TCP, and agents send
//! [`Report`](message::Report)s over UDP. The protocol is described in
//! [`docs/LINK.md`](../../../docs/LINK.md).

pub mod auth;
mod chunked;
pub mod codec;
pub mod counter;
mod driver;
pub mod error;
pub mod guard;
mod handshake;
pub mod http1;
pub mod link;
pub mod message;
pub mod report;

pub use crate::auth::Psk;
pub use crate::error::{Error, Result};
pub use crate::link::{Identity, Link, LinkConfig, Sender, accept, connect};
pub use crate::report::{ReportReceiver, ReportSender};
