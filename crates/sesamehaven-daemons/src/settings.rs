//! Settings of the daemons, read from a YAML file at startup.
//!
//! Settings define where a process runs and which resources it may use. Everything
//! that operators control for the fleet is part of the configuration instead. The
//! fields are explained in the commented examples under
//! [`examples/`](../../../examples/).

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

use sesamehaven::id::{DaemonName, DataCentreName, Digest};
use sesamehaven::unit::{Bytes, Millis};
use sesamehaven_wire::LinkConfig;

use crate::fields::{self, Fields, Problem};

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error of reading settings.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The file could not be read.
        Read { path: PathBuf, err: std::io::Error } {
            source(err)
            display("cannot read the settings {}: {err}", path.display())
        }
        /// The settings are invalid.
        Invalid { path: PathBuf, problems: Vec<Problem> } {
            display("{}", listed(path, problems))
        }
    }
}

fn listed(path: &Path, problems: &[Problem]) -> String {
    let lines = problems.iter().map(|p| format!("{}: {p}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// The settings of a daemon.
pub trait Settings: Sized {
    /// Builds the settings from their fields, and reports missing and invalid ones.
    fn build(fields: &mut Fields<'_>) -> Option<Self>;

    /// Returns the logging settings.
    fn log(&self) -> &Log;

    /// Sets the file that the settings were read from.
    fn set_file(&mut self, file: &Path);
}

/// The settings of `sesame-entry`.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The daemon's name in the configuration.
    pub name: DaemonName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address of the admin interface.
    pub admin: SocketAddr,
    /// UDP address on which agents' reports are received.
    pub reports: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// The pre-shared key of links and reports, as 64 hexadecimal digits.
    pub link_key: Digest,
    /// Limits on callers.
    pub limits: EntryLimits,
    /// Link settings.
    pub links: Links,
    /// Shutdown settings.
    pub drain: Drain,
    /// Logging settings.
    pub log: Log,
    /// File to which the bound addresses are written.
    pub ports_file: Option<PathBuf>,
    /// File that the settings were read from.
    pub file: PathBuf,
}

/// Limits on callers at an entry.
#[derive(Debug, Clone)]
pub struct EntryLimits {
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Timeout for receiving the head of a request, and again for its body.
    pub header_timeout: Millis,
    /// Time for which an idle connection is kept open.
    pub idle_timeout: Millis,
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum number of chunks of an answer buffered for a slow caller.
    pub window_chunks: u32,
    /// Number of HTTP threads.
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

/// Settings of the links between daemons.
#[derive(Debug, Clone)]
pub struct Links {
    /// Interval between pings.
    pub heartbeat: Millis,
    /// Time without a pong after which a link is closed; also the timeout of the
    /// handshake.
    pub silent_after: Millis,
    /// Maximum size of a frame.
    pub frame: Bytes,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            heartbeat: Millis(500),
            silent_after: Millis(2_000),
            frame: Bytes(8 << 20),
        }
    }
}

impl Links {
    /// Applies the settings to a link configuration.
    pub fn apply(&self, cfg: &mut LinkConfig) {
        cfg.heartbeat_interval = self.heartbeat.duration();
        cfg.heartbeat_timeout = self.silent_after.duration();
        cfg.handshake_timeout = self.silent_after.duration();
        cfg.max_frame_bytes = self.frame.len();
    }
}

/// Settings of the shutdown of a daemon.
#[derive(Debug, Clone)]
pub struct Drain {
    /// Time for which an entry keeps accepting requests, until load balancers have
    /// noticed that it is not ready.
    pub grace: Millis,
    /// Maximum time to wait for requests in flight.
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
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The daemon's name in the configuration.
    pub name: DaemonName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Listen address for links from entries.
    pub link: SocketAddr,
    /// Address for links that is advertised to entries, if it differs from `link`.
    pub advertise: Option<SocketAddr>,
    /// Listen address of the admin interface.
    pub admin: SocketAddr,
    /// Addresses at which entries receive reports, in addition to those in the
    /// platform's VM list.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// The pre-shared key of links and reports, as 64 hexadecimal digits.
    pub link_key: Digest,
    /// Limits on requests.
    pub limits: AgentLimits,
    /// Link settings.
    pub links: Links,
    /// Shutdown settings.
    pub drain: Drain,
    /// Logging settings.
    pub log: Log,
    /// File to which the bound addresses are written.
    pub ports_file: Option<PathBuf>,
    /// File that the settings were read from.
    pub file: PathBuf,
}

/// Limits on requests at an agent.
#[derive(Debug, Clone)]
pub struct AgentLimits {
    /// Maximum size of the buffered part of an answer, from which readers attach
    /// and resume.
    pub answer_buffer: Bytes,
    /// Maximum total size of the buffered parts of all answers.
    pub all_answers: Bytes,
    /// Retention period of a finished answer with a key.
    pub answer_retention: Millis,
    /// Time for which a running call that may be cancelled continues after its caller
    /// disconnected.
    pub cancel_grace: Millis,
    /// Interval between two reports.
    pub report_interval: Millis,
    /// Timeout for opening a connection to an endpoint.
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

/// Logging settings.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Minimum severity that is logged.
    pub level: LogLevel,
    /// Format of the log lines.
    pub format: LogFormat,
}

/// The severity of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that require an operator.
    Error,
    /// Failures that the system handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Individual requests.
    Debug,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl LogLevel {
    /// All levels, the most severe first.
    pub const ALL: [LogLevel; 4] = [
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
    ];

    /// Returns the name of the level in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
        }
    }
}

/// Reads settings from a file.
///
/// # Errors
///
/// Fails when the file cannot be read or is invalid; the message lists every error
/// with its line, its field and what to write instead.
pub fn read<T: Settings>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::Read {
        path: path.into(),
        err,
    })?;
    let read = fields::read(&text, T::build);
    let mut settings = read.map_err(|problems| Error::Invalid {
        path: path.into(),
        problems,
    })?;
    settings.set_file(path);
    Ok(settings)
}
