//! The grace period of a process that stops: which requests it still starts, and when it answers the rest.
//!
//! See [`docs/FRONT.md`](../../../docs/FRONT.md#a-planned-stop).

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::unit::{Instant, Millis};

/// The time that the load balancer takes to notice that a process is not ready.
pub const BALANCER_REACTION_TIME: Millis = Millis(2_800);
/// How long before the end of the grace period the process exits.
const EXIT_MARGIN: Millis = Millis(400);
/// The time to write answers before the exit.
const ANSWER_TIME: Millis = Millis(250);
/// How long a duration is remembered at least.
const MEMORY: Millis = Millis(60_000);

/// The time that a process has from SIGTERM until it exits.
///
/// # Example
///
/// ```
/// use sesamehaven::grace::Grace;
/// use sesamehaven::unit::{Instant, Millis};
///
/// let grace = Grace::new(Instant(0), Millis(8_000));
/// assert_eq!(grace.answers_at(), Instant(7_350));
/// assert_eq!(grace.last_start(Millis(3_000)), Instant(4_350));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    began: Instant,
    exits_at: Instant,
}

impl Grace {
    /// Begins the grace period of a length.
    pub fn new(began: Instant, length: Millis) -> Self {
        Grace {
            began,
            exits_at: began.after(Millis(length.0.saturating_sub(EXIT_MARGIN.0))),
        }
    }

    /// Returns when the load balancer sends no more, so that idle connections can be closed.
    pub fn is_out_of_balance(&self, now: Instant) -> bool {
        now.since(self.began) >= BALANCER_REACTION_TIME
    }

    /// Returns when requests that still run or wait get an answer of the process itself.
    pub fn answers_at(&self) -> Instant {
        let answers_at = self.exits_at.0.saturating_sub(ANSWER_TIME.0);
        Instant(answers_at.max(self.began.0))
    }

    /// Returns when the process exits at the latest.
    pub fn exits_at(&self) -> Instant {
        self.exits_at
    }

    /// Returns the last moment at which a request that may take `duration` is started.
    ///
    /// While the load balancer still sends requests here, all are started: they could go nowhere else yet.
    pub fn last_start(&self, duration: Millis) -> Instant {
        let latest = self.answers_at().0.saturating_sub(duration.0);
        Instant(latest).max(self.began.after(BALANCER_REACTION_TIME))
    }
}

/// The longest duration of the last minutes.
#[derive(Debug, Clone, Copy, Default)]
struct RecentMax {
    since: Instant,
    current: Millis,
    previous: Millis,
}

/// How long requests of each route have run lately.
#[derive(Debug, Default)]
pub struct RunTimes {
    by_route: HashMap<SmolStr, RecentMax>,
}

impl RunTimes {
    /// Records how long a request ran.
    pub fn record(&mut self, route: &SmolStr, duration: Millis, now: Instant) {
        if let Some(recent) = self.by_route.get_mut(route) {
            if now.since(recent.since) >= MEMORY {
                (recent.since, recent.previous) = (now, recent.current);
                recent.current = Millis(0);
            }
            recent.current = recent.current.max(duration);
            return;
        }
        let recent = RecentMax {
            since: now,
            current: duration,
            previous: Millis(0),
        };
        self.by_route.insert(route.clone(), recent);
    }

    /// Returns how long a request may run that must end within `remaining`: half again as long as the longest
    /// of late, or all of that time if none has run.
    pub fn expected(&self, route: &str, remaining: Millis) -> Millis {
        let recent = self.by_route.get(route);
        let longest = recent.map(|r| r.current.max(r.previous));
        longest.map_or(remaining, |d| Millis(d.0 + d.0 / 2).min(remaining))
    }
}
