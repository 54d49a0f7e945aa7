//! Background tasks that poll the directory for configuration and endpoints.

use std::rc::Rc;

use bytes::Bytes;
use metrics::{counter, gauge};
use smallvec::SmallVec;
use smol_str::SmolStr;

use sesamehaven::restore::{Era, EraChange, Verdict};
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::directory_cache::should_poll_directory;
use crate::error::{Error, Result};
use crate::front::Front;
use crate::protocol::{Directory, EntriesRead, Listing, ListingRead, Protocol, Reading};
use crate::unreadable::Unreadable;

/// The interval between reads of the list while requests wait for a newer one.
const WANTED_LIST_INTERVAL: Millis = Millis(100);

/// Tracks the availability of a dependency, to log each change once.
#[derive(Debug, Default)]
pub(crate) struct Dependency {
    pub(crate) name: &'static str,
    pub(crate) is_down: bool,
}

impl Dependency {
    pub(crate) fn record(&mut self, outcome: std::result::Result<(), &Error>) {
        let label = if outcome.is_ok() { "ok" } else { "failed" };
        counter!("front_directory_calls_total", "what" => self.name, "outcome" => label)
            .increment(1);
        match outcome {
            Ok(()) if self.is_down => {
                spdlog::info!("dependency regained", kv: { name = self.name });
            }
            Err(err) if !self.is_down => {
                spdlog::warn!("dependency lost", kv: { name = self.name, reason = err.to_string() });
            }
            _ => {}
        }
        self.is_down = outcome.is_err();
    }
}

/// Polls the configuration.
pub async fn poll_config<P: Protocol>(front: Rc<Front<P>>, directory: Rc<impl Directory>) {
    let mut dependency = Dependency {
        name: "configuration",
        is_down: false,
    };
    loop {
        let sent = clock::now();
        if !should_poll(&front, front.config.age(sent), sent) {
            wait_for_next_poll(&front, sent).await;
            continue;
        }
        match directory.config().await {
            Ok(Reading { era, .. }) if observe_era(&front, era) == EraChange::Stale => {}
            Ok(Reading { value, .. }) => {
                dependency.record(Ok(()));
                if let Some(raw) = value {
                    apply_config(&front, raw, sent, "directory");
                }
            }
            Err(err) => dependency.record(Err(&err)),
        }
        wait_for_next_poll(&front, sent).await;
    }
}

/// Polls the list of endpoints.
pub async fn poll_endpoints<P: Protocol>(front: Rc<Front<P>>, directory: Rc<impl Directory>) {
    let mut dependency = Dependency {
        name: "endpoints",
        is_down: false,
    };
    let mut is_wanted = false;
    let mut unreadable_orders = Unreadable::default();
    loop {
        let sent = clock::now();
        if !is_wanted && !should_poll(&front, front.endpoints.age(sent), sent) {
            is_wanted = wait_for_next_list_poll(&front, sent).await;
            continue;
        }
        match read_endpoints(&front, &*directory, &mut unreadable_orders).await {
            Ok(reading) => {
                dependency.record(Ok(()));
                apply_listing(&front, reading.value, reading.era, sent);
            }
            Err(err) => {
                front.endpoints.on_read_failed(sent);
                dependency.record(Err(&err));
            }
        }
        is_wanted = wait_for_next_list_poll(&front, sent).await;
    }
}

/// Reads the list of endpoints and then, in deployments that have them, the orders to roll out versions.
async fn read_endpoints<P: Protocol>(
    front: &Front<P>,
    directory: &impl Directory,
    unreadable_orders: &mut Unreadable,
) -> Result<Reading<ListingRead>> {
    let mut read = directory.endpoints().await?;
    if front.settings.borrow().rollouts.is_none() {
        return Ok(read);
    }
    let orders = directory.rollouts().await?;
    if orders.era != read.era {
        let reason = "the endpoints and the orders are of two eras";
        return Err(Error::unavailable("the list of rollouts", reason));
    }
    let EntriesRead {
        entries,
        unreadable,
    } = orders.value;
    unreadable.log_new(unreadable_orders, "rollout");
    *unreadable_orders = unreadable;
    read.value.listing.rollouts = entries;
    Ok(read)
}

