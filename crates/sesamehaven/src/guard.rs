//! The dispatch guard: types and messages that prevent duplicate dispatch of a key.
//!
//! Keys are partitioned into [`Slot`]s. Each slot has at most one active home, an
//! agent that grants each key to one request. A home serves under a [`View`] that
//! every entry able to act on its grants has promised to follow. A later view
//! fences the earlier home, so entries ignore a paused home that resumes.
//! Fencing depends on neither clocks nor the platform. The wall clock matters only for
//! timestamped keys, after a loss of records or if the timestamp is in the future. The
//! platform only reports ended VMs and whether a slot had a home.
//!
//! [`Home`](crate::home::Home) implements the agent side,
//! [`Ledger`](crate::ledger::Ledger) the entry side, and
//! [`OfferHistory`](crate::offer_history::OfferHistory) the agent's record of
//! offers. The protocol and its alternatives are described in
//! [`docs/AT-MOST-ONCE.md`](../../../docs/AT-MOST-ONCE.md).

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::grant_history::Fingerprint;
use crate::id::{DaemonName, Incarnation, KeyDigest, RequestId};
use crate::key::WallTime;
use crate::unit::Millis;

/// The number of slots that keys are partitioned into.
pub const SLOTS: u16 = 1024;

/// A partition of the key space, the unit of transfer between homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u16);

impl Slot {
    /// Returns the slot of a key.
    ///
    /// The slot depends only on the key, so processes that run different
    /// configurations agree on it.
    pub fn of(key: KeyDigest) -> Self {
        Slot((key.0 >> (128 - SLOTS.trailing_zeros())) as u16)
    }

    /// Returns an iterator over all slots.
    pub fn all() -> impl Iterator<Item = Slot> {
        (0..SLOTS).map(Slot)
    }

    /// Ranks the agents in the order in which entries invite them to become the
    /// home of this slot (rendezvous hashing).
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

/// The maximum number of agents that act as homes, which bounds the links of an entry.
pub const MAX_HOMES: usize = 16;

/// Selects the agents that may become homes.
///
/// Processes with the same list of agents select the same ones.
pub fn eligible_homes(agents: &[DaemonName]) -> Vec<DaemonName> {
    // An index beyond the last slot gives a ranking that differs from those of the slots.
    let all = Slot(SLOTS).candidates(agents);
    all.into_iter().take(MAX_HOMES).cloned().collect()
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A run of a daemon, identified by name and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The daemon.
    pub name: DaemonName,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// The identifier of a view. A higher round fences the homes of all lower rounds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewId {
    /// The round, which is higher than those of all earlier views known to the home.
    pub round: u64,
    /// The agent that is the home, which breaks ties between equal rounds.
    pub home: Run,
}

/// The home of a slot and the entries that it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The identifier of the view.
    pub id: ViewId,
    /// The entries that promised to follow the view.
    pub entries: Vec<Run>,
    /// The loss of records from before the view that is still relevant, if any.
    pub gap: Option<Gap>,
}

/// A loss of records, after which a key without a record may still have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// When the loss was detected, by the home's wall clock. Lost grants are older.
    pub since: WallTime,
    /// The first round without losses. Grants of earlier rounds may be stale.
    pub round: u64,
    /// The remaining time during which the loss matters.
    #[serde(rename = "left")]
    pub remaining: Millis,
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
    /// The number of times the request was moved to another agent.
    pub step: u32,
    /// Orders grants of the same key together with `step`; the grant with the highest
    /// pair is valid.
    #[serde(rename = "turn")]
    pub seq: GrantSeq,
}

/// The sequence number of a grant within its slot.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct GrantSeq {
    /// The round of the view under which the grant was issued.
    pub round: u64,
    /// The number of grants that the home issued before, since it took over the slot.
    pub count: u64,
}

/// The records of a slot that one daemon transfers to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Handover {
    /// The grants of recent keys.
    pub grants: Vec<Grant>,
    /// The fingerprints of older keys, with the age of the newest one in each group.
    #[serde(rename = "prints")]
    pub fingerprints: Vec<(Millis, Vec<Fingerprint>)>,
}

