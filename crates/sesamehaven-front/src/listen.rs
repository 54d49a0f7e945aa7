//! The addresses of a front, which may still be in use when it starts.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use sesamehaven::unit::Millis;

use crate::clock;

/// The length of the listen backlog.
const LISTEN_BACKLOG: u32 = 1_024;
/// How long a front waits for an address that another process uses.
///
/// A process that has been replaced closes its sockets within its grace period.
const MAX_WAIT: Millis = Millis(30_000);
/// The interval between attempts to bind an address.
const RETRY_INTERVAL: Millis = Millis(20);

/// Binds an address for TCP and listens on it.
///
/// # Errors
///
/// Fails if the address does not belong to this VM, or is in use for longer than [`MAX_WAIT`].
pub(crate) async fn tcp(address: SocketAddr) -> io::Result<TcpListener> {
    when_free("TCP", address, || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    })
    .await
}

/// Binds an address for UDP.
///
/// # Errors
///
/// Fails if the address does not belong to this VM, or is in use for longer than [`MAX_WAIT`].
pub(crate) async fn udp(address: SocketAddr) -> io::Result<UdpSocket> {
    when_free("UDP", address, || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    })
    .await
}

async fn when_free<T>(
    transport: &'static str,
    address: SocketAddr,
    bind: impl Fn() -> io::Result<T>,
) -> io::Result<T> {
    let started = clock::now();
    let mut is_waiting = false;
    loop {
        let waited = clock::now().since(started);
        match bind() {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && waited < MAX_WAIT => {
                if !std::mem::replace(&mut is_waiting, true) {
                    spdlog::warn!("address in use, waiting", kv: {
                        transport,
                        address = address.to_string(),
                        max_wait_ms = MAX_WAIT.0
                    });
                }
                tokio::time::sleep(RETRY_INTERVAL.duration()).await;
            }
            Err(err) => {
                let reason = format!("{transport} address {address}: {err}");
                return Err(io::Error::new(err.kind(), reason));
            }
            Ok(bound) => {
                if is_waiting {
                    spdlog::info!("address bound", kv: {
                        transport,
                        address = address.to_string(),
                        waited_ms = waited.0
                    });
                }
                return Ok(bound);
            }
        }
    }
}
