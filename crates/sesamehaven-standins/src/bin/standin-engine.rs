//! The stand-in of a model engine, as a process.

use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use sesamehaven_standins::batch::Speed;
use sesamehaven_standins::engine::{Engine, EngineOptions};
use sesamehaven_standins::engine_routes;
use sesamehaven_standins::server::{self, Listen, listen_options};

struct Options {
    listen: Listen,
    engine: EngineOptions,
}

fn speed() -> impl Parser<Speed> {
    let prefill_per_s = long("prefill-rate")
        .help("Prompt tokens a second, shared by the prompts in the batch")
        .argument::<f64>("RATE")
        .fallback(20_000.0)
        .display_fallback();
    let decode_per_s = long("decode-rate")
        .help("Answer tokens a second of a job that decodes alone")
        .argument::<f64>("RATE")
        .fallback(100.0)
        .display_fallback();
    let slowdown = long("slowdown")
        .help("Share that each further decoding job adds to the time of a token")
        .argument::<f64>("SHARE")
        .fallback(0.02)
        .display_fallback();
    let max_batch = long("max-batch")
        .help("Jobs computed side by side; the others wait, first come first served")
        .argument::<usize>("JOBS")
        .fallback(64)
        .display_fallback();
    construct!(Speed {
        prefill_per_s,
        decode_per_s,
        slowdown,
        max_batch
    })
}

fn options() -> OptionParser<Options> {
    let listen = listen_options();
    let speed = speed();
    let tick = long("tick-ms")
        .help("Milliseconds between two steps of the batch")
        .argument::<u64>("MS")
        .fallback(2)
        .display_fallback()
        .map(|ms| Duration::from_millis(ms.max(1)));
    let engine = construct!(EngineOptions { speed, tick });
    construct!(Options { listen, engine })
        .to_options()
        .descr("Stand-in of a model engine that batches continuously")
        .version(env!("CARGO_PKG_VERSION"))
}

#[actix_web::main]
async fn main() -> sesamehaven_standins::Result<()> {
    let options = options().run();
    let listener = server::bind(&options.listen)?;
    let engine = Engine::new(&options.engine);
    actix_rt::spawn(engine.clone().run());
    server::serve(listener, move |cfg| engine_routes::configure(&engine, cfg)).await
}
