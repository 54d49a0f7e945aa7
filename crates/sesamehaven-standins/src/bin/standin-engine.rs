//! The stand-in model engine as a process.

use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use sesamehaven_standins::batch::Speed;
use sesamehaven_standins::engine::{Engine, EngineOptions};
use sesamehaven_standins::engine_faults::{CrashMode, CrashOptions, Faults};
use sesamehaven_standins::engine_routes;
use sesamehaven_standins::server::{self, ListenOptions, listen_options};
use smol_str::SmolStr;

struct Options {
    listen: ListenOptions,
    engine: EngineOptions,
}

/// Parses a numeric option with a default.
fn number<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: FromStr + Display + Clone + 'static,
    T::Err: Display,
{
    long(name)
        .help(help)
        .argument::<T>("NUMBER")
        .fallback(default)
        .display_fallback()
}

/// Parses a duration option in milliseconds with a default.
fn millis(name: &'static str, help: &'static str, default: u64) -> impl Parser<Duration> {
    number(name, help, default).map(Duration::from_millis)
}

fn speed() -> impl Parser<Speed> {
    let prefill_per_s = number(
        "prefill-rate",
        "Prompt tokens a second, shared by the prompts in the batch",
        20_000.0,
    );
    let decode_per_s = number(
        "decode-rate",
        "Answer tokens a second of a job that decodes alone",
        100.0,
    );
    let slowdown = number(
        "slowdown",
        "Fraction by which each further decoding job lengthens the time per token",
        0.02,
    );
    let max_batch = number(
        "max-batch",
        "Jobs computed side by side; the others wait, first come first served",
        64,
    );
    construct!(Speed {
        prefill_per_s,
        decode_per_s,
        slowdown,
        max_batch
    })
}

fn crash() -> impl Parser<CrashOptions> {
    let mark = long("crash-mark")
        .help("Text in a body that crashes the engine once the run has started")
        .argument::<SmolStr>("TEXT")
        .fallback(SmolStr::default());
    let mode = long("crash")
        .help("What a crash does: `exit` ends the process, `refuse` closes connections")
        .argument::<CrashMode>("MODE")
        .fallback(CrashMode::Exit);
    let down = millis("crash-down-ms", "How long a crash by `refuse` lasts", 1_000);
    construct!(CrashOptions { mark, mode, down })
}

fn faults() -> impl Parser<Faults> {
    let defaults = Faults::default();
    let load_lag_ms = number(
        "load-lag-ms",
        "How late the load is reported",
        defaults.load_lag_ms,
    );
    let events_lag_ms = number(
        "events-lag-ms",
        "Delay of cache events, in milliseconds",
        defaults.events_lag_ms,
    );
    let events_gap_percent = number(
        "events-gap-percent",
        "Percentage of cache events that are never reported",
        defaults.events_gap_percent,
    );
    let slow = number("slow", "Slowdown factor of all computation", defaults.slow);
    let (stall, refuse) = (bpaf::pure(defaults.stall), bpaf::pure(defaults.refuse));
    let retry_after_ms = bpaf::pure(defaults.retry_after_ms);
    let rate_limit = bpaf::pure(defaults.rate_limit);
    construct!(Faults {
        slow,
        stall,
        refuse,
        retry_after_ms,
        rate_limit,
        load_lag_ms,
        events_lag_ms,
        events_gap_percent
    })
}

fn engine() -> impl Parser<EngineOptions> {
    let release = long("release")
        .help("Software version that each event of a stream names in `system_fingerprint`")
        .argument::<SmolStr>("VERSION")
        .fallback(SmolStr::default());
    let speed = speed();
    let tick = millis("tick-ms", "Time between two steps of the batch", 2)
        .map(|tick| tick.max(Duration::from_millis(1)));
    let block_tokens = number("block-tokens", "Tokens in a block of the prefix cache", 16);
    let cache_tokens = number(
        "cache-tokens",
        "Capacity of the prefix cache in tokens",
        200_000,
    );
    let resume_window = millis(
        "resume-ms",
        "How long a stream without a reader goes on and can be resumed",
        0,
    );
    let kv_per_s = number(
        "kv-rate",
        "Prompt tokens a second that are exported or imported",
        1_000_000.0,
    );
    let enforces_fencing = long("ignore-fencing")
        .help("Carry out orders with an old fencing number")
        .switch()
        .map(|ignored| !ignored);
    let load_time = millis("load-ms", "How long an order to load takes", 0);
    let crash = crash();
    let faults = faults();
    let records = long("records")
        .help("File that receives a JSON line for each start and end of a run")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(EngineOptions {
        release,
        speed,
        tick,
        block_tokens,
        cache_tokens,
        resume_window,
        kv_per_s,
        enforces_fencing,
        load_time,
        crash,
        faults,
        records
    })
}

fn options() -> OptionParser<Options> {
    let listen = listen_options();
    let engine = engine();
    construct!(Options { listen, engine })
        .to_options()
        .descr("Stand-in of a model engine that batches continuously")
        .version(env!("CARGO_PKG_VERSION"))
}

#[actix_web::main]
async fn main() -> sesamehaven_standins::Result<()> {
    let Options { listen, engine } = options().run();
    let engine = Engine::new(engine, listen.seed)?;
    let listener = server::bind(&listen)?;
    actix_rt::spawn(engine.clone().run());
    server::serve(listener, move |cfg| engine_routes::configure(&engine, cfg)).await
}
