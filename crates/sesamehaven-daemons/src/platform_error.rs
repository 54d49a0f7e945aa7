//! Errors of calls to the platform.

use std::fmt;

use awc::http::StatusCode;
use quick_error::quick_error;
use smol_str::SmolStr;

use crate::platform::Version;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error of a call to the platform.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The object does not have the version that the condition requires.
        Conflict { path: SmolStr, version: Version } {
            display("conditional write to {path} rejected: the object has version {version}")
        }
        /// The call took no effect, because the platform is down or unreachable.
        Unavailable { path: SmolStr, reason: SmolStr } {
            display("platform unavailable for {path}: {reason}")
        }
        /// The write was sent and may have taken effect.
        AnswerLost { path: SmolStr, reason: SmolStr } {
            display("response of the platform for {path} was lost: {reason}")
        }
        /// The platform rejected the call, and would reject it again.
        Refused { path: SmolStr, status: u16 } {
            display("platform rejected the call for {path} with status {status}")
        }
        /// The response does not conform to the interface.
        Malformed { path: SmolStr, reason: SmolStr } {
            display("malformed response of the platform for {path}: {reason}")
        }
    }
}

impl Error {
    /// Returns whether another write was applied first.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Error::Conflict { .. })
    }

    /// Returns whether the call took no effect and may succeed later.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Error::Unavailable { .. })
    }

    /// Returns whether a write may have taken effect, so that the object has to be
    /// read back.
    pub fn is_answer_lost(&self) -> bool {
        matches!(self, Error::AnswerLost { .. })
    }

    /// Returns the metric label of the outcome.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Error::Conflict { .. } => "conflict",
            Error::Unavailable { .. } => "unavailable",
            Error::AnswerLost { .. } => "answer_lost",
            Error::Refused { .. } => "refused",
            Error::Malformed { .. } => "malformed",
        }
    }
}

pub(crate) fn unavailable(path: &str, reason: impl fmt::Display) -> Error {
    Error::Unavailable {
        path: path.into(),
        reason: smol_str::format_smolstr!("{reason}"),
    }
}

pub(crate) fn answer_lost(path: &str, reason: impl fmt::Display) -> Error {
    Error::AnswerLost {
        path: path.into(),
        reason: smol_str::format_smolstr!("{reason}"),
    }
}

pub(crate) fn malformed(path: &str, reason: impl fmt::Display) -> Error {
    Error::Malformed {
        path: path.into(),
        reason: smol_str::format_smolstr!("{reason}"),
    }
}

pub(crate) fn no_version(path: &str) -> Error {
    malformed(path, "header Object-Version is missing")
}

pub(crate) fn refused(path: &str, status: StatusCode) -> Error {
    Error::Refused {
        path: path.into(),
        status: status.as_u16(),
    }
}
