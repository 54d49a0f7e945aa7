//! Reading and storing configurations in the platform stand-in.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use sesamehaven::config::Configuration;
use sesamehaven::id::{Digest, Generation};

use crate::error::{Error, Result};
use crate::http::{Http, expect_ok};

const HEAD_PATH: &str = "/objects/config/head";

/// The head object, which identifies the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The generation.
    pub generation: Generation,
    /// The digest of the digests of the parts, see [`digest_of_parts`].
    pub digest: Digest,
    /// The digests of the parts, in order.
    pub parts: Vec<Digest>,
    /// The id of the change.
    pub change: String,
    /// The author of the change.
    pub author: String,
    /// The reason for the change.
    pub note: String,
}

impl Head {
    /// Returns the head of a configuration with a single part.
    pub fn of_part(generation: Generation, part: &[u8]) -> Self {
        let parts = vec![Digest::of(part)];
        Head {
            generation,
            digest: digest_of_parts(&parts),
            parts,
            change: format!("change-{generation}"),
            author: "test".into(),
            note: "stored by a test".into(),
        }
    }
}

/// Returns the digest of the digests of the parts, which are hashed in order as
/// hexadecimal text joined by newlines.
pub fn digest_of_parts(parts: &[Digest]) -> Digest {
    let texts: Vec<String> = parts.iter().map(Digest::to_string).collect();
    Digest::of(texts.join("\n").as_bytes())
}

/// Stores a configuration as the given generation and sets the head to it.
///
/// # Errors
///
/// Fails when the platform rejects a write.
pub async fn store(
    http: &Http,
    platform: SocketAddr,
    generation: Generation,
    configuration: &Configuration,
) -> Result<Head> {
    let part = serde_json::to_vec(configuration)?;
    let head = Head::of_part(generation, &part);
    let path = format!("/objects/config/parts/{}", head.parts[0]);
    put(http, platform, &path, part).await?;
    let text = serde_json::to_vec(&head)?;
    let history = format!("/objects/config/history/{generation}");
    put(http, platform, &history, text.clone()).await?;
    put(http, platform, HEAD_PATH, text).await?;
    Ok(head)
}

async fn put(http: &Http, platform: SocketAddr, path: &str, value: impl Into<Bytes>) -> Result<()> {
    let url = format!("http://{platform}{path}");
    let response = http.send("PUT", &url, &[], value).await?;
    expect_ok(path, &response)
}

/// Returns the current head.
///
/// # Errors
///
/// Fails when no head is stored.
pub async fn head(http: &Http, platform: SocketAddr) -> Result<Head> {
    let response = http.get(platform, HEAD_PATH).await?;
    if response.status == 404 {
        return Err(Error::Unexpected {
            what: "no configuration is in force".into(),
        });
    }
    response.json()
}
