//! The stand-in plain service as a process.

use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use sesamehaven_standins::server::{self, ListenOptions, listen_options};
use sesamehaven_standins::service::Service;
use smol_str::SmolStr;

struct Options {
    listen: ListenOptions,
    delay: Duration,
    crash_mark: SmolStr,
}

fn options() -> OptionParser<Options> {
    let listen = listen_options();
    let delay = long("delay-ms")
        .help("Milliseconds that each call takes")
        .argument::<u64>("MS")
        .fallback(5)
        .display_fallback()
        .map(Duration::from_millis);
    let crash_mark = long("crash-mark")
        .help("Text in a body that ends the process")
        .argument::<SmolStr>("TEXT")
        .fallback(SmolStr::default());
    construct!(Options {
        listen,
        delay,
        crash_mark
    })
    .to_options()
    .descr("Stand-in of a plain service that echoes and records each call")
    .version(env!("CARGO_PKG_VERSION"))
}

#[actix_web::main]
async fn main() -> sesamehaven_standins::Result<()> {
    let options = options().run();
    let listener = server::bind(&options.listen)?;
    let service = Service::new(options.delay, options.crash_mark);
    server::serve(listener, move |cfg| service.configure(cfg)).await
}
