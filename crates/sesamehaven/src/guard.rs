//! The dispatch guard: types and messages that keep a key from running twice.
//!
//! Keys fall into [`Slot`]s. Each slot has one home at a time, an agent that
//! grants a key to one request. A home serves under a [`View`], which every
//! entry that may act on its grants has promised to follow. A later view cuts
//! off the earlier home, so a paused home that wakes has nobody who listens to
//! it. Neither a clock nor the platform takes part.
//!
//! [`Home`](crate::home::Home) is the agent's side, [`Ledger`](crate::ledger::Ledger)
//! the entry's, and [`Offers`](crate::offers::Offers) what an agent remembers of offers. The
//! protocol and the ways weighed are in
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::grant_history::Fingerprint;
use crate::id::{DaemonName, Incarnation, KeyDigest, RequestId};
use crate::key::WallTime;
use crate::unit::Millis;

/// The number of slots that keys fall into.
pub const SLOTS: u16 = 1024;

/// The part of the keys that moves between homes as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u16);

impl Slot {
    /// Returns the slot of a key.
    ///
    /// It depends on the key alone, so that no change of the configuration
    /// makes two processes disagree about it.
    pub fn of(key: KeyDigest) -> Self {
        Slot((key.0 >> (128 - SLOTS.trailing_zeros())) as u16)
    }

    /// Lists all slots.
    pub fn all() -> impl Iterator<Item = Slot> {
        (0..SLOTS).map(Slot)
    }

    /// Lists the agents in the order in which they are asked to be its home.
    pub fn candidates(self, agents: &[DaemonName]) -> Vec<&DaemonName> {
        let mut order: Vec<_> = agents.iter().collect();
        order.sort_by_cached_key(|name| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&self.0.to_be_bytes());
            hasher.update(name.as_str().as_bytes());
            *hasher.finalize().as_bytes()
        });
        order
    }
}

/// The greatest number of agents that are homes, which bounds an entry's links.
pub const MAX_HOMES: usize = 16;

/// Chooses the agents that may be homes, the same ones wherever it is asked.
pub fn eligible_homes(agents: &[DaemonName]) -> Vec<DaemonName> {
    let all = Slot(SLOTS).candidates(agents);
    all.into_iter().take(MAX_HOMES).cloned().collect()
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One run of a daemon, by name and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The daemon.
    pub name: DaemonName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

/// The number of a view; one of a greater round cuts off the homes of all lesser ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewId {
    /// Counts the attempts to become the home of the slot.
    pub round: u64,
    /// The agent that is the home, which tells equal rounds apart.
    pub home: Run,
}

/// Who is the home of a slot and which entries it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of the view.
    pub id: ViewId,
    /// The entries that promised to follow it.
    pub entries: Vec<Run>,
    /// What was lost before the view and is not known to it.
    pub gap: Option<Gap>,
}

/// A loss of records, after which a key that is not known may still have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// When the loss was found, by the home's wall clock; lost grants are older.
    pub since: WallTime,
    /// The first round without losses; grants of earlier ones may be outdated.
    pub round: u64,
    /// How long it matters still.
    pub left: Millis,
}

/// A key that was granted to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The key.
    pub key: KeyDigest,
    /// The request that may dispatch it.
    pub req: RequestId,
    /// The only run of an agent that may be offered the request.
    pub place: Run,
    /// Counts the places of the request.
    pub step: u32,
    /// Orders grants of the same key; the greatest one holds.
    #[serde(rename = "turn")]
    pub seq: GrantSeq,
}

/// The place of a grant in the order of its slot's grants.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct GrantSeq {
    /// The round of the view under which it was granted.
    pub round: u64,
    /// Counts the grants of that view.
    pub count: u64,
}

/// What a daemon hands over of a slot that it remembers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Handover {
    /// Keys of the last minutes.
    pub grants: Vec<Grant>,
    /// Older keys, with the age of each group.
    #[serde(rename = "prints")]
    pub fingerprints: Vec<(Millis, Vec<Fingerprint>)>,
}

/// A request for a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyDigest,
    /// The time that the key carries.
    pub time: Option<WallTime>,
    /// The request that wants to dispatch it.
    pub req: RequestId,
    /// The run of the agent that will be offered it.
    pub place: Run,
    /// The holder that is known to never run: its place has answered unheard.
    pub instead_of: Option<(RequestId, Run)>,
}

impl Claim {
    /// Returns the grant that the claim asks for.
    pub fn grant(&self, seq: GrantSeq) -> Grant {
        Grant {
            key: self.key,
            req: self.req,
            place: self.place.clone(),
            step: 0,
            seq,
        }
    }
}

/// What an entry says to the home of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToHome {
    /// Asks the agent to become the home of the slot, or to say that it is.
    ///
    /// Carries the last view that the entry promised, which a new one must exceed.
    Invite(Slot, Option<ViewId>),
    /// Follows the view from now on and hands over what the entry was granted.
    Promise {
        /// The slot.
        slot: Slot,
        /// The view that is promised.
        id: ViewId,
        /// The last view that the entry was served under.
        served: Option<View>,
        /// Whether the entry has promised no other home since, or ever.
        is_steady: bool,
        /// Entries that may have joined a view which this one was not served under.
        joining: Vec<Run>,
        /// The latest time of a key dated ahead that may have been granted.
        ahead: WallTime,
        /// The entry's ledger, unless the home did not ask for it.
        ledger: Handover,
    },
    /// The entry follows a later view than the message's.
    Newer(Slot, ViewId),
    /// Asks for a key.
    Claim(ViewId, Claim),
    /// Asks to offer the request at the grant's place; the last one refused it.
    ///
    /// The grant's sequence number tells a late message from one about a later grant.
    Move(ViewId, Grant),
    /// Gives the key up; the request was not dispatched and never will be.
    Release(ViewId, Grant),
}

/// What a home says to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromHome {
    /// Asks to follow a view, which cuts off the earlier ones.
    Prepare {
        /// The slot.
        slot: Slot,
        /// The view.
        id: ViewId,
        /// The entries that the view will serve besides those of the last one.
        joining: Vec<Run>,
        /// The latest time of a key dated ahead that may be granted under it.
        ahead: WallTime,
        /// Whether the home needs the entry's ledger.
        ledger: bool,
        /// Records of lost entries, for safe keeping.
        orphans: Handover,
    },
    /// The home serves the slot under this view.
    Serve(Slot, View),
    /// The request may be offered at its place.
    Granted {
        /// The view.
        id: ViewId,
        /// The grant.
        grant: Grant,
    },
    /// Another request holds the key, or did.
    Held {
        /// The view.
        id: ViewId,
        /// The key.
        key: KeyDigest,
        /// The request that asked.
        req: RequestId,
        /// The holder.
        by: RequestId,
        /// Where the holder may have been dispatched.
        place: Run,
    },
    /// The key may have run; nobody can tell.
    Undecided(ViewId, KeyDigest, RequestId, Undecided),
    /// The key was given up; the request did not run.
    Released(ViewId, KeyDigest, RequestId),
}

/// Why a home can't tell whether a key has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Undecided {
    /// The agent is not the home of the key or not yet.
    NotHome,
    /// Records were lost that might have held the key.
    Lost,
    /// The key was used long ago, as far as a short fingerprint tells.
    Remembered,
}

impl Undecided {
    /// Returns the stable code that counters and callers see.
    pub fn code(self) -> &'static str {
        match self {
            Undecided::NotHome => "key_home_unavailable",
            Undecided::Lost => "key_records_lost",
            Undecided::Remembered => "key_used_before",
        }
    }
}
