//! The tasks that read the directory: configuration, endpoints, and what fronts kept there.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use metrics::{counter, gauge};

use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::dialect::{Dialect, Directory, Listing};
use crate::error::Error;
use crate::front::Front;
use crate::knowledge::reads_directory;
use crate::spending::Kept;

/// The pause between attempts to read what was kept.
const KEPT_RETRY: Duration = Duration::from_millis(300);

/// Whether a dependency answers, for one log line at each change.
#[derive(Debug, Default)]
struct Dependency {
    name: &'static str,
    is_lost: bool,
}

impl Dependency {
    fn note(&mut self, outcome: Result<(), &Error>) {
        let label = if outcome.is_ok() { "ok" } else { "failed" };
        counter!("front_directory_calls_total", "what" => self.name, "outcome" => label)
            .increment(1);
        match outcome {
            Ok(()) if self.is_lost => {
                spdlog::info!("dependency regained", kv: { name = self.name });
            }
            Err(err) if !self.is_lost => {
                spdlog::warn!("dependency lost", kv: { name = self.name, reason = err.to_string() });
            }
            _ => {}
        }
        self.is_lost = outcome.is_err();
    }
}

/// Reads the configuration again and again.
pub async fn configuration<D: Dialect>(front: Rc<Front<D>>, directory: Rc<impl Directory>) {
    let mut dependency = Dependency {
        name: "configuration",
        is_lost: false,
    };
    loop {
        let sent = clock::now();
        if !reads(&front, front.knowledge.age(sent), sent) {
            pause(&front, sent).await;
            continue;
        }
        match directory.config().await {
            Ok(Some(raw)) => {
                dependency.note(Ok(()));
                take_config(&front, raw, sent, "directory");
            }
            Ok(None) => dependency.note(Ok(())),
            Err(err) => dependency.note(Err(&err)),
        }
        pause(&front, sent).await;
    }
}

/// Reads the list of endpoints again and again.
pub async fn endpoints<D: Dialect>(front: Rc<Front<D>>, directory: Rc<impl Directory>) {
    let mut dependency = Dependency {
        name: "endpoints",
        is_lost: false,
    };
    let mut lapse = Lapse::default();
    loop {
        let sent = clock::now();
        if !reads(&front, front.listed.age(sent), sent) {
            pause(&front, sent).await;
            continue;
        }
        match directory.endpoints().await {
            Ok(listing) => {
                dependency.note(Ok(()));
                let listing = lapse.bridge(&front.listed.listing(), listing, sent);
                take_endpoints(&front, listing, sent);
            }
            Err(err) => {
                lapse.on_failure(sent);
                dependency.note(Err(&err));
            }
        }
        pause(&front, sent).await;
    }
}

/// How long entries that lapsed during an outage are missed before their endpoints are taken as gone.
const LAPSE_GRACE: Millis = Millis(2_000);
/// The outage from which entries may have lapsed.
const LAPSE_OUTAGE: Millis = Millis(1_000);

/// Bridges the time in which endpoints write their entries again after an outage of the directory.
#[derive(Debug, Default)]
struct Lapse {
    failing_since: Option<Instant>,
    grace_until: Instant,
}

