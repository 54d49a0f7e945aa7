//! Whether endpoints are there, and which requests they crash on.

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

/// How long after a broken call its endpoint is looked at.
const JUDGE_DELAY: Duration = Duration::from_millis(20);

/// How long a connection has to stay open for an endpoint not to count as crashed.
const JUDGE_OPEN: Duration = Duration::from_millis(30);

/// How long a connection has to stay open for a crashed endpoint to get work again.
const PROBE_OPEN: Duration = Duration::from_millis(200);

/// The pause between two tries to connect to an endpoint that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The notices that are sent at once.
const NOTICES_MAX: usize = 64;

/// An endpoint that answered a probe after it had been found unhealthy.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Recovered(EndpointName);

/// What a probe found out about an endpoint whose calls broke off.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Judge {
    name: EndpointName,
    answers: bool,
}

impl Agent {
    /// Looks shortly after a call broke off whether its endpoint has crashed.
    ///
    /// The entry has the end of the call only after the verdict, so that it
    /// knows of a crash before it may have the request run again.
    pub(crate) fn judge_later(
        &mut self,
        name: &EndpointName,
        id: RequestId,
        cx: &mut Context<Self>,
    ) {
        let Some(door) = self.doors.get_mut(name) else {
            return;
        };
        door.broken.push(id);
        if door.broken.len() > 1 {
            return;
        }
        let address = door.endpoint.address;
        let agent = cx.address();
        let name = name.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(JUDGE_DELAY).await;
            let answers = call::is_alive(address, JUDGE_OPEN).await;
            agent.do_send(Judge { name, answers });
        });
    }

    /// Decides whether calls broke off because their endpoint crashed.
    ///
    /// An endpoint that restarts at once is known by none of its calls going on.
    pub(crate) fn judge(&mut self, name: &EndpointName, answers: bool, cx: &mut Context<Self>) {
        let now = clock::now();
        let Some(door) = self.doors.get_mut(name) else {
            return;
        };
        let broken = std::mem::take(&mut door.broken);
        let crashed = !answers || door.gate.running() == 0;
        if crashed {
            let mut suspects: Vec<_> = door.gate.fingerprints().collect();
            let runs = broken.iter().filter_map(|id| self.runs.get(id));
            suspects.extend(runs.map(|run| run.fingerprint));
            // An endpoint that has not come back after a crash breaks off whatever
            // it is given; that tells against known suspects only.
            let proven = std::mem::take(&mut door.proven);
            suspects
                .retain(|f| proven || self.quarantine.status(*f, now) != QuarantineStatus::Clear);
            self.note_crash(name, &suspects, now);
        }
        for id in broken {
            self.conclude(id, End::Interrupted, now);
        }
        if crashed {
            // Until it answers again, calls that break off say nothing of their content.
            self.set_unhealthy(name, cx);
        }
    }

    pub(crate) fn note_crash(&mut self, name: &EndpointName, suspects: &[u64], now: Instant) {
        self.crashes += 1;
        counter!("agent_endpoint_crashes_total").increment(1);
        let crash = CrashId::new(name, self.incarnation, self.crashes);
        self.quarantine.on_crash(crash, suspects, now);
        self.spread_notices(now);
    }

    /// Tells the entries what has changed about requests near crashes.
    pub(crate) fn spread_notices(&mut self, now: Instant) {
        let notices = self.quarantine.take_changes(NOTICES_MAX, now);
        if notices.is_empty() {
            return;
        }
        for (_, tx) in self.links.values() {
            // An entry that misses this learns of it with the next link.
            let _ = tx.try_send(Frame::Notices(notices.clone()));
        }
    }

    /// Refuses work for an endpoint until it can be connected to again.
    pub(crate) fn set_unhealthy(&mut self, name: &EndpointName, cx: &mut Context<Self>) {
        let Some(door) = self.doors.get_mut(name) else {
            return;
        };
        if !door.healthy {
            return;
        }
        door.healthy = false;
        door.gate.set_health(false);
        door.cache.clear();
        counter!("agent_endpoint_losses_total").increment(1);
        warn!("endpoint {name} does not answer");
        let address = door.endpoint.address;
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

impl Handler<Judge> for Agent {
    type Result = ();

    fn handle(&mut self, Judge { name, answers }: Judge, cx: &mut Context<Self>) {
        self.judge(&name, answers, cx);
    }
}

impl Handler<Recovered> for Agent {
    type Result = ();

    fn handle(&mut self, Recovered(name): Recovered, _: &mut Context<Self>) {
        let Some(door) = self.doors.get_mut(&name) else {
            return;
        };
        door.healthy = true;
        door.gate.set_health(true);
        info!("endpoint {name} answers again");
    }
}
