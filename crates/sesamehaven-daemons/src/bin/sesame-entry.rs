//! The daemon that accepts callers' requests and routes them to agents.

use std::process::ExitCode;

use sesamehaven_daemons::{cli, entry_main};

fn main() -> ExitCode {
    cli::run(
        "sesame-entry",
        "Accepts callers' requests and routes them to agents.",
        entry_main::run,
    )
}
