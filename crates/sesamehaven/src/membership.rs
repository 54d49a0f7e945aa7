//! The membership of daemons, as seen by one process.
//!
//! Membership is derived from the daemons' own messages: hellos on links, reports
//! and notices of leaving. The platform's list of VMs lags and is only a hint: it
//! can show that a VM is permanently gone, but not that a daemon works. See
//! [`docs/MEMBERSHIP.md`](../../../docs/MEMBERSHIP.md).

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::guard::Run;
use crate::id::{DaemonName, Incarnation, PoolName};
use crate::key::WallTime;
use crate::unit::{Instant, Millis};

/// The time without messages after which a daemon is suspect.
pub const SUSPECT_AFTER: Millis = Millis(1_500);
/// The time without messages after which a daemon is lost.
pub const LOST_AFTER: Millis = Millis(3_000);
/// The maximum staleness of the platform's list of VMs.
pub const LIST_LAG: Millis = Millis(5 * 60 * 1000);
/// The retention period of a lost daemon, during which its earlier runs are recognised.
const MEMBER_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);

/// The health of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Messages arrive from it.
    Alive,
    /// It has missed heartbeats and gets work only if no other daemon can take it.
    Suspect,
    /// It accepts no new work and finishes running work.
    Leaving,
    /// It has timed out; it may merely be paused and return.
    Lost,
    /// The platform's list reports that its VM is permanently gone.
    Gone,
}

impl Health {
    /// Returns whether the daemon may receive new work.
    pub fn takes_work(self) -> bool {
        matches!(self, Health::Alive | Health::Suspect)
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Leaving => "leaving",
            Health::Lost => "lost",
            Health::Gone => "gone",
        })
    }
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM was live when the list was last updated.
    Live,
    /// The VM is about to be stopped.
    Leaving,
    /// The VM has been destroyed.
    Gone,
}

/// An event that affects the membership of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A hello, heartbeat or report from a run.
    Heartbeat(Run),
    /// A run no longer accepts new work.
    Leaving(Run),
    /// A row of the platform's list, which does not identify a run.
    Listed {
        /// The daemon of the VM.
        name: DaemonName,
        /// The listed state of the VM.
        state: VmState,
        /// The latest run that the row can refer to, see [`latest_listed`].
        upto: Incarnation,
    },
}

/// Returns the latest incarnation that a list read at `wall` can refer to.
///
/// A VM may be replaced by one of the same name, which a stale list still reports
/// as gone. A row is therefore never applied to a run younger than [`LIST_LAG`].
pub fn latest_listed(wall: WallTime) -> Incarnation {
    // Incarnations are in microseconds.
    Incarnation(wall.0.saturating_sub(LIST_LAG.0) * 1_000)
}

/// A membership change that the process must act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A run was seen for the first time; earlier runs of the daemon have ended.
    Started(Run),
    /// The health of a daemon's latest run changed.
    HealthChanged(Run, Health),
}

#[derive(Debug, Clone)]
struct Member {
    incarnation: Incarnation,
    last_heartbeat: Instant,
    leaving: bool,
    vm: Option<VmState>,
    health: Health,
}

impl Member {
    fn health_at(&self, now: Instant) -> Health {
        let silence = now.since(self.last_heartbeat);
        match self.vm {
            // A daemon that still sends messages is not gone, even if a stale list
            // reports so.
            Some(VmState::Gone) if silence >= LOST_AFTER => Health::Gone,
            _ if silence >= LOST_AFTER => Health::Lost,
            _ if self.leaving => Health::Leaving,
            Some(VmState::Leaving) => Health::Leaving,
            _ if silence >= SUSPECT_AFTER => Health::Suspect,
            _ => Health::Alive,
        }
    }
}

/// The daemons that one process is aware of.
///
/// # Example
///
/// ```
/// use sesamehaven::guard::Run;
/// use sesamehaven::id::Incarnation;
/// use sesamehaven::membership::{Event, Health, Membership};
/// use sesamehaven::unit::Instant;
///
/// let mut membership = Membership::default();
/// let run = Run {
///     name: "agent-7".parse()?,
///     incarnation: Incarnation(5),
/// };
/// membership.on_event(Event::Heartbeat(run.clone()), Instant(0));
/// assert_eq!(membership.health(&run.name), Some(Health::Alive));
///
/// membership.tick(Instant(3_000));
/// assert_eq!(membership.health(&run.name), Some(Health::Lost));
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<DaemonName, Member>,
    /// The latest incarnation that a row listing the VM as gone can refer to.
    gone: BTreeMap<DaemonName, Incarnation>,
}

