//! The daemon that admits requests to the endpoints of its VM.

use std::process::ExitCode;

use sesamehaven_daemons::{agent_main, cli};

fn main() -> ExitCode {
    cli::run(
        "sesame-agent",
        "Admits requests to the endpoints of its VM.",
        agent_main::run,
    )
}
