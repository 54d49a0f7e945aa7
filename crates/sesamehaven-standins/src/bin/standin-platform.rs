//! The stand-in platform as a process.

use bpaf::{OptionParser, Parser, construct, long};
use sesamehaven_standins::platform::Platform;
use sesamehaven_standins::server::{self, ListenOptions, listen_options};

struct Options {
    listen: ListenOptions,
    weights_per_second: f64,
}

fn options() -> OptionParser<Options> {
    let listen = listen_options();
    let weights_per_second = long("weights-per-second")
        .help("Weight fetches granted a second")
        .argument::<f64>("RATE")
        .fallback(1.0)
        .display_fallback();
    construct!(Options {
        listen,
        weights_per_second
    })
    .to_options()
    .descr("Stand-in of the platform: objects, watches, VMs and the weight store")
    .version(env!("CARGO_PKG_VERSION"))
}

#[actix_web::main]
async fn main() -> sesamehaven_standins::Result<()> {
    let options = options().run();
    let listener = server::bind(&options.listen)?;
    let platform = Platform::new(options.weights_per_second);
    server::serve(listener, move |cfg| platform.configure(cfg)).await
}
