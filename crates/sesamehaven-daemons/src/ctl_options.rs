//! The command line of `sesamectl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional, pure};
use smol_str::SmolStr;

use sesamehaven::id::Generation;
use sesamehaven::unit::Millis;

use crate::ctl_store::Store;
use crate::platform::Platform;

/// The whole command line.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// What to do.
    pub(crate) command: Command,
}

/// What to do.
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

/// What a report on burn is made of.
#[derive(Debug, Clone)]
pub(crate) struct BurnOptions {
    /// The admin addresses of daemons.
    pub(crate) daemons: Vec<SocketAddr>,
    /// The share of requests that have to be good, in percent.
    pub(crate) objective: f64,
    /// Where to write a page with plots.
    pub(crate) html: Option<PathBuf>,
}

/// Where the configuration is kept.
#[derive(Debug, Clone)]
pub(crate) struct StoreOptions {
    platform: SmolStr,
    timeout: Millis,
}

impl StoreOptions {
    /// Builds the store, on the runtime of this thread.
    pub(crate) fn open(&self) -> Store {
        Store::new(Platform::with_url(&self.platform, self.timeout))
    }
}

/// How a change is applied.
#[derive(Debug, Clone)]
pub(crate) struct ApplyOptions {
    /// The generation that the operator has seen in force.
    pub(crate) base: Generation,
    /// A generation that the new one has to be above.
    pub(crate) above: Generation,
    /// Why.
    pub(crate) note: String,
    /// Who.
    pub(crate) author: SmolStr,
    /// How long to go on settling a lost answer.
    pub(crate) retry_timeout: Millis,
}

/// Builds the parser.
pub(crate) fn options() -> OptionParser<Options> {
    command()
        .to_options()
        .descr("Checks, plans and applies the configuration of sesamehaven, and shows its state.")
        .footer(
            "Exit codes: 0 done, 1 a difference or a conflict, 2 wrong use, 3 the platform failed.\n\
             Completion for a shell: sesamectl --bpaf-complete-style-bash, -zsh, -fish or -elvish.",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn command() -> impl Parser<Options> {
    let check = sub(
        "check",
        "Checks a configuration and lists all errors",
        construct!(Command::Check { file() }),
    );
    let digest_key = sub(
        "digest-key",
        "Reads an API key from the standard input and prints its digest",
        pure(Command::DigestKey),
    );
    let plan = sub(
        "plan",
        "Shows what would change; exits with 1 when something would",
        construct!(Command::Plan { store(), file() }),
    );
    let apply = sub(
        "apply",
        "Puts a configuration in force, if the generation that you name still is",
        construct!(Command::Apply { store(), change(), file() }),
    );
    let undo = sub(
        "undo",
        "Puts an earlier generation in force again, as a new one; by default the one before",
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
        "Shows what daemons serve; exits with 1 when one is not ready or behind",
        status(),
    );
    let report = report()
        .to_options()
        .descr("Reports on service levels")
        .command("report");
    let explain = sub(
        "explain",
        "Tells the story of a request from logs; exits with 1 when no line names it",
        explain(),
    );
    construct!([
        check, plan, apply, undo, history, show, status, report, explain, digest_key
    ])
}

/// Makes a command with `--json`.
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
        .help("The longest wait for one answer of the platform, such as `5 s`")
        .argument::<Millis>("TIME")
        .fallback(Millis(5_000));
    construct!(StoreOptions { platform, timeout })
}

fn change() -> impl Parser<ApplyOptions> {
    let base = long("base")
        .help("The generation that you have seen in force, 0 for none; `plan` names it")
        .argument::<Generation>("GENERATION");
    let above = long("above")
        .help("Number the new generation above this one too, after the platform was restored")
        .argument::<Generation>("GENERATION")
        .fallback(Generation(0));
    let note = long("note")
        .help("Why, for the history")
        .argument::<String>("TEXT");
    let author = long("author")
        .env("USER")
        .help("Who, for the history")
        .argument::<SmolStr>("NAME")
        .fallback(SmolStr::new_static("unknown"));
    let retry_timeout = long("patience")
        .help("How long to go on when the platform fails, such as `30 s`")
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
        .help("How many")
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
        .help("The share of requests that have to be good, in percent")
        .argument::<f64>("PERCENT")
        .guard(|p| (0.0..100.0).contains(p), "write a percentage below 100")
        .fallback(95.0);
    let html = long("html")
        .help("Write a page with plots too")
        .argument::<PathBuf>("FILE")
        .optional();
    let burn = construct!(BurnOptions {
        daemons,
        objective,
        html
    });
    sub(
        "burn",
        "Reports goodput, wasted prefill and burn; exits with 1 when somebody has to act",
        construct!(Command::Report { burn }),
    )
}
