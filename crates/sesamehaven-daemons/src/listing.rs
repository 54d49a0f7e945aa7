//! What the platform's list of VMs says about the agents' own VMs.
//!
//! Entries read the list, since they are few, and tell each agent about its VM.
//! The list lags, so an agent believes that its VM is leaving only after it has
//! seen it live in the same run; before that, the word may be about the VM that
//! had the name earlier.

use std::time::Duration;

use actix::{Addr, Handler, Message};
use metrics::counter;
use smol_str::SmolStr;
use tokio::sync::Notify;

use sesamehaven_wire::message::{Frame, VmState};

use crate::entry::Entry;
use crate::platform::{self, Platform};

/// How often an entry reads the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The agents' VMs as the platform lists them.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AgentsListed(pub Vec<(SmolStr, VmState)>);

/// Reads the list again and again for an entry.
pub async fn follow(platform: Platform, entry: Addr<Entry>) {
    loop {
        // During an outage agents go by their signals alone.
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

/// What an agent has been told about its VM.
#[derive(Debug, Default)]
pub struct OwnVmListing {
    last: Option<VmState>,
    seen_live: bool,
}

impl OwnVmListing {
    /// Takes an entry's word in; returns whether the agent has to leave.
    pub fn update(&mut self, state: VmState) -> bool {
        self.last = Some(state);
        self.seen_live |= state == VmState::Live;
        self.seen_live && state != VmState::Live
    }

    /// Returns the last word as operators read it.
    pub fn as_str(&self) -> Option<&'static str> {
        self.last.map(|state| match state {
            VmState::Live => "live",
            VmState::Leaving => "leaving",
            VmState::Gone => "gone",
        })
    }
}

/// Waits for SIGTERM, SIGINT or the word that the VM is leaving.
///
/// # Errors
///
/// Fails when the signals cannot be listened to.
pub async fn stop_requested(listed: &Notify) -> std::io::Result<()> {
    tokio::select! {
        signal = crate::drain::stop_requested() => signal,
        () = listed.notified() => Ok(()),
    }
}
