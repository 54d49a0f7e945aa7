//! The configuration and the endpoint list last obtained from the directory or from a peer, with
//! their ages.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::Notify;

use sesamehaven::digest::hash_of;
use sesamehaven::outage::OutageDetector;
use sesamehaven::restore::{Era, Report};
use sesamehaven::unit::{Instant, Millis};

use crate::error::Result;
use crate::protocol::{EndpointEntry, Listing, Protocol};
use crate::routing_table::RoutingTable;

/// The endpoint list and the time at which it was last confirmed.
///
/// After an outage of the directory, endpoints that are missing from the confirmed list stay in use for a
/// moment, so that they can renew their entries. Other fronts get the confirmed list only: each decides by
/// what it knows itself whether there was an outage.
#[derive(Debug, Default)]
pub struct ListingCache {
    /// The list in use, which includes retained endpoints.
    listing: RefCell<Listing>,
    in_use_digest: Cell<u64>,
    confirmed_listing: RefCell<Listing>,
    digest: Cell<u64>,
    reports: RefCell<HashMap<SmolStr, Report>>,
    /// The newest reports, which may be newer than those of an older copy.
    newest_reports: RefCell<HashMap<SmolStr, Report>>,
    confirmed: Cell<Instant>,
    outage: RefCell<OutageDetector>,
    era: Cell<Option<Era>>,
    is_unproven: Cell<bool>,
    has_gap: Cell<bool>,
}

/// The longest time between two confirmations of the list within which a software version is not taken to have
/// come and gone unseen.
const MAX_UNSEEN: Millis = Millis(3_000);

impl ListingCache {
    /// Returns the endpoint list in use.
    pub fn listing(&self) -> Listing {
        self.listing.borrow().clone()
    }

    /// Returns the endpoint list as last confirmed, for other fronts.
    pub fn confirmed_listing(&self) -> Listing {
        self.confirmed_listing.borrow().clone()
    }

    /// Returns when an endpoint started, as the list says.
    pub fn started_at(&self, endpoint: &str) -> Option<u64> {
        let listing = self.listing.borrow();
        let entry = listing.entries.iter().find(|e| e.id == endpoint);
        entry.map(|e| e.started_at)
    }

    /// Returns the hash of the confirmed list, or zero before the first one.
    pub fn digest(&self) -> u64 {
        self.digest.get()
    }

    /// Returns the last reports of the endpoints, as of the last list that was read or fetched.
    pub fn reports(&self) -> HashMap<SmolStr, Report> {
        self.reports.borrow().clone()
    }

    /// Returns the newest report of an endpoint that is believed, also if an older copy of the directory has
    /// come back since.
    pub fn newest_report(&self, endpoint: &str) -> Option<Report> {
        self.newest_reports.borrow().get(endpoint).copied()
    }

    /// Stores the last reports of the endpoints; those for which `is_older` holds are not believed.
    pub fn set_reports(
        &self,
        reports: HashMap<SmolStr, Report>,
        is_older: impl Fn(&SmolStr) -> bool,
    ) {
        let newest = reports.iter().map(|(id, report)| {
            let known = self.newest_report(id).filter(|_| is_older(id));
            (id.clone(), known.unwrap_or(*report))
        });
        let newest = newest.collect();
        self.newest_reports.replace(newest);
        self.reports.replace(reports);
    }

    /// Records that the next list may be of an older copy of the directory.
    pub fn set_unproven(&self) {
        self.is_unproven.set(true);
    }

    /// Returns whether the next list may be of an older copy, and resets the mark.
    pub fn take_unproven(&self) -> bool {
        self.is_unproven.take()
    }

    /// Returns the time since the endpoint list was last confirmed.
    pub fn age(&self, now: Instant) -> Millis {
        now.since(self.confirmed.get())
    }

    /// Returns whether the list is known to have been current at a time.
    pub fn is_confirmed_at(&self, at: Instant) -> bool {
        self.confirmed.get() >= at
    }

    /// Returns whether endpoints may have come and gone unseen since the last call.
    pub fn take_gap(&self) -> bool {
        self.has_gap.take()
    }

    /// Records that a read sent at `sent` failed.
    pub fn on_read_failed(&self, sent: Instant) {
        self.outage.borrow_mut().on_failure(sent);
    }

    /// Records that this process resumed after a stall.
    pub fn on_resumed(&self, at: Instant) {
        self.outage.borrow_mut().on_resumed(at);
    }

    /// Records that the directory answered another front as of `at`.
    pub fn on_confirmed_elsewhere(&self, at: Instant) {
        self.outage.borrow_mut().on_confirmed(at);
    }

    fn set_confirmed(&self, at: Instant) {
        self.outage.borrow_mut().on_confirmed(at);
        let previous = self.confirmed.replace(at);
        if previous > Instant::default() && at.since(previous) > MAX_UNSEEN {
            self.has_gap.set(true);
        }
    }

