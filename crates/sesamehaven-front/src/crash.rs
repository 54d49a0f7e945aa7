//! Detection of crashed endpoints after a dropped connection.
//!
//! Endpoints drop connections for many reasons: load shedding, faults, network resets. Only if
//! nothing listens at the address any more has the process ended, and one of the requests that it
//! was running may be the cause.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use metrics::{counter, gauge};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::part_quarantine::{PartId, RunAtCrash};
use sesamehaven::quarantine::CrashId;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::http1::Error as WireError;

use crate::clock;
use crate::front::Front;
use crate::in_flight::{SentRequest, SentRequests};
use crate::protocol::Protocol;

/// The delay before the probe, because an exiting process closes its sockets one by one.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// How long an endpoint must go on after the beginning of a response to have survived it.
const SURVIVAL_TIME: Millis = Millis(250);

/// An endpoint that dropped a connection.
struct BrokenEndpoint {
    endpoint: SmolStr,
    /// The requests that were in flight there.
    requests: SentRequests,
    at: Instant,
}

impl<P: Protocol> Front<P> {
    /// Probes an endpoint that dropped a connection, to find out whether it crashed.
    ///
    /// If the endpoint refuses the connection, it has crashed, and the requests that were running
    /// there are marked in the quarantine. If it accepts the connection, this is kept for the next
    /// request; any other failure is only logged. An endpoint that sent a malformed response is alive
    /// and is not probed.
    pub fn probe_for_crash(self: &Rc<Self>, endpoint: &SmolStr, err: &WireError) {
        if err.is_malformed() {
            return;
        }
        let mut probes = self.crash_probes.borrow_mut();
        if probes.contains(endpoint) {
            return;
        }
        probes.push(endpoint.clone());
        drop(probes);
        let broken = BrokenEndpoint {
            endpoint: endpoint.clone(),
            requests: self.in_flight.at(endpoint),
            at: clock::now(),
        };
        let front = Rc::clone(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(PROBE_DELAY).await;
            front.probe(&broken).await;
            let mut probes = front.crash_probes.borrow_mut();
            probes.retain(|e| *e != broken.endpoint);
        });
    }

    async fn probe(&self, broken: &BrokenEndpoint) {
        let endpoint = &broken.endpoint;
        match self.connections.open(endpoint).await {
            Ok(conn) => self.connections.release_unused(endpoint, conn),
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => self.on_crash(broken),
            Err(err) => {
                spdlog::info!("crash probe failed to reach endpoint", kv: {
                    endpoint = endpoint.as_str(),
                    reason = err.to_string()
                });
            }
        }
    }

    fn on_crash(&self, broken: &BrokenEndpoint) {
        let BrokenEndpoint {
            endpoint,
            requests,
            at,
        } = broken;
        counter!("front_endpoint_crashes_total").increment(1);
        // All processes derive the same id for the crash of an incarnation.
        let started_at = self.endpoints.started_at(endpoint).unwrap_or_default();
        let crash = CrashId(hash_of(format!("{endpoint}/{started_at}")));
        let quarantine = self.part_quarantine.borrow();
        let is_culprit = |r: &&Rc<SentRequest>| quarantine.culprit(&r.parts).is_some();
        let culprits: SentRequests = requests.iter().filter(is_culprit).cloned().collect();
        drop(quarantine);
        self.quarantine_parts(crash, requests, *at);
        let mut quarantine = self.quarantine.borrow_mut();
        if culprits.is_empty() {
            let fingerprints: SmallVec<[u64; 8]> = requests.iter().map(|r| r.fingerprint).collect();
            quarantine.on_crash(crash, &fingerprints, clock::now());
        }
        spdlog::warn!("endpoint crashed", kv: {
            endpoint = endpoint.as_str(),
            running = requests.len(),
            known_culprits = culprits.len(),
            records = quarantine.len()
        });
        drop(quarantine);
        self.log_running(endpoint, requests, *at);
    }

    /// Holds a crash against the parts of the prompts that had no answer yet, or only just.
    fn quarantine_parts(&self, crash: CrashId, requests: &SentRequests, at: Instant) {
        let pool = requests.first().map(|r| r.pool);
        let unanswered = requests
            .iter()
            .filter(|r| !r.is_answered_for(SURVIVAL_TIME, at));
        let runs: SmallVec<[RunAtCrash; 8]> = unanswered
            .map(|r| RunAtCrash {
                parts: r.parts.clone(),
                sent_at: r.sent_at,
                has_begun: r.answered_at.get().is_some(),
            })
            .collect();
        let mut quarantine = self.part_quarantine.borrow_mut();
        let quarantined = quarantine.on_crash(crash, pool.unwrap_or_default(), &runs, at);
        drop(quarantine);
        self.on_quarantined(&quarantined, "own evidence");
    }

    /// Acts on parts that are in quarantine from now on: the crashes that they explain are held
    /// against no other request.
    pub(crate) fn on_quarantined(&self, parts: &[PartId], source: &str) {
        let part_quarantine = self.part_quarantine.borrow();
        gauge!("front_quarantined_parts").set(part_quarantine.quarantined() as f64);
        for part in parts {
            let crashes = part_quarantine.explained_crashes(*part);
            self.quarantine.borrow_mut().on_explained(&crashes);
            spdlog::warn!("part quarantined", kv: {
                part = format!("{:016x}", part.0),
                crashes = crashes.len(),
                source
            });
        }
    }

    /// Returns whether prompts with these parts crash endpoints.
    pub fn is_quarantined(&self, parts: &[PartId]) -> bool {
        self.part_quarantine.borrow().culprit(parts).is_some()
    }

    /// Records that an endpoint has begun to answer a request.
    pub(crate) fn record_begun(&self, request: &SentRequest) {
        if request.answered_at.get().is_some() {
            return;
        }
        let now = clock::now();
        request.answered_at.set(Some(now));
        let mut quarantine = self.part_quarantine.borrow_mut();
        quarantine.on_begun(request.pool, &request.parts, now);
    }

    /// Records that an endpoint survived a request, once its response has lasted long enough.
    pub(crate) fn check_survival(&self, request: &SentRequest) {
        if !request.is_survived.get() && request.is_answered_for(SURVIVAL_TIME, clock::now()) {
            self.record_survival(request);
        }
    }

    /// Records that an endpoint survived a request.
    pub(crate) fn record_survival(&self, request: &SentRequest) {
        let Some(began_at) = request.answered_at.get() else {
            return;
        };
        if request.is_survived.replace(true) {
            return;
        }
        let now = clock::now();
        let mut quarantine = self.part_quarantine.borrow_mut();
        let before = quarantine.quarantined();
        let quarantined = quarantine.on_survived(request.pool, &request.parts, began_at, now);
        let has_changed = quarantine.quarantined() != before;
        drop(quarantine);
        if has_changed {
            self.on_quarantined(&quarantined, "answers to other prompts");
        }
    }

    /// Logs the requests that were running at a crashed endpoint.
    fn log_running(&self, endpoint: &str, running: &SentRequests, now: Instant) {
        for request in running {
            if !self.log_limiter.try_acquire(now) {
                return;
            }
            let parts: SmallVec<[String; 4]> = request
                .parts
                .iter()
                .map(|p| format!("{:016x}", p.0))
                .collect();
            let answered_at = request.answered_at.get();
            spdlog::info!("request at crash", kv: {
                id = request.id.as_str(),
                endpoint,
                fingerprint = format!("{:016x}", request.fingerprint),
                parts = parts.join(","),
                ran_ms = now.since(request.sent_at).0,
                answer_ms = answered_at.map_or(0, |at| now.since(at).0)
            });
        }
    }
}
