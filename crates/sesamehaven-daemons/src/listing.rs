//! States of agents' VMs in the platform's VM list.
//!
//! Entries read the list, since they are few, and forward the state of its VM to
//! each agent. The list may be stale, so an agent acts on a leaving VM only after it
//! has seen its VM live in the same run; an earlier state may belong to a previous
//! VM of the same name.

use std::time::Duration;

use actix::{Addr, Handler, Message};
use metrics::counter;
use smol_str::SmolStr;
use tokio::sync::Notify;

use sesamehaven_wire::message::{Frame, VmState};

use crate::entry::Entry;
use crate::platform::{self, Platform};

/// Interval at which an entry reads the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Delivers the states of the agents' VMs in the platform's VM list.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AgentsListed(pub Vec<(SmolStr, VmState)>);

/// Reads the list periodically for an entry.
pub async fn poll_vm_list(platform: Platform, entry: Addr<Entry>) {
    loop {
        // During an outage of the platform, agents stop on signals only.
        if let Ok(vms) = platform.vms().await {
            let agents = vms.into_iter().filter(|vm| vm.role == "agent");
            let states = agents.map(|vm| (vm.name, state_of(vm.state)));
            entry.do_send(AgentsListed(states.collect()));
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

fn state_of(state: platform::VmState) -> VmState {
    match state {
        platform::VmState::Live => VmState::Live,
        platform::VmState::Leaving => VmState::Leaving,
        platform::VmState::Gone => VmState::Gone,
    }
}

impl Handler<AgentsListed> for Entry {
    type Result = ();

    fn handle(&mut self, AgentsListed(states): AgentsListed, _: &mut Self::Context) {
        for (name, state) in states {
            let mut peers = self.peers.iter();
            let peer = peers.find(|(agent, _)| agent.as_str() == name);
            let link = peer.and_then(|(_, peer)| peer.link.as_ref());
            if let Some((_, tx)) = link
                && tx.try_send(Frame::Listed(state)).is_err()
            {
                counter!("entry_frames_lost_total").increment(1);
            }
        }
    }
}

/// The listed state of an agent's own VM.
#[derive(Debug, Default)]
pub struct OwnVmListing {
    last: Option<VmState>,
    seen_live: bool,
}

impl OwnVmListing {
    /// Updates the listed state, and returns whether the agent has to drain.
    pub fn update(&mut self, state: VmState) -> bool {
        self.last = Some(state);
        self.seen_live |= state == VmState::Live;
        self.seen_live && state != VmState::Live
    }

    /// Returns the last listed state, as shown in the status.
    pub fn as_str(&self) -> Option<&'static str> {
        self.last.map(|state| match state {
            VmState::Live => "live",
            VmState::Leaving => "leaving",
            VmState::Gone => "gone",
        })
    }
}

/// Waits for SIGTERM, SIGINT or the notification that the VM is listed as leaving or
/// gone.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn stop_requested(listed: &Notify) -> std::io::Result<()> {
    tokio::select! {
        signal = crate::drain::stop_requested() => signal,
        () = listed.notified() => Ok(()),
    }
}
