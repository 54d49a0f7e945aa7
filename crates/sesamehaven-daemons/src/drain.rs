//! Shutdown signals, and the wait for requests in flight.

use std::future::Future;
use std::io;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use sesamehaven::unit::{Instant, Millis};

use crate::clock;

/// Interval at which a draining process checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn stop_requested() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Waits until no request is in flight, for at most `timeout`.
pub async fn wait_until_idle<F, Fut>(timeout: Millis, in_flight: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = usize>,
{
    let deadline: Instant = clock::now().after(timeout);
    loop {
        let remaining = in_flight().await;
        if remaining == 0 {
            info!("drained: no requests in flight");
            return;
        }
        if clock::now() >= deadline {
            warn!("drain timed out after {timeout} with {remaining} requests in flight");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
