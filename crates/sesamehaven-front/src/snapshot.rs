//! Background task that saves what must survive a restart of all fronts, and restores it after a start.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use metrics::gauge;
use serde::{Deserialize, Serialize};

use sesamehaven::part_quarantine::SavedPart;
use sesamehaven::restore::EraChange;
use sesamehaven::rollout::SavedRollout;
use sesamehaven::unit::Millis;

use crate::clock;
use crate::error::Result;
use crate::front::Front;
use crate::protocol::{Directory, EntriesRead, Protocol, Reading};
use crate::refresh::{Dependency, apply_endpoints, observe_era};
use crate::rollouts::apply_rules;
use crate::saved_versions::VersionSnapshot;
use crate::shared_limits::UsageSnapshot;
use crate::unreadable::Unreadable;

/// What a front saves in the directory for a restart of all fronts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Snapshot {
    #[serde(flatten)]
    usage: UsageSnapshot,
    #[serde(flatten)]
    versions: VersionSnapshot,
    /// The parts of prompts that crash endpoints.
    #[serde(default)]
    parts: Vec<SavedPart>,
    /// The rollouts that are under way.
    #[serde(default)]
    rollouts: Vec<SavedRollout>,
}

/// The interval between snapshots while there is something to save.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a save takes at most as long as the directory is not slow.
const USUAL_SAVE_TIME: Millis = Millis(500);
/// The interval between snapshots while there are streams to save.
const STREAMS_INTERVAL: Duration = Duration::from_millis(250);
/// The same for each front of a large fleet, so that all together write 50 times a second at most.
const STREAMS_INTERVAL_PER_FRONT: Duration = Duration::from_millis(20);
/// The maximum number of parts that are saved.
const SNAPSHOT_MAX_PARTS: usize = 64;
/// The number of fronts that save on behalf of all; each saves the versions that it uses and its streams.
const SNAPSHOT_WRITERS: usize = 2;
/// The pause between attempts to load the snapshots after a start.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Saves the usage of limits that are nearly exhausted, the versions of pools, the streams of pools that
/// have several, the parts of prompts that crash endpoints, and rollouts, because they are lost if all
/// fronts restart.
pub(crate) async fn save_snapshots<P: Protocol>(
    front: Rc<Front<P>>,
    directory: Rc<impl Directory>,
) {
    let mut unreadable = Unreadable::default();
    restore_snapshots(&front, &*directory, &mut unreadable).await;
    let name = front.settings.borrow().name.clone();
    let mut last = Snapshot::default();
    // The duration of the last save, and since when the next one has been tried.
    let (mut last_save, mut unsaved_since) = (Millis(0), None);
    let mut has_withheld = false;
    let mut saved_in = front.restore_guard.borrow().era();
    let mut dependency = Dependency {
        name: "kept_spending",
        is_down: false,
    };
    loop {
        // A new version is used only once it is saved.
        let new_version = front.origins.new_version();
        let interval = interval(&front, &last, has_withheld);
        let has_new = tokio::time::timeout(interval, new_version).await.is_ok();
        if has_new || has_withheld {
            has_withheld = apply_endpoints(&front);
        }
        if !front.origins.is_restored()
            && !restore_versions(&front, &*directory, &mut unreadable).await
        {
            // Saving would replace the record from before the start.
            continue;
        }
        let snapshot = snapshot_of(&front, save_interval(last_save));
        let era = front.restore_guard.borrow().era();
        if era != saved_in {
            // The directory may have lost what was saved.
            (saved_in, last) = (era, Snapshot::default());
        }
        if snapshot == last {
            continue;
        }
        let json = match serde_json::to_vec(&snapshot) {
            Ok(json) => Bytes::from(json),
            Err(err) => {
                spdlog::error!("failed to encode snapshot", kv: { reason = err.to_string() });
                continue;
            }
        };
        let since = *unsaved_since.get_or_insert_with(clock::now);
        let outcome = directory.save_snapshot(&name, json).await;
        dependency.record(outcome.as_ref().map(|_| ()));
        if let Ok(Reading { era, .. }) = outcome
            && observe_era(&front, era) == EraChange::Same
        {
            if front.origins.on_saved(&snapshot.versions) {
                has_withheld = apply_endpoints(&front);
            }
            last = snapshot;
            (last_save, unsaved_since) = (clock::now().since(since), None);
        }
    }
}

/// Returns the time between saves of which the last one took `elapsed`, or zero if it was as usual.
fn save_interval(elapsed: Millis) -> Millis {
    let interval = SNAPSHOT_INTERVAL.as_millis() as u64;
    match elapsed.0 > USUAL_SAVE_TIME.0 {
        // Rounded, so that a snapshot does not change with each save.
        true => Millis((elapsed.0 + interval).next_multiple_of(interval)),
        false => Millis(0),
    }
}

