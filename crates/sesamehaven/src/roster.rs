//! The entry runs that a home is aware of.

use std::collections::{BTreeMap, BTreeSet};

use crate::guard::Run;
use crate::id::{DaemonName, Incarnation};

/// Tracks which entry runs are linked and which have ended permanently.
#[derive(Debug)]
pub(crate) struct Roster {
    /// The configured entries.
    expected: BTreeSet<DaemonName>,
    linked: BTreeMap<DaemonName, Incarnation>,
    /// The latest run of each entry that has ever linked.
    seen: BTreeMap<DaemonName, Incarnation>,
    /// The latest run of each entry that has ended.
    ended: BTreeMap<DaemonName, Incarnation>,
}

impl Roster {
    pub(crate) fn new(expected: BTreeSet<DaemonName>) -> Self {
        Roster {
            expected,
            linked: BTreeMap::new(),
            seen: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    pub(crate) fn set_expected(&mut self, entries: BTreeSet<DaemonName>) {
        self.expected = entries;
    }

    /// Records a link to a run, which implies that earlier runs of the entry have
    /// ended.
    pub(crate) fn link(&mut self, run: &Run) {
        self.linked.insert(run.name.clone(), run.incarnation);
        self.seen.insert(run.name.clone(), run.incarnation);
        if let Some(before) = run.incarnation.0.checked_sub(1) {
            self.mark_ended(&run.name, Incarnation(before));
        }
    }

    pub(crate) fn unlink(&mut self, run: &Run) {
        if self.linked.get(&run.name) == Some(&run.incarnation) {
            self.linked.remove(&run.name);
        }
    }

    /// Records that all runs of an entry up to `last` have ended.
    pub(crate) fn end(&mut self, name: &DaemonName, last: Incarnation) {
        self.mark_ended(name, last);
        if self.linked.get(name).is_some_and(|i| *i <= last) {
            self.linked.remove(name);
        }
    }

    pub(crate) fn has_ended(&self, run: &Run) -> bool {
        let last = self.ended.get(&run.name);
        last.is_some_and(|last| run.incarnation <= *last)
    }

    pub(crate) fn linked(&self) -> impl Iterator<Item = Run> + '_ {
        self.linked.iter().map(|(name, incarnation)| Run {
            name: name.clone(),
            incarnation: *incarnation,
        })
    }

    /// Returns whether every expected entry is among `runs` or has ended.
    pub(crate) fn covers_expected(&self, runs: &BTreeSet<Run>) -> bool {
        let is_covered = |name: &DaemonName| {
            let Some(incarnation) = self.seen.get(name) else {
                return self.ended.contains_key(name);
            };
            let run = Run {
                name: name.clone(),
                incarnation: *incarnation,
            };
            self.has_ended(&run) || runs.contains(&run)
        };
        self.expected.iter().all(is_covered)
    }

    fn mark_ended(&mut self, name: &DaemonName, last: Incarnation) {
        let known = self.ended.entry(name.clone()).or_insert(last);
        *known = last.max(*known);
    }
}
