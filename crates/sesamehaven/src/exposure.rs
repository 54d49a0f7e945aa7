//! Which software versions of a pool take requests while one of them is rolled out, and how many.
//!
//! Each process exposes its own share of requests to the candidate, so that the share holds for all
//! processes together without a message. See
//! [`docs/design/rollouts-and-load.md`](../../../docs/design/rollouts-and-load.md#part-2-rollouts).

use std::collections::HashMap;

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::software_version::PoolVersion;

/// The requests that an endpoint takes because of its software version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Access {
    /// It takes all requests.
    #[default]
    Open,
    /// It is being tried, and takes a share of the requests.
    Candidate,
    /// It takes only streams that it has begun.
    BegunStreams,
    /// It takes no requests.
    Closed,
}

/// The rules for the software versions of a pool.
///
/// # Example
///
/// ```
/// use sesamehaven::exposure::{Access, VersionRules};
/// use sesamehaven::software_version::PoolVersion;
///
/// let (old, new) = (PoolVersion(1), PoolVersion(2));
/// let rules = VersionRules { candidate: Some(new), ..VersionRules::default() };
/// assert_eq!(rules.access(old), Access::Open);
/// assert_eq!(rules.access(new), Access::Candidate);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionRules {
    /// The version that is tried.
    pub candidate: Option<PoolVersion>,
    /// The share of the requests that the candidate gets, from 0 to 1.
    pub share: f64,
    /// The versions that take only streams that they have begun.
    pub retired: SmallVec<[PoolVersion; 2]>,
    /// The versions that take no requests.
    pub closed: SmallVec<[PoolVersion; 2]>,
}

impl VersionRules {
    /// Returns the requests that endpoints of a version take.
    pub fn access(&self, version: PoolVersion) -> Access {
        if self.closed.contains(&version) {
            Access::Closed
        } else if self.candidate == Some(version) {
            Access::Candidate
        } else if self.retired.contains(&version) {
            Access::BegunStreams
        } else {
            Access::Open
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    requests: u64,
    exposed: u64,
}

impl Sent {
    /// Returns whether the share holds after one more request, if that is exposed.
    fn has_room(self, share: f64) -> bool {
        (self.exposed + 1) as f64 <= share * (self.requests + 1) as f64
    }
}

/// The requests that this process has sent to a pool since a rollout began, and those of them that the
/// candidate got.
#[derive(Debug, Default)]
pub struct Exposure {
    all: Sent,
    classes: HashMap<SmolStr, Sent>,
}

impl Exposure {
    /// Returns whether a request of a class may go to the candidate.
    ///
    /// All classes together keep to the share. A class may be one request ahead, so that classes with
    /// few requests are exposed as well.
    pub fn has_room(&self, class: &str, share: f64) -> bool {
        let sent = self.classes.get(class).copied().unwrap_or_default();
        let is_behind = sent.exposed as f64 <= share * sent.requests as f64;
        is_behind && self.all.has_room(share)
    }

    /// Records that a request was sent.
    pub fn on_start(&mut self, class: &SmolStr, is_exposed: bool) {
        let class = self.classes.entry(class.clone()).or_default();
        for sent in [class, &mut self.all] {
            sent.requests += 1;
            sent.exposed += u64::from(is_exposed);
        }
    }
}
