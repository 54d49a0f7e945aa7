//! The versioned object store of the stand-in platform.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use serde::Serialize;

/// The maximum size of a value.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// A stored value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, greater than that of any earlier write.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// An entry of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectEntry {
    /// The path.
    pub path: String,
    /// The current version.
    pub version: u64,
}

/// The reason why a write failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The expected version differs from the current one, which is given; zero if there is no object.
    Conflict(u64),
    /// The value is too large.
    TooLarge,
    /// The object to delete does not exist.
    Absent,
}

/// Objects by path, with versions that are never reused.
#[derive(Debug, Default)]
pub struct Objects {
    by_path: BTreeMap<String, Object>,
    last_version: u64,
}

impl Objects {
    /// Returns the object at a path.
    pub fn get(&self, path: &str) -> Option<&Object> {
        self.by_path.get(path)
    }

    /// Stores a value if the current version is the expected one.
    ///
    /// Without an expected version the write is unconditional; version 0 requires
    /// that the object does not exist.
    ///
    /// # Errors
    ///
    /// Fails on a conflict, or when the value exceeds [`VALUE_MAX_BYTES`].
    pub fn put(
        &mut self,
        path: &str,
        expected: Option<u64>,
        value: Bytes,
    ) -> Result<u64, WriteError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(WriteError::TooLarge);
        }
        self.check_version(path, expected)?;
        self.last_version += 1;
        let version = self.last_version;
        let object = Object { version, value };
        self.by_path.insert(path.to_owned(), object);
        Ok(version)
    }

    /// Deletes an object if the current version is the expected one, or
    /// unconditionally without an expected version.
    ///
    /// # Errors
    ///
    /// Fails on a conflict, or when the object does not exist.
    pub fn delete(&mut self, path: &str, expected: Option<u64>) -> Result<(), WriteError> {
        if !self.by_path.contains_key(path) {
            return Err(WriteError::Absent);
        }
        self.check_version(path, expected)?;
        self.last_version += 1;
        self.by_path.remove(path);
        Ok(())
    }

    /// Lists the objects whose path starts with `prefix`, ordered by path.
    pub fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.by_path
            .range::<str, _>(from)
            .take_while(|(path, _)| path.starts_with(prefix))
            .map(|(path, object)| ObjectEntry {
                path: path.clone(),
                version: object.version,
            })
            .collect()
    }

    /// Removes all objects; versions are still never reused.
    pub fn clear(&mut self) {
        self.by_path.clear();
    }

    fn check_version(&self, path: &str, expected: Option<u64>) -> Result<(), WriteError> {
        let current = self.get(path).map_or(0, |object| object.version);
        match expected {
            Some(expected) if expected != current => Err(WriteError::Conflict(current)),
            _ => Ok(()),
        }
    }
}
