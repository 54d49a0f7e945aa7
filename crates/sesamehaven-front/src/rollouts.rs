//! Rollouts of software versions: orders of the directory, evidence of all fronts, and verdicts.
//!
//! The decisions are those of [`sesamehaven::rollout`]; this module feeds them and carries them out.

use std::cell::{LazyCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use metrics::{counter, gauge};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::exposure::VersionRules;
use sesamehaven::rollout::{
    Phase, Rollout, RolloutOrder, RolloutReport, SavedRollout, StatusWrite, Surroundings,
};
use sesamehaven::shared_limit::PeerId;
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::front::Front;
use crate::protocol::{Directory, EndpointEntry, Listing, Protocol, Reading};
use crate::refresh::observe_era;

/// How often rollouts are assessed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How often the state of a rollout is logged.
const LOG_INTERVAL: Millis = Millis(1_000);
/// The share of the other fronts that this one must hear for a verdict in favour of a candidate.
const MIN_CONNECTED_SHARE: f64 = 0.5;
/// How long the candidate of an order that was withdrawn gets nothing after it was last listed.
const CLOSED_RETENTION: Millis = Millis(60_000);
/// Why an order that was changed while it was carried out is rolled back.
const CHANGED: &str = "the order was changed while it was carried out: delete it, and order anew";
/// The event of an order that was withdrawn or changed.
const WITHDRAWN: &str = "withdrawn";
/// The maximum number of rollouts that are reported to other fronts.
const MAX_REPORTS: usize = 4;

/// A rollout with what is logged and counted of it.
#[derive(Debug)]
struct Tracked {
    rollout: Rollout,
    logged_at: Instant,
    counted: [u32; 2],
}

/// The rollouts that this front follows.
#[derive(Debug, Default)]
pub struct Rollouts {
    tracked: RefCell<BTreeMap<SmolStr, Tracked>>,
    /// The candidates of orders that were withdrawn or changed, and when they were last listed.
    closed: RefCell<HashMap<PoolVersion, (SmolStr, Instant)>>,
    /// What was saved before the start.
    restored: RefCell<Vec<SavedRollout>>,
}

impl Rollouts {
    /// Applies the orders of a new list, before its endpoints are used.
    pub(crate) fn on_listing(&self, listing: &Listing, max_age: Millis, now: Instant) {
        let changed = self.drop_withdrawn(listing, now);
        let mut tracked = self.tracked.borrow_mut();
        let mut closed = self.closed.borrow_mut();
        for order in &listing.rollouts {
            let mut order = order.clone();
            if let Some(t) = tracked.get_mut(&order.name) {
                order.error = order.error.or_else(|| t.rollout.order().error.clone());
                if let Some(phase) = t.rollout.on_listed(order, now) {
                    on_phase(&mut t.rollout, phase, listing);
                }
                continue;
            }
            if changed.contains(&order.name) {
                order.error = Some(CHANGED.into());
            } else {
                closed.remove(&order.candidate());
            }
            let name = order.name.clone();
            let mut rollout = begin(order, listing, max_age, now);
            restore(&mut rollout, &self.restored.borrow(), listing, now);
            let t = Tracked {
                rollout,
                logged_at: now,
                counted: [0; 2],
            };
            tracked.insert(name, t);
        }
        let listed = versions(listing);
        closed.retain(|version, (_, last_listed)| {
            if listed.iter().any(|(_, v)| v == version) {
                *last_listed = now;
            }
            now.since(*last_listed) < CLOSED_RETENTION
        });
    }

    /// Drops the rollouts whose orders were withdrawn or changed, and returns the names of those that
    /// were changed while they were carried out.
    fn drop_withdrawn(&self, listing: &Listing, now: Instant) -> SmallVec<[SmolStr; 1]> {
        let mut changed = SmallVec::new();
        let mut closed = self.closed.borrow_mut();
        self.tracked.borrow_mut().retain(|name, t| {
            let order = t.rollout.order();
            let listed = listing.rollouts.iter().find(|o| o.name == *name);
            if listed.is_some_and(|o| o.id() == order.id()) {
                return true;
            }
            log_event(&t.rollout, WITHDRAWN, "");
            if t.rollout.is_open() && listed.is_some_and(|o| o.is_changed(order)) {
                changed.push(name.clone());
            }
            if t.rollout.phase() != Phase::Succeeded {
                closed.insert(order.candidate(), (order.pool.clone(), now));
            }
            false
        });
        changed
    }

    /// Returns the rules for the versions of a pool.
    pub(crate) fn rules(&self, pool: &str, max_share: f64, listing: &Listing) -> VersionRules {
        let mut rules = VersionRules::default();
        for t in self.tracked.borrow().values() {
            let order = t.rollout.order();
            if order.pool != pool {
                continue;
            }
            let is_listed = listing
                .entries
                .iter()
                .any(|e| e.pool == pool && e.version == order.candidate);
            let is_alone = match t.rollout.phase() {
                // Without another version, the candidate is all there is.
                Phase::Canary => others(listing, order).next().is_none(),
                // Without the candidate, there is nothing to replace the other versions by.
                Phase::Succeeded => !is_listed,
                Phase::Promoting | Phase::RolledBack => false,
            };
            if is_alone {
                continue;
            }
            let more = t.rollout.rules(max_share);
            if more.candidate.is_some() {
                (rules.candidate, rules.share) = (more.candidate, more.share);
            }
            rules.retired.extend(more.retired);
            rules.closed.extend(more.closed);
        }
        let closed = self.closed.borrow();
        let closed = closed.iter().filter(|(_, (p, _))| p == pool);
        rules.closed.extend(closed.map(|(version, _)| *version));
        rules
    }

    /// Returns what must survive a restart of all fronts.
    pub(crate) fn saved(&self, now: Instant) -> Vec<SavedRollout> {
        let tracked = self.tracked.borrow();
        let active = tracked.values().filter(|t| t.rollout.is_open());
        active.map(|t| t.rollout.saved(now)).collect()
    }

    /// Applies what was saved before the start, also to orders that are listed later.
    pub(crate) fn restore(&self, saved: Vec<SavedRollout>, listing: &Listing, now: Instant) {
        for t in self.tracked.borrow_mut().values_mut() {
            restore(&mut t.rollout, &saved, listing, now);
        }
        *self.restored.borrow_mut() = saved;
    }

    /// Returns whether the directory lacks the verdict on any order.
    fn has_open(&self) -> bool {
        let tracked = self.tracked.borrow();
        tracked.values().any(|t| t.rollout.is_open())
    }

    /// Returns what the other fronts have to know.
    pub(crate) fn reports(&self, now: Instant) -> Vec<RolloutReport> {
        let tracked = self.tracked.borrow();
        let active = tracked.values().filter(|t| t.rollout.is_open());
        let reports = active.map(|t| t.rollout.report(now));
        reports.take(MAX_REPORTS).collect()
    }
}

fn restore(rollout: &mut Rollout, saved: &[SavedRollout], listing: &Listing, now: Instant) {
    let id = rollout.order().id();
    for saved in saved.iter().filter(|s| s.order == id) {
        if let Some(phase) = rollout.on_restored(saved, now) {
            on_phase(rollout, phase, listing);
        }
    }
}

fn begin(order: RolloutOrder, listing: &Listing, max_age: Millis, now: Instant) -> Rollout {
    let reason = order.error.clone();
    let event = match reason {
        Some(_) => "rejected",
        None => "ordered",
    };
    let reason = reason.unwrap_or_default();
    let mut rollout = Rollout::new(order, max_age, now);
    log_event(&rollout, event, &reason);
    let phase = rollout.phase();
    if phase == Phase::Succeeded {
        on_phase(&mut rollout, phase, listing);
    }
    rollout
}

/// Returns the ready endpoints of the order's pool whose version is not the candidate.
fn others<'a>(
    listing: &'a Listing,
    order: &'a RolloutOrder,
) -> impl Iterator<Item = &'a EndpointEntry> {
    let of_pool = listing.entries.iter().filter(|e| e.pool == order.pool);
    of_pool.filter(|e| e.is_ready && e.version != order.candidate)
}

