//! The versioned objects of the platform's stand-in.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use serde::Serialize;

/// The largest value that is stored.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// A stored value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, greater than that of every earlier write.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// A path and its version, as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectEntry {
    /// The path.
    pub path: String,
    /// The version in force.
    pub version: u64,
}

/// Why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The expected version is not the one in force, which is given; zero for none.
    Conflict(u64),
    /// The value is too large.
    TooLarge,
    /// There is nothing to delete.
    Absent,
}

/// Objects by path, with versions that never repeat.
#[derive(Debug, Default)]
pub struct Objects {
    by_path: BTreeMap<String, Object>,
    last_version: u64,
}

impl Objects {
    /// Finds an object.
    pub fn get(&self, path: &str) -> Option<&Object> {
        self.by_path.get(path)
    }

    /// Stores a value, if the version in force is the expected one.
    ///
    /// # Errors
    ///
    /// Fails on a conflict, or when the value is over [`VALUE_MAX_BYTES`].
    pub fn put(
        &mut self,
        path: &str,
        expected: Option<u64>,
        value: Bytes,
    ) -> Result<u64, WriteError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(WriteError::TooLarge);
        }
        self.check(path, expected)?;
        self.last_version += 1;
        let version = self.last_version;
        let object = Object { version, value };
        self.by_path.insert(path.to_owned(), object);
        Ok(version)
    }

    /// Deletes an object, if the version in force is the expected one.
    ///
    /// # Errors
    ///
    /// Fails on a conflict, or when there is no such object.
    pub fn delete(&mut self, path: &str, expected: Option<u64>) -> Result<(), WriteError> {
        if !self.by_path.contains_key(path) {
            return Err(WriteError::Absent);
        }
        self.check(path, expected)?;
        self.last_version += 1;
        self.by_path.remove(path);
        Ok(())
    }

    /// Lists the objects whose path begins with `prefix`, ordered by path.
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

    /// Forgets all objects; versions still never repeat.
    pub fn clear(&mut self) {
        self.by_path.clear();
    }

    fn check(&self, path: &str, expected: Option<u64>) -> Result<(), WriteError> {
        let in_force = self.get(path).map_or(0, |object| object.version);
        match expected {
            Some(expected) if expected != in_force => Err(WriteError::Conflict(in_force)),
            _ => Ok(()),
        }
    }
}
