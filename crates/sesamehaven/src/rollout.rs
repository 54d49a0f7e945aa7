//! The progress of a rollout: a version of a pool takes over, or is rolled back.
//!
//! Every process follows an order by itself and on the same evidence, the sums of what all of them have
//! seen. Whoever comes to a verdict first stops or promotes the candidate, tells the others, and writes
//! the verdict to the directory, under the condition that the order has not changed. See
//! [`docs/design/rollouts-and-load.md`](../../../docs/design/rollouts-and-load.md#part-2-rollouts).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};

use crate::digest::hash_of;
use crate::exposure::VersionRules;
use crate::rollout_evidence::Evidence;
use crate::rollout_judge::{Assessment, Judge};
use crate::shared_limit::PeerId;
use crate::software_version::{PoolVersion, SoftwareVersion};
use crate::unit::{Instant, Millis};

/// The used part of the share of requests that a candidate may get.
///
/// The rest is for requests that are counted at other times by whoever checks the share.
const USED_SHARE: f64 = 0.8;
/// The part of the time limit after which a sound candidate is promoted.
///
/// Before, it may still turn bad; after, streams at the other versions have time to end.
const PROMOTION_SHARE: f64 = 0.6;
/// The time before the limit at which a verdict is made whatever is still missing, so that it can be
/// written while the directory is slow.
const FINISH_MARGIN: Millis = Millis(2_500);
/// How long a candidate is promoted at least before the other versions count as idle, since counts of
/// other processes are out of date.
const MIN_PROMOTION: Millis = Millis(800);
/// How long an order for a pool without endpoints is kept, since the list may be incomplete.
const UNKNOWN_POOL_GRACE: Millis = Millis(3_000);
/// The delay of a process's attempt to write a status, for each process before it in rank.
const WRITE_RANK_DELAY: Millis = Millis(400);
/// The step in which the age of an order is saved, so that it is not written more often.
pub const SAVED_AGE_STEP: Millis = Millis(2_000);
/// The pause between attempts of a process to write a status.
const WRITE_RETRY_INTERVAL: Millis = Millis(1_000);

/// The state of an order, as the directory has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// No process has taken it up.
    #[default]
    New,
    /// It is being carried out.
    Running,
    /// The candidate has taken over.
    Succeeded,
    /// The candidate was rolled back.
    RolledBack,
}

/// An order to move the requests of a pool to a software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The name of the order.
    pub name: SmolStr,
    /// The revision at which it was created, which tells it from an earlier one of the same name.
    pub created: u64,
    /// The revision of its last change.
    pub revision: u64,
    /// The pool.
    pub pool: SmolStr,
    /// The version that is to take over.
    pub candidate: SoftwareVersion,
    /// The time from the order to its limit.
    pub duration: Millis,
    /// Its state.
    pub state: OrderState,
    /// Why it cannot be carried out, if it is not valid.
    pub error: Option<SmolStr>,
}

impl RolloutOrder {
    /// Returns a hash that identifies the order, whatever its state.
    pub fn id(&self) -> u64 {
        let RolloutOrder {
            name,
            created,
            pool,
            candidate,
            duration,
            ..
        } = self;
        hash_of(format!(
            "{name}\n{created}\n{pool}\n{candidate}\n{duration}"
        ))
    }

    /// Returns whether it is the same object in the directory as another order, with other contents.
    pub fn is_changed(&self, earlier: &RolloutOrder) -> bool {
        self.created == earlier.created && self.id() != earlier.id()
    }

    /// Returns the candidate as a version of its pool.
    pub fn candidate(&self) -> PoolVersion {
        PoolVersion::new(&self.pool, &self.candidate)
    }
}

/// Returns whether the directory has no verdict on an order yet.
fn is_open(state: OrderState) -> bool {
    matches!(state, OrderState::New | OrderState::Running)
}

/// How far a rollout is; a later phase overrides an earlier one of another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The candidate gets a share of the requests.
    Canary,
    /// The candidate gets all requests, and streams end at the other versions.
    Promoting,
    /// The candidate has taken over.
    Succeeded,
    /// The candidate gets nothing.
    RolledBack,
}

impl Phase {
    /// Returns the name, used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Canary => "canary",
            Phase::Promoting => "promoting",
            Phase::Succeeded => "succeeded",
            Phase::RolledBack => "rolled_back",
        }
    }

    fn is_final(self) -> bool {
        matches!(self, Phase::Succeeded | Phase::RolledBack)
    }
}

/// What a process tells the others of a rollout.
///
/// The time is an age, since processes share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The hash of the order.
    pub order: u64,
    /// How long ago the order was given, as far as the process knows, in milliseconds.
    pub age: u32,
    /// The phase at the process.
    pub phase: Phase,
    /// Why the candidate was rolled back, or empty.
    pub reason: SmolStr,
    /// The totals of the process.
    pub evidence: Evidence,
}

