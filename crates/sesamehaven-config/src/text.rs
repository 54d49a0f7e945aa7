//! Prints a configuration as YAML, and reads it.

use std::io::{self, Write};
use std::process::ExitCode;

use sesamehaven::config::Configuration;

use crate::builder::Builder;
use crate::error::{Error, Result};

/// The largest configuration that is read, in YAML nodes; an organisation has about eight.
const NODES_MAX: usize = 4_000_000;

/// Reads a configuration, which is not checked yet.
///
/// # Errors
///
/// Fails when the text is not YAML of this form; the message names the line.
pub fn from_yaml(text: &str) -> Result<Configuration> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: NODES_MAX,
            max_events: 4 * NODES_MAX,
            max_total_scalar_bytes: usize::MAX,
        },
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| Error::Unreadable {
        message: err.to_string(),
    })
}

/// Writes a configuration as YAML, the same text for the same configuration.
///
/// # Errors
///
/// Fails when a value has no form in YAML.
pub fn to_yaml(configuration: &Configuration) -> Result<String> {
    serde_saphyr::to_string(configuration).map_err(|err| Error::Yaml {
        message: err.to_string(),
    })
}

/// Runs a program that describes a fleet, and prints the configuration.
///
/// The text goes to the standard output. Everything that is wrong goes to the
/// standard error, and the exit code is then 1.
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
