//! Common parts of the stand-ins' servers: options, binding and the ports file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use actix_web::{App, HttpServer, web};
use bpaf::{Parser, construct, long};
use serde_json::json;
use smol_str::ToSmolStr;

use crate::error::{Error, Result};

const BODY_MAX_BYTES: usize = 64 << 20;
const KEEP_ALIVE: Duration = Duration::from_secs(300);
const BACKLOG: u32 = 4_096;
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// The listening address of a stand-in and the seed of its random choices.
#[derive(Debug, Clone)]
pub struct ListenOptions {
    /// The loopback address; with port 0 the operating system chooses a port.
    pub address: SocketAddr,
    /// The file that receives the bound address.
    pub ports_file: Option<PathBuf>,
    /// The seed of random choices.
    pub seed: u64,
}

/// Parses `--listen`, `--ports-file` and `--seed`.
pub fn listen_options() -> impl Parser<ListenOptions> {
    let address = long("listen")
        .help("Loopback address to listen on; port 0 lets the system choose")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback();
    let ports_file = long("ports-file")
        .help("File that receives the address in use, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let seed = long("seed")
        .help("Seed of random choices")
        .argument::<u64>("NUMBER")
        .fallback(1)
        .display_fallback();
    construct!(ListenOptions {
        address,
        ports_file,
        seed
    })
}

/// Checks that an address is a loopback address.
///
/// # Errors
///
/// Fails with [`Error::NotLoopback`] otherwise.
pub fn check_loopback(address: SocketAddr) -> Result<()> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(Error::NotLoopback {
        address: address.to_smolstr(),
    })
}

/// Binds the listening socket and writes the ports file.
///
/// # Errors
///
/// Fails when the address is not a loopback address, cannot be bound, or the
/// file cannot be written.
pub fn bind(listen: &ListenOptions) -> Result<TcpListener> {
    check_loopback(listen.address)?;
    let listener = TcpListener::bind(listen.address)?;
    listener.set_nonblocking(true)?;
    if let Some(path) = &listen.ports_file {
        let http = listener.local_addr()?.to_string();
        write_atomically(path, json!({ "http": http }).to_string().as_bytes())?;
    }
    Ok(listener)
}

/// Writes a file atomically, by renaming a temporary file next to it.
///
/// # Errors
///
/// Fails when either file cannot be written.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> Result<()> {
    let temporary = path.with_extension("part");
    let failed = |source| Error::File {
        path: path.to_path_buf(),
        source,
    };
    fs::write(&temporary, bytes).map_err(failed)?;
    fs::rename(&temporary, path).map_err(failed)
}

/// Serves the configured routes until the process receives a termination signal.
///
/// # Errors
///
/// Fails when the listening socket fails.
pub async fn serve<F>(listener: TcpListener, configure: F) -> Result<()>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let app = move || {
        App::new()
            .app_data(web::PayloadConfig::new(BODY_MAX_BYTES))
            .app_data(web::JsonConfig::default().limit(BODY_MAX_BYTES))
            .configure(|cfg| configure(cfg))
    };
    HttpServer::new(app)
        .workers(1)
        .tcp_nodelay(true)
        .backlog(BACKLOG)
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .listen(listener)?
        .run()
        .await?;
    Ok(())
}