/// What is saved of a rollout, so that it survives the loss of all processes.
///
/// What came of the requests is not saved: a candidate is tried anew after a restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedRollout {
    /// The hash of the order.
    pub order: u64,
    /// How long ago the order had been given, in steps of [`SAVED_AGE_STEP`].
    pub age: Millis,
    /// The phase.
    pub phase: Phase,
    /// Why the candidate was rolled back, or empty.
    pub reason: SmolStr,
}

/// What a process sees of a pool and of the other processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Surroundings {
    /// The number of listed endpoints of the pool.
    pub endpoints: usize,
    /// The number of ready endpoints of the candidate.
    pub candidates: usize,
    /// The number of ready endpoints of other versions.
    pub others: usize,
    /// The number of requests that run at the other versions.
    pub running_elsewhere: u32,
    /// Whether the process hears most of the others, and has not been paused a moment ago.
    pub is_connected: bool,
}

/// A status to write, under the condition that the order still has the revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusWrite {
    /// The name of the order.
    pub name: SmolStr,
    /// The revision of the order.
    pub revision: u64,
    /// The state.
    pub state: OrderState,
    /// The candidate.
    pub candidate: SoftwareVersion,
    /// Why the candidate was rolled back, or empty.
    pub reason: SmolStr,
}

/// The progress of one order at one process.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    phase: Phase,
    reason: SmolStr,
    seen_at: Instant,
    ordered_at: Instant,
    phase_since: Instant,
    own: Evidence,
    peers: HashMap<PeerId, Evidence>,
    judge: Judge,
    /// The versions that were listed beside the candidate when it was promoted.
    retired: SmallVec<[PoolVersion; 2]>,
    tried_to_write_at: Option<Instant>,
}