/// Records the era of an answer, and reports when the directory has come back from an older copy.
///
/// The next list is then compared with what the front knows.
pub(crate) fn observe_era<P: Protocol>(front: &Front<P>, era: Option<Era>) -> EraChange {
    let change = front.restore_guard.borrow_mut().on_era(era);
    if change == EraChange::Stale {
        counter!("front_directory_stale_answers_total").increment(1);
    }
    if let (EraChange::Risen(previous), Some(era)) = (change, era) {
        counter!("front_directory_restores_total").increment(1);
        spdlog::warn!("directory restored from an older copy", kv: {
            previous_era = previous.0,
            era = era.0,
            config = front.config.version(),
            config_age_ms = front.config.age(clock::now()).0,
            endpoints = front.endpoints.listing().entries.len()
        });
        front.endpoints.set_unproven();
    }
    change
}

/// Returns whether this front currently polls the directory itself.
fn should_poll<P: Protocol>(front: &Front<P>, age: Millis, now: Instant) -> bool {
    let rank = front.peers.borrow().rank(now);
    should_poll_directory(rank, age, front.settings.borrow().refresh_interval)
}

async fn wait_for_next_poll<P: Protocol>(front: &Front<P>, sent: Instant) {
    let interval = front.settings.borrow().refresh_interval;
    let elapsed = clock::now().since(sent);
    tokio::time::sleep(Millis(interval.0.saturating_sub(elapsed.0)).duration()).await;
}

/// Waits like [`wait_for_next_poll`], or until a request needs a newer list; returns whether one does.
async fn wait_for_next_list_poll<P: Protocol>(front: &Front<P>, sent: Instant) -> bool {
    let wanted = async {
        front.list_wanted.notified().await;
        let elapsed = clock::now().since(sent);
        tokio::time::sleep(
            WANTED_LIST_INTERVAL
                .duration()
                .saturating_sub(elapsed.duration()),
        )
        .await;
    };
    tokio::select! {
        biased;
        () = wanted => true,
        () = wait_for_next_poll(front, sent) => false,
    }
}

/// Applies a list of endpoints, but for what is not believed since the directory came back from an
/// older copy.
pub(crate) fn apply_listing<P: Protocol>(
    front: &Front<P>,
    read: ListingRead,
    era: Option<Era>,
    confirmed_at: Instant,
) {
    if observe_era(front, era) == EraChange::Stale {
        return;
    }
    let listing = believed_listing(front, read);
    let resumed_at = front.stalls.resumed_at(clock::now());
    front.endpoints.on_resumed(resumed_at);
    if let Some(previous) = front.endpoints.update(listing, era, confirmed_at) {
        use_listing(front, &previous);
    }
}

/// Stops using the endpoints that were retained after an outage for long enough.
pub(crate) fn drop_retained<P: Protocol>(front: &Front<P>) {
    if let Some(previous) = front.endpoints.drop_retained(clock::now()) {
        use_listing(front, &previous);
    }
}

/// Makes the rest of the front use a list that differs from the previous one.
fn use_listing<P: Protocol>(front: &Front<P>, previous: &Listing) {
    let listing = front.endpoints.listing();
    front.origins.on_listing(&listing, clock::now());
    let (rollout_bounds, refresh_interval) = {
        let settings = front.settings.borrow();
        (settings.rollouts, settings.refresh_interval)
    };
    if rollout_bounds.is_some() {
        let rollouts = &front.rollouts;
        rollouts.on_listing(&listing, refresh_interval, clock::now());
    }
    log_changes(previous, &listing);
    front.connections.set_endpoints(&listing.entries);
    apply_endpoints(front);
    gauge!("front_listed_endpoints").set(listing.entries.len() as f64);
}

