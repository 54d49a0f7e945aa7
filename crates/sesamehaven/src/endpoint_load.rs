//! The load that endpoints report in their responses, and how long it counts.
//!
//! A report says how many requests an endpoint had when it made the response, those of all processes
//! together. Its age matters, as requests hold their slots for some hundred milliseconds. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#placing).

use smallvec::SmallVec;

use crate::unit::{Instant, Millis};

/// How long the reported number of requests counts at least; its weight falls evenly over this time.
const MIN_FRESHNESS: Millis = Millis(300);
/// How long it counts at most, and while no other process is heard, since nothing else tells of other
/// requests then. In the replay, 2 s served callers better than 0.3, 0.6 or 1 s while counts were late
/// or missing, and not while they arrived in time.
const MAX_FRESHNESS: Millis = Millis(2_000);
/// The number of intervals between the counts of other processes for which a report counts.
const FRESH_INTERVALS: u64 = 2;
/// The time within which a request that was sent before a report arrived may not be in it yet.
const ROUND_TRIP: Millis = Millis(10);

/// The load of an endpoint, as it reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait there.
    pub waiting: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// How long work takes there at the time, in percent of the usual time.
    ///
    /// Placement does not use the figure: in the replay, its mean added nothing to the time factor that each
    /// process learns from its own responses.
    pub work_percent: Option<u32>,
}

impl EndpointLoad {
    /// Returns the number of requests that it runs or that wait there.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Returns how long the reported number of requests counts, given the number of other processes that
/// are heard and the interval between their counts.
pub(crate) fn freshness(others: usize, interval: Millis) -> Millis {
    match others {
        0 => MAX_FRESHNESS,
        _ => Millis(interval.0.saturating_mul(FRESH_INTERVALS)).clamp(MIN_FRESHNESS, MAX_FRESHNESS),
    }
}

/// What one endpoint has reported, as it counts for placement.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoadReports {
    /// The requests of other processes in the latest report.
    others: u32,
    others_at: Option<Instant>,
    /// When this process sent its latest requests, within [`ROUND_TRIP`].
    recent_starts: SmallVec<[Instant; 4]>,
}

impl LoadReports {
    /// Records that this process sent a request to the endpoint.
    pub(crate) fn on_start(&mut self, now: Instant) {
        self.recent_starts.retain(|at| now.since(*at) < ROUND_TRIP);
        self.recent_starts.push(now);
    }

    /// Records a report that has just arrived; `own` is the number of requests that this process has
    /// at the endpoint.
    ///
    /// It counts only if it says how long work takes: other endpoints have their machines to themselves,
    /// and are served as well by the counts of processes alone.
    pub(crate) fn on_report(&mut self, load: EndpointLoad, own: u32, now: Instant) {
        if load.work_percent.is_none() {
            return;
        }
        self.recent_starts.retain(|at| now.since(*at) < ROUND_TRIP);
        let unreported = self.recent_starts.len() as u32;
        let own_reported = own.saturating_sub(unreported);
        self.others = load.requests().saturating_sub(own_reported);
        self.others_at = Some(now);
    }

    /// Returns the number of requests of other processes, given the number that they announced.
    pub(crate) fn others(&self, announced: u32, freshness: Millis, now: Instant) -> u32 {
        let age = self.others_at.map(|at| now.since(at));
        let Some(age) = age.filter(|age| *age < freshness) else {
            return announced;
        };
        let weight = 1.0 - age.0 as f64 / freshness.0 as f64;
        let (announced, reported) = (f64::from(announced), f64::from(self.others));
        (announced + weight * (reported - announced)).round() as u32
    }
}
