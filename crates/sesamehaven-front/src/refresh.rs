//! The tasks that read the directory: configuration, endpoints, and what fronts kept there.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use metrics::{counter, gauge};

use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::directory_cache::should_poll_directory;
use crate::error::Error;
use crate::front::Front;
use crate::protocol::{Directory, Listing, Protocol};
use crate::shared_limits::UsageSnapshot;

/// The pause between attempts to read what was kept.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Whether a dependency answers, for one log line at each change.
#[derive(Debug, Default)]
struct Dependency {
    name: &'static str,
    is_down: bool,
}

impl Dependency {
    fn record(&mut self, outcome: Result<(), &Error>) {
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

/// Reads the configuration again and again.
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
            Ok(Some(raw)) => {
                dependency.record(Ok(()));
                apply_config(&front, raw, sent, "directory");
            }
            Ok(None) => dependency.record(Ok(())),
            Err(err) => dependency.record(Err(&err)),
        }
        wait_for_next_poll(&front, sent).await;
    }
}

/// Reads the list of endpoints again and again.
pub async fn poll_endpoints<P: Protocol>(front: Rc<Front<P>>, directory: Rc<impl Directory>) {
    let mut dependency = Dependency {
        name: "endpoints",
        is_down: false,
    };
    let mut outage_grace = OutageGrace::default();
    loop {
        let sent = clock::now();
        if !should_poll(&front, front.endpoints.age(sent), sent) {
            wait_for_next_poll(&front, sent).await;
            continue;
        }
        match directory.endpoints().await {
            Ok(listing) => {
                dependency.record(Ok(()));
                let listing =
                    outage_grace.retain_missing(&front.endpoints.listing(), listing, sent);
                apply_listing(&front, listing, sent);
            }
            Err(err) => {
                outage_grace.record_failure(sent);
                dependency.record(Err(&err));
            }
        }
        wait_for_next_poll(&front, sent).await;
    }
}

/// How long entries that lapsed during an outage are missed before their endpoints are taken as gone.
const OUTAGE_GRACE_PERIOD: Millis = Millis(2_000);
/// The outage from which entries may have lapsed.
const MIN_OUTAGE: Millis = Millis(1_000);

/// Bridges the time in which endpoints write their entries again after an outage of the directory.
#[derive(Debug, Default)]
struct OutageGrace {
    failing_since: Option<Instant>,
    grace_until: Instant,
}

impl OutageGrace {
    fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    fn retain_missing(&mut self, known: &Listing, mut listing: Listing, now: Instant) -> Listing {
        if let Some(since) = self.failing_since.take()
            && now.since(since) >= MIN_OUTAGE
        {
            self.grace_until = now.after(OUTAGE_GRACE_PERIOD);
        }
        if now >= self.grace_until {
            return listing;
        }
        for entry in &known.entries {
            let is_back = listing.entries.iter().any(|e| e.id == entry.id);
            let is_reused = listing.entries.iter().any(|e| e.address == entry.address);
            if !is_back && !is_reused {
                listing.entries.push(entry.clone());
            }
        }
        listing
    }
}

/// Returns whether this front reads the directory itself now.
fn should_poll<P: Protocol>(front: &Front<P>, age: Millis, now: Instant) -> bool {
    let rank = front.peers.borrow().rank(now);
    should_poll_directory(rank, age, front.settings.borrow().refresh_interval)
}

async fn wait_for_next_poll<P: Protocol>(front: &Front<P>, sent: Instant) {
    let interval = front.settings.borrow().refresh_interval;
    let elapsed = clock::now().since(sent);
    tokio::time::sleep(Millis(interval.0.saturating_sub(elapsed.0)).duration()).await;
}

pub(crate) fn apply_listing<P: Protocol>(
    front: &Front<P>,
    listing: Listing,
    confirmed_at: Instant,
) {
    let Some(known) = front.endpoints.update(listing, confirmed_at) else {
        return;
    };
    let listing = front.endpoints.listing();
    for entry in &listing.entries {
        if !known.entries.contains(entry) {
            spdlog::info!("endpoint listed", kv: {
                endpoint = entry.id.as_str(),
                pool = entry.pool.as_str(),
                address = entry.address.to_string(),
                ready = entry.is_ready,
                places = entry.slots
            });
        }
    }
    for entry in &known.entries {
        if !listing.entries.iter().any(|e| e.id == entry.id) {
            spdlog::info!("endpoint gone", kv: { endpoint = entry.id.as_str() });
        }
    }
    for (name, reason) in &listing.unreadable {
        if !known.unreadable.iter().any(|(n, _)| n == name) {
            spdlog::warn!("entry passed over", kv: { name = name.as_str(), reason = reason.as_str() });
        }
    }
    let data_centre = front.settings.borrow().data_centre.clone();
    front.connections.set_endpoints(&listing.entries);
    front.pools.set_endpoints(&listing.entries, &data_centre);
    gauge!("front_listed_endpoints").set(listing.entries.len() as f64);
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

/// Keeps what was drawn on limits that are nearly used up, since a restart of all fronts forgets it.
pub async fn save_usage<P: Protocol>(front: Rc<Front<P>>, directory: Rc<impl Directory>) {
    restore_usage(&front, &*directory).await;
    let name = front.settings.borrow().name.clone();
    let mut last = UsageSnapshot::default();
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
        if snapshot == last {
            continue;
        }
        let json = match serde_json::to_vec(&snapshot) {
            Ok(json) => Bytes::from(json),
            Err(err) => {
                spdlog::error!("spending not kept", kv: { reason = err.to_string() });
                continue;
            }
        };
        let outcome = directory.save_snapshot(&name, json).await;
        dependency.record(outcome.as_ref().copied());
        if outcome.is_ok() {
            last = snapshot;
        }
    }
}

/// How often spending is kept while a limit is nearly used up.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// The fronts that keep what all have drawn.
const SNAPSHOT_WRITERS: usize = 2;
/// How often what was kept is asked for after a start, until the directory answers.
const SNAPSHOT_READ_ATTEMPTS: u32 = 8;

async fn restore_usage<P: Protocol>(front: &Front<P>, directory: &impl Directory) {
    for _ in 0..SNAPSHOT_READ_ATTEMPTS {
        // Limits are known only with the configuration.
        if front.config.table().is_none() {
            tokio::time::sleep(SNAPSHOT_RETRY_INTERVAL).await;
            continue;
        }
        match directory.load_snapshots().await {
            Ok(snapshots) => {
                let snapshots: Vec<UsageSnapshot> =
                    snapshots.iter().filter_map(parse_snapshot).collect();
                front
                    .shared_limits
                    .borrow_mut()
                    .restore(&snapshots, clock::now());
                spdlog::info!("spending recalled", kv: { fronts = snapshots.len() });
                return;
            }
            Err(err) => {
                spdlog::warn!("spending not recalled", kv: { reason = err.to_string() });
                tokio::time::sleep(SNAPSHOT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads what one front kept; what cannot be read counts as nothing kept, and is logged.
fn parse_snapshot(json: &Bytes) -> Option<UsageSnapshot> {
    let snapshot = serde_json::from_slice(json);
    snapshot
        .map_err(|err| {
            spdlog::warn!("kept spending passed over", kv: { reason = err.to_string() });
        })
        .ok()
}
