//! Load reports to entries, and the status for operators.

use metrics::counter;
use serde_json::json;
use smallvec::SmallVec;

use sesamehaven::cache_view::CacheView;
use sesamehaven::config::{Endpoint, PoolKind};
use sesamehaven::gate::Gate;
use sesamehaven::id::{PoolName, RequestId};
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::message::{Load, Report};

use crate::agent::Agent;
use crate::clock;

/// Size of the summary of an engine's cache.
const SUMMARY_BYTES: usize = 512;

/// Interval between two summaries of an engine's cache.
const SUMMARY_INTERVAL: Millis = Millis(1_000);

/// An endpoint with its gate and health.
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    pub(crate) pool: PoolName,
    pub(crate) kind: PoolKind,
    pub(crate) gate: Gate,
    pub(crate) healthy: bool,
    /// Whether the endpoint has answered a call since its last crash.
    pub(crate) answered_since_crash: bool,
    /// Broken calls that await the crash check.
    pub(crate) unassessed: SmallVec<[RequestId; 4]>,
    /// Prompt prefixes assumed to be in the engine's cache.
    pub(crate) cache: CacheView,
    /// When the cache was last summarised for the entries.
    pub(crate) last_summary: Instant,
}

impl Agent {
    pub(crate) fn update_status(&self, now: Instant) {
        let endpoints = self.endpoints.values().map(|state| {
            let load = state.gate.load(now);
            json!({
                "endpoint": state.endpoint.name,
                "pool": state.pool,
                "healthy": state.healthy,
                "running": load.running,
                "queued": state.gate.queued(),
                "limit": load.limit,
                "prefill_rate": load.prefill_rate,
                "decode_rate": load.decode_rate,
            })
        });
        self.status.set_report(json!({
            "role": "agent",
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "generation": self.index.generation,
            "leaving": self.leaving,
            "vm": self.listing.as_str(),
            "links": self.links.len(),
            "requests": self.executions.len(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        }));
    }

    pub(crate) fn report(&mut self) {
        let now = clock::now();
        let load = |state: &mut EndpointState| Load {
            prefixes: state.summary(now),
            ..load_of(state, now)
        };
        let endpoints = self.endpoints.values_mut().map(load).collect();
        self.report_seq += 1;
        let report = Report {
            agent: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            seq: self.report_seq,
            address: self.link_address,
            generation: self.index.generation,
            leaving: self.leaving,
            endpoints,
        };
        if self.reports.try_send(report).is_err() {
            counter!("agent_reports_skipped_total").increment(1);
        }
    }
}

impl EndpointState {
    /// Returns a summary of the engine's cache if one is due, and otherwise
    /// nothing.
    pub(crate) fn summary(&mut self, now: Instant) -> bytes::Bytes {
        let is_due = now.since(self.last_summary) >= SUMMARY_INTERVAL;
        if self.kind == PoolKind::Service || !is_due {
            return bytes::Bytes::new();
        }
        self.last_summary = now;
        let summary = self.cache.summary(SUMMARY_BYTES);
        bytes::Bytes::copy_from_slice(summary.as_bytes())
    }
}

fn load_of(state: &EndpointState, now: Instant) -> Load {
    let load = state.gate.load(now);
    Load {
        endpoint: state.endpoint.name.clone(),
        pool: state.pool.clone(),
        healthy: state.healthy,
        running: load.running,
        queued: load.queued,
        admits: load.admits,
        prefill_rate: load.prefill_rate.0 as f32,
        decode_rate: load.decode_rate.0 as f32,
        limit: load.limit,
        prefixes: bytes::Bytes::new(),
    }
}
