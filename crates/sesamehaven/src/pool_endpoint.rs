//! The endpoints of a pool, and what a request demands of them.

use smol_str::SmolStr;

use crate::announcement::Standing;
use crate::digest::hash_of;
use crate::endpoint_load::{LoadReports, freshness};
use crate::event_pace::EventPace;
use crate::exposure::Access;
use crate::request_rate::Allowance;
use crate::software_version::PoolVersion;
use crate::unit::{Instant, Millis};

/// The duration of the first ejection; it doubles with each consecutive one.
const FIRST_EJECTION: Millis = Millis(1_000);
/// The longest ejection.
const MAX_EJECTION: Millis = Millis(8_000);
/// How long an endpoint counts as closed to a process without a part in its limit, which changes with the
/// processes that are alive.
const NO_SHARE_WAIT: Millis = Millis(600_000);
/// The requests sent to an endpoint beyond those that it runs, so that its batch
/// stays full.
pub(crate) const QUEUED_AHEAD: u32 = 1;

/// The weight of a new sample in the moving averages of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The weight of a new sample in the average time to the first event of an endpoint.
///
/// It varies more than the time in a slot, as it includes the wait behind other prompts.
const FIRST_EVENT_WEIGHT: f64 = 0.1;
/// The lower and upper bound of the time factor of an endpoint.
const TIME_FACTOR_RANGE: (f64, f64) = (0.1, 20.0);
/// The lower bound of a median interval between events, in milliseconds, below which the clock is too coarse.
const MIN_INTERVAL_MS: f64 = 1.0;
/// The number of samples before the failure rate of an endpoint is evaluated.
const MIN_SAMPLES: u32 = 4;
/// The failure rate, in excess of the pool average, above which an endpoint is ejected.
pub(crate) const FAILURE_EXCESS: f64 = 0.25;

/// The outcome of a dispatched request, as it counts for its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The endpoint returned a complete response.
    Success,
    /// The request failed or its response was invalid.
    Failure,
    /// The outcome does not reflect on the endpoint, for example when the caller disconnected.
    Neutral,
}

/// What processes have sent to an endpoint that has not ended yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatchedLoad {
    /// The number of requests.
    pub running: u32,
    /// The expected time to prefill the prompts that have no first event yet, in milliseconds.
    pub prefill_ms: u32,
}

impl DispatchedLoad {
    /// Returns the load of requests that have no prompts, or whose first events have arrived.
    pub fn of_running(running: u32) -> Self {
        DispatchedLoad {
            running,
            prefill_ms: 0,
        }
    }
}

/// An endpoint as listed in the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// The incarnation of the endpoint.
    pub id: SmolStr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in the data centre of this process.
    pub is_near: bool,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// The version of its software.
    pub version: PoolVersion,
}

/// The properties of a request that placement decides by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The session or prefix whose cached prompt the request can reuse.
    pub session: Option<u64>,
    /// Whether the request holds its slot longer than is typical.
    pub is_long: bool,
    /// The expected time to its first event on an average endpoint, in milliseconds.
    pub first_event_ms: f64,
    /// The part of it in which the endpoint reads this prompt and no other one, in milliseconds.
    pub prefill_ms: f64,
    /// The expected time in a slot at an average endpoint, in milliseconds.
    pub slot_ms: f64,
    /// The time within which the first event is on time.
    pub objective: Millis,
    /// The gap between events up to which a stream is on time, or [`None`] for other responses.
    pub gap_objective: Option<Millis>,
    /// The time left to the deadline.
    pub deadline_left: Millis,
    /// The time left to its objective, or [`None`] if it is late already.
    pub time_left: Option<Millis>,
    /// A number, different for each request, that breaks ties between endpoints.
    pub tie_breaker: u64,
    /// The software version that began its stream, if it goes on with one.
    pub version: Option<PoolVersion>,
}

impl Demand {
    pub(crate) fn allows(&self, endpoint: &PoolEndpoint) -> bool {
        endpoint.takes(self.version)
    }
}

/// How long a process that holds part of an endpoint's limit may leave it without a request. A process gets about
/// one request per second of a limit, which is the longest interval at which the end of a limit is noticed within two seconds.
const LIMIT_PROBE_INTERVAL: Millis = Millis(1_000);

/// An endpoint with the load and health that this process observes.
#[derive(Debug, Clone)]
pub(crate) struct PoolEndpoint {
    pub(crate) listed: ListedEndpoint,
    /// The requests that it takes because of its software version.
    pub(crate) access: Access,
    pub(crate) standing: Standing,
    /// What this process may send of the limit that the endpoint named.
    pub(crate) allowance: Option<Allowance>,
    /// When this process last sent it a request, or learned of its limit.
    pub(crate) probed_at: Instant,
    pub(crate) hash: u64,
    pub(crate) own_running: u32,
    pub(crate) own_long_running: u32,
    /// The expected prefill time of this process's requests there that have no first event yet.
    pub(crate) own_prefill_ms: f64,
    /// The same of the other processes.
    pub(crate) peer_prefill_ms: f64,
    pub(crate) peer_running: u32,
    pub(crate) reports: LoadReports,
    /// How long the number of requests in a report counts.
    pub(crate) freshness: Millis,
    /// The free slots that this process may claim until the next peer update.
    pub(crate) claimable: u32,
    /// How much longer requests take here than on average, by the intervals between events where there are
    /// streams, and by the ratio of actual to expected time in a slot elsewhere.
    pub(crate) time_factor: f64,
    pub(crate) pace: EventPace,
    /// When this process last sent it a request.
    pub(crate) sent_at: Instant,
    /// The moving average of the ratio of actual to expected time to the first event.
    pub(crate) first_event_factor: f64,
    pub(crate) failure_rate: f64,
    pub(crate) samples: u32,
    pub(crate) ejected_until: Instant,
    pub(crate) ejections: u32,
    pub(crate) full_until: Instant,
}

