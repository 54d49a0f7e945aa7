//! Errors of this crate.

use quick_error::quick_error;

use sesamehaven::check::Finding;

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error of building, parsing or printing a configuration.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The configuration is invalid; the message lists all findings.
        Invalid { findings: Vec<Finding> } {
            display("the configuration has {} error(s):{}", findings.len(), format_list(findings))
        }
        /// An API key is invalid.
        InvalidKey { remedy: &'static str } {
            display("the API key is not valid: {remedy}")
        }
        /// The text could not be parsed as a configuration.
        Parse { message: String } {
            display("cannot parse the configuration: {message}")
        }
        /// The configuration could not be serialized as YAML.
        Serialize { message: String } {
            display("cannot serialize the configuration: {message}")
        }
    }
}

impl Error {
    /// Returns the findings if the configuration is invalid, or else an empty slice.
    pub fn findings(&self) -> &[Finding] {
        match self {
            Error::Invalid { findings } => findings,
            _ => &[],
        }
    }
}

fn format_list(findings: &[Finding]) -> String {
    findings.iter().map(|f| format!("\n  {f}")).collect()
}
