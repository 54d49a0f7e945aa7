//! The load generator: open-loop and seeded, through entries or directly to endpoints.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use sesamehaven::unit::Millis;
use sesamehaven_standins::json_lines::JsonLinesWriter;
use sesamehaven_standins::load::{self, LoadOptions};
use sesamehaven_standins::load_plan::Plan;
use sesamehaven_standins::target::{Policy, PoolAddress, Targets};
use sesamehaven_standins::{Error, Result};

/// The maximum time during which requests are sent: one hour.
const DURATION_MAX: Millis = Millis(3_600_000);

struct Options {
    plan: PathBuf,
    entries: Vec<SocketAddr>,
    direct: Option<Policy>,
    endpoints: Vec<PoolAddress>,
    load: LoadOptions,
    json: Option<PathBuf>,
    log: Option<PathBuf>,
}

fn load_options() -> impl Parser<LoadOptions> {
    let seed = long("seed")
        .help("Seed of arrival times and contents")
        .argument::<u64>("NUMBER")
        .fallback(1)
        .display_fallback();
    let duration = long("duration")
        .help("How long requests are sent, at most an hour")
        .argument::<Millis>("DURATION")
        .fallback(Millis(10_000))
        .display_fallback()
        .guard(|duration| *duration <= DURATION_MAX, "use at most `1 h`")
        .map(Millis::duration);
    let rate_factor = long("rate-factor")
        .help("How many times the plan's rates are sent")
        .argument::<f64>("NUMBER")
        .fallback(1.0)
        .display_fallback();
    let threads = long("threads")
        .help("Threads that send")
        .argument::<usize>("NUMBER")
        .fallback(2)
        .display_fallback();
    construct!(LoadOptions {
        seed,
        duration,
        rate_factor,
        threads
    })
}

fn options() -> OptionParser<Options> {
    let plan = long("plan")
        .help("YAML file with the mix of requests")
        .argument::<PathBuf>("FILE");
    let entries = long("entry")
        .help("Address of an entry, used in turn with the others")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let direct = long("direct")
        .help("Send directly to endpoints, by `naive` or `least-outstanding`")
        .argument::<Policy>("POLICY")
        .optional();
    let endpoints = long("endpoint")
        .help("Endpoint of a pool for --direct")
        .argument::<PoolAddress>("POOL=ADDRESS")
        .many();
    let load = load_options();
    let json = long("json")
        .help("File that receives the report as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let log = long("log")
        .help("File that receives a JSON line for each request")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Options {
        plan,
        entries,
        direct,
        endpoints,
        load,
        json,
        log
    })
    .to_options()
    .descr("Sends a mix of requests at given rates and reports the outcomes")
    .version(env!("CARGO_PKG_VERSION"))
}

fn run(options: Options) -> Result<()> {
    let plan = Plan::read(&options.plan)?;
    let policy = options.direct.unwrap_or(Policy::Entries);
    let targets = Targets::new(policy, &options.entries, &options.endpoints)?;
    let (report, records) = load::run(plan, targets, &options.load)?;
    print!("{}", report.text());
    if let Some(path) = &options.json {
        let json = serde_json::to_vec_pretty(&report).unwrap_or_default();
        fs::write(path, json).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
    }
    if let Some(path) = &options.log {
        let mut log = JsonLinesWriter::open(path)?;
        for record in &records {
            log.append(record)?;
        }
        log.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sesame-load: {e}");
            ExitCode::from(2)
        }
    }
}
