//! The command line shared by both daemons.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser, ShellComp, construct, long};

use crate::settings::{self, Settings};

/// The exit code for usage errors and for invalid settings.
const EXIT_INVALID_INPUT: u8 = 2;

/// Line width of help texts.
const HELP_COLUMNS: usize = 100;

const FOOTER: &str = "Metrics, health, readiness and status are served at the admin address of \
the settings; the bound addresses are written to `ports_file`. SIGTERM drains and stops the \
process; SIGHUP reloads the log level. For completion in the shell, add the output of \
--bpaf-complete-style-bash (or -zsh, -fish, -elvish) to its start-up files.";

#[derive(Debug, Clone)]
struct Options {
    settings: PathBuf,
    check: bool,
}

fn options(about: &'static str) -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help("The YAML file with the settings of this process")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File {
            mask: Some("*.yaml"),
        });
    let check = long("check")
        .help("Only validate the settings; exit with 0 when they are valid and with 2 otherwise")
        .switch();
    construct!(Options { settings, check })
        .to_options()
        .descr(about)
        .footer(FOOTER)
        .version(env!("CARGO_PKG_VERSION"))
}

/// Prints help, a completion or a usage error.
fn print(stop: ParseFailure) -> ExitCode {
    stop.print_message(HELP_COLUMNS);
    match stop.exit_code() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_INVALID_INPUT),
    }
}

/// Parses the command line, reads the settings and runs the daemon until it stops.
pub fn run<S: Settings>(
    name: &'static str,
    about: &'static str,
    daemon: impl FnOnce(S) -> io::Result<()>,
) -> ExitCode {
    let options = match options(about)
        .fallback_to_usage()
        .run_inner(Args::current_args())
    {
        Ok(options) => options,
        Err(stop) => return print(stop),
    };
    let settings = match settings::read::<S>(&options.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{name}: {err}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match daemon(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{name}: {err}");
            ExitCode::FAILURE
        }
    }
}
