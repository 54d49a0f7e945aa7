//! Background task that saves what must survive a restart of all fronts, and restores it after a start.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use sesamehaven::restore::EraChange;

use crate::clock;
use crate::front::Front;
use crate::protocol::{Directory, Protocol, Reading};
use crate::refresh::{Dependency, observe_era};
use crate::shared_limits::UsageSnapshot;

/// The interval between usage snapshots while a limit is nearly exhausted.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// The number of fronts that save usage on behalf of all.
const SNAPSHOT_WRITERS: usize = 2;
/// The maximum number of attempts to load the usage snapshots after a start.
const SNAPSHOT_READ_ATTEMPTS: u32 = 8;
/// The pause between these attempts.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Saves the usage of limits that are nearly exhausted, because it is lost if all fronts restart.
pub(crate) async fn save_usage<P: Protocol>(front: Rc<Front<P>>, directory: Rc<impl Directory>) {
    restore_usage(&front, &*directory).await;
    let name = front.settings.borrow().name.clone();
    let mut last = UsageSnapshot::default();
    let mut saved_in = front.restore_guard.borrow().era();
    let mut dependency = Dependency {
        name: "kept_spending",
        is_down: false,
    };
    loop {
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
        let now = clock::now();
        let is_writer = front.peers.borrow().rank(now) < SNAPSHOT_WRITERS;
        let snapshot = match is_writer {
            true => front.shared_limits.borrow().snapshot(now),
            false => UsageSnapshot::default(),
        };
        let era = front.restore_guard.borrow().era();
        if era != saved_in {
            // The directory may have lost what was saved.
            (saved_in, last) = (era, UsageSnapshot::default());
        }
        if snapshot == last {
            continue;
        }
        let json = match serde_json::to_vec(&snapshot) {
            Ok(json) => Bytes::from(json),
            Err(err) => {
                spdlog::error!("failed to encode usage snapshot", kv: { reason = err.to_string() });
                continue;
            }
        };
        let outcome = directory.save_snapshot(&name, json).await;
        dependency.record(outcome.as_ref().map(|_| ()));
        if let Ok(Reading { era, .. }) = outcome
            && observe_era(&front, era) == EraChange::Same
        {
            last = snapshot;
        }
    }
}

/// Restores the usage from before the start, as soon as the limits are known.
async fn restore_usage<P: Protocol>(front: &Front<P>, directory: &impl Directory) {
    let Some(snapshots) = load_snapshots(front, directory).await else {
        return;
    };
    front.config.wait_for_first().await;
    let mut shared_limits = front.shared_limits.borrow_mut();
    shared_limits.restore(&snapshots, clock::now());
    spdlog::info!("usage snapshots restored", kv: { fronts = snapshots.len() });
}

async fn load_snapshots<P: Protocol>(
    front: &Front<P>,
    directory: &impl Directory,
) -> Option<Vec<UsageSnapshot>> {
    for _ in 0..SNAPSHOT_READ_ATTEMPTS {
        match directory.load_snapshots().await {
            Ok(Reading { value, era }) => {
                observe_era(front, era);
                return Some(value.iter().filter_map(parse_snapshot).collect());
            }
            Err(err) => {
                spdlog::warn!("failed to load usage snapshots", kv: { reason = err.to_string() });
                tokio::time::sleep(SNAPSHOT_RETRY_INTERVAL).await;
            }
        }
    }
    None
}

/// Parses the snapshot of one front; an invalid snapshot is logged and ignored.
fn parse_snapshot(json: &Bytes) -> Option<UsageSnapshot> {
    let snapshot = serde_json::from_slice(json);
    snapshot
        .map_err(|err| {
            spdlog::warn!("invalid usage snapshot skipped", kv: { reason = err.to_string() });
        })
        .ok()
}
