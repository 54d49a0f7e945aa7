//! Prints a configuration as YAML.

use std::io::{self, Write};
use std::process::ExitCode;

use sesamehaven::config::Configuration;

use crate::builder::Builder;
use crate::error::{Error, Result};

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
