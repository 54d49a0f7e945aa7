//! How a daemon waits for the word to stop, and for what is in flight.

use std::future::Future;
use std::io;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use sesamehaven::unit::{Instant, Millis};

use crate::clock;

/// How often a draining process looks whether it is done.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals cannot be listened to.
pub async fn stop_requested() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Waits until nothing is in flight, for `longest` at most.
pub async fn wait_until_idle<F, Fut>(longest: Millis, in_flight: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = usize>,
{
    let last: Instant = clock::now().after(longest);
    loop {
        let left = in_flight().await;
        if left == 0 {
            info!("drained: nothing is in flight");
            return;
        }
        if clock::now() >= last {
            warn!("stopping after {longest} with {left} requests in flight");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
