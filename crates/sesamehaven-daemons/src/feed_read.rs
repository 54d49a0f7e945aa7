//! Paths of the configuration at the platform, and reads of its parts.

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};

use sesamehaven::id::{Digest, Generation};
use sesamehaven::parts;

use crate::platform::Platform;

/// The path of the head object.
pub const HEAD_PATH: &str = "config/head";

/// Maximum number of parts that are read from the platform concurrently.
const CONCURRENT_READS_MAX: usize = 32;

/// Returns all parts, reading those that are not given from the platform.
pub(crate) async fn read_all(
    platform: &Platform,
    wanted: Vec<(Digest, Option<Bytes>)>,
) -> Result<Vec<Bytes>, &'static str> {
    let reads = wanted.into_iter().map(|(digest, bytes)| async move {
        match bytes {
            Some(bytes) => Ok(bytes),
            None => read_part(platform, digest).await,
        }
    });
    let reads = futures_util::stream::iter(reads).buffered(CONCURRENT_READS_MAX);
    reads.try_collect().await
}

async fn read_part(platform: &Platform, digest: Digest) -> Result<Bytes, &'static str> {
    let read = platform.get(&part_path(digest)).await;
    let object = read.map_err(|_| "part_unread")?.ok_or("part_missing")?;
    match parts::verify(digest, &object.value) {
        // The buffer of a received body has spare capacity, which the copy does
        // not.
        Ok(()) => Ok(Bytes::copy_from_slice(&object.value)),
        Err(_) => Err("digest_mismatch"),
    }
}

/// Returns the path of a part.
pub fn part_path(digest: Digest) -> String {
    format!("config/parts/{digest}")
}

/// Returns the path of the head of a generation in the history.
pub fn history_path(generation: Generation) -> String {
    format!("config/history/{generation}")
}
