//! A library for programs that generate a sesamehaven configuration.
//!
//! An operator's program describes the fleet with a [`Builder`] and prints the
//! configuration. The output is deterministic and in a canonical order, so that it can
//! be reviewed and compared before `sesamectl apply` puts it in force. The fields are
//! described in
//! [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).
//!
//! # Example
//!
//! ```
//! use sesamehaven_config::{Builder, Repeat, digest_key};
//!
//! let mut b = Builder::new();
//! b.data_centre("aarhus").entry("entry-1").agent("agent-1");
//! b.model_pool("drafting");
//! b.endpoint("draft-1", "drafting", "agent-1", "10.0.0.7:8000").concurrency(8);
//! b.class("crew-brief", 0, Repeat::AtMostOnce, "20 s");
//! b.contract("crews", &["crew-brief"], &["drafting"]);
//! let digest = digest_key("a key that is long enough")?;
//! b.organisation("nordsyn", "crews").key_digest(&digest.to_string());
//!
//! let configuration = b.finish()?;
//! let text = sesamehaven_config::to_yaml(&configuration)?;
//! assert!(text.contains("crew-brief"));
//! # Ok::<(), sesamehaven_config::Error>(())
//! ```
//!
//! A complete program:
//!
//! ```no_run
//! use std::process::ExitCode;
//! use sesamehaven_config::Builder;
//!
//! fn describe(b: &mut Builder) {
//!     b.data_centre("aarhus").entry("entry-1");
//! }
//!
//! fn main() -> ExitCode {
//!     sesamehaven_config::print(describe)
//! }
//! ```

mod builder;
mod error;
mod fleet;
mod grants;
mod key;
mod text;

pub use crate::builder::Builder;
pub use crate::error::{Error, Result};
pub use crate::fleet::{DataCentreBuilder, EndpointBuilder, PoolBuilder};
pub use crate::grants::{ClassBuilder, ContractBuilder, OrganisationBuilder};
pub use crate::key::{KEY_MIN_CHARS, digest_key};
pub use crate::text::{from_yaml, print, to_yaml};
pub use sesamehaven::check::Finding;
pub use sesamehaven::config::{Configuration, Repeat};
