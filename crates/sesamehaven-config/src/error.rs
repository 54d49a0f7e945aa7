//! The error of this crate.

use quick_error::quick_error;

use sesamehaven::check::Finding;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a configuration could not be built or printed.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The configuration is not acceptable; all findings are listed.
        Unacceptable { findings: Vec<Finding> } {
            display("the configuration has {} errors:{}", findings.len(), listed(findings))
        }
        /// The text of an API key is not fit for use.
        Key { remedy: &'static str } {
            display("the API key is not valid: {remedy}")
        }
        /// The text is not a configuration.
        Unreadable { message: String } {
            display("{message}")
        }
        /// The configuration could not be written as YAML.
        Yaml { message: String } {
            display("the configuration could not be written: {message}")
        }
    }
}

impl Error {
    /// Lists what is wrong with the configuration, if that is the reason.
    pub fn findings(&self) -> &[Finding] {
        match self {
            Error::Unacceptable { findings } => findings,
            _ => &[],
        }
    }
}

fn listed(findings: &[Finding]) -> String {
    findings.iter().map(|f| format!("\n  {f}")).collect()
}
