//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamehaven_daemons::ctl::main()
}
