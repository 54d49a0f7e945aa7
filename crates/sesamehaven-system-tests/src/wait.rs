//! Polling until a condition holds.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::error::{Error, Result};

/// The default timeout, long enough that a busy machine slows tests down without
/// failing them.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `probe` until it returns a value, for at most [`DEFAULT_TIMEOUT`].
///
/// # Errors
///
/// Returns [`Error::TimedOut`] with `what`, the description of the condition.
pub async fn until<T, F>(what: &str, probe: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    until_within(DEFAULT_TIMEOUT, what, probe).await
}

/// Polls `probe` until it returns a value, for at most `timeout`.
///
/// # Errors
///
/// Returns [`Error::TimedOut`] with `what`, the description of the condition.
pub async fn until_within<T, F>(
    timeout: Duration,
    what: &str,
    mut probe: impl FnMut() -> F,
) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(Error::TimedOut { what: what.into() });
        }
        sleep(POLL_INTERVAL).await;
    }
}
