//! Lists of the platform, an entry of which may be one that daemons do not know.

use std::cell::RefCell;
use std::collections::HashSet;

use spdlog::warn;

use sesamehaven::digest::hash_of;

/// The maximum number of entries that are remembered, so that they are not logged again.
const REMEMBERED_MAX: usize = 1_024;

/// Returns a list as text, with a valid character in place of what is not valid in JSON.
pub(crate) fn text(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.replace(|c: char| c.is_ascii_control(), " ")
}

/// The entries that were left out, so that each is logged once.
#[derive(Debug, Default)]
pub(crate) struct SkippedEntries(RefCell<HashSet<u64>>);

impl SkippedEntries {
    /// Logs an entry that cannot be parsed, unless it was logged before.
    pub(crate) fn log_once(&self, list: &str, entry: &str, err: &serde_json::Error) {
        let mut known = self.0.borrow_mut();
        if known.len() < REMEMBERED_MAX && known.insert(hash_of(entry)) {
            warn!("invalid entry skipped in the list {list}: {err}");
        }
    }
}
