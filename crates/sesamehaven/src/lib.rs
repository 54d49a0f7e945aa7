//! The decision logic of the sesamehaven request scheduler, as pure state machines.
//!
//! All results depend only on state, event and time: no module reads a clock, opens
//! a socket or spawns a task. The daemons, the differential tests and the benchmarks
//! share this code, and other programs can embed individual modules.
//!
//! The design is described in
//! [`docs/ARCHITECTURE.md`](../../../docs/ARCHITECTURE.md).

mod active_view;
pub mod announcement;
pub mod answer_buffer;
mod answered_parts;
pub mod backlog;
pub mod backoff;
pub mod bloom;
pub mod burn;
pub mod cache_view;
mod candidate_choice;
mod capacity;
pub mod change_log;
pub mod check;
mod check_grants;
pub mod claim;
pub mod config;
mod crash_evidence;
pub mod delivery;
pub mod digest;
mod dispatched_run;
pub mod dispatcher;
pub mod election;
pub mod endpoint_limits;
pub mod endpoint_load;
mod endpoint_score;
pub mod endpoint_silence;
mod endpoint_state;
pub mod error;
pub mod estimate;
mod event_pace;
pub mod exposure;
pub mod fair;
pub mod forecast;
pub mod gate;
pub mod grace;
pub mod grant_history;
pub mod guard;
pub mod home;
pub mod id;
pub mod job;
pub mod key;
pub mod lease;
pub mod ledger;
pub mod lifecycle;
pub mod limit;
pub mod limit_use;
mod lru;
pub mod membership;
pub mod offer;
pub mod offer_history;
pub mod order;
pub mod outage;
pub mod outcome;
mod part_id;
mod part_notice;
pub mod part_quarantine;
pub mod parts;
mod peer_tracker;
pub mod placement;
pub mod plan;
mod pool_endpoint;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod quota;
mod refusal;
pub mod request_rate;
pub mod restore;
pub mod retry;
pub mod retry_detector;
pub mod rollout;
mod rollout_comparison;
pub mod rollout_evidence;
pub mod rollout_judge;
mod rollout_traffic;
mod roster;
pub mod router;
pub mod running;
mod session_table;
pub mod shared_limit;
pub mod shared_retry_budget;
mod sliding_window;
mod slot_state;
mod slow_endpoint;
pub mod software_version;
mod step;
pub mod stream_origin;
pub mod tier;
pub mod unit;
mod wait_limits;
mod work;

pub use crate::error::{Error, Result};
pub use crate::tier::Tier;
