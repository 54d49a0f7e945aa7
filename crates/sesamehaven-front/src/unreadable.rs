//! Entries of the directory that cannot be used, since they were written by others or are damaged.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::digest::hash_of;

/// The maximum length of a name or a reason, in bytes; a longer one is shortened.
const TEXT_MAX_BYTES: usize = 128;
/// The maximum number of entries that are recorded.
const ENTRIES_MAX: usize = 4_096;

/// The names of entries that cannot be used, each with the reason.
///
/// The memory that they take is bounded, whatever was written.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Unreadable(Vec<(SmolStr, SmolStr)>);

impl Unreadable {
    /// Adds an entry, unless there are too many.
    pub fn push(&mut self, name: &str, reason: &str) {
        if self.0.len() < ENTRIES_MAX {
            self.0.push((shortened(name), shortened(reason)));
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Logs the entries that were not known before, so that each is logged once.
    pub(crate) fn log_new(&self, known: &Unreadable, kind: &'static str) {
        let mut known: HashSet<&SmolStr> = known.0.iter().map(|(name, _)| name).collect();
        for (name, reason) in self.0.iter().filter(|(name, _)| known.insert(name)) {
            spdlog::warn!("invalid entry skipped", kv: {
                kind,
                name = name.as_str(),
                reason = reason.as_str()
            });
        }
    }
}

/// Shortens a text; the hash tells it from others that begin alike.
fn shortened(text: &str) -> SmolStr {
    if text.len() <= TEXT_MAX_BYTES {
        return text.into();
    }
    let start = &text[..text.floor_char_boundary(TEXT_MAX_BYTES)];
    let (len, hash) = (text.len(), hash_of(text));
    format_smolstr!("{start}... ({len} bytes, hash {hash:016x})")
}
