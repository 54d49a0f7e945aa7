//! The configuration stored at the platform, as accessed by operators.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};
use tokio::time::{Instant, sleep};

use sesamehaven::config::Configuration;
use sesamehaven::id::{Digest, Generation};
use sesamehaven::parts::{self, Head, Part};
use sesamehaven::unit::Millis;

use crate::ctl::{Error, Result};
use crate::feed::{HEAD_PATH, history_path, part_path};
use crate::platform::{self, Condition, Object, Platform, Version};

/// Maximum number of parts that are read or written concurrently.
const CONCURRENT_CALLS_MAX: usize = 16;
/// Delay between two attempts of a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The head in force, with the object version for conditional writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InForce {
    pub(crate) head: Head,
    pub(crate) version: Version,
}

/// The outcome of a write of the head.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HeadUpdate {
    /// The head was written, even if a later one has replaced it since.
    Written,
    /// Another head was written first.
    Superseded,
}

/// Access to the objects of the configuration.
#[derive(Debug)]
pub(crate) struct Store {
    platform: Platform,
}

impl Store {
    pub(crate) fn new(platform: Platform) -> Self {
        Store { platform }
    }

    /// Reads the head in force; returns [`None`] if no configuration has been
    /// applied yet.
    pub(crate) async fn head(&self) -> Result<Option<InForce>> {
        let Some(object) = self.platform.get(HEAD_PATH).await? else {
            return Ok(None);
        };
        let head = Head::from_slice(&object.value)?;
        let version = object.version;
        Ok(Some(InForce { head, version }))
    }

    /// Reads the head of a generation that is or was in force.
    pub(crate) async fn head_of(&self, generation: Generation) -> Result<Head> {
        if let Some(in_force) = self.head().await?
            && in_force.head.generation == generation
        {
            return Ok(in_force.head);
        }
        self.head_in_history(generation)
            .await?
            .ok_or(Error::NoGeneration { generation })
    }

    /// Reads the head of a generation from the history.
    pub(crate) async fn head_in_history(&self, generation: Generation) -> Result<Option<Head>> {
        match self.platform.get(&history_path(generation)).await? {
            Some(Object { value, .. }) => Ok(Some(Head::from_slice(&value)?)),
            None => Ok(None),
        }
    }

    /// Lists the generations in the history, the latest first.
    pub(crate) async fn generations(&self) -> Result<Vec<Generation>> {
        let listed = self.platform.list("config/history/").await?;
        let names = listed.iter().filter_map(|l| l.path.rsplit('/').next());
        let mut generations: Vec<Generation> = names.filter_map(|n| n.parse().ok()).collect();
        generations.sort_by_key(|g| std::cmp::Reverse(*g));
        Ok(generations)
    }

    /// Reads the parts of a head and joins them to a configuration.
    pub(crate) async fn configuration(&self, head: &Head) -> Result<Configuration> {
        let reads = head.parts.iter().map(|digest| self.part(*digest));
        let reads = futures_util::stream::iter(reads).buffered(CONCURRENT_CALLS_MAX);
        let read: Vec<Bytes> = reads.try_collect().await?;
        Ok(parts::join(read.iter().map(Bytes::as_ref))?)
    }

    async fn part(&self, digest: Digest) -> Result<Bytes> {
        let path = part_path(digest);
        let Some(object) = self.platform.get(&path).await? else {
            return Err(Error::Platform(platform::Error::Malformed {
                path: path.into(),
                reason: "the part is missing".into(),
            }));
        };
        parts::verify(digest, &object.value)?;
        Ok(object.value)
    }

    /// Writes the parts that are not in `known`, which has to happen before a head
    /// references them, and returns their number.
    pub(crate) async fn put_parts(
        &self,
        parts: &[Part],
        known: &[Digest],
        retry_timeout: Millis,
    ) -> Result<usize> {
        let known: HashSet<_> = known.iter().collect();
        let missing: Vec<_> = parts
            .iter()
            .filter(|p| !known.contains(&p.digest))
            .collect();
        let writes = missing.iter().map(|part| {
            let value = Bytes::from(part.bytes.clone());
            self.create_if_absent(part_path(part.digest), value, retry_timeout)
        });
        let writes = futures_util::stream::iter(writes).buffer_unordered(CONCURRENT_CALLS_MAX);
        let () = writes.try_collect().await?;
        Ok(missing.len())
    }

    /// Adds a head to the history, whose objects are never replaced.
    pub(crate) async fn add_to_history(&self, head: &Head, retry_timeout: Millis) -> Result<()> {
        let path = history_path(head.generation);
        self.create_if_absent(path, head.to_bytes().into(), retry_timeout)
            .await
    }

    /// Creates an object with deterministic content unless it exists, retrying
    /// transient failures.
    async fn create_if_absent(
        &self,
        path: String,
        value: Bytes,
        retry_timeout: Millis,
    ) -> Result<()> {
        let until = Instant::now() + retry_timeout.duration();
        loop {
            let condition = Condition::Version(Version::ABSENT);
            match self.platform.put(&path, value.clone(), condition).await {
                Ok(_) => return Ok(()),
                Err(err) if err.is_conflict() => return Ok(()),
                Err(err) if !is_transient(&err) || Instant::now() > until => return Err(err.into()),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Replaces the head if it still has the version `replaced`.
    ///
    /// A lost response is resolved by the change id: the write is retried, and a
    /// conflict with a head of the same change is a success.
    pub(crate) async fn move_head(
        &self,
        head: &Head,
        replaced: Version,
        retry_timeout: Millis,
    ) -> Result<HeadUpdate> {
        let until = Instant::now() + retry_timeout.duration();
        let mut lost = false;
        loop {
            let condition = Condition::Version(replaced);
            let value = Bytes::from(head.to_bytes());
            match self.platform.put(HEAD_PATH, value, condition).await {
                Ok(_) => return Ok(HeadUpdate::Written),
                Err(err) if err.is_conflict() => match self.resolve_by_change_id(head).await {
                    Ok(moved) => return Ok(moved),
                    Err(Error::Platform(err)) if is_transient(&err) => lost = true,
                    Err(err) => return Err(err),
                },
                Err(err) if !is_transient(&err) => return Err(err.into()),
                Err(err) => lost |= err.is_answer_lost(),
            }
            if Instant::now() > until {
                return Err(self.timeout_error(head, lost));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn timeout_error(&self, head: &Head, lost: bool) -> Error {
        if lost {
            return Error::OutcomeUnknown {
                change: head.change.to_string(),
                generation: head.generation,
            };
        }
        Error::Platform(platform::Error::Unavailable {
            path: HEAD_PATH.into(),
            reason: "no attempt succeeded before the retry timeout; the head was not changed"
                .into(),
        })
    }

    /// Determines by the change id whether a head is or was in force.
    async fn resolve_by_change_id(&self, ours: &Head) -> Result<HeadUpdate> {
        let Some(in_force) = self.head().await? else {
            return Ok(HeadUpdate::Superseded);
        };
        if in_force.head.change == ours.change {
            return Ok(HeadUpdate::Written);
        }
        // Every writer adds the head that it replaces to the history first.
        match self.head_in_history(ours.generation).await? {
            Some(kept) if kept.change == ours.change => Ok(HeadUpdate::Written),
            _ => Ok(HeadUpdate::Superseded),
        }
    }
}

fn is_transient(err: &platform::Error) -> bool {
    err.is_unavailable() || err.is_answer_lost()
}
