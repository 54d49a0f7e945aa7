//! The daemons `sesame-entry` and `sesame-agent` and the command `sesamectl`.
//!
//! The daemons are thin: they move bytes and time between the network and the
//! decisions of the library `sesamehaven`. [`entry`] takes callers' requests,
//! [`agent`] stands before endpoints.

pub mod admin;
pub mod clock;
pub mod logs;
pub mod ports;
pub mod settings;
//! sesamehaven-daemons

pub mod feed;
pub mod platform;
