//! The daemons `sesame-entry` and `sesame-agent`, and the command-line tool
//! `sesamectl`.
//!
//! The daemons perform network I/O and read the clock; scheduling decisions are
//! made by the `sesamehaven` library. [`entry`] accepts callers' requests and
//! routes them to agents; [`agent`] admits requests to the endpoints of its VM.

mod active;
pub mod admin;
pub mod agent;
mod agent_calls;
mod agent_health;
pub mod agent_main;
mod agent_offers;
mod agent_report;
mod agent_sweep;
pub mod call;
pub mod caller;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod ctl;
mod ctl_apply;
mod ctl_burn_html;
mod ctl_explain;
mod ctl_history;
mod ctl_options;
mod ctl_plan;
pub mod ctl_report;
mod ctl_status;
mod ctl_store;
pub mod drain;
pub mod endpoint_client;
pub mod entry;
pub mod entry_http;
pub mod entry_main;
pub mod entry_peers;
mod entry_replies;
mod entry_routing;
pub mod execution;
pub mod feed;
mod feed_cache;
pub mod feed_link;
mod feed_peer;
mod feed_read;
pub mod fields;
pub mod header;
pub mod homes;
mod key_waits;
pub mod keys;
mod list;
pub mod listing;
pub mod logs;
mod part_notices;
pub mod peer;
pub mod platform;
mod platform_error;
pub mod ports;
pub mod reload;
pub mod reply;
pub mod request;
pub mod settings;
mod settings_build;
mod slo;
pub mod strict_eof;
pub mod timeline;
pub mod trace;