impl PoolEndpoint {
    pub(crate) fn new(listed: ListedEndpoint) -> Self {
        PoolEndpoint {
            hash: hash_of(&listed.id),
            listed,
            access: Access::Open,
            standing: Standing::default(),
            allowance: None,
            probed_at: Instant(0),
            own_running: 0,
            own_long_running: 0,
            own_prefill_ms: 0.0,
            peer_prefill_ms: 0.0,
            peer_running: 0,
            reports: LoadReports::default(),
            freshness: freshness(0, Millis(0)),
            claimable: 0,
            time_factor: 1.0,
            pace: EventPace::default(),
            sent_at: Instant(0),
            first_event_factor: 1.0,
            failure_rate: 0.0,
            samples: 0,
            ejected_until: Instant(0),
            ejections: 0,
            full_until: Instant(0),
        }
    }

    /// Returns when the endpoint takes a request of this process, as far as it has said.
    pub(crate) fn opens_at(&self, now: Instant) -> Instant {
        let allowed_at = match &self.allowance {
            Some(allowance) => allowance.opens_at(1, now),
            None => Some(now),
        };
        let allowed_at = allowed_at.unwrap_or(now.after(NO_SHARE_WAIT));
        allowed_at.max(self.standing.paused_until)
    }

    /// Returns whether it is to get the next request, so that it uses its limit and the end of the limit is noticed.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.allowance.is_some() && now.since(self.probed_at) >= LIMIT_PROBE_INTERVAL
    }

    /// Returns whether its version takes requests that begin anywhere, or those of a stream that a
    /// version has begun.
    pub(crate) fn takes(&self, begun_by: Option<PoolVersion>) -> bool {
        match begun_by {
            Some(version) => version == self.listed.version && self.access != Access::Closed,
            None => self.access == Access::Open,
        }
    }

    /// Returns the number of requests of all processes, by their own counts and by the endpoint's
    /// latest report.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let others = self.reports.others(self.peer_running, self.freshness, now);
        self.own_running.saturating_add(others)
    }

    /// Returns the expected time to prefill the prompts there that have no first event yet, at an
    /// average endpoint.
    pub(crate) fn prefill_ms(&self) -> f64 {
        self.own_prefill_ms + self.peer_prefill_ms
    }

    /// Records the time to the first event of a response, as a ratio of the expected time.
    pub(crate) fn on_first_event(&mut self, factor: f64) {
        let factor = factor.clamp(TIME_FACTOR_RANGE.0, TIME_FACTOR_RANGE.1);
        self.first_event_factor += FIRST_EVENT_WEIGHT * (factor - self.first_event_factor);
    }

    /// Updates the time factor by the intervals between events, given the median of the pool.
    pub(crate) fn set_median_interval(&mut self, median_ms: f64) {
        if let Some(interval_ms) = self.pace.interval_ms() {
            let factor = interval_ms / median_ms.max(MIN_INTERVAL_MS);
            self.time_factor = factor.clamp(TIME_FACTOR_RANGE.0, TIME_FACTOR_RANGE.1);
        }
    }

    /// Records what came of a request; `factor` is the ratio of its actual to its expected duration.
    pub(crate) fn on_outcome(&mut self, outcome: DispatchOutcome, factor: Option<f64>) {
        if let Some(factor) = factor
            && self.pace.interval_ms().is_none()
        {
            let factor = factor.clamp(TIME_FACTOR_RANGE.0, TIME_FACTOR_RANGE.1);
            self.time_factor += SAMPLE_WEIGHT * (factor - self.time_factor);
        }
        let failed = match outcome {
            DispatchOutcome::Success => 0.0,
            DispatchOutcome::Failure => 1.0,
            DispatchOutcome::Neutral => return,
        };
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += SAMPLE_WEIGHT * (failed - self.failure_rate);
        if failed == 0.0 && self.failure_rate < FAILURE_EXCESS / 2.0 {
            self.ejections = 0;
        }
    }

    /// Returns by how much its failure rate exceeds the mean of the pool, zero with too few samples.
    ///
    /// At most half of its own rate counts as average, so that an endpoint with a high failure rate is
    /// ejected even if the whole pool fails.
    pub(crate) fn failure_excess(&self, mean: f64) -> f64 {
        match self.samples >= MIN_SAMPLES {
            true => self.failure_rate - mean.min(self.failure_rate / 2.0),
            false => 0.0,
        }
    }

    /// Ejects the endpoint; the duration doubles with each consecutive ejection up to
    /// [`MAX_EJECTION`].
    pub(crate) fn eject(&mut self, now: Instant) {
        let span = FIRST_EJECTION.0 << self.ejections.min(8);
        self.ejected_until = now.after(Millis(span.min(MAX_EJECTION.0)));
        self.ejections += 1;
    }

    /// Returns whether the first event of a request is expected in time for its objective.
    pub(crate) fn is_on_time(&self, demand: &Demand) -> bool {
        let expected_ms = demand.first_event_ms * self.first_event_factor;
        demand
            .time_left
            .is_none_or(|left| expected_ms <= left.0 as f64)
    }

    pub(crate) fn free(&self, now: Instant) -> u32 {
        (self.listed.slots + QUEUED_AHEAD).saturating_sub(self.load(now))
    }
}