/// Returns the versions of all pools that are listed.
fn versions(listing: &Listing) -> SmallVec<[(SmolStr, PoolVersion); 4]> {
    let mut versions = SmallVec::new();
    for entry in &listing.entries {
        let version = (
            entry.pool.clone(),
            PoolVersion::new(&entry.pool, &entry.version),
        );
        if !versions.contains(&version) {
            versions.push(version);
        }
    }
    versions
}

fn on_phase(rollout: &mut Rollout, phase: Phase, listing: &Listing) {
    if matches!(phase, Phase::Promoting | Phase::Succeeded) {
        let pool = rollout.order().pool.clone();
        let listed = versions(listing);
        let listed = listed.into_iter().filter(|(p, _)| *p == pool);
        rollout.retire(listed.map(|(_, version)| version));
    }
    let reason = SmolStr::new(rollout.reason());
    log_event(rollout, phase.as_str(), &reason);
}

fn log_event(rollout: &Rollout, event: &'static str, detail: &str) {
    counter!("front_rollout_events_total", "event" => event).increment(1);
    let order = rollout.order();
    let phase = match event {
        WITHDRAWN => 0.0,
        _ => f64::from(rollout.phase() as u8 + 1),
    };
    gauge!("front_rollout_phase", "pool" => order.pool.to_string()).set(phase);
    let totals = rollout.totals();
    let (candidate, baseline) = (totals.candidate(), totals.baseline());
    spdlog::info!("rollout", kv: {
        event,
        name = order.name.as_str(),
        pool = order.pool.as_str(),
        candidate = order.candidate.to_string(),
        phase = rollout.phase().as_str(),
        detail,
        revision = order.revision,
        age_ms = rollout.report(clock::now()).age,
        requests = candidate.requests, failed = candidate.failed, slow = candidate.slow,
        baseline_requests = baseline.requests,
        baseline_failed = baseline.failed,
        baseline_slow = baseline.slow
    });
}