/// Makes the pools use the listed endpoints, but for those of a version that is not saved yet.
///
/// Returns whether there are any.
pub(crate) fn apply_endpoints<P: Protocol>(front: &Front<P>) -> bool {
    let listing = front.endpoints.listing();
    let mut entries = listing.entries.clone();
    let has_withheld = front.origins.withhold_unsaved(&mut entries, clock::now());
    let (data_centre, rollout_bounds) = {
        let settings = front.settings.borrow();
        (settings.data_centre.clone(), settings.rollouts)
    };
    let share = rollout_bounds.map_or(0.0, |b| b.max_share);
    front.pools.set_endpoints(&entries, &data_centre, |pool| {
        front.rollouts.rules(pool, share, &listing)
    });
    has_withheld
}

fn log_changes(previous: &Listing, listing: &Listing) {
    for entry in &listing.entries {
        if !previous.entries.contains(entry) {
            spdlog::info!("endpoint listed", kv: {
                endpoint = entry.id.as_str(),
                pool = entry.pool.as_str(),
                address = entry.address.to_string(),
                version = entry.version.to_string(),
                ready = entry.is_ready,
                places = entry.slots
            });
        }
    }
    for entry in &previous.entries {
        if !listing.entries.iter().any(|e| e.id == entry.id) {
            spdlog::info!("endpoint gone", kv: { endpoint = entry.id.as_str() });
        }
    }
    listing.unreadable.log_new(&previous.unreadable, "endpoint");
}

/// Leaves out endpoints, and the end of a drain, that only an older copy of the directory tells of.
fn believed_listing<P: Protocol>(front: &Front<P>, read: ListingRead) -> Listing {
    let ListingRead {
        mut listing,
        reports,
    } = read;
    let mut guard = front.restore_guard.borrow_mut();
    let is_unproven = front.endpoints.take_unproven();
    let known = match is_unproven || guard.suspect_count() > 0 {
        true => front.endpoints.listing(),
        false => Listing::default(),
    };
    let known_entry = |id: &str| known.entries.iter().find(|e| e.id == id);
    if is_unproven && !known.entries.is_empty() {
        guard.suspect(&reports, |id| {
            let report = front.endpoints.newest_report(id);
            known_entry(id).map(|_| report.unwrap_or_default())
        });
    }
    guard.retain(|id| reports.contains_key(id));
    let mut as_known: SmallVec<[SmolStr; 4]> = SmallVec::new();
    listing.entries.retain_mut(|entry| {
        let report = reports.get(&entry.id);
        match report.map_or(Verdict::AsListed, |r| guard.judge(&entry.id, *r)) {
            Verdict::AsListed => true,
            Verdict::AsKnown => match known_entry(&entry.id) {
                Some(known) => {
                    *entry = known.clone();
                    as_known.push(entry.id.clone());
                    true
                }
                None => false,
            },
            Verdict::Unproven => false,
        }
    });
    gauge!("front_unproven_endpoints").set(guard.suspect_count() as f64);
    drop(guard);
    // The next copy is compared with what is known, not with this one.
    let is_older = |id: &SmolStr| as_known.contains(id);
    front.endpoints.set_reports(reports, is_older);
    listing
}

pub(crate) fn apply_config<P: Protocol>(
    front: &Front<P>,
    raw: Bytes,
    confirmed_at: Instant,
    source: &str,
) {
    match front.config.update::<P>(raw.clone(), confirmed_at) {
        Ok(false) => {}
        Ok(true) => {
            let Some(table) = front.config.table() else {
                return;
            };
            let bounds = front.settings.borrow().bounds;
            let mut shared_limits = front.shared_limits.borrow_mut();
            shared_limits.set_table(&table, &bounds, clock::now());
            drop(shared_limits);
            counter!("front_configurations_total").increment(1);
            spdlog::info!("configuration in force", kv: {
                version = table.version,
                routes = table.route_count(),
                source,
                age_ms = clock::now().since(confirmed_at).0
            });
        }
        Err(err) => {
            counter!("front_configurations_rejected_total").increment(1);
            if front.config.is_new_rejection(&raw) {
                spdlog::error!("configuration rejected, the one in force stays", kv: {
                    reason = err.to_string(),
                    version = front.config.version(),
                    source
                });
            }
        }
    }
}