impl Membership {
    /// Applies an event and returns the resulting changes.
    ///
    /// Events of a run that a later one has replaced have no effect.
    pub fn on_event(&mut self, event: Event, now: Instant) -> Vec<Change> {
        match event {
            Event::Heartbeat(run) => self.on_heartbeat(run, false, now),
            Event::Leaving(run) => self.on_heartbeat(run, true, now),
            Event::Listed { name, state, upto } => {
                self.on_listed(&name, state, upto);
                self.update(&name, now).into_iter().collect()
            }
        }
    }

    /// Updates the health of all daemons and removes those past their retention period.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let is_kept = |m: &Member| now.since(m.last_heartbeat) < MEMBER_RETENTION;
        self.members.retain(|_, m| is_kept(m));
        let names: Vec<DaemonName> = self.members.keys().cloned().collect();
        let changes = names.iter().filter_map(|name| self.update(name, now));
        changes.collect()
    }

    /// Returns the latest run of a daemon.
    pub fn latest_run(&self, name: &DaemonName) -> Option<Run> {
        let member = self.members.get(name)?;
        Some(Run {
            name: name.clone(),
            incarnation: member.incarnation,
        })
    }

    /// Returns the health of a daemon's latest run.
    pub fn health(&self, name: &DaemonName) -> Option<Health> {
        self.members.get(name).map(|m| m.health)
    }

    /// Returns whether a run has permanently ended, as opposed to timed out.
    pub fn has_ended(&self, run: &Run) -> bool {
        let is_listed_as_gone = self
            .gone
            .get(&run.name)
            .is_some_and(|i| run.incarnation <= *i);
        let Some(member) = self.members.get(&run.name) else {
            return is_listed_as_gone;
        };
        let is_superseded = run.incarnation < member.incarnation;
        is_superseded || member.health == Health::Gone
    }

    /// Returns an iterator over the daemons and their health, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&DaemonName, Health)> {
        self.members.iter().map(|(name, m)| (name, m.health))
    }

    /// Returns whether this process was paused since `last`, the time of its
    /// previous check, so that its view of other daemons is stale.
    ///
    /// After a pause, missing heartbeats are not evidence of a failure, since this
    /// process did not receive any messages. The timeouts of daemons that were not
    /// lost therefore restart at `now`.
    pub fn detect_pause(&mut self, last: Instant, now: Instant) -> bool {
        let was_paused = now.since(last) >= SUSPECT_AFTER;
        if was_paused {
            let alive = |m: &&mut Member| m.health.takes_work() || m.health == Health::Leaving;
            let members = self.members.values_mut();
            members.filter(alive).for_each(|m| m.last_heartbeat = now);
        }
        was_paused
    }

    fn on_listed(&mut self, name: &DaemonName, state: VmState, upto: Incarnation) {
        if state == VmState::Gone {
            self.gone.insert(name.clone(), upto);
        }
        if let Some(member) = self.members.get_mut(name)
            && member.incarnation <= upto
        {
            member.vm = Some(state);
        }
    }

    fn on_heartbeat(&mut self, run: Run, leaving: bool, now: Instant) -> Vec<Change> {
        let known = self.members.get(&run.name).map(|m| m.incarnation);
        if known.is_some_and(|known| run.incarnation < known) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if known != Some(run.incarnation) {
            let member = Member {
                incarnation: run.incarnation,
                last_heartbeat: now,
                leaving,
                vm: None,
                health: Health::Alive,
            };
            self.members.insert(run.name.clone(), member);
            changes.push(Change::Started(run.clone()));
        }
        if let Some(member) = self.members.get_mut(&run.name) {
            member.last_heartbeat = member.last_heartbeat.max(now);
            member.leaving |= leaving;
        }
        changes.extend(self.update(&run.name, now));
        changes
    }

    fn update(&mut self, name: &DaemonName, now: Instant) -> Option<Change> {
        let member = self.members.get_mut(name)?;
        let health = member.health_at(now);
        if health == member.health {
            return None;
        }
        member.health = health;
        let run = Run {
            name: name.clone(),
            incarnation: member.incarnation,
        };
        Some(Change::HealthChanged(run, health))
    }
}

/// Selects the agents of a pool that an entry works with, by rendezvous hashing.
///
/// Without such subsets, every entry of a large fleet would exchange reports with
/// every agent. Each entry selects `size` agents. Adding or removing an agent
/// affects only the entries that select it or selected it before.
pub fn select_agents<'a>(
    entry: &DaemonName,
    pool: &PoolName,
    agents: impl IntoIterator<Item = &'a DaemonName>,
    size: usize,
) -> Vec<&'a DaemonName> {
    let mut ranked: Vec<_> = agents
        .into_iter()
        .map(|a| (rank(entry, pool, a), a))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(size);
    ranked.into_iter().map(|(_, agent)| agent).collect()
}

fn rank(entry: &DaemonName, pool: &PoolName, agent: &DaemonName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for name in [entry.as_str(), pool.as_str(), agent.as_str()] {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    *hasher.finalize().as_bytes()
}
