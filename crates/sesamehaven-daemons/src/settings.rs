//! The settings of the daemons, read once at start from a YAML file.
//!
//! Settings say where a process runs and how much it may use; everything that
//! operators decide for the fleet is in the configuration. The fields are
//! explained in the commented examples under
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
        Invalid { path: PathBuf, problems: Vec<Problem> } {
            display("{}", listed(path, problems))
        }
    }
}

fn listed(path: &Path, problems: &[Problem]) -> String {
    let lines = problems.iter().map(|p| format!("{}: {p}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// What a daemon reads at its start.
pub trait Settings: Sized {
    /// Takes the fields, and reports those that are missing or do not fit.
    fn build(fields: &mut Fields<'_>) -> Option<Self>;

    /// Returns what is logged, and how.
    fn log(&self) -> &Log;

    /// Remembers where the settings were read.
    fn set_file(&mut self, file: &Path);
}

/// The settings of `sesame-entry`.
#[derive(Debug, Clone)]
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
    pub limits: EntryLimits,
    /// How links are kept.
    pub links: Links,
    /// How the process stops.
    pub drain: Drain,
    /// What is logged, and how.
    pub log: Log,
    /// A file to write the addresses in use to.
    pub ports_file: Option<PathBuf>,
    /// The file that the settings were read from.
    pub file: PathBuf,
}

/// Bounds on what callers may use at an entry.
#[derive(Debug, Clone)]
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

/// How the links between daemons are kept.
#[derive(Debug, Clone)]
pub struct Links {
    /// How often a ping is sent.
    pub heartbeat: Millis,
    /// How long a peer may leave pings unanswered.
    pub silent_after: Millis,
    /// The longest frame.
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
    /// Takes the settings over into those of the wire.
    pub fn apply(&self, cfg: &mut LinkConfig) {
        cfg.heartbeat_interval = self.heartbeat.duration();
        cfg.heartbeat_timeout = self.silent_after.duration();
        cfg.handshake_timeout = self.silent_after.duration();
        cfg.max_frame_bytes = self.frame.len();
    }
}

/// How a process stops after SIGTERM.
#[derive(Debug, Clone)]
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
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The name, as in the configuration.
    pub name: DaemonName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Where entries' links are accepted.
    pub link: SocketAddr,
    /// The address that entries are told, when it differs from `link`.
    pub advertise: Option<SocketAddr>,
    /// Where operators are served.
    pub admin: SocketAddr,
    /// Where entries receive reports; the platform's list adds to these.
    pub entries: Vec<SocketAddr>,
    /// Where the platform's object API is.
    pub platform: SocketAddr,
    /// The pre-shared key of links and reports, as 64 hexadecimal digits.
    pub link_key: Digest,
    /// How much runs may use.
    pub limits: AgentLimits,
    /// How links are kept.
    pub links: Links,
    /// How the process stops.
    pub drain: Drain,
    /// What is logged, and how.
    pub log: Log,
    /// A file to write the addresses in use to.
    pub ports_file: Option<PathBuf>,
    /// The file that the settings were read from.
    pub file: PathBuf,
}

/// Bounds on what runs may use at an agent.
#[derive(Debug, Clone)]
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
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The least grave lines that are written.
    pub level: LogLevel,
    /// The form of the lines.
    pub format: LogFormat,
}

/// How grave a line has to be to be written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl LogLevel {
    /// All levels, the gravest first.
    pub const ALL: [LogLevel; 4] = [
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
    ];

    /// Returns the word that stands for the level in settings.
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
/// Fails when the file cannot be read or is not valid; the message lists every
/// mistake with its line, its field and what to write instead.
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
