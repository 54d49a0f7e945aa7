//! A harness that runs the real processes on loopback, with faults.
//!
//! A test builds a [`Fleet`]: the stand-in of the platform, stand-in engines
//! and services, entries and agents, each a process of its own with settings
//! in a temporary directory. Every process is killed when its guard is
//! dropped. Tests wait for conditions with [`wait::until`], never for a time.
//! The stand-ins are described in
//! [`docs/STANDINS.md`](../../../docs/STANDINS.md).

pub mod directory;
pub mod error;
pub mod fleet;
pub mod http;
pub mod measure;
pub mod member;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod sample;
pub mod settings;
pub mod wait;

pub use crate::error::{Error, Result};
pub use crate::fleet::Fleet;
pub use crate::http::Http;
pub use crate::process::Process;
