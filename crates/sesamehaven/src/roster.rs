//! The runs of entries that a home knows of.

use std::collections::{BTreeMap, BTreeSet};

use crate::guard::Run;
use crate::id::{DaemonName, Incarnation};

/// Which runs of entries are linked, and which are over for good.
#[derive(Debug)]
pub(crate) struct Roster {
    expected: BTreeSet<DaemonName>,
    linked: BTreeMap<DaemonName, Incarnation>,
    seen: BTreeMap<DaemonName, Incarnation>,
    over: BTreeMap<DaemonName, Incarnation>,
}

impl Roster {
    pub(crate) fn new(expected: BTreeSet<DaemonName>) -> Self {
        Roster {
            expected,
            linked: BTreeMap::new(),
            seen: BTreeMap::new(),
            over: BTreeMap::new(),
        }
    }

    pub(crate) fn set_expected(&mut self, entries: BTreeSet<DaemonName>) {
        self.expected = entries;
    }

    /// Notes a link; a later run of an entry ends its earlier ones.
    pub(crate) fn link(&mut self, run: &Run) {
        self.linked.insert(run.name.clone(), run.incarnation);
        self.seen.insert(run.name.clone(), run.incarnation);
        if let Some(before) = run.incarnation.0.checked_sub(1) {
            self.mark_over(&run.name, Incarnation(before));
        }
    }

    pub(crate) fn unlink(&mut self, run: &Run) {
        if self.linked.get(&run.name) == Some(&run.incarnation) {
            self.linked.remove(&run.name);
        }
    }

    /// Notes that the runs of an entry up to this one are over.
    pub(crate) fn end(&mut self, name: &DaemonName, last: Incarnation) {
        self.mark_over(name, last);
        if self.linked.get(name).is_some_and(|i| *i <= last) {
            self.linked.remove(name);
        }
    }

    pub(crate) fn has_ended(&self, run: &Run) -> bool {
        let last = self.over.get(&run.name);
        last.is_some_and(|last| run.incarnation <= *last)
    }

    pub(crate) fn linked(&self) -> impl Iterator<Item = Run> + '_ {
        self.linked.iter().map(|(name, incarnation)| Run {
            name: name.clone(),
            incarnation: *incarnation,
        })
    }

    /// Returns whether each expected entry is among `runs` or is over.
    pub(crate) fn are_all_in(&self, runs: &BTreeSet<Run>) -> bool {
        let is_in = |name: &DaemonName| {
            let Some(incarnation) = self.seen.get(name) else {
                return self.over.contains_key(name);
            };
            let run = Run {
                name: name.clone(),
                incarnation: *incarnation,
            };
            self.has_ended(&run) || runs.contains(&run)
        };
        self.expected.iter().all(is_in)
    }

    fn mark_over(&mut self, name: &DaemonName, last: Incarnation) {
        let known = self.over.entry(name.clone()).or_insert(last);
        *known = last.max(*known);
    }
}
