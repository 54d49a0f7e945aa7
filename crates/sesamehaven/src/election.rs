//! Selects, without exchanging messages, the daemons that watch the platform and
//! the order in which peers are queried.

use std::collections::BTreeSet;

use crate::config::Index;
use crate::id::{DaemonName, Digest};

/// Returns the daemons that always watch the platform.
///
/// These are the entries: they are few and have links to the agents.
pub fn watchers(index: &Index) -> BTreeSet<DaemonName> {
    let entries = index.configuration.entries.iter();
    entries.map(|d| d.name.clone()).collect()
}

/// Returns the rank of `name` for `viewer`, a hash distributed uniformly over all
/// pairs.
pub(crate) fn rank(viewer: &DaemonName, name: &DaemonName) -> u64 {
    let text = format!("{viewer}/{name}");
    let Digest([a, b, c, d, e, f, g, h, ..]) = Digest::of(text.as_bytes());
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}
