//! The state of a slot at its home: the active view and the attempt at the next one.

use std::collections::{BTreeSet, HashMap};

use smallvec::SmallVec;

use crate::active_view::ActiveView;
use crate::grant_history::{FINGERPRINT_RETENTION, GrantHistory};
use crate::guard::{Gap, Handover, Run, View, ViewId};
use crate::home::{Bootstrap, Now};
use crate::id::KeyDigest;
use crate::key::WallTime;

/// A proposed view that is collecting promises.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: ViewId,
    /// See [`ActiveView::max_key_time`].
    pub(crate) max_key_time: WallTime,
    /// Whether the proposing agent is also the home of the active view.
    pub(crate) is_renewal: bool,
    /// The entries that the view adds.
    pub(crate) joining: Vec<Run>,
    /// The entries that have promised to follow the view.
    pub(crate) promised: BTreeSet<Run>,
    /// Entries that promises reported as possible members of earlier views.
    pub(crate) reported: BTreeSet<Run>,
    /// The latest view that any promise reported.
    pub(crate) served: Option<View>,
    /// The records transferred with the promises.
    pub(crate) history: GrantHistory,
    /// The entries that store the grant of each key.
    pub(crate) stored_by: HashMap<KeyDigest, SmallVec<[Run; 2]>>,
    /// The ended entries that the view removes.
    pub(crate) excluded: Vec<Run>,
    /// The records for the replicas, see [`ActiveView::orphans`].
    pub(crate) orphans: Handover,
    /// The entries to which the orphaned records are replicated.
    pub(crate) replicas: Vec<Run>,
}

/// An entry's promise to follow a view.
#[derive(Debug)]
pub(crate) struct Promise {
    pub(crate) id: ViewId,
    pub(crate) served: Option<View>,
    pub(crate) is_exclusive: bool,
    pub(crate) joining: Vec<Run>,
    pub(crate) max_key_time: WallTime,
    pub(crate) ledger: Handover,
}

/// The agent's state of one slot.
#[derive(Debug, Default)]
pub(crate) struct SlotState {
    pub(crate) active: Option<ActiveView>,
    pub(crate) attempt: Option<Attempt>,
    /// The highest round seen.
    pub(crate) latest_round: u64,
    pub(crate) bootstrap: Option<Bootstrap>,
}

impl SlotState {
    pub(crate) fn next_id(&mut self, me: &Run) -> ViewId {
        self.latest_round += 1;
        ViewId {
            round: self.latest_round,
            home: me.clone(),
        }
    }

    /// Returns the entries that the attempted view will serve if they promise.
    pub(crate) fn members<'a>(&'a self, attempt: &'a Attempt) -> impl Iterator<Item = &'a Run> {
        let active = self.active.as_ref().map(|active| &active.view);
        let views = active.into_iter().chain(&attempt.served);
        views.flat_map(|v| &v.entries).chain(&attempt.joining)
    }

    /// Returns whether a takeover is in progress and no promise has reported an
    /// earlier view.
    pub(crate) fn has_no_known_view(&self) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|a| !a.is_renewal && a.served.is_none())
    }

    /// Returns whether no entry of the active view has confirmed, by its promise,
    /// that no other home has served since.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let (Some(attempt), Some(active)) = (&self.attempt, &self.active) else {
            return false;
        };
        let has_promised = |run: &Run| attempt.promised.contains(run);
        attempt.is_renewal && !active.view.entries.iter().any(has_promised)
    }

    /// Makes the attempted view, which has all required promises, the active one.
    pub(crate) fn activate(&mut self, bootstrap: Bootstrap, now: Now) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.bootstrap = None;
        let members: BTreeSet<Run> = self.members(&attempt).cloned().collect();
        let entries = members.intersection(&attempt.promised).cloned().collect();
        if let Some(active) = self.active.as_mut().filter(|_| attempt.is_renewal) {
            active.renew(attempt, entries, now);
            return;
        }
        let gap = attempt.detect_gap(bootstrap, now);
        let view = View {
            id: attempt.id,
            entries,
            gap,
        };
        self.active = Some(ActiveView {
            view,
            activated_at: now.instant,
            max_key_time: attempt.max_key_time,
            grant_count: 0,
            history: attempt.history,
            stored_by: attempt.stored_by,
        });
    }
}

impl Attempt {
    pub(crate) fn new(
        id: ViewId,
        max_key_time: WallTime,
        is_renewal: bool,
        joining: Vec<Run>,
    ) -> Self {
        Attempt {
            id,
            max_key_time,
            is_renewal,
            joining,
            promised: BTreeSet::new(),
            reported: BTreeSet::new(),
            served: None,
            history: GrantHistory::default(),
            stored_by: HashMap::new(),
            excluded: Vec::new(),
            orphans: Handover::default(),
            replicas: Vec::new(),
        }
    }

    pub(crate) fn on_promise(&mut self, from: &Run, promise: Promise, now: Now) {
        self.promised.insert(from.clone());
        self.reported.extend(promise.joining);
        self.max_key_time = self.max_key_time.max(promise.max_key_time);
        let known = self.served.as_ref().map(|v| v.id.round);
        if promise.served.as_ref().map(|v| v.id.round) > known {
            self.served = promise.served;
        }
        for grant in &promise.ledger.grants {
            let stored_by = self.stored_by.entry(grant.key).or_default();
            stored_by.push(from.clone());
        }
        self.history.merge_handover(promise.ledger, now.instant);
    }

    /// Returns whether no entry is available to store the records of ended entries.
    pub(crate) fn lacks_replicas(&self) -> bool {
        self.replicas.is_empty() && !self.excluded.is_empty()
    }

    /// Returns the gap of the new view: a new one if records may be missing, or else
    /// that of the last view, if any.
    pub(crate) fn detect_gap(&self, bootstrap: Bootstrap, now: Now) -> Option<Gap> {
        let lost = Some(Gap {
            since: now.wall,
            round: self.id.round,
            remaining: FINGERPRINT_RETENTION,
        });
        match &self.served {
            None if bootstrap == Bootstrap::First => None,
            None => lost,
            Some(v) if v.entries.iter().all(|run| self.promised.contains(run)) => v.gap,
            Some(_) => lost,
        }
    }
}
