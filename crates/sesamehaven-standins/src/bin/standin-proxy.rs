//! The fault-injecting proxy as a process; routes are added over HTTP.

use bpaf::{OptionParser, Parser};
use sesamehaven_standins::proxy::Proxy;
use sesamehaven_standins::proxy_routes;
use sesamehaven_standins::server::{self, ListenOptions, listen_options};

fn options() -> OptionParser<ListenOptions> {
    listen_options()
        .to_options()
        .descr("Proxy that delays, cuts and silences TCP and UDP between two processes")
        .version(env!("CARGO_PKG_VERSION"))
}

#[actix_web::main]
async fn main() -> sesamehaven_standins::Result<()> {
    let listen = options().run();
    let listener = server::bind(&listen)?;
    let proxy = Proxy::default();
    server::serve(listener, move |cfg| {
        proxy_routes::configure(&proxy, listen.seed, cfg);
    })
    .await
}
