//! The file with the addresses that a process has bound.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// The addresses on which a process listens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ports {
    /// Address for callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Address of the admin interface.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
    /// Address for links from entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<SocketAddr>,
    /// UDP address for reports from agents.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub udp: Option<SocketAddr>,
}

impl Ports {
    /// Writes the addresses atomically, so that a reader sees all or none.
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
