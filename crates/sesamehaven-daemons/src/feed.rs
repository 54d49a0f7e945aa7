//! Keeps the configuration of this process up to date.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::{counter, gauge};
use tokio::sync::watch;

use sesamehaven::config::Index;
use sesamehaven::id::{Digest, Generation};
use sesamehaven::parts::{self, Head};
use sesamehaven::unit::Millis;

use crate::platform::{Object, Platform, Version};

/// The path of the head object.
pub const HEAD_PATH: &str = "config/head";

/// How a process follows the configuration.
#[derive(Debug, Clone)]
pub struct FeedConfig {
    /// Where the configuration is kept.
    pub platform: Platform,
    /// How long one watch of the head waits.
    pub wait: Millis,
    /// How long to pause after a failure.
    pub pause: Millis,
}

/// The task that follows the configuration.
pub struct Feed {
    cfg: FeedConfig,
    head: Option<(Generation, Digest)>,
    version: Version,
    parts: HashMap<Digest, Bytes>,
    tx: watch::Sender<Option<Arc<Index>>>,
}

impl Feed {
    /// Starts to follow the configuration on the runtime of this thread.
    ///
    /// The receiver holds [`None`] until the first configuration is in hand,
    /// and the task ends when all receivers are gone.
    pub fn spawn(cfg: FeedConfig) -> watch::Receiver<Option<Arc<Index>>> {
        let (tx, rx) = watch::channel(None);
        let feed = Feed {
            cfg,
            head: None,
            version: Version::ABSENT,
            parts: HashMap::new(),
            tx,
        };
        actix_rt::spawn(feed.run());
        rx
    }

    async fn run(mut self) {
        while !self.tx.is_closed() {
            let platform = self.cfg.platform.clone();
            let watched = platform.watch(HEAD_PATH, self.version, self.cfg.wait);
            let taken = match watched.await {
                Ok(Some(object)) => self.take(object).await,
                Ok(None) => true,
                Err(_) => false,
            };
            if !taken {
                tokio::time::sleep(self.cfg.pause.duration().max(Duration::from_millis(1))).await;
            }
        }
    }

    /// Takes a head that was read; returns whether it is settled.
    async fn take(&mut self, object: Object) -> bool {
        let head = match Head::from_slice(&object.value) {
            Ok(head) => head,
            Err(_) => {
                self.version = object.version;
                return refused("malformed_head");
            }
        };
        if let Some((generation, digest)) = self.head
            && head.generation <= generation
        {
            self.version = object.version;
            return match (head.generation, head.digest) == (generation, digest) {
                true => true,
                false => refused("backward"),
            };
        }
        let Some(bytes) = self.fetch(&head).await else {
            return false;
        };
        let index = match parts::index(&head, bytes.iter().map(Bytes::as_ref)) {
            Ok(index) => index,
            Err(_) => return refused("malformed_part"),
        };
        self.parts = head.parts.iter().copied().zip(bytes).collect();
        self.head = Some((head.generation, head.digest));
        self.version = object.version;
        gauge!("config_generation").set(head.generation.0 as f64);
        counter!("config_changes_total").increment(1);
        self.tx.send_replace(Some(index));
        true
    }

    /// Fetches the parts of a head that are not in hand.
    async fn fetch(&self, head: &Head) -> Option<Vec<Bytes>> {
        let mut fetched = Vec::with_capacity(head.parts.len());
        for digest in &head.parts {
            let bytes = match self.parts.get(digest) {
                Some(bytes) => bytes.clone(),
                None => self.fetch_part(*digest).await?,
            };
            fetched.push(bytes);
        }
        Some(fetched)
    }

    async fn fetch_part(&self, digest: Digest) -> Option<Bytes> {
        let read = self.cfg.platform.get(&part_path(digest)).await;
        let object = read.ok()??;
        if parts::verify(digest, &object.value).is_err() {
            refused("digest_mismatch");
            return None;
        }
        Some(object.value)
    }
}

/// Returns the path of a part.
pub fn part_path(digest: Digest) -> String {
    format!("config/parts/{digest}")
}

fn refused(reason: &'static str) -> bool {
    counter!("config_refusals_total", "reason" => reason).increment(1);
    false
}
