//! Messages and links between sesamehaven processes.
//!
//! Entries and agents exchange [`Frame`](message::Frame)s over TCP, encoded
//! with postcard and prefixed with their length, and agents send
//! [`Report`](message::Report)s over UDP. The link is described in
//! [`docs/LINK.md`](../../../docs/LINK.md).

pub mod codec;
pub mod error;
pub mod guard;
pub mod message;

pub use crate::error::{Error, Result};
