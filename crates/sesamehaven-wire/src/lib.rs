//! Messages and links between sesamehaven processes.
//!
//! Entries and agents exchange [`Frame`](message::Frame)s over TCP, encoded
//! with postcard and prefixed with their length, and agents send
//! [`Report`](message::Report)s over UDP. The link is described in
//! [`docs/LINK.md`](../../../docs/LINK.md).

pub mod auth;
mod chunked;
pub mod codec;
pub mod counter;
pub mod error;
pub mod guard;
mod handshake;
pub mod http1;
pub mod link;
pub mod message;
mod pump;
pub mod report;

pub use crate::auth::Psk;
pub use crate::error::{Error, Result};
pub use crate::link::{Identity, Link, LinkConfig, Sender, accept, connect};
pub use crate::report::{ReportReceiver, ReportSender};
