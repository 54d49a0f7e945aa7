//! The configuration as the platform keeps it, seen by operators.

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

/// How many parts are read or written at once.
const PARALLEL_CALLS: usize = 16;
/// The pause between two tries of a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A head with the version that a conditional write asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InForce {
    pub(crate) head: Head,
    pub(crate) version: Version,
}

/// What became of a write of the head.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Moved {
    /// The head is the one that was written, or was until a later one replaced it.
    Done,
    /// Another head came first.
    Lost,
}

/// The objects of the configuration.
#[derive(Debug)]
pub(crate) struct Store {
    platform: Platform,
}

impl Store {
    pub(crate) fn new(platform: Platform) -> Self {
        Store { platform }
    }

    /// Reads the head in force; [`None`] when no configuration was applied yet.
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
        self.historic(generation)
            .await?
            .ok_or(Error::NoGeneration { generation })
    }

    /// Reads the head that the history has for a generation.
    pub(crate) async fn historic(&self, generation: Generation) -> Result<Option<Head>> {
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

    /// Reads the parts of a head and joins them.
    pub(crate) async fn configuration(&self, head: &Head) -> Result<Configuration> {
        let reads = head.parts.iter().map(|digest| self.part(*digest));
        let reads = futures_util::stream::iter(reads).buffered(PARALLEL_CALLS);
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

    /// Writes the parts that are not among `known`, before a head names them.
    pub(crate) async fn put_parts(
        &self,
        parts: &[Part],
        known: &[Digest],
        patience: Millis,
    ) -> Result<usize> {
        let known: HashSet<_> = known.iter().collect();
        let missing: Vec<_> = parts
            .iter()
            .filter(|p| !known.contains(&p.digest))
            .collect();
        let writes = missing.iter().map(|part| {
            let value = Bytes::from(part.bytes.clone());
            self.put_once(part_path(part.digest), value, patience)
        });
        let writes = futures_util::stream::iter(writes).buffer_unordered(PARALLEL_CALLS);
        let () = writes.try_collect().await?;
        Ok(missing.len())
    }

    /// Keeps a head in the history, where nothing is ever replaced.
    pub(crate) async fn keep(&self, head: &Head, patience: Millis) -> Result<()> {
        let path = history_path(head.generation);
        self.put_once(path, head.to_bytes().into(), patience).await
    }

    /// Creates an object that is the same whoever writes it, going on through failures.
    async fn put_once(&self, path: String, value: Bytes, patience: Millis) -> Result<()> {
        let until = Instant::now() + patience.duration();
        loop {
            let condition = Condition::Version(Version::ABSENT);
            match self.platform.put(&path, value.clone(), condition).await {
                Ok(_) => return Ok(()),
                Err(err) if err.is_conflict() => return Ok(()),
                Err(err) if !is_passing(&err) || Instant::now() > until => return Err(err.into()),
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Moves the head, if it still has the version that was read.
    ///
    /// A lost answer is settled by the change id: the same write is tried
    /// again, and a conflict with a head of this change is a success.
    pub(crate) async fn move_head(
        &self,
        head: &Head,
        replaced: Version,
        patience: Millis,
    ) -> Result<Moved> {
        let until = Instant::now() + patience.duration();
        let mut lost = false;
        loop {
            let condition = Condition::Version(replaced);
            let value = Bytes::from(head.to_bytes());
            match self.platform.put(HEAD_PATH, value, condition).await {
                Ok(_) => return Ok(Moved::Done),
                Err(err) if err.is_conflict() => match self.settle(head).await {
                    Ok(moved) => return Ok(moved),
                    Err(Error::Platform(err)) if is_passing(&err) => lost = true,
                    Err(err) => return Err(err),
                },
                Err(err) if !is_passing(&err) => return Err(err.into()),
                Err(err) => lost |= err.is_answer_lost(),
            }
            if Instant::now() > until {
                return Err(self.given_up(head, lost));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    fn given_up(&self, head: &Head, lost: bool) -> Error {
        if lost {
            return Error::Unsettled {
                change: head.change.to_string(),
                generation: head.generation,
            };
        }
        Error::Platform(platform::Error::Unavailable {
            path: HEAD_PATH.into(),
            reason: "nothing was changed".into(),
        })
    }

    /// Finds out by the change id whether a head is or was in force.
    async fn settle(&self, ours: &Head) -> Result<Moved> {
        let Some(in_force) = self.head().await? else {
            return Ok(Moved::Lost);
        };
        if in_force.head.change == ours.change {
            return Ok(Moved::Done);
        }
        // Whoever moves the head keeps the one that it replaces first.
        match self.historic(ours.generation).await? {
            Some(kept) if kept.change == ours.change => Ok(Moved::Done),
            _ => Ok(Moved::Lost),
        }
    }
}

fn is_passing(err: &platform::Error) -> bool {
    err.is_unavailable() || err.is_answer_lost()
}
