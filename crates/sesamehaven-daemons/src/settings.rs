//! The settings of the daemons, read once at start from a YAML file.
//!
//! Settings say where a process runs and how much it may use; everything that
//! operators decide for the fleet is in the configuration. The fields are
//! explained in the commented examples under
//! [`examples/`](../../../examples/).

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use sesamehaven::id::{DaemonName, DataCentreName, Digest};
use sesamehaven::unit::{Bytes, Millis};

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why settings could not be read.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The file could not be read.
        Read { path: PathBuf, err: std::io::Error } {
            source(err)
            display("cannot read the settings {}: {err}", path.display())
        }
        /// The text is not valid settings.
        Invalid { path: PathBuf, message: String } {
            display("{}: {message}", path.display())
        }
    }
}

/// The settings of `sesame-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name, as in the configuration.
    pub name: DaemonName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where operators are served.
    pub admin: SocketAddr,
    /// Where agents' reports are received.
    pub reports: SocketAddr,
    /// Where the platform's object API is.
    pub platform: SocketAddr,
    /// The pre-shared key of links and reports, as 64 hexadecimal digits.
    pub link_key: Digest,
    /// How much callers may use.
    #[serde(default)]
    pub limits: EntryLimits,
    /// How the process stops.
    #[serde(default)]
    pub drain: Drain,
    /// What is logged, and how.
    #[serde(default)]
    pub log: Log,
    /// A file to write the addresses in use to.
    #[serde(default)]
    pub ports_file: Option<PathBuf>,
}

/// Bounds on what callers may use at an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// The largest request body.
    pub body: Bytes,
    /// The longest wait for the head of a request.
    pub header_timeout: Millis,
    /// How long an idle connection is kept.
    pub idle_timeout: Millis,
    /// The connections that are served at once.
    pub connections: usize,
    /// The parts of an answer that may wait for a slow caller.
    pub window_chunks: u32,
    /// The threads that speak HTTP.
    pub threads: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        EntryLimits {
            body: Bytes(2 << 20),
            header_timeout: Millis(5_000),
            idle_timeout: Millis(60_000),
            connections: 8_192,
            window_chunks: 64,
            threads: 1,
        }
    }
}

/// How a process stops after SIGTERM.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long an entry goes on accepting, until the balancer has noticed.
    pub grace: Millis,
    /// The longest wait for what is in flight.
    pub longest: Millis,
}

impl Default for Drain {
    fn default() -> Self {
        Drain {
            grace: Millis(2_000),
            longest: Millis(600_000),
        }
    }
}

/// The settings of `sesame-agent`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name, as in the configuration.
    pub name: DaemonName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Where entries' links are accepted.
    pub link: SocketAddr,
    /// The address that entries are told, when it differs from `link`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where operators are served.
    pub admin: SocketAddr,
    /// Where entries receive reports; the platform's list adds to these.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Where the platform's object API is.
    pub platform: SocketAddr,
    /// The pre-shared key of links and reports, as 64 hexadecimal digits.
    pub link_key: Digest,
    /// How much runs may use.
    #[serde(default)]
    pub limits: AgentLimits,
    /// How the process stops.
    #[serde(default)]
    pub drain: Drain,
    /// What is logged, and how.
    #[serde(default)]
    pub log: Log,
    /// A file to write the addresses in use to.
    #[serde(default)]
    pub ports_file: Option<PathBuf>,
}

/// Bounds on what runs may use at an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimits {
    /// The part of one answer that is kept for attaching and resuming.
    pub answer_buffer: Bytes,
    /// The part of all answers that is kept.
    pub all_answers: Bytes,
    /// How long a finished answer is kept.
    pub answer_retention: Millis,
    /// How long running model work outlives its caller.
    pub cancel_grace: Millis,
    /// The time between two reports.
    pub report_interval: Millis,
    /// The longest wait for a connection to an endpoint.
    pub connect_timeout: Millis,
}

impl Default for AgentLimits {
    fn default() -> Self {
        AgentLimits {
            answer_buffer: Bytes(1 << 20),
            all_answers: Bytes(16 << 20),
            answer_retention: Millis(60_000),
            cancel_grace: Millis(500),
            report_interval: Millis(100),
            connect_timeout: Millis(1_000),
        }
    }
}

/// What is logged, and how.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least grave lines that are written.
    pub level: LogLevel,
    /// The form of the lines.
    pub format: LogFormat,
}

/// How grave a line has to be to be written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system copes with.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single requests.
    Debug,
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Reads settings from a file.
///
/// # Errors
///
/// Fails when the file cannot be read or is not valid; the message names the
/// line, the field and what to write instead.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::Read {
        path: path.into(),
        err,
    })?;
    serde_saphyr::from_str(&text).map_err(|err| Error::Invalid {
        path: path.into(),
        message: err.to_string(),
    })
}
