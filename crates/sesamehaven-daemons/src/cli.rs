//! The command line that both daemons share.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use serde::de::DeserializeOwned;

use crate::settings;

/// The exit code for wrong use and for settings that are not valid.
const WRONG_USE: u8 = 2;

#[derive(Debug, Clone)]
struct Options {
    settings: PathBuf,
    check: bool,
}

fn options(about: &'static str) -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help("The YAML file that says where this process runs and how much it may use")
        .argument::<PathBuf>("FILE");
    let check = long("check")
        .help("Only validate the settings; exit with 0 when they are valid and with 2 otherwise")
        .switch();
    construct!(Options { settings, check })
        .to_options()
        .descr(about)
        .version(env!("CARGO_PKG_VERSION"))
}

/// Reads the command line and the settings, then runs the daemon until it stops.
pub fn run<S: DeserializeOwned>(
    name: &'static str,
    about: &'static str,
    daemon: impl FnOnce(S) -> io::Result<()>,
) -> ExitCode {
    let options = options(about).fallback_to_usage().run();
    let settings = match settings::read::<S>(&options.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{name}: {err}");
            return ExitCode::from(WRONG_USE);
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
