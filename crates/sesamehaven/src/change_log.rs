//! The order in which the entries of a table changed, so that others can be sent what is news to them.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// The order in which entries changed last.
///
/// # Example
///
/// ```
/// use sesamehaven::change_log::{ChangeCursor, ChangeLog};
///
/// let mut log = ChangeLog::default();
/// let mut cursor = ChangeCursor::default();
/// ["a", "b", "c"].map(|key| log.touch(key));
/// assert_eq!(log.fresh(&mut cursor, 2), ["a", "b"]);
/// log.touch("a");
/// assert_eq!(log.fresh(&mut cursor, 2), ["c", "a"]);
/// assert!(log.fresh(&mut cursor, 2).is_empty());
/// assert_eq!(log.again(&mut cursor, 2), ["b", "c"]);
/// ```
#[derive(Debug)]
pub struct ChangeLog<K> {
    next: u64,
    by_change: BTreeMap<u64, K>,
    changes: HashMap<K, u64>,
}

/// What a group of receivers has been sent of a [`ChangeLog`].
#[derive(Debug, Default)]
pub struct ChangeCursor {
    /// All changes before this one were sent once.
    fresh: u64,
    /// Where sending again goes on.
    again: u64,
}

impl<K> Default for ChangeLog<K> {
    fn default() -> Self {
        ChangeLog {
            next: 0,
            by_change: BTreeMap::new(),
            changes: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> ChangeLog<K> {
    /// Records that an entry has changed.
    pub fn touch(&mut self, key: K) {
        if let Some(previous) = self.changes.insert(key, self.next) {
            self.by_change.remove(&previous);
        }
        self.by_change.insert(self.next, key);
        self.next += 1;
    }

    /// Forgets an entry.
    pub fn remove(&mut self, key: K) {
        if let Some(previous) = self.changes.remove(&key) {
            self.by_change.remove(&previous);
        }
    }

    /// Returns up to `max` entries that have changed since they were last returned as fresh.
    pub fn fresh(&self, cursor: &mut ChangeCursor, max: usize) -> Vec<K> {
        let (keys, end) = self.after(cursor.fresh, max);
        cursor.fresh = end;
        keys
    }

    /// Returns up to `max` entries in turn, so that a receiver that missed a change gets it later.
    pub fn again(&self, cursor: &mut ChangeCursor, max: usize) -> Vec<K> {
        let is_at_end = self.by_change.range(cursor.again..).next().is_none();
        let start = if is_at_end { 0 } else { cursor.again };
        let (keys, end) = self.after(start, max);
        cursor.again = end;
        keys
    }

    /// Returns the entries by the time of their change, the latest first.
    pub fn latest(&self) -> impl Iterator<Item = K> + '_ {
        self.by_change.values().rev().copied()
    }

    fn after(&self, start: u64, max: usize) -> (Vec<K>, u64) {
        let changes = self.by_change.range(start..).take(max);
        let (mut keys, mut end) = (Vec::new(), start);
        for (change, key) in changes {
            keys.push(*key);
            end = change + 1;
        }
        (keys, end)
    }
}
