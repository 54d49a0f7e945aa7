//! The error of this crate, which says what was wrong and how to mend it.

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A value that could not be accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A text that does not have the form its type asks for.
        Malformed { what: &'static str, text: SmolStr, remedy: &'static str } {
            display("{what} `{text}` is not valid: {remedy}")
        }
        /// A number outside the range that its type holds.
        OutOfRange { what: &'static str, text: SmolStr, remedy: &'static str } {
            display("{what} `{text}` is out of range: {remedy}")
        }
    }
}

impl Error {
    /// Builds the error for a text of the wrong form.
    pub(crate) fn malformed(what: &'static str, text: &str, remedy: &'static str) -> Self {
        Error::Malformed {
            what,
            text: shorten(text),
            remedy,
        }
    }

    /// Builds the error for a number outside its range.
    pub(crate) fn out_of_range(what: &'static str, text: &str, remedy: &'static str) -> Self {
        Error::OutOfRange {
            what,
            text: shorten(text),
            remedy,
        }
    }

    /// Returns whether the text had the wrong form, as opposed to a wrong size.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Error::Malformed { .. })
    }
}

/// Keeps error messages readable when the input is long.
fn shorten(text: &str) -> SmolStr {
    const LONGEST_CHARS: usize = 64;
    if text.chars().count() <= LONGEST_CHARS {
        return text.into();
    }
    let head: String = text.chars().take(LONGEST_CHARS).collect();
    SmolStr::from(head + "…")
}
