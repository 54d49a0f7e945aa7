//! The file that tells which addresses a process was given by the system.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// The addresses that a process listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ports {
    /// Where callers are served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Where operators are served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
    /// Where entries' links are accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<SocketAddr>,
    /// Where agents' reports are received.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub udp: Option<SocketAddr>,
}

impl Ports {
    /// Writes the addresses in one step, so that a reader sees all or none.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_string(self)?;
        let draft = path.with_extension("draft");
        fs::write(&draft, text)?;
        fs::rename(draft, path)
    }
}
