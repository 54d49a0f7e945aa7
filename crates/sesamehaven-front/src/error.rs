//! Errors at the boundaries of a front: settings, requests, the directory and the system.

use std::io;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of fallible operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error caused by external input or by a dependency.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A field is invalid.
        Field { field: SmolStr, remedy: SmolStr } {
            display("{field} is not valid: {remedy}")
        }
        /// The directory is down, slow or unreachable.
        Unavailable { what: &'static str, reason: SmolStr } {
            display("{what} is unavailable: {reason}")
        }
        /// A response of the directory does not match its interface.
        Malformed { what: &'static str, reason: SmolStr } {
            display("{what} is malformed: {reason}")
        }
        /// A document ends before it is complete, as one does that is still being written.
        Truncated { what: &'static str, reason: SmolStr } {
            display("{what} is incomplete: {reason}")
        }
        /// A required system call failed.
        Io { what: &'static str, err: io::Error } {
            display("{what}: {err}")
            source(err)
        }
    }
}

impl Error {
    /// Creates an error for an invalid field, with advice on how to correct it.
    pub fn field(field: impl Into<SmolStr>, remedy: impl Into<SmolStr>) -> Self {
        Error::Field {
            field: field.into(),
            remedy: remedy.into(),
        }
    }

    /// Creates an error for a directory that cannot be reached or responds with an error.
    pub fn unavailable(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Error::Unavailable {
            what,
            reason: SmolStr::new(reason.to_string()),
        }
    }

    /// Creates an error for a document that ends before it is complete.
    pub fn truncated(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Error::Truncated {
            what,
            reason: SmolStr::new(reason.to_string()),
        }
    }

    /// Returns whether a document ended before it was complete.
    pub fn is_truncated(&self) -> bool {
        matches!(self, Error::Truncated { .. })
    }

    /// Creates an error for a malformed response.
    pub fn malformed(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Error::Malformed {
            what,
            reason: SmolStr::new(reason.to_string()),
        }
    }

    /// Creates an error for a failed system call.
    pub fn io(what: &'static str, err: io::Error) -> Self {
        Error::Io { what, err }
    }

    /// Returns whether a later retry may succeed.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Error::Unavailable { .. })
    }
}
