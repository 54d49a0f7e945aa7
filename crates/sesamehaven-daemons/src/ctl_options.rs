//! The command line of `sesamectl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional, pure};
use smol_str::SmolStr;

use sesamehaven::id::Generation;
use sesamehaven::unit::Millis;

use crate::ctl_store::Store;
use crate::platform::Platform;

/// The parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// The command to run.
    pub(crate) command: Command,
}

/// The command to run.
#[derive(Debug, Clone)]
pub(crate) enum Command {
    Check {
        file: PathBuf,
    },
    DigestKey,
    Plan {
        store: StoreOptions,
        file: PathBuf,
    },
    Apply {
        store: StoreOptions,
        change: ApplyOptions,
        file: PathBuf,
    },
    Undo {
        store: StoreOptions,
        change: ApplyOptions,
        generation: Option<Generation>,
    },
    History {
        store: StoreOptions,
        last: usize,
    },
    Show {
        store: StoreOptions,
        generation: Option<Generation>,
    },
    Status {
        store: Option<StoreOptions>,
        daemons: Vec<SocketAddr>,
    },
    Report {
        burn: BurnOptions,
    },
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
}

/// Options of the burn-rate report.
#[derive(Debug, Clone)]
pub(crate) struct BurnOptions {
    /// The admin addresses of daemons.
    pub(crate) daemons: Vec<SocketAddr>,
    /// The objective: the share of good requests, in percent.
    pub(crate) objective: f64,
    /// File for an HTML page with plots.
    pub(crate) html: Option<PathBuf>,
}

/// The platform that stores the configuration.
#[derive(Debug, Clone)]
pub(crate) struct StoreOptions {
    platform: SmolStr,
    timeout: Millis,
}

impl StoreOptions {
    /// Opens the store on this thread's runtime.
    pub(crate) fn open(&self) -> Store {
        Store::new(Platform::with_url(&self.platform, self.timeout))
    }
}

/// Options of a change.
#[derive(Debug, Clone)]
pub(crate) struct ApplyOptions {
    /// The generation that the change is based on, which has to be in force.
    pub(crate) base: Generation,
    /// A lower bound for the new generation, exclusive.
    pub(crate) above: Generation,
    /// The reason for the change.
    pub(crate) note: String,
    /// The author of the change.
    pub(crate) author: SmolStr,
    /// Time for which failed calls are retried.
    pub(crate) retry_timeout: Millis,
}

