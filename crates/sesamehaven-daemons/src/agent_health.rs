//! Health checks of endpoints and detection of requests that crash them.

use std::time::Duration;

use actix::prelude::*;
use metrics::counter;
use spdlog::{info, warn};

use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::quarantine::{CrashId, QuarantineStatus};
use sesamehaven::unit::Instant;
use sesamehaven_wire::message::{End, Frame};

use crate::agent::Agent;
use crate::call;
use crate::clock;

/// Delay between a broken call and the check whether its endpoint crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Time for which a connection has to stay open for the endpoint not to count as
/// crashed.
const CRASH_CHECK_OPEN: Duration = Duration::from_millis(30);

/// Time for which a connection has to stay open for a crashed endpoint to get work
/// again.
const PROBE_OPEN: Duration = Duration::from_millis(200);

/// Delay between two probes of an unhealthy endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of quarantine notices in one frame.
const NOTICES_BATCH_MAX: usize = 64;

/// Reports that an unhealthy endpoint passed a probe.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Recovered(EndpointName);

/// Reports the result of the crash check of an endpoint whose calls broke off.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct CrashChecked {
    name: EndpointName,
    is_alive: bool,
}

impl Agent {
    /// Schedules a check whether an endpoint crashed when a call broke off.
    ///
    /// The end of the call is sent to the entry only after the check, so that the
    /// entry learns of a crash before it may retry the request.
    pub(crate) fn schedule_crash_check(
        &mut self,
        name: &EndpointName,
        id: RequestId,
        cx: &mut Context<Self>,
    ) {
        let Some(state) = self.endpoints.get_mut(name) else {
            return;
        };
        state.unassessed.push(id);
        if state.unassessed.len() > 1 {
            return;
        }
        let address = state.endpoint.address;
        let agent = cx.address();
        let name = name.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(CRASH_CHECK_DELAY).await;
            let is_alive = call::is_alive(address, CRASH_CHECK_OPEN).await;
            agent.do_send(CrashChecked { name, is_alive });
        });
    }

    /// Handles the result of a crash check.
    ///
    /// An endpoint that restarts immediately accepts connections again, but has no
    /// running calls left. Therefore an endpoint counts as crashed if it fails the
    /// check, or if none of its calls is running when the result arrives. The gate no
    /// longer counts the calls that broke off, so an endpoint that is alive counts as
    /// crashed as well if it has no other call by then.
    pub(crate) fn on_crash_check(
        &mut self,
        name: &EndpointName,
        is_alive: bool,
        cx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let Some(state) = self.endpoints.get_mut(name) else {
            return;
        };
        let broken = std::mem::take(&mut state.unassessed);
        let crashed = !is_alive || state.gate.running() == 0;
        if crashed {
            let mut suspects: Vec<_> = state.gate.fingerprints().collect();
            let executions = broken.iter().filter_map(|id| self.executions.get(id));
            suspects.extend(executions.map(|execution| execution.fingerprint));
            // An endpoint that has not recovered from a crash breaks off every
            // call, which is evidence only against requests that are already
            // suspects.
            let was_healthy = std::mem::take(&mut state.answered_since_crash);
            suspects.retain(|f| {
                was_healthy || self.quarantine.status(*f, now) != QuarantineStatus::Clear
            });
            self.record_crash(name, &suspects, &broken, !is_alive, now);
        }
        for id in broken {
            self.finish(id, End::Interrupted, now);
        }
        if crashed {
            self.set_unhealthy(name, cx);
        }
    }

    pub(crate) fn record_crash(
        &mut self,
        name: &EndpointName,
        suspects: &[u64],
        broken: &[RequestId],
        is_certain: bool,
        now: Instant,
    ) {
        self.crashes += 1;
        counter!("agent_endpoint_crashes_total").increment(1);
        let crash = CrashId::new(name, self.incarnation, self.crashes);
        let is_known = self.record_part_crash(crash, name, broken, now);
        match (is_known, is_certain) {
            (true, _) => {}
            (false, true) => self.quarantine.on_crash(crash, suspects, now),
            (false, false) => self.quarantine.on_likely_crash(crash, suspects, now),
        }
        self.broadcast_notices(now);
        self.broadcast_part_notices(now);
    }

    /// Sends changed quarantine notices to all linked entries.
    pub(crate) fn broadcast_notices(&mut self, now: Instant) {
        let notices = self.quarantine.take_changes(NOTICES_BATCH_MAX, now);
        if notices.is_empty() {
            return;
        }
        for (_, tx) in self.links.values() {
            // An entry that misses the notices gets a summary with its next link.
            let _ = tx.try_send(Frame::Notices(notices.clone()));
        }
    }

    /// Marks an endpoint as unhealthy, which refuses requests for it, and probes it
    /// until it keeps a connection open.
    pub(crate) fn set_unhealthy(&mut self, name: &EndpointName, cx: &mut Context<Self>) {
        let Some(state) = self.endpoints.get_mut(name) else {
            return;
        };
        if !state.healthy {
            return;
        }
        state.healthy = false;
        state.gate.set_health(false);
        state.cache.clear();
        counter!("agent_endpoint_losses_total").increment(1);
        warn!(
            "endpoint {name} crashed or is unreachable; refusing requests for it until it keeps a connection open"
        );
        let address = state.endpoint.address;
        let agent = cx.address();
        let name = name.clone();
        actix_rt::spawn(async move {
            while !call::is_alive(address, PROBE_OPEN).await {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
            agent.do_send(Recovered(name));
        });
    }
}

impl Handler<CrashChecked> for Agent {
    type Result = ();

    fn handle(&mut self, CrashChecked { name, is_alive }: CrashChecked, cx: &mut Context<Self>) {
        self.on_crash_check(&name, is_alive, cx);
    }
}

impl Handler<Recovered> for Agent {
    type Result = ();

    fn handle(&mut self, Recovered(name): Recovered, _: &mut Context<Self>) {
        let Some(state) = self.endpoints.get_mut(&name) else {
            return;
        };
        state.healthy = true;
        state.gate.set_health(true);
        info!("endpoint {name} is reachable again");
    }
}