    /// Stores a list of an era that was current at `confirmed_at`, and returns the previous list in use if
    /// that changes.
    ///
    /// A list older than the stored one is ignored.
    pub fn update(
        &self,
        listing: Listing,
        era: Option<Era>,
        confirmed_at: Instant,
    ) -> Option<Listing> {
        if confirmed_at < self.confirmed.get() {
            return None;
        }
        self.set_confirmed(confirmed_at);
        let previous_era = self.era.replace(era);
        if previous_era.is_some() && era > previous_era {
            self.outage.borrow_mut().on_restored(confirmed_at);
        }
        self.digest.set(listing.digest());
        self.confirmed_listing.replace(listing);
        self.refresh_in_use(confirmed_at)
    }

    /// Stops using the endpoints that were retained for long enough, and returns the previous list in use if
    /// there were any.
    pub fn drop_retained(&self, now: Instant) -> Option<Listing> {
        if self.in_use_digest == self.digest || self.outage.borrow().retains_missing(now) {
            return None;
        }
        self.refresh_in_use(now)
    }

    fn refresh_in_use(&self, now: Instant) -> Option<Listing> {
        let mut listing = self.confirmed_listing();
        if self.outage.borrow().retains_missing(now) {
            add_missing(&mut listing, &self.listing.borrow());
        }
        let digest = listing.digest();
        if self.in_use_digest.replace(digest) == digest {
            return None;
        }
        Some(self.listing.replace(listing))
    }

    /// Records that the list was still current at `confirmed_at`.
    pub fn confirm(&self, confirmed_at: Instant) {
        self.set_confirmed(self.confirmed.get().max(confirmed_at));
    }
}

/// Adds the endpoints of an earlier list whose names and addresses are missing.
fn add_missing(listing: &mut Listing, earlier: &Listing) {
    let is_missing = |entry: &&EndpointEntry| {
        let mut listed = listing.entries.iter();
        !listed.any(|e| e.id == entry.id || e.address == entry.address)
    };
    let missing: Vec<EndpointEntry> = earlier.entries.iter().filter(is_missing).cloned().collect();
    listing.entries.extend(missing);
}

/// Returns whether this front polls the directory itself.
///
/// Only the first fronts by rank poll it, as long as they keep the others up to date: the platform
/// counts each call, and its rate limits grow more slowly than the fleet.
pub fn should_poll_directory(rank: usize, age: Millis, refresh_interval: Millis) -> bool {
    rank < POLLING_FRONTS || age.0 > refresh_interval.0 * STALE_AFTER_INTERVALS
}

/// The number of fronts that poll the directory on behalf of all.
const POLLING_FRONTS: usize = 2;
/// The age, in refresh intervals, above which a front polls the directory itself.
const STALE_AFTER_INTERVALS: u64 = 2;

/// The configuration in force and the time at which it was last known to be the newest.
///
/// The confirmation time is the time at which the read was sent, so that a change made while the
/// response was in transit does not count as seen. For state from a peer, the age that the peer
/// reported is subtracted.
#[derive(Debug, Default)]
pub struct ConfigCache {
    table: RefCell<Option<Rc<RoutingTable>>>,
    raw: RefCell<Bytes>,
    confirmed: Cell<Instant>,
    last_rejected: Cell<u64>,
    changed: Notify,
}

impl ConfigCache {
    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Waits until there is a configuration.
    pub async fn wait_for_first(&self) {
        let changed = self.changed.notified();
        if self.table.borrow().is_none() {
            changed.await;
        }
    }

    /// Returns the version in force, or zero before there is one.
    pub fn version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version)
    }

    /// Returns the configuration in its original format, for other fronts.
    pub fn raw(&self) -> Bytes {
        self.raw.borrow().clone()
    }

    /// Returns the time since the configuration was last known to be the newest.
    pub fn age(&self, now: Instant) -> Millis {
        now.since(self.confirmed.get())
    }

    /// Stores a configuration that was the newest at `confirmed_at`, and returns whether it is new.
    ///
    /// A version older than the one in force is ignored and confirms nothing.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is invalid; the one in force stays.
    pub fn update<P: Protocol>(&self, raw: Bytes, confirmed_at: Instant) -> Result<bool> {
        if *self.raw.borrow() == raw && !raw.is_empty() {
            self.confirm(confirmed_at);
            return Ok(false);
        }
        let table = P::parse_config(&raw)?;
        let current = self.version();
        if table.version < current {
            return Ok(false);
        }
        self.confirm(confirmed_at);
        *self.raw.borrow_mut() = raw;
        let is_new = table.version > current;
        if is_new {
            *self.table.borrow_mut() = Some(Rc::new(table));
            self.changed.notify_waiters();
        }
        Ok(is_new)
    }

    /// Records that the version in force was still the newest at `confirmed_at`.
    pub fn confirm(&self, confirmed_at: Instant) {
        self.confirmed.set(self.confirmed.get().max(confirmed_at));
    }

    /// Returns whether a rejected configuration differs from the last rejected one, so that
    /// repeated rejections are logged once.
    pub fn is_new_rejection(&self, rejected: &Bytes) -> bool {
        let digest = hash_of(rejected);
        self.last_rejected.replace(digest) != digest
    }
}
