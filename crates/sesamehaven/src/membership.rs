//! Which daemons are there, as one process sees it.
//!
//! The view is made from what the daemons say themselves: hellos on links,
//! reports and the notice that one is leaving. The platform's list of VMs lags,
//! so it is a hint only: it can say that a VM is gone for good, but not that a
//! daemon works. See [`docs/MEMBERSHIP.md`](../../../docs/MEMBERSHIP.md).

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::guard::Run;
use crate::id::{DaemonName, Incarnation, PoolName};
use crate::key::WallTime;
use crate::unit::{Instant, Millis};

/// How long a daemon may be silent before it counts as suspect.
pub const SUSPECT_AFTER: Millis = Millis(1_500);
/// How long a daemon may be silent before it counts as lost.
pub const LOST_AFTER: Millis = Millis(3_000);
/// How far the platform's list may lag behind what has happened to VMs.
pub const LIST_LAG: Millis = Millis(5 * 60 * 1000);
/// How long a lost daemon is remembered, so that an old run of it is known.
const FORGET_AFTER: Millis = Millis(24 * 60 * 60 * 1000);

/// How a daemon is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It speaks.
    Alive,
    /// It has missed heartbeats and gets work only when no other one can.
    Suspect,
    /// It takes no new work and finishes what runs.
    Leaving,
    /// It has been silent for too long; it may be paused and come back.
    Lost,
    /// The platform's list says that its VM is gone for good.
    Gone,
}

impl Health {
    /// Returns whether new work may be given to it.
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

/// What the platform's list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM is live, as of some time ago.
    Live,
    /// The VM is going to be stopped.
    Leaving,
    /// The VM has been destroyed.
    Gone,
}

/// Something that was heard of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News {
    /// A hello, heartbeat or report of a run.
    Heard(Run),
    /// A run takes no new work any more.
    Leaving(Run),
    /// A row of the platform's list, which names no run.
    Listed {
        /// The daemon of the VM.
        name: DaemonName,
        /// What the list says.
        state: VmState,
        /// The latest run that it can be about, see [`latest_listed`].
        upto: Incarnation,
    },
}

/// Returns the latest run that a list read at `wall` can be about.
///
/// A VM may be replaced by one of the same name, which an old list calls gone;
/// so a row is never taken to be about a run that is younger than the lag.
pub fn latest_listed(wall: WallTime) -> Incarnation {
    Incarnation(wall.0.saturating_sub(LIST_LAG.0) * 1_000)
}

/// A change that the process has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A run was seen for the first time; earlier runs of the daemon are over.
    Started(Run),
    /// The health of a daemon's latest run is another one than before.
    Became(Run, Health),
}

#[derive(Debug, Clone)]
struct Member {
    incarnation: Incarnation,
    heard: Instant,
    leaving: bool,
    vm: Option<VmState>,
    health: Health,
}

impl Member {
    fn health_at(&self, now: Instant) -> Health {
        let silent = now.since(self.heard);
        match self.vm {
            // A daemon that still speaks is not gone, whatever an old list says.
            Some(VmState::Gone) if silent >= LOST_AFTER => Health::Gone,
            _ if silent >= LOST_AFTER => Health::Lost,
            _ if self.leaving => Health::Leaving,
            Some(VmState::Leaving) => Health::Leaving,
            _ if silent >= SUSPECT_AFTER => Health::Suspect,
            _ => Health::Alive,
        }
    }
}

/// The daemons that one process knows of.
///
/// # Example
///
/// ```
/// use sesamehaven::guard::Run;
/// use sesamehaven::id::Incarnation;
/// use sesamehaven::membership::{Health, Membership, News};
/// use sesamehaven::unit::Instant;
///
/// let mut membership = Membership::default();
/// let run = Run {
///     name: "agent-7".parse()?,
///     incarnation: Incarnation(5),
/// };
/// membership.hear(News::Heard(run.clone()), Instant(0));
/// assert_eq!(membership.health(&run.name), Some(Health::Alive));
///
/// membership.tick(Instant(3_000));
/// assert_eq!(membership.health(&run.name), Some(Health::Lost));
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<DaemonName, Member>,
    gone: BTreeMap<DaemonName, Incarnation>,
}

