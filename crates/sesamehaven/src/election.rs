//! Elects the daemons that watch the platform for their data centre.
//!
//! The election is rendezvous hashing over the configured daemons, so that
//! everyone who serves the same configuration comes to the same result.

use crate::config::Index;
use crate::id::{DaemonName, Digest};

/// Elects the watchers of a daemon's data centre, without a message.
///
/// Every process that serves the same configuration elects the same ones.
/// `is_lost` names daemons that are known to be gone, so that the next in rank
/// takes over; processes that differ in it elect a watcher too many for a while,
/// which costs a call and nothing else.
pub fn watchers<'a>(
    index: &'a Index,
    me: &DaemonName,
    count: usize,
    is_lost: impl Fn(&DaemonName) -> bool,
) -> Vec<&'a DaemonName> {
    let c = &index.configuration;
    let daemons = || c.entries.iter().chain(&c.agents);
    let Some(mine) = daemons().find(|d| d.name == *me) else {
        return Vec::new();
    };
    let near = daemons().filter(|d| d.data_centre == mine.data_centre);
    let live = near.filter(|d| d.name == *me || !is_lost(&d.name));
    let mut ranked: Vec<_> = live.map(|d| &d.name).collect();
    ranked.sort_by_key(|name| rank(name, name));
    ranked.truncate(count);
    ranked
}

/// Ranks `name` in the eyes of `viewer`, evenly over all pairs.
pub(crate) fn rank(viewer: &DaemonName, name: &DaemonName) -> u64 {
    let text = format!("{viewer}/{name}");
    let Digest([a, b, c, d, e, f, g, h, ..]) = Digest::of(text.as_bytes());
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}