/// Applies what another front reports of rollouts.
pub(crate) fn merge_reports<P: Protocol>(
    front: &Front<P>,
    peer: PeerId,
    reports: &[RolloutReport],
    now: Instant,
) {
    if reports.is_empty() {
        return;
    }
    // A new phase is rare, and the list is long.
    let listing = LazyCell::new(|| front.endpoints.listing());
    let mut has_changed = false;
    for t in front.rollouts.tracked.borrow_mut().values_mut() {
        for report in reports {
            if let Some(phase) = t.rollout.on_peer(peer, report, now) {
                on_phase(&mut t.rollout, phase, &listing);
                has_changed = true;
            }
        }
    }
    if has_changed {
        apply_rules(front, &listing);
    }
}

/// Applies the rules for the versions of all pools.
pub(crate) fn apply_rules<P: Protocol>(front: &Front<P>, listing: &Listing) {
    let Some(bounds) = front.settings.borrow().rollouts else {
        return;
    };
    front
        .pools
        .set_version_rules(|pool| front.rollouts.rules(pool, bounds.max_share, listing));
}

/// Assesses the rollouts periodically, and writes their status to the directory.
pub async fn run<P: Protocol>(front: Rc<Front<P>>, directory: Rc<impl Directory>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if !front.rollouts.has_open() {
            continue;
        }
        for write in tick(&front) {
            actix_rt::spawn(write_status(
                Rc::clone(&front),
                Rc::clone(&directory),
                write,
            ));
        }
    }
}

fn tick<P: Protocol>(front: &Front<P>) -> SmallVec<[StatusWrite; 1]> {
    let now = clock::now();
    let mut writes = SmallVec::new();
    if front.stalls.is_recovering(now) {
        return writes;
    }
    let listing = front.endpoints.listing();
    let (rank, share) = {
        let peers = front.peers.borrow();
        (peers.rank(now), peers.liveness.limit_share(now))
    };
    let mut has_changed = false;
    for t in front.rollouts.tracked.borrow_mut().values_mut() {
        let order = t.rollout.order().clone();
        let of_pool = listing.entries.iter().filter(|e| e.pool == order.pool);
        let of_candidate = of_pool.clone().filter(|e| e.version == order.candidate);
        let seen = Surroundings {
            endpoints: of_pool.count(),
            candidates: of_candidate.filter(|e| e.is_ready).count(),
            others: others(&listing, &order).count(),
            running_elsewhere: front
                .pools
                .running_elsewhere(&order.pool, order.candidate()),
            is_connected: share >= MIN_CONNECTED_SHARE,
        };
        front.pools.with_rollout_evidence(&order.pool, |evidence| {
            t.rollout.set_own_evidence(evidence);
        });
        count_requests(t);
        if let Some(phase) = t.rollout.on_tick(&seen, now) {
            on_phase(&mut t.rollout, phase, &listing);
            has_changed = true;
        }
        if t.rollout.is_open() && now.since(t.logged_at) >= LOG_INTERVAL {
            t.logged_at = now;
            log_event(&t.rollout, "assessed", "");
        }
        writes.extend(t.rollout.pending_write(rank, now));
    }
    if has_changed {
        apply_rules(front, &listing);
    }
    writes
}

/// Counts the responses of both sides since the last tick.
fn count_requests(t: &mut Tracked) {
    let own = t.rollout.own_evidence();
    let now = [own.candidate().requests, own.baseline().requests];
    for (side, (now, before)) in ["candidate", "baseline"]
        .into_iter()
        .zip(now.into_iter().zip(t.counted))
    {
        counter!("front_rollout_requests_total", "side" => side)
            .increment(now.saturating_sub(before).into());
    }
    t.counted = now;
}

async fn write_status<P: Protocol>(
    front: Rc<Front<P>>,
    directory: Rc<impl Directory>,
    write: StatusWrite,
) {
    let event = match directory.write_rollout_status(&write).await {
        Ok(Reading { value, era }) => {
            observe_era(&front, era);
            match value {
                true => "status_written",
                false => "status_conflict",
            }
        }
        Err(err) => {
            spdlog::warn!("failed to write the status of a rollout", kv: {
                name = write.name.as_str(), reason = err.to_string()
            });
            "status_failed"
        }
    };
    if let Some(t) = front.rollouts.tracked.borrow().get(&write.name) {
        log_event(&t.rollout, event, &format!("{:?}", write.state));
    }
}
