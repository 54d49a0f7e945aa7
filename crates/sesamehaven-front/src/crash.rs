//! Telling an endpoint that crashed from one that broke off a connection.
//!
//! Endpoints break off connections for many reasons: they shed load, they are
//! faulty, the network resets them. Only when nothing listens at the address
//! any more did the process end, and what ran there may be to blame.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::quarantine::CrashId;
use sesamehaven_wire::http1::Error as WireError;

use crate::clock;
use crate::front::Front;
use crate::protocol::Protocol;

/// The pause before an endpoint is asked, since a process that ends closes its sockets one by one.
const PROBE_DELAY: Duration = Duration::from_millis(50);

impl<P: Protocol> Front<P> {
    /// Finds out whether an endpoint that broke off a request has crashed.
    ///
    /// If it has, the requests that ran there are marked in quarantine; if not,
    /// the connection that showed it serves the next request. An endpoint that
    /// sent something that is no answer is alive.
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
        let running = self.in_flight(endpoint);
        let (front, endpoint) = (Rc::clone(self), endpoint.clone());
        actix_rt::spawn(async move {
            tokio::time::sleep(PROBE_DELAY).await;
            front.probe(&endpoint, running).await;
            front.crash_probes.borrow_mut().retain(|e| *e != endpoint);
        });
    }

    async fn probe(&self, endpoint: &SmolStr, running: SmallVec<[u64; 8]>) {
        match self.connections.open(endpoint).await {
            Ok(conn) => self.connections.release_unused(endpoint, conn),
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                // An incarnation crashes once, so all processes number its crash alike.
                let crash = CrashId(hash_of(endpoint));
                let mut quarantine = self.quarantine.borrow_mut();
                quarantine.on_crash(crash, &running, clock::now());
                drop(quarantine);
                counter!("front_endpoint_crashes_total").increment(1);
                spdlog::warn!("endpoint crashed", kv: {
                    endpoint = endpoint.as_str(),
                    running = running.len()
                });
            }
            Err(err) => {
                spdlog::info!("endpoint not reached after it broke off", kv: {
                    endpoint = endpoint.as_str(),
                    reason = err.to_string()
                });
            }
        }
    }
}
