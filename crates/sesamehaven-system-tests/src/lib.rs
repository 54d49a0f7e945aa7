//! A test harness that runs the real processes on loopback and injects faults.
//!
//! A test builds a [`Fleet`] of a platform stand-in, stand-in engines and
//! services, entries and agents. Each runs in its own process, with settings
//! in a temporary directory, and is killed when its guard is dropped. Tests
//! wait for conditions with [`wait::until`] instead of sleeping for a fixed
//! time. The stand-ins are described in
//! [`docs/STANDINS.md`](../../../docs/STANDINS.md).

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
pub mod temp_dir;
pub mod wait;

pub use crate::error::{Error, Result};
pub use crate::fleet::Fleet;
pub use crate::http::Http;
pub use crate::process::Process;