fn snapshot_of<P: Protocol>(front: &Front<P>, save_interval: Millis) -> Snapshot {
    let now = clock::now();
    let versions = front.origins.snapshot(now);
    if front.peers.borrow().rank(now) >= SNAPSHOT_WRITERS {
        return Snapshot {
            versions,
            ..Snapshot::default()
        };
    }
    Snapshot {
        usage: front.shared_limits.borrow().snapshot(save_interval, now),
        versions,
        parts: front.part_quarantine.borrow().saved(SNAPSHOT_MAX_PARTS),
        rollouts: front.rollouts.saved(now),
    }
}

/// Returns the interval between snapshots.
///
/// Streams are saved more often in small fleets, and less often in large ones, except by the fronts that
/// save the usage of limits.
fn interval<P: Protocol>(front: &Front<P>, last: &Snapshot, has_withheld: bool) -> Duration {
    if !last.versions.has_streams() {
        return SNAPSHOT_INTERVAL;
    }
    let now = clock::now();
    let peers = front.peers.borrow();
    let fronts = peers.liveness.live_processes(now) as u32;
    let interval = STREAMS_INTERVAL.max(STREAMS_INTERVAL_PER_FRONT * fronts);
    match has_withheld || peers.rank(now) < SNAPSHOT_WRITERS {
        true => interval.min(SNAPSHOT_INTERVAL),
        false => interval,
    }
}

/// Restores what was saved before the start, the usage as soon as the limits are known.
///
/// It gives up after a window of the limits, in which the usage from before the start has expired.
async fn restore_snapshots<P: Protocol>(
    front: &Front<P>,
    directory: &impl Directory,
    unreadable: &mut Unreadable,
) {
    let Some(snapshots) = load_snapshots(front, directory, unreadable).await else {
        return spdlog::warn!("started without usage snapshots");
    };
    let versions = snapshots.iter().map(|s| &s.versions);
    front.origins.restore(versions, clock::now());
    restore_parts(front, snapshots.iter().flat_map(|s| &s.parts));
    let rollouts = snapshots.iter().flat_map(|s| s.rollouts.clone());
    let listing = front.endpoints.listing();
    let rollouts = rollouts.collect();
    front.rollouts.restore(rollouts, &listing, clock::now());
    apply_rules(front, &listing);
    front.config.wait_for_first().await;
    let mut shared_limits = front.shared_limits.borrow_mut();
    let usage: Vec<&UsageSnapshot> = snapshots.iter().map(|s| &s.usage).collect();
    shared_limits.restore(&usage, clock::now());
    front.start_gate.on_usage_asked();
    spdlog::info!("usage snapshots restored", kv: { fronts = snapshots.len() });
}

/// Restores the versions after the directory was away at the start; returns whether it has answered.
async fn restore_versions<P: Protocol>(
    front: &Front<P>,
    directory: &impl Directory,
    unreadable: &mut Unreadable,
) -> bool {
    let Ok(snapshots) = read_snapshots(front, directory, unreadable).await else {
        return false;
    };
    front
        .origins
        .restore(snapshots.iter().map(|s| &s.versions), clock::now());
    spdlog::info!("versions restored", kv: { fronts = snapshots.len() });
    true
}

fn restore_parts<'a, P: Protocol>(front: &Front<P>, parts: impl Iterator<Item = &'a SavedPart>) {
    let mut quarantine = front.part_quarantine.borrow_mut();
    quarantine.restore(parts, clock::now());
    gauge!("front_quarantined_parts").set(quarantine.quarantined() as f64);
}

async fn load_snapshots<P: Protocol>(
    front: &Front<P>,
    directory: &impl Directory,
    unreadable: &mut Unreadable,
) -> Option<Vec<Snapshot>> {
    let started = clock::now();
    let window = front.settings.borrow().bounds.limit_window;
    while clock::now().since(started) < window {
        match read_snapshots(front, directory, unreadable).await {
            Ok(snapshots) => return Some(snapshots),
            Err(err) => {
                spdlog::warn!("failed to load snapshots", kv: { reason = err.to_string() });
                front.start_gate.on_usage_asked();
                tokio::time::sleep(SNAPSHOT_RETRY_INTERVAL).await;
            }
        }
    }
    None
}

/// Reads the snapshots of all fronts; those that cannot be parsed are logged unless they are known.
async fn read_snapshots<P: Protocol>(
    front: &Front<P>,
    directory: &impl Directory,
    known_unreadable: &mut Unreadable,
) -> Result<Vec<Snapshot>> {
    let Reading { value, era } = directory.load_snapshots().await?;
    observe_era(front, era);
    let EntriesRead {
        entries,
        unreadable,
    } = value;
    unreadable.log_new(known_unreadable, "snapshot");
    *known_unreadable = unreadable;
    Ok(entries)
}
