//! The error of calls of the platform.

use std::fmt;

use awc::http::StatusCode;
use quick_error::quick_error;
use smol_str::SmolStr;

use crate::platform::Version;

/// The result of calls of the platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a call of the platform did not give a result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The object has another version than the condition asks for.
        Conflict { path: SmolStr, version: Version } {
            display("object {path} has version {version}")
        }
        /// The call took no effect, as the platform is down or cannot be reached.
        Unavailable { path: SmolStr, reason: SmolStr } {
            display("platform is unavailable for {path}: {reason}")
        }
        /// The write was sent and may have taken effect.
        AnswerLost { path: SmolStr, reason: SmolStr } {
            display("answer of the platform for {path} was lost: {reason}")
        }
        /// The platform refused the call, and would refuse it again.
        Refused { path: SmolStr, status: u16 } {
            display("platform refused the call for {path} with status {status}")
        }
        /// The answer does not have the form of the interface.
        Malformed { path: SmolStr, reason: SmolStr } {
            display("answer of the platform for {path} is malformed: {reason}")
        }
    }
}

impl Error {
    /// Returns whether somebody else's write came first.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Error::Conflict { .. })
    }

    /// Returns whether the call took no effect and may succeed later.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Error::Unavailable { .. })
    }

    /// Returns whether a write may have taken effect, so that one has to read back.
    pub fn is_answer_lost(&self) -> bool {
        matches!(self, Error::AnswerLost { .. })
    }

    /// Returns the label under which the outcome is counted.
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
    malformed(path, "no Object-Version")
}

pub(crate) fn refused(path: &str, status: StatusCode) -> Error {
    Error::Refused {
        path: path.into(),
        status: status.as_u16(),
    }
}