impl Membership {
    /// Takes news and returns what has changed by it.
    ///
    /// News of a run that a later one has replaced changes nothing.
    pub fn hear(&mut self, news: News, now: Instant) -> Vec<Change> {
        match news {
            News::Heard(run) => self.heard(run, false, now),
            News::Leaving(run) => self.heard(run, true, now),
            News::Listed { name, state, upto } => {
                self.listed(&name, state, upto);
                self.update(&name, now).into_iter().collect()
            }
        }
    }

    /// Finds daemons that have gone silent, and forgets those lost long ago.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let is_kept = |m: &Member| now.since(m.heard) < FORGET_AFTER;
        self.members.retain(|_, m| is_kept(m));
        let names: Vec<DaemonName> = self.members.keys().cloned().collect();
        let changes = names.iter().filter_map(|name| self.update(name, now));
        changes.collect()
    }

    /// Returns the latest run of a daemon.
    pub fn run(&self, name: &DaemonName) -> Option<Run> {
        let member = self.members.get(name)?;
        Some(Run {
            name: name.clone(),
            incarnation: member.incarnation,
        })
    }

    /// Returns how the latest run of a daemon is.
    pub fn health(&self, name: &DaemonName) -> Option<Health> {
        self.members.get(name).map(|m| m.health)
    }

    /// Returns whether a run has ended for good, as opposed to being silent.
    pub fn has_ended(&self, run: &Run) -> bool {
        let is_listed = self
            .gone
            .get(&run.name)
            .is_some_and(|i| run.incarnation <= *i);
        let Some(member) = self.members.get(&run.name) else {
            return is_listed;
        };
        let is_replaced = run.incarnation < member.incarnation;
        is_replaced || member.health == Health::Gone
    }

    /// Lists the daemons and how they are, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&DaemonName, Health)> {
        self.members.iter().map(|(name, m)| (name, m.health))
    }

    /// Returns whether this process was paused and has to check what it believes.
    ///
    /// `last` is when it last looked. After a pause nobody else may have gone
    /// silent: it was this process that did not listen. The silence of others is
    /// then counted from now on.
    pub fn wake(&mut self, last: Instant, now: Instant) -> bool {
        let was_paused = now.since(last) >= SUSPECT_AFTER;
        if was_paused {
            let alive = |m: &&mut Member| m.health.takes_work() || m.health == Health::Leaving;
            let members = self.members.values_mut();
            members.filter(alive).for_each(|m| m.heard = now);
        }
        was_paused
    }

    fn listed(&mut self, name: &DaemonName, state: VmState, upto: Incarnation) {
        if state == VmState::Gone {
            self.gone.insert(name.clone(), upto);
        }
        if let Some(member) = self.members.get_mut(name)
            && member.incarnation <= upto
        {
            member.vm = Some(state);
        }
    }

    fn heard(&mut self, run: Run, leaving: bool, now: Instant) -> Vec<Change> {
        let known = self.members.get(&run.name).map(|m| m.incarnation);
        if known.is_some_and(|known| run.incarnation < known) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if known != Some(run.incarnation) {
            let member = Member {
                incarnation: run.incarnation,
                heard: now,
                leaving,
                vm: None,
                health: Health::Alive,
            };
            self.members.insert(run.name.clone(), member);
            changes.push(Change::Started(run.clone()));
        }
        if let Some(member) = self.members.get_mut(&run.name) {
            member.heard = member.heard.max(now);
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
        Some(Change::Became(run, health))
    }
}

/// Chooses the agents of a pool that an entry works with, by rendezvous.
///
/// A fleet of many entries and agents would else exchange reports between all
/// of them. Each entry takes `size` agents; a change of one agent changes the
/// choice of those entries only that had it, or have it now.
pub fn choose<'a>(
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