impl Rollout {
    /// Begins to follow an order.
    ///
    /// `max_age` is how long ago it may have been given at most, if it is new.
    pub fn new(order: RolloutOrder, max_age: Millis, now: Instant) -> Self {
        let ordered_at = Instant(now.0.saturating_sub(max_age.0));
        let mut rollout = Rollout {
            order,
            phase: Phase::Canary,
            reason: SmolStr::default(),
            seen_at: now,
            ordered_at,
            phase_since: now,
            own: Evidence::default(),
            peers: HashMap::new(),
            judge: Judge::default(),
            retired: SmallVec::new(),
            tried_to_write_at: None,
        };
        rollout.adopt_listed_state(now);
        rollout
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns whether the directory has no verdict yet.
    pub fn is_open(&self) -> bool {
        is_open(self.order.state)
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns why the candidate was rolled back.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Returns the totals of this process.
    pub fn own_evidence(&self) -> &Evidence {
        &self.own
    }

    /// Returns the sums over all processes.
    pub fn totals(&self) -> Evidence {
        let mut totals = self.own.clone();
        self.peers.values().for_each(|e| totals.add(e));
        totals
    }

    /// Applies the order as it is listed now; its final state overrides what this process believes.
    pub fn on_listed(&mut self, order: RolloutOrder, now: Instant) -> Option<Phase> {
        self.order = order;
        self.adopt_listed_state(now)
    }

    fn adopt_listed_state(&mut self, now: Instant) -> Option<Phase> {
        match self.order.state {
            OrderState::New | OrderState::Running => None,
            OrderState::Succeeded => self.enter(Phase::Succeeded, "", now),
            OrderState::RolledBack => self.enter(Phase::RolledBack, "the directory says so", now),
        }
    }

    /// Applies what another process reports; returns the phase that begins thereby.
    pub fn on_peer(&mut self, peer: PeerId, report: &RolloutReport, now: Instant) -> Option<Phase> {
        if report.order != self.order.id() {
            return None;
        }
        let ordered_at = Instant(now.0.saturating_sub(report.age.into()));
        self.ordered_at = self.ordered_at.min(ordered_at);
        self.peers.insert(peer, report.evidence.clone());
        match report.phase > self.phase && is_open(self.order.state) {
            true => self.enter(report.phase, &report.reason, now),
            false => None,
        }
    }

    /// Returns what the other processes have to know.
    pub fn report(&self, now: Instant) -> RolloutReport {
        RolloutReport {
            order: self.order.id(),
            age: u32::try_from(now.since(self.ordered_at).0).unwrap_or(u32::MAX),
            phase: self.phase,
            reason: self.reason.clone(),
            evidence: self.own.clone(),
        }
    }

    /// Returns what has to be saved.
    pub fn saved(&self, now: Instant) -> SavedRollout {
        let age = now.since(self.ordered_at).0;
        SavedRollout {
            order: self.order.id(),
            age: Millis(age - age % SAVED_AGE_STEP.0),
            phase: self.phase,
            reason: self.reason.clone(),
        }
    }

    /// Applies what was saved before a restart; returns the phase that begins thereby.
    pub fn on_restored(&mut self, saved: &SavedRollout, now: Instant) -> Option<Phase> {
        let ordered_at = Instant(now.0.saturating_sub(saved.age.0));
        self.ordered_at = self.ordered_at.min(ordered_at);
        let has_verdict = saved.phase > self.phase && is_open(self.order.state);
        has_verdict
            .then(|| self.enter(saved.phase, &saved.reason, now))
            .flatten()
    }

    /// Updates the totals of this process.
    pub fn set_own_evidence(&mut self, evidence: &Evidence) {
        self.own.clone_from(evidence);
    }

    /// Decides how the rollout goes on; returns the phase that begins.
    pub fn on_tick(&mut self, seen: &Surroundings, now: Instant) -> Option<Phase> {
        if self.phase.is_final() {
            return None;
        }
        if let Some(error) = self.order.error.clone() {
            return self.enter(Phase::RolledBack, &error, now);
        }
        if seen.endpoints == 0 && now.since(self.seen_at) >= UNKNOWN_POOL_GRACE {
            return self.enter(Phase::RolledBack, "no endpoint serves the pool", now);
        }
        let totals = self.totals();
        let assessment = self.judge.assess(&totals, now);
        if let Assessment::Bad(finding) = &assessment {
            let reason = finding.to_string();
            return self.enter(Phase::RolledBack, &reason, now);
        }
        let age = now.since(self.ordered_at);
        let finish_at = Millis(self.order.duration.0.saturating_sub(FINISH_MARGIN.0));
        if self.phase == Phase::Promoting {
            let is_idle =
                seen.running_elsewhere == 0 && now.since(self.phase_since) >= MIN_PROMOTION;
            let is_due = (is_idle || age >= finish_at) && seen.is_connected;
            return is_due
                .then(|| self.enter(Phase::Succeeded, "", now))
                .flatten();
        }
        let is_sound = matches!(assessment, Assessment::Sound) && seen.candidates > 0;
        let promote_at = (self.order.duration.0 as f64 * PROMOTION_SHARE) as u64;
        if is_sound && age.0 >= promote_at && seen.is_connected {
            return self.enter(Phase::Promoting, "", now);
        }
        if age >= finish_at && !is_sound {
            // Without another version there is nothing to go back to, and nothing to compare with.
            if seen.others == 0 && seen.candidates > 0 {
                return self.enter(Phase::Succeeded, "", now);
            }
            let candidate = totals.candidate();
            let reason = match seen.candidates {
                0 => SmolStr::new_static("no endpoint of the version was listed"),
                _ => format_smolstr!("only {} responses until the time limit", candidate.requests),
            };
            return self.enter(Phase::RolledBack, &reason, now);
        }
        None
    }

    /// Records the versions that the candidate replaces when it is promoted.
    pub fn retire(&mut self, versions: impl IntoIterator<Item = PoolVersion>) {
        let candidate = self.order.candidate();
        for version in versions {
            if version != candidate && !self.retired.contains(&version) {
                self.retired.push(version);
            }
        }
    }

    /// Returns the rules for the versions of the pool.
    pub fn rules(&self, max_share: f64) -> VersionRules {
        let candidate = self.order.candidate();
        match self.phase {
            Phase::Canary => VersionRules {
                candidate: Some(candidate),
                share: max_share * USED_SHARE,
                ..VersionRules::default()
            },
            Phase::Promoting | Phase::Succeeded => VersionRules {
                retired: self.retired.clone(),
                ..VersionRules::default()
            },
            Phase::RolledBack => VersionRules {
                closed: SmallVec::from_iter([candidate]),
                ..VersionRules::default()
            },
        }
    }

    /// Returns the status that this process should write now.
    ///
    /// `rank` is the number of processes that should write before it.
    pub fn pending_write(&mut self, rank: usize, now: Instant) -> Option<StatusWrite> {
        let state = match (self.phase, self.order.state) {
            (Phase::Canary | Phase::Promoting, OrderState::New) => OrderState::Running,
            (Phase::Succeeded, OrderState::New | OrderState::Running) => OrderState::Succeeded,
            (Phase::RolledBack, OrderState::New | OrderState::Running) => OrderState::RolledBack,
            _ => return None,
        };
        let since = match state {
            OrderState::Running => self.seen_at,
            _ => self.phase_since,
        };
        let is_turn = now.since(since).0 >= WRITE_RANK_DELAY.0 * rank as u64;
        let is_paced = self
            .tried_to_write_at
            .is_none_or(|at| now.since(at) >= WRITE_RETRY_INTERVAL);
        if !is_turn || !is_paced {
            return None;
        }
        self.tried_to_write_at = Some(now);
        Some(StatusWrite {
            name: self.order.name.clone(),
            revision: self.order.revision,
            state,
            candidate: self.order.candidate.clone(),
            reason: self.reason.clone(),
        })
    }

    fn enter(&mut self, phase: Phase, reason: &str, now: Instant) -> Option<Phase> {
        if self.phase == phase {
            return None;
        }
        self.tried_to_write_at = None;
        self.phase = phase;
        self.reason = reason.into();
        self.phase_since = now;
        Some(phase)
    }
}
