//! The error of a front's edges.

use std::io;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why something from outside could not be used.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A field does not have the form that it must have.
        Field { field: SmolStr, remedy: SmolStr } {
            display("{field} is not valid: {remedy}")
        }
        /// The directory is down, slow or out of reach.
        Unavailable { what: &'static str, reason: SmolStr } {
            display("{what} is unavailable: {reason}")
        }
        /// The directory's answer does not have the form of its interface.
        Malformed { what: &'static str, reason: SmolStr } {
            display("{what} is malformed: {reason}")
        }
        /// The system refused something that the front cannot do without.
        Io { what: &'static str, err: io::Error } {
            display("{what}: {err}")
            source(err)
        }
    }
}

impl Error {
    /// Builds the error of a field, with what to write instead.
    pub fn field(field: impl Into<SmolStr>, remedy: impl Into<SmolStr>) -> Self {
        Error::Field {
            field: field.into(),
            remedy: remedy.into(),
        }
    }

    /// Builds the error of a directory that does not answer.
    pub fn unavailable(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Error::Unavailable {
            what,
            reason: SmolStr::new(reason.to_string()),
        }
    }

    /// Builds the error of an answer of the wrong form.
    pub fn malformed(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Error::Malformed {
            what,
            reason: SmolStr::new(reason.to_string()),
        }
    }

    /// Builds the error of a refused system call.
    pub fn io(what: &'static str, err: io::Error) -> Self {
        Error::Io { what, err }
    }

    /// Returns whether trying again later may succeed.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Error::Unavailable { .. })
    }
}
