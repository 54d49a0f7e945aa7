//! The planned stop of a front, as its requests see it.

use tokio::sync::watch;

use sesamehaven::grace::Grace;
use sesamehaven::unit::{Instant, Millis};

use crate::clock;

/// Tells all tasks when the front stops.
#[derive(Debug)]
pub struct Stop {
    grace: watch::Sender<Option<Grace>>,
}

impl Default for Stop {
    fn default() -> Self {
        let (grace, _) = watch::channel(None);
        Stop { grace }
    }
}

impl Stop {
    /// Begins the grace period.
    pub fn begin(&self, grace: Grace) {
        self.grace.send_replace(Some(grace));
    }

    /// Returns whether the front is stopping.
    pub fn has_begun(&self) -> bool {
        self.grace.borrow().is_some()
    }

    /// Waits until a request that may take `duration()` is no longer started.
    pub async fn too_late_for(&self, duration: impl Fn() -> Millis) {
        self.wait_until(|grace| grace.last_start(duration())).await;
    }

    /// Waits until all requests are answered, whether they have run or not.
    pub async fn ended(&self) {
        self.wait_until(|grace| grace.answers_at()).await;
    }

    async fn wait_until(&self, at: impl Fn(Grace) -> Instant) {
        let mut grace = self.grace.subscribe();
        let Ok(begun) = grace.wait_for(Option::is_some).await.map(|g| *g) else {
            return std::future::pending().await;
        };
        if let Some(grace) = begun {
            let remaining = at(grace).since(clock::now());
            // Even a sleep of no time takes a turn of the runtime.
            if remaining > Millis(0) {
                tokio::time::sleep(remaining.duration()).await;
            }
        }
    }
}