impl Lapse {
    fn on_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    fn bridge(&mut self, known: &Listing, mut listing: Listing, now: Instant) -> Listing {
        if let Some(since) = self.failing_since.take()
            && now.since(since) >= LAPSE_OUTAGE
        {
            self.grace_until = now.after(LAPSE_GRACE);
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
fn reads<D: Dialect>(front: &Front<D>, age: Millis, now: Instant) -> bool {
    let rank = front.peers.borrow().rank(now);
    reads_directory(rank, age, front.settings.borrow().refresh)
}

async fn pause<D: Dialect>(front: &Front<D>, sent: Instant) {
    let every = front.settings.borrow().refresh;
    let spent = clock::now().since(sent);
    tokio::time::sleep(Millis(every.0.saturating_sub(spent.0)).duration()).await;
}

pub(crate) fn take_endpoints<D: Dialect>(front: &Front<D>, listing: Listing, as_of: Instant) {
    let Some(known) = front.listed.take(listing, as_of) else {
        return;
    };
    let listing = front.listed.listing();
    for entry in &listing.entries {
        if !known.entries.contains(entry) {
            spdlog::info!("endpoint listed", kv: {
                endpoint = entry.id.as_str(),
                pool = entry.pool.as_str(),
                address = entry.address.to_string(),
                ready = entry.is_ready,
                places = entry.places
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
    front.hosts.set_entries(&listing.entries);
    front.pools.set_entries(&listing.entries, &data_centre);
    gauge!("front_listed_endpoints").set(listing.entries.len() as f64);
}

pub(crate) fn take_config<D: Dialect>(front: &Front<D>, raw: Bytes, as_of: Instant, source: &str) {
    match front.knowledge.take::<D>(raw.clone(), as_of) {
        Ok(false) => {}
        Ok(true) => {
            let Some(table) = front.knowledge.table() else {
                return;
            };
            let bounds = front.settings.borrow().bounds;
            let mut spending = front.spending.borrow_mut();
            spending.set_table(&table, &bounds, clock::now());
            drop(spending);
            counter!("front_configurations_total").increment(1);
            spdlog::info!("configuration in force", kv: {
                version = table.version,
                routes = table.routes(),
                source,
                age_ms = clock::now().since(as_of).0
            });
        }
        Err(err) => {
            counter!("front_configurations_rejected_total").increment(1);
            if front.knowledge.is_news(&raw) {
                spdlog::error!("configuration rejected, the one in force stays", kv: {
                    reason = err.to_string(),
                    version = front.knowledge.version(),
                    source
                });
            }
        }
    }
}

/// Keeps what was drawn on limits that are nearly used up, since a restart of all fronts forgets it.
pub async fn keep_spending<D: Dialect>(front: Rc<Front<D>>, directory: Rc<impl Directory>) {
    read_kept(&front, &*directory).await;
    let name = front.settings.borrow().name.clone();
    let mut last = Kept::default();
    let mut dependency = Dependency {
        name: "kept_spending",
        is_lost: false,
    };
    loop {
        tokio::time::sleep(KEEP_EVERY).await;
        let now = clock::now();
        let is_first = front.peers.borrow().rank(now) < KEEPERS;
        let kept = match is_first {
            true => front.spending.borrow().to_keep(now),
            false => Kept::default(),
        };
        if kept == last {
            continue;
        }
        let text = match serde_json::to_vec(&kept) {
            Ok(text) => Bytes::from(text),
            Err(err) => {
                spdlog::error!("spending not kept", kv: { reason = err.to_string() });
                continue;
            }
        };
        let outcome = directory.keep(&name, text).await;
        dependency.note(outcome.as_ref().copied());
        if outcome.is_ok() {
            last = kept;
        }
    }
}

/// How often spending is kept while a limit is nearly used up.
const KEEP_EVERY: Duration = Duration::from_millis(500);
/// The fronts that keep what all have drawn.
const KEEPERS: usize = 2;
/// How often what was kept is asked for after a start, until the directory answers.
const KEPT_ATTEMPTS: u32 = 8;

async fn read_kept<D: Dialect>(front: &Front<D>, directory: &impl Directory) {
    for _ in 0..KEPT_ATTEMPTS {
        // Limits are known only with the configuration.
        if front.knowledge.table().is_none() {
            tokio::time::sleep(KEPT_RETRY).await;
            continue;
        }
        match directory.kept().await {
            Ok(texts) => {
                let kept: Vec<Kept> = texts.iter().filter_map(parse_kept).collect();
                front.spending.borrow_mut().on_kept(&kept, clock::now());
                spdlog::info!("spending recalled", kv: { fronts = kept.len() });
                return;
            }
            Err(err) => {
                spdlog::warn!("spending not recalled", kv: { reason = err.to_string() });
                tokio::time::sleep(KEPT_RETRY).await;
            }
        }
    }
}

/// Reads what one front kept; what cannot be read counts as nothing kept, and is logged.
fn parse_kept(text: &Bytes) -> Option<Kept> {
    let kept = serde_json::from_slice(text);
    kept.map_err(|err| {
        spdlog::warn!("kept spending passed over", kv: { reason = err.to_string() });
    })
    .ok()
}
