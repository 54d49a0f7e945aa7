//! Decides without a message who watches the platform, and in what order peers are asked.

use std::collections::BTreeSet;

use crate::config::Index;
use crate::id::{DaemonName, Digest};

/// Names the daemons that watch the platform whomever they hear from.
///
/// These are the entries, which are few and have links to the agents.
pub fn watchers(index: &Index) -> BTreeSet<DaemonName> {
    let entries = index.configuration.entries.iter();
    entries.map(|d| d.name.clone()).collect()
}

/// Ranks `name` in the eyes of `viewer`, evenly over all pairs.
pub(crate) fn rank(viewer: &DaemonName, name: &DaemonName) -> u64 {
    let text = format!("{viewer}/{name}");
    let Digest([a, b, c, d, e, f, g, h, ..]) = Digest::of(text.as_bytes());
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}
