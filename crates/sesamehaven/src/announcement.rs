//! What endpoints say about themselves in their responses, and how long it counts.
//!
//! The directory learns of a drain later than the callers of the endpoint, may be down, and may come
//! back from an older copy. So what an endpoint said itself counts more than its entry. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#placing).

use std::collections::HashMap;
use std::fmt;

use smol_str::SmolStr;

use crate::endpoint_load::EndpointLoad;
use crate::request_rate::RequestRate;
use crate::unit::{Instant, Millis};

/// The number of drains that are remembered; most are of endpoints that have gone.
const MAX_DRAINS: usize = 4_096;
/// The longest pause that an endpoint gets; a longer one counts as an error of the endpoint.
const MAX_PAUSE: Millis = Millis(600_000);

/// What a response head says about its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Whether the endpoint is draining.
    pub is_draining: bool,
    /// How long the endpoint takes no further requests from this process.
    pub pause: Option<Millis>,
    /// The requests per second that the endpoint takes from all processes together, while it says so.
    pub limit: Option<RequestRate>,
    /// The load of the endpoint when it made the response.
    pub load: Option<EndpointLoad>,
}

impl Announcement {
    /// Returns whether the endpoint said neither that it drains nor that it wants a pause.
    pub fn is_empty(&self) -> bool {
        !self.is_draining && self.pause.is_none()
    }
}

/// Whether an endpoint takes requests, by its own account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether it is draining and gets no further requests.
    pub is_draining: bool,
    /// When the pause that it asked for ends.
    pub paused_until: Instant,
}

impl Standing {
    /// Returns whether the endpoint may get a request.
    pub fn accepts(&self, now: Instant) -> bool {
        !self.is_draining && self.paused_until <= now
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.is_draining, self.paused_until) {
            (true, _) => f.write_str("draining"),
            (false, Instant(0)) => f.write_str("open"),
            (false, Instant(until)) => write!(f, "paused until {until} ms"),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Drain {
    /// When the draining incarnation started, by its own clock, or [`None`] if that is not known.
    started_at: Option<u64>,
    announced_at: Instant,
}

/// The announcements of endpoints that still count.
///
/// They are kept apart from the list of endpoints, since the entry of a draining endpoint may vanish
/// and come back. A drain ends with the incarnation that announced it: under the same name, only an
/// endpoint that started later gets requests again. A pause ends with its time, and no announcement
/// shortens it.
///
/// # Example
///
/// ```
/// use sesamehaven::announcement::{Announcement, Announcements};
/// use sesamehaven::unit::Instant;
///
/// let mut announcements = Announcements::default();
/// let now = Instant(0);
/// let draining = Announcement { is_draining: true, ..Announcement::default() };
/// announcements.on_announcement("engine-1", Some(7), draining, now);
/// announcements.on_listed("engine-1", 7);
/// assert!(!announcements.standing("engine-1").accepts(now));
/// announcements.on_listed("engine-1", 8);
/// assert!(announcements.standing("engine-1").accepts(now));
/// ```
#[derive(Debug, Default)]
pub struct Announcements {
    drains: HashMap<SmolStr, Drain>,
    pauses: HashMap<SmolStr, Instant>,
}

impl Announcements {
    /// Records an announcement of an endpoint, whose start time is given as it is listed, and returns
    /// the part that begins with it.
    pub fn on_announcement(
        &mut self,
        id: &str,
        started_at: Option<u64>,
        announcement: Announcement,
        now: Instant,
    ) -> Announcement {
        Announcement {
            is_draining: announcement.is_draining && self.begin_drain(id, started_at, now),
            pause: announcement
                .pause
                .filter(|pause| self.begin_pause(id, *pause, now)),
            limit: None,
            load: None,
        }
    }

    /// Records that the directory lists an endpoint with a start time, zero if it has none.
    ///
    /// An older start time is that of an earlier incarnation, from an older copy of the directory.
    pub fn on_listed(&mut self, id: &str, started_at: u64) {
        let Some(drain) = self.drains.get_mut(id) else {
            return;
        };
        let Some(listed) = known_start(Some(started_at)) else {
            return;
        };
        let draining = *drain.started_at.get_or_insert(listed);
        if listed > draining {
            self.drains.remove(id);
        }
    }

    /// Returns whether an endpoint takes requests.
    pub fn standing(&self, id: &str) -> Standing {
        Standing {
            is_draining: self.drains.contains_key(id),
            paused_until: self.pauses.get(id).copied().unwrap_or_default(),
        }
    }

    fn begin_drain(&mut self, id: &str, started_at: Option<u64>, now: Instant) -> bool {
        if self.drains.contains_key(id) {
            return false;
        }
        if self.drains.len() >= MAX_DRAINS {
            self.forget_oldest_drain();
        }
        let drain = Drain {
            started_at: known_start(started_at),
            announced_at: now,
        };
        self.drains.insert(id.into(), drain);
        true
    }

    /// Begins or extends a pause, and returns whether there was none before.
    fn begin_pause(&mut self, id: &str, pause: Millis, now: Instant) -> bool {
        // Part of the current millisecond has passed.
        let until = now.after(pause.min(MAX_PAUSE)).after(Millis(1));
        self.pauses.retain(|_, until| *until > now);
        if let Some(current) = self.pauses.get_mut(id) {
            *current = until.max(*current);
            return false;
        }
        self.pauses.insert(id.into(), until);
        true
    }

    fn forget_oldest_drain(&mut self) {
        let oldest = self.drains.iter().min_by_key(|(_, d)| d.announced_at);
        let Some(id) = oldest.map(|(id, _)| id.clone()) else {
            return;
        };
        self.drains.remove(&id);
    }
}

/// Returns a listed start time, of which zero says nothing.
fn known_start(started_at: Option<u64>) -> Option<u64> {
    started_at.filter(|at| *at > 0)
}
