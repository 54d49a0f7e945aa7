//! What is believed of the directory after it came back from an older copy of itself.
//!
//! The copy lists endpoints as they were some seconds before: some that have left since, some
//! as ready that are draining, and none that registered meanwhile. Whoever is alive writes its
//! entry again. So an entry that contradicts what was known counts only once its endpoint has
//! reported anew. See [`docs/STORE-RESTORE.md`](../../../docs/STORE-RESTORE.md).

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number of times that the directory has come back from an older copy.
///
/// Revisions are given out again in each era, so they are comparable only within one.
///
/// # Example
///
/// ```
/// use sesamehaven::restore::Era;
///
/// let era: Era = "3".parse()?;
/// assert!(era > Era(2));
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Era)
    }
}

/// The last report of an endpoint in its entry, ordered by age.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// When the endpoint started, by its own clock, or zero if the entry does not say.
    pub started_at: u64,
    /// The number of the report, which increases while the endpoint lives.
    pub sequence: u64,
}

/// How an answer of the directory relates to those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It is of the same era, or of the first one that is known.
    Same,
    /// The directory has come back from an older copy since the era named here.
    Risen(Era),
    /// It is of an earlier era, and says nothing of the directory as it is.
    Stale,
}

/// What to do with an entry of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It counts as it is.
    AsListed,
    /// It is older than what is known of the endpoint, which counts instead.
    AsKnown,
    /// Its endpoint is not known, and is not used.
    Unproven,
}

/// An entry that contradicts what was known, until its endpoint reports anew.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    is_known: bool,
    first_report: Report,
}

/// The entries that are not believed since the directory came back from an older copy.
#[derive(Debug, Default)]
pub struct RestoreGuard {
    era: Option<Era>,
    suspects: HashMap<SmolStr, Suspect>,
}

impl RestoreGuard {
    /// Returns the newest era that is known, or [`None`] if the directory has none.
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Records the era of an answer.
    pub fn on_era(&mut self, era: Option<Era>) -> EraChange {
        match (self.era, era) {
            (Some(known), Some(era)) if era < known => EraChange::Stale,
            // A directory that had eras before still has them.
            (Some(_), None) => EraChange::Stale,
            (Some(known), Some(era)) if era > known => {
                self.era = Some(era);
                EraChange::Risen(known)
            }
            (_, era) => {
                self.era = era;
                EraChange::Same
            }
        }
    }

    /// Starts to doubt the entries of the first list in a new era that are older than what is known
    /// of their endpoints, or whose endpoints are not known.
    pub fn suspect<'a>(
        &mut self,
        reports: impl IntoIterator<Item = (&'a SmolStr, &'a Report)>,
        known: impl Fn(&str) -> Option<Report>,
    ) {
        for (id, report) in reports {
            let known = known(id);
            if known.is_some_and(|known| *report >= known) {
                self.suspects.remove(id);
                continue;
            }
            let suspect = Suspect {
                is_known: known.is_some(),
                first_report: *report,
            };
            self.suspects.insert(id.clone(), suspect);
        }
    }

    /// Judges an entry.
    pub fn judge(&mut self, id: &str, report: Report) -> Verdict {
        let Some(suspect) = self.suspects.get(id) else {
            return Verdict::AsListed;
        };
        if suspect.first_report != report {
            self.suspects.remove(id);
            return Verdict::AsListed;
        }
        match suspect.is_known {
            true => Verdict::AsKnown,
            false => Verdict::Unproven,
        }
    }

    /// Forgets the suspects that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.suspects.retain(|id, _| is_listed(id));
    }

    /// Returns the number of entries that are not believed.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }
}
