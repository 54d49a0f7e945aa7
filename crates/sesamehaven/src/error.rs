//! The error type of this crate. Messages state the problem and how to fix it.

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A value that was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A text that does not have the form required by its type.
        Malformed { what: &'static str, text: SmolStr, remedy: &'static str } {
            display("{what} `{text}` is not valid: {remedy}")
        }
        /// A value outside the range of its type.
        OutOfRange { what: &'static str, text: SmolStr, remedy: &'static str } {
            display("{what} `{text}` is out of range: {remedy}")
        }
    }
}

impl Error {
    /// Creates an error for a text of the wrong form.
    pub(crate) fn malformed(what: &'static str, text: &str, remedy: &'static str) -> Self {
        Error::Malformed {
            what,
            text: shorten(text),
            remedy,
        }
    }

    /// Creates an error for a value outside its range.
    pub(crate) fn out_of_range(what: &'static str, text: &str, remedy: &'static str) -> Self {
        Error::OutOfRange {
            what,
            text: shorten(text),
            remedy,
        }
    }

    /// Returns whether the text was malformed, as opposed to out of range.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Error::Malformed { .. })
    }
}

/// Truncates long input to keep error messages readable.
fn shorten(text: &str) -> SmolStr {
    const MAX_CHARS: usize = 64;
    if text.chars().count() <= MAX_CHARS {
        return text.into();
    }
    let head: String = text.chars().take(MAX_CHARS).collect();
    SmolStr::from(head + "…")
}
