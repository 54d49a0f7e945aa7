//! What a front knows of the configuration, and as of when.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;

use sesamehaven::unit::{Instant, Millis};

use crate::dialect::Dialect;
use crate::error::Result;
use crate::table::Table;

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
        let digest = blake3::hash(rejected).as_bytes().first_chunk().copied();
        let digest = u64::from_le_bytes(digest.unwrap_or_default());
        self.rejected.replace(digest) != digest
    }
}
