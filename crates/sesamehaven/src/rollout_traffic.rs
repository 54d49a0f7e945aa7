//! The traffic of one pool while a version is rolled out: what the candidate gets, and how its
//! responses compare with those of the other versions.

use smol_str::SmolStr;

use crate::digest::{hash_of, short_hash};
use crate::exposure::Exposure;
use crate::placement::DispatchOutcome;
use crate::rollout_evidence::{Evidence, Outcome, Side, SpeedReference};
use crate::software_version::PoolVersion;

/// The time, as a multiple of what is expected up to the first event, from which a request that was given
/// up without an event counts.
const GIVEN_UP_MIN_RATIO: f64 = 4.0;

/// A request whose response counts as evidence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    side: Side,
    class: u32,
    endpoint: u32,
    has_first_event: bool,
    is_recorded: bool,
}

/// What one process has sent and seen since a rollout began.
#[derive(Debug)]
pub(crate) struct RolloutTraffic {
    candidate: PoolVersion,
    share: f64,
    exposure: Exposure,
    evidence: Evidence,
    reference: SpeedReference,
}

impl RolloutTraffic {
    /// Creates the traffic of a rollout that begins, in which the candidate gets a share of the requests.
    pub(crate) fn new(candidate: PoolVersion, share: f64) -> Self {
        RolloutTraffic {
            candidate,
            share,
            exposure: Exposure::default(),
            evidence: Evidence::default(),
            reference: SpeedReference::default(),
        }
    }

    /// Returns the version that is tried.
    pub(crate) fn candidate(&self) -> PoolVersion {
        self.candidate
    }

    /// Returns whether a request of a class may go to the candidate.
    pub(crate) fn may_expose(&self, class: &str) -> bool {
        self.exposure.has_room(class, self.share)
    }

    /// Records that a request was sent to an endpoint of a version, and returns how its response counts.
    pub(crate) fn on_start(
        &mut self,
        class: &SmolStr,
        version: Option<PoolVersion>,
        endpoint: u64,
    ) -> Sample {
        let side = match version == Some(self.candidate) {
            true => Side::Candidate,
            false => Side::Baseline,
        };
        self.exposure.on_start(class, side == Side::Candidate);
        Sample {
            side,
            class: short_hash(hash_of(class)),
            endpoint: short_hash(endpoint),
            has_first_event: false,
            is_recorded: false,
        }
    }

    /// Records the time to the first event, as a ratio of the expected time.
    pub(crate) fn on_first_event(&mut self, sample: &mut Sample, ratio: f64) {
        if std::mem::replace(&mut sample.has_first_event, true) {
            return;
        }
        if self.reference.observe(sample.side, sample.class, ratio) {
            self.record(sample, Outcome::Slow);
        }
    }

    /// Records the end of a request; `ratio` is its time so far, relative to the expected time to the
    /// first event.
    pub(crate) fn on_end(&mut self, mut sample: Sample, outcome: DispatchOutcome, ratio: f64) {
        match outcome {
            DispatchOutcome::Success => self.record(&mut sample, Outcome::Good),
            DispatchOutcome::Failure => self.record(&mut sample, Outcome::Failed),
            // A request that was given up early says nothing of how long its first event would have taken.
            DispatchOutcome::Neutral if ratio >= GIVEN_UP_MIN_RATIO => {
                self.on_first_event(&mut sample, ratio);
            }
            DispatchOutcome::Neutral => {}
        }
    }

    /// Returns the totals of this process.
    pub(crate) fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    fn record(&mut self, sample: &mut Sample, outcome: Outcome) {
        if std::mem::replace(&mut sample.is_recorded, true) {
            return;
        }
        self.evidence
            .record(sample.side, sample.class, sample.endpoint, outcome);
    }
}
