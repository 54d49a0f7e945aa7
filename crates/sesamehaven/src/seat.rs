//! A slot at its home: the view that is served and the next one, if there is one.

use std::collections::{BTreeSet, HashMap};

use smallvec::SmallVec;

use crate::grant_history::{FINGERPRINT_RETENTION, GrantHistory};
use crate::guard::{Gap, Handover, Run, View, ViewId};
use crate::home::{Bootstrap, Now};
use crate::id::KeyDigest;
use crate::key::WallTime;
use crate::tenure::Tenure;

/// An attempt to get a view promised.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: ViewId,
    pub(crate) ahead: WallTime,
    pub(crate) is_renewal: bool,
    pub(crate) joining: Vec<Run>,
    pub(crate) promised: BTreeSet<Run>,
    pub(crate) heard_of: BTreeSet<Run>,
    pub(crate) served: Option<View>,
    pub(crate) memory: GrantHistory,
    pub(crate) keepers: HashMap<KeyDigest, SmallVec<[Run; 2]>>,
    pub(crate) without: Vec<Run>,
    pub(crate) orphans: Handover,
    pub(crate) heirs: Vec<Run>,
}

/// An entry's promise to follow a view.
#[derive(Debug)]
pub(crate) struct Promise {
    pub(crate) id: ViewId,
    pub(crate) served: Option<View>,
    pub(crate) is_steady: bool,
    pub(crate) joining: Vec<Run>,
    pub(crate) ahead: WallTime,
    pub(crate) ledger: Handover,
}

/// What the agent knows of one slot.
#[derive(Debug, Default)]
pub(crate) struct Seat {
    pub(crate) tenure: Option<Tenure>,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) latest_round: u64,
    pub(crate) bootstrap: Option<Bootstrap>,
}

impl Seat {
    pub(crate) fn next_id(&mut self, me: &Run) -> ViewId {
        self.latest_round += 1;
        ViewId {
            round: self.latest_round,
            home: me.clone(),
        }
    }

    /// Lists the entries that the attempt's view will serve if they promise.
    pub(crate) fn members<'a>(&'a self, attempt: &'a Attempt) -> impl Iterator<Item = &'a Run> {
        let tenure = self.tenure.as_ref().map(|t| &t.view);
        let views = tenure.into_iter().chain(&attempt.served);
        views.flat_map(|v| &v.entries).chain(&attempt.joining)
    }

    /// Returns whether an attempt is under way that knows of no earlier view.
    pub(crate) fn is_unknown(&self) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|a| !a.is_renewal && a.served.is_none())
    }

    /// Returns whether no entry of the current view is left to tell that no other
    /// home has served since.
    pub(crate) fn is_unvouched(&self) -> bool {
        let (Some(attempt), Some(tenure)) = (&self.attempt, &self.tenure) else {
            return false;
        };
        let vouches = |run: &Run| attempt.promised.contains(run);
        attempt.is_renewal && !tenure.view.entries.iter().any(vouches)
    }

    /// Turns the attempt, whose promises are all there, into the tenure.
    pub(crate) fn serve(&mut self, bootstrap: Bootstrap, now: Now) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.bootstrap = None;
        let members: BTreeSet<Run> = self.members(&attempt).cloned().collect();
        let entries = members.intersection(&attempt.promised).cloned().collect();
        if let Some(tenure) = self.tenure.as_mut().filter(|_| attempt.is_renewal) {
            tenure.renew(attempt, entries, now);
            return;
        }
        let gap = attempt.gap(bootstrap, now);
        let view = View {
            id: attempt.id,
            entries,
            gap,
        };
        self.tenure = Some(Tenure {
            view,
            since: now.instant,
            ahead: attempt.ahead,
            turns: 0,
            memory: attempt.memory,
            keepers: attempt.keepers,
        });
    }
}

impl Attempt {
    pub(crate) fn new(id: ViewId, ahead: WallTime, is_renewal: bool, joining: Vec<Run>) -> Self {
        Attempt {
            id,
            ahead,
            is_renewal,
            joining,
            promised: BTreeSet::new(),
            heard_of: BTreeSet::new(),
            served: None,
            memory: GrantHistory::default(),
            keepers: HashMap::new(),
            without: Vec::new(),
            orphans: Handover::default(),
            heirs: Vec::new(),
        }
    }

    pub(crate) fn take(&mut self, from: &Run, promise: Promise, now: Now) {
        self.promised.insert(from.clone());
        self.heard_of.extend(promise.joining);
        self.ahead = self.ahead.max(promise.ahead);
        let known = self.served.as_ref().map(|v| v.id.round);
        if promise.served.as_ref().map(|v| v.id.round) > known {
            self.served = promise.served;
        }
        for grant in &promise.ledger.grants {
            let keepers = self.keepers.entry(grant.key).or_default();
            keepers.push(from.clone());
        }
        self.memory.absorb(promise.ledger, now.instant);
    }

    /// Returns whether nobody is there to keep the records of lost entries.
    pub(crate) fn lacks_heirs(&self) -> bool {
        self.heirs.is_empty() && !self.without.is_empty()
    }

    /// Returns what is lost: an entry of the last view did not hand over.
    pub(crate) fn gap(&self, bootstrap: Bootstrap, now: Now) -> Option<Gap> {
        let lost = Some(Gap {
            since: now.wall,
            round: self.id.round,
            left: FINGERPRINT_RETENTION,
        });
        match &self.served {
            None if bootstrap == Bootstrap::First => None,
            None => lost,
            Some(v) if v.entries.iter().all(|run| self.promised.contains(run)) => v.gap,
            Some(_) => lost,
        }
    }
}
