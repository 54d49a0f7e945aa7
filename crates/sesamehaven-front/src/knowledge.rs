//! What a front knows of the configuration, and as of when.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;

use sesamehaven::digest::hash_of;
use sesamehaven::unit::{Instant, Millis};

use crate::dialect::{Dialect, Listing};
use crate::error::Result;
use crate::table::Table;

/// The endpoints that the directory lists, with the moment as of which it did.
#[derive(Debug, Default)]
pub struct Listed {
    listing: RefCell<Listing>,
    digest: Cell<u64>,
    confirmed: Cell<Instant>,
}

impl Listed {
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
        now.since(self.confirmed.get())
    }

    /// Takes in what was listed at `as_of`; returns the listing before, if there is a new one.
    ///
    /// What was listed earlier than the listing that is known changes nothing.
    pub fn take(&self, listing: Listing, as_of: Instant) -> Option<Listing> {
        if as_of < self.confirmed.get() {
            return None;
        }
        self.confirmed.set(as_of);
        let digest = listing.digest();
        if self.digest.replace(digest) == digest {
            return None;
        }
        Some(self.listing.replace(listing))
    }

    /// Notes that the endpoints were still the same at `as_of`.
    pub fn confirm(&self, as_of: Instant) {
        self.confirmed.set(self.confirmed.get().max(as_of));
    }
}

/// Returns whether a front reads the directory itself.
///
/// Only the first fronts do while they keep the others informed: the platform
/// counts each call, and its rates grow more slowly than the fleet.
pub fn reads_directory(rank: usize, age: Millis, refresh: Millis) -> bool {
    rank < READERS || age.0 > refresh.0 * OUTDATED_REFRESHES
}

/// The fronts that read the directory for all.
const READERS: usize = 2;
/// The times of refreshing after which a front does not wait for the others any more.
const OUTDATED_REFRESHES: u64 = 2;

/// The configuration in force, with the moment as of which it was the newest.
///
/// Confirmation counts from the sending of the read that gave it, so that a
/// change made while the answer was on its way is never taken for known.
#[derive(Debug, Default)]
pub struct Knowledge {
    table: RefCell<Option<Rc<Table>>>,
    raw: RefCell<Bytes>,
    confirmed: Cell<Instant>,
    rejected: Cell<u64>,
}

impl Knowledge {
    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<Table>> {
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
        now.since(self.confirmed.get())
    }

    /// Takes in a configuration that was the newest at `as_of`; returns whether it is a new one.
    ///
    /// An older version than the one in force changes nothing and confirms nothing.
    ///
    /// # Errors
    ///
    /// Fails when the configuration is not valid; the one in force stays.
    pub fn take<D: Dialect>(&self, raw: Bytes, as_of: Instant) -> Result<bool> {
        if *self.raw.borrow() == raw && !raw.is_empty() {
            self.confirm(as_of);
            return Ok(false);
        }
        let table = D::table(&raw)?;
        let known = self.version();
        if table.version < known {
            return Ok(false);
        }
        self.confirm(as_of);
        *self.raw.borrow_mut() = raw;
        let is_new = table.version > known;
        if is_new {
            *self.table.borrow_mut() = Some(Rc::new(table));
        }
        Ok(is_new)
    }

    /// Notes that the version in force was still the newest at `as_of`.
    pub fn confirm(&self, as_of: Instant) {
        self.confirmed.set(self.confirmed.get().max(as_of));
    }

    /// Returns whether a rejected configuration is another than the last one, which was logged.
    pub fn is_news(&self, rejected: &Bytes) -> bool {
        let digest = hash_of(rejected);
        self.rejected.replace(digest) != digest
    }
}
