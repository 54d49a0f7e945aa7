//! Waiting for conditions.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::error::{Error, Result};

/// The longest wait for anything; a busy machine makes tests slow, not red.
pub const LONGEST: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `probe` gives a value, for at most [`LONGEST`].
///
/// # Errors
///
/// Fails with [`Error::TimedOut`], which names `what` was waited for.
pub async fn until<T, F>(what: &str, probe: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    until_within(LONGEST, what, probe).await
}

/// Waits until `probe` gives a value, for at most `longest`.
///
/// # Errors
///
/// Fails with [`Error::TimedOut`], which names `what` was waited for.
pub async fn until_within<T, F>(
    longest: Duration,
    what: &str,
    mut probe: impl FnMut() -> F,
) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + longest;
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if Instant::now() >= end {
            return Err(Error::TimedOut { what: what.into() });
        }
        sleep(POLL_INTERVAL).await;
    }
}
