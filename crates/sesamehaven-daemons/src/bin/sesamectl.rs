//! The operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamehaven_daemons::ctl::main()
}
