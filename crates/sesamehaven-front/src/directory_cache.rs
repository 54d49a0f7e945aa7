//! What a front knows of the configuration, and as of when.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;

use sesamehaven::digest::hash_of;
use sesamehaven::unit::{Instant, Millis};

use crate::error::Result;
use crate::protocol::{Listing, Protocol};
use crate::routing_table::RoutingTable;

/// The endpoints that the directory lists, with the moment as of which it did.
#[derive(Debug, Default)]
pub struct ListingCache {
    listing: RefCell<Listing>,
    digest: Cell<u64>,
    confirmed_at: Cell<Instant>,
}

impl ListingCache {
    /// Returns the endpoints.
    pub fn listing(&self) -> Listing {
        self.listing.borrow().clone()
    }

    /// Returns a number that changes with the endpoints, zero before there are any.
    pub fn digest(&self) -> u64 {
        self.digest.get()
    }

    /// Returns how long ago the endpoints were known to be listed.
    pub fn age(&self, now: Instant) -> Millis {
        now.since(self.confirmed_at.get())
    }

    /// Takes in what was listed at `as_of`; returns the listing before, if there is a new one.
    ///
    /// What was listed earlier than the listing that is known changes nothing.
    pub fn update(&self, listing: Listing, confirmed_at: Instant) -> Option<Listing> {
        if confirmed_at < self.confirmed_at.get() {
            return None;
        }
        self.confirmed_at.set(confirmed_at);
        let digest = listing.digest();
        if self.digest.replace(digest) == digest {
            return None;
        }
        Some(self.listing.replace(listing))
    }

    /// Notes that the endpoints were still the same at `as_of`.
    pub fn confirm(&self, confirmed_at: Instant) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(confirmed_at));
    }
}

/// Returns whether a front reads the directory itself.
///
/// Only the first fronts do while they keep the others informed: the platform
/// counts each call, and its rates grow more slowly than the fleet.
pub fn should_poll_directory(rank: usize, age: Millis, refresh_interval: Millis) -> bool {
    rank < POLLING_FRONTS || age.0 > refresh_interval.0 * STALE_AFTER_INTERVALS
}

/// The fronts that read the directory for all.
const POLLING_FRONTS: usize = 2;
/// The times of refreshing after which a front does not wait for the others any more.
const STALE_AFTER_INTERVALS: u64 = 2;

/// The configuration in force, with the moment as of which it was the newest.
///
/// Confirmation counts from the sending of the read that gave it, so that a
/// change made while the answer was on its way is never taken for known.
#[derive(Debug, Default)]
pub struct ConfigCache {
    table: RefCell<Option<Rc<RoutingTable>>>,
    raw: RefCell<Bytes>,
    confirmed_at: Cell<Instant>,
    last_rejected: Cell<u64>,
}

impl ConfigCache {
    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Returns the version in force, zero before there is one.
    pub fn version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version)
    }

    /// Returns the configuration in its own format, for another front.
    pub fn raw(&self) -> Bytes {
        self.raw.borrow().clone()
    }

    /// Returns how long ago the configuration was known to be the newest.
    pub fn age(&self, now: Instant) -> Millis {
        now.since(self.confirmed_at.get())
    }

    /// Takes in a configuration that was the newest at `as_of`; returns whether it is a new one.
    ///
    /// An older version than the one in force changes nothing and confirms nothing.
    ///
    /// # Errors
    ///
    /// Fails when the configuration is not valid; the one in force stays.
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
        }
        Ok(is_new)
    }

    /// Notes that the version in force was still the newest at `as_of`.
    pub fn confirm(&self, confirmed_at: Instant) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(confirmed_at));
    }

    /// Returns whether a rejected configuration is another than the last one, which was logged.
    pub fn is_new_rejection(&self, rejected: &Bytes) -> bool {
        let digest = hash_of(rejected);
        self.last_rejected.replace(digest) != digest
    }
}
