//! Serialization of configurations as YAML.

use std::io::{self, Write};
use std::process::ExitCode;

use sesamehaven::config::Configuration;

use crate::builder::Builder;
use crate::error::{Error, Result};

/// The maximum size of a configuration, in YAML nodes; an organisation has about eight.
const NODES_MAX: usize = 4_000_000;

/// Parses a configuration without validating it.
///
/// # Errors
///
/// Returns [`Error::Parse`] when the text is not a configuration in YAML; the message
/// names the line.
pub fn from_yaml(text: &str) -> Result<Configuration> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: NODES_MAX,
            max_events: 4 * NODES_MAX,
            max_total_scalar_bytes: usize::MAX,
        },
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| Error::Parse {
        message: err.to_string(),
    })
}

/// Serializes a configuration as YAML; equal configurations give the same text.
///
/// # Errors
///
/// Returns [`Error::Serialize`] when a value cannot be represented in YAML.
pub fn to_yaml(configuration: &Configuration) -> Result<String> {
    serde_saphyr::to_string(configuration).map_err(|err| Error::Serialize {
        message: err.to_string(),
    })
}

/// Builds the configuration that `describe` adds to a builder, and prints it as YAML.
///
/// The text is written to the standard output. If the configuration is invalid, all
/// errors are written to the standard error and the exit code is 1. The exit code is
/// also 1, without a message, if the text cannot be written.
pub fn print(describe: impl FnOnce(&mut Builder)) -> ExitCode {
    let mut builder = Builder::new();
    describe(&mut builder);
    let text = builder.finish().and_then(|c| to_yaml(&c));
    let written = match &text {
        Ok(text) => io::stdout().lock().write_all(text.as_bytes()),
        Err(err) => writeln!(io::stderr().lock(), "{err}"),
    };
    match text.is_ok() && written.is_ok() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
