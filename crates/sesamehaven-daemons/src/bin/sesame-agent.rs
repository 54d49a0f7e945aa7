//! The daemon that stands before the endpoints of its VM.

use std::process::ExitCode;

use sesamehaven_daemons::{agent_main, cli};

fn main() -> ExitCode {
    cli::run(
        "sesame-agent",
        "Stands before the endpoints of its VM.",
        agent_main::run,
    )
}