/// A claim on a key for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyDigest,
    /// The timestamp embedded in the key, if any.
    pub time: Option<WallTime>,
    /// The request that asks for the key.
    pub req: RequestId,
    /// The run of the agent that the request will be offered to.
    pub place: Run,
    /// The previous holder, which will never run: its agent reported that it has not
    /// dispatched the request and never will.
    pub instead_of: Option<(RequestId, Run)>,
}

impl Claim {
    /// Returns the grant that satisfies the claim.
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

/// A message from an entry to the home of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToHome {
    /// Invites the agent to become the home of the slot, or to announce that it
    /// already is.
    ///
    /// Carries the last view that the entry promised, which a new one must exceed.
    Invite(Slot, Option<ViewId>),
    /// Promises to follow the view and transfers the grants that the entry holds.
    Promise {
        /// The slot.
        slot: Slot,
        /// The promised view.
        id: ViewId,
        /// The last view under which the entry was served.
        served: Option<View>,
        /// Whether the entry has promised no other home since that view, or ever.
        #[serde(rename = "is_steady")]
        is_exclusive: bool,
        /// Entries that may have joined views under which this entry was not served.
        joining: Vec<Run>,
        /// The latest timestamp that a granted key may carry if it lies more than
        /// 10 s ahead of the home's wall clock.
        ///
        /// After a loss of records, only keys with later timestamps count as unused.
        #[serde(rename = "ahead")]
        max_key_time: WallTime,
        /// The entry's ledger; empty if the home did not request it.
        ledger: Handover,
    },
    /// Reports that the entry follows a later view than the one in the message.
    Newer(Slot, ViewId),
    /// Claims a key.
    Claim(ViewId, Claim),
    /// Requests to move the request to the grant's place after the previous one
    /// refused it.
    ///
    /// The grant's sequence number distinguishes a delayed message from one about
    /// a later grant.
    Move(ViewId, Grant),
    /// Releases the key; the request was not dispatched and never will be.
    Release(ViewId, Grant),
}

/// A message from a home to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromHome {
    /// Requests a promise to follow a view, which fences all earlier ones.
    Prepare {
        /// The slot.
        slot: Slot,
        /// The view.
        id: ViewId,
        /// The entries that the view adds to those of the previous one.
        joining: Vec<Run>,
        /// The latest timestamp that a key granted under the view may carry if it
        /// lies more than 10 s ahead of the home's wall clock.
        #[serde(rename = "ahead")]
        max_key_time: WallTime,
        /// Whether the home needs the entry's ledger.
        ledger: bool,
        /// Records of ended entries, which the recipient stores as a replica.
        orphans: Handover,
    },
    /// The home serves the slot under this view.
    Serve(Slot, View),
    /// The request may be offered at the grant's place.
    Granted {
        /// The view.
        id: ViewId,
        /// The grant.
        grant: Grant,
    },
    /// Another request holds the key or held it.
    Held {
        /// The view.
        id: ViewId,
        /// The key.
        key: KeyDigest,
        /// The request that asked for the key.
        req: RequestId,
        /// The request that holds the key.
        by: RequestId,
        /// The run of the agent that may have dispatched the holder.
        place: Run,
    },
    /// The key may have run; the home cannot determine whether it did.
    Undecided(ViewId, KeyDigest, RequestId, Undecided),
    /// The key was released; the request did not run.
    Released(ViewId, KeyDigest, RequestId),
}

/// The reason why a home cannot determine whether a key has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Undecided {
    /// The agent is not the home of the key, or not yet.
    NotHome,
    /// Records that may have included the key were lost.
    Lost,
    /// A fingerprint, which may be a false positive, indicates earlier use of the key.
    Remembered,
}

impl Undecided {
    /// Returns the stable code used in metrics and responses.
    pub fn code(self) -> &'static str {
        match self {
            Undecided::NotHome => "key_home_unavailable",
            Undecided::Lost => "key_records_lost",
            Undecided::Remembered => "key_used_before",
        }
    }
}