/// Builds the command-line parser.
pub(crate) fn options() -> OptionParser<Options> {
    command()
        .to_options()
        .descr("Validates, plans and applies the configuration of sesamehaven, and shows its state.")
        .footer(
            "Exit codes: 0 success, 1 a difference or a conflict, 2 invalid command line or input, 3 platform failure.\n\
             Completion for a shell: sesamectl --bpaf-complete-style-bash, -zsh, -fish or -elvish.",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn command() -> impl Parser<Options> {
    let check = sub(
        "check",
        "Validates a configuration and lists all errors",
        construct!(Command::Check { file() }),
    );
    let digest_key = sub(
        "digest-key",
        "Reads an API key from the standard input and prints its digest",
        pure(Command::DigestKey),
    );
    let plan = sub(
        "plan",
        "Shows what would change; exits with 1 if there are changes",
        construct!(Command::Plan { store(), file() }),
    );
    let apply = sub(
        "apply",
        "Puts a configuration in force if the generation given by --base still is",
        construct!(Command::Apply { store(), change(), file() }),
    );
    let undo = sub(
        "undo",
        "Puts an earlier generation in force again as a new one; by default the previous one",
        construct!(Command::Undo { store(), change(), generation() }),
    );
    let history = sub(
        "history",
        "Lists generations, the latest first",
        construct!(Command::History { store(), last() }),
    );
    let show = sub(
        "show",
        "Prints the configuration in force, or an earlier one",
        construct!(Command::Show { store(), generation() }),
    );
    let status = sub(
        "status",
        "Shows the state of daemons; exits with 1 if one is not ready or behind",
        status(),
    );
    let report = report()
        .to_options()
        .descr("Reports on service levels")
        .command("report");
    let explain = sub(
        "explain",
        "Shows the timeline of a request from logs; exits with 1 if no line mentions it",
        explain(),
    );
    construct!([
        check, plan, apply, undo, history, show, status, report, explain, digest_key
    ])
}

/// Builds a subcommand with the `--json` flag.
fn sub(
    name: &'static str,
    about: &'static str,
    command: impl Parser<Command> + 'static,
) -> impl Parser<Options> {
    let json = long("json").help("Print JSON").switch();
    construct!(Options { json, command })
        .to_options()
        .descr(about)
        .command(name)
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE")
        .help("The configuration as YAML; `-` is the standard input")
        .complete_shell(ShellComp::File {
            mask: Some("*.yaml"),
        })
}

fn store() -> impl Parser<StoreOptions> {
    let platform = long("platform")
        .env("SESAMEHAVEN_PLATFORM")
        .help("The platform's object API, such as http://10.0.0.1:80")
        .argument::<SmolStr>("URL")
        .guard(|url| url.starts_with("http://"), "write http://IP:PORT");
    let timeout = long("timeout")
        .help("Timeout of a call to the platform, such as `5 s`")
        .argument::<Millis>("TIME")
        .fallback(Millis(5_000));
    construct!(StoreOptions { platform, timeout })
}

fn change() -> impl Parser<ApplyOptions> {
    let base = long("base")
        .help("The generation that the change is based on, 0 for none; `plan` prints it")
        .argument::<Generation>("GENERATION");
    let above = long("above")
        .help("Number the new generation above this one, after the platform was restored from a backup")
        .argument::<Generation>("GENERATION")
        .fallback(Generation(0));
    let note = long("note")
        .help("The reason, for the history")
        .argument::<String>("TEXT");
    let author = long("author")
        .env("USER")
        .help("The author, for the history")
        .argument::<SmolStr>("NAME")
        .fallback(SmolStr::new_static("unknown"));
    let retry_timeout = long("patience")
        .help("Time for which failed calls to the platform are retried, such as `30 s`")
        .argument::<Millis>("TIME")
        .fallback(Millis(30_000));
    construct!(ApplyOptions {
        base,
        above,
        note,
        author,
        retry_timeout
    })
}

fn generation() -> impl Parser<Option<Generation>> {
    long("generation")
        .help("The generation")
        .argument::<Generation>("GENERATION")
        .optional()
}

fn last() -> impl Parser<usize> {
    long("last")
        .help("Maximum number of generations")
        .argument::<usize>("COUNT")
        .fallback(20)
}

fn status() -> impl Parser<Command> {
    let store = store().optional();
    let daemons = daemons();
    construct!(Command::Status { store, daemons })
}

fn explain() -> impl Parser<Command> {
    let id = positional::<String>("ID").help("The id of the caller's attempt");
    let files = positional::<PathBuf>("LOG")
        .help("Logs in JSON lines, of all processes; without any, or as `-`, the standard input")
        .many();
    construct!(Command::Explain { id, files })
}

fn daemons() -> impl Parser<Vec<SocketAddr>> {
    long("daemon")
        .help("The admin address of a daemon; may be repeated")
        .argument::<SocketAddr>("IP:PORT")
        .some("name at least one daemon with --daemon IP:PORT")
}

fn report() -> impl Parser<Options> {
    let daemons = daemons();
    let objective = long("objective")
        .help("The objective: the share of good requests, in percent")
        .argument::<f64>("PERCENT")
        .guard(|p| (0.0..100.0).contains(p), "write a percentage below 100")
        .fallback(95.0);
    let html = long("html")
        .help("Also write an HTML page with plots")
        .argument::<PathBuf>("FILE")
        .optional();
    let burn = construct!(BurnOptions {
        daemons,
        objective,
        html
    });
    sub(
        "burn",
        "Reports goodput, wasted prefill and burn rates; exits with 1 if an alert is active",
        construct!(Command::Report { burn }),
    )
}
