//! The daemon that takes callers' requests.

use std::process::ExitCode;

use sesamehaven_daemons::{cli, entry_main};

fn main() -> ExitCode {
    cli::run("sesame-entry", "Takes callers' requests.", entry_main::run)
}
