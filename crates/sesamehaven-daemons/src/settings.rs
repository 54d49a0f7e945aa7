//! The settings of the daemons, read once at start from a YAML file.
//!
//! Settings say where a process runs and how much it may use; everything that
//! operators decide for the fleet is in the configuration. The fields are
//! explained in the commented examples under
//! [`examples/`](../../../examples/).

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

use sesamehaven::id::{DaemonName, DataCentreName, Digest};
use sesamehaven::unit::{Bytes, Millis};

use crate::fields::{self, Fields, Problem, Value};

/// The largest request body that may be allowed, which a frame of a link still carries.
const BODY_MAX: Bytes = Bytes(7 << 20);

/// The most threads that may speak HTTP.
const THREADS_MAX: usize = 64;

/// How often reports may be sent.
const REPORT_INTERVALS: RangeInclusive<Millis> = Millis(10)..=Millis(2_000);

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

impl Value for LogLevel {
    fn parse(text: &str) -> std::result::Result<Self, String> {
        let found = LogLevel::ALL.into_iter().find(|l| l.as_str() == text);
        found
            .ok_or_else(|| format!("`{text}` is not valid: use `error`, `warn`, `info` or `debug`"))
    }
}

impl Value for LogFormat {
    fn parse(text: &str) -> std::result::Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("`{text}` is not valid: use `text` or `json`")),
        }
    }
}

impl Value for Digest {
    /// Reads a key; a wrong one is not repeated in the message.
    fn parse(text: &str) -> std::result::Result<Self, String> {
        let message = "not valid: use 64 hexadecimal digits, as `openssl rand -hex 32` prints them";
        text.parse().map_err(|_| message.into())
    }
}

impl Settings for EntrySettings {
    fn log(&self) -> &Log {
        &self.log
    }

    fn set_file(&mut self, file: &Path) {
        self.file = file.into();
    }

    fn build(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.required("name");
        let data_centre = fields.required("data_centre");
        let listen = fields.required("listen");
        let admin = fields.required("admin");
        let reports = fields.required("reports");
        let platform = fields.required("platform");
        let link_key = fields.required("link_key");
        let limits = fields.section("limits", EntryLimits::build);
        let drain = fields.section("drain", Drain::build);
        let log = fields.section("log", Log::build);
        let ports_file = fields.optional("ports_file");
        check_platform(fields, platform);
        check_distinct(fields, "admin", admin, "listen", listen);
        Some(EntrySettings {
            name: name?,
            data_centre: data_centre?,
            listen: listen?,
            admin: admin?,
            reports: reports?,
            platform: platform?,
            link_key: link_key?,
            limits,
            drain,
            log,
            ports_file,
            file: PathBuf::new(),
        })
    }
}

impl Settings for AgentSettings {
    fn log(&self) -> &Log {
        &self.log
    }

    fn set_file(&mut self, file: &Path) {
        self.file = file.into();
    }

    fn build(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.required("name");
        let data_centre = fields.required("data_centre");
        let link = fields.required("link");
        let advertise: Option<SocketAddr> = fields.optional("advertise");
        let admin = fields.required("admin");
        let entries: Vec<SocketAddr> = fields.list("entries");
        let platform = fields.required("platform");
        let link_key = fields.required("link_key");
        let limits = fields.section("limits", AgentLimits::build);
        let drain = fields.section("drain", Drain::build);
        let log = fields.section("log", Log::build);
        let ports_file = fields.optional("ports_file");
        check_platform(fields, platform);
        check_distinct(fields, "admin", admin, "link", link);
        check_advertised(fields, link, advertise);
        let reachable = entries.iter().all(|e| is_reachable(*e));
        fields.check(
            "entries",
            reachable,
            "use the entries' own addresses, with their ports",
        );
        Some(AgentSettings {
            name: name?,
            data_centre: data_centre?,
            link: link?,
            advertise,
            admin: admin?,
            entries,
            platform: platform?,
            link_key: link_key?,
            limits,
            drain,
            log,
            ports_file,
            file: PathBuf::new(),
        })
    }
}

impl EntryLimits {
    fn build(fields: &mut Fields<'_>) -> Self {
        let usual = EntryLimits::default();
        let limits = EntryLimits {
            body: fields.optional("body").unwrap_or(usual.body),
            header_timeout: fields
                .optional("header_timeout")
                .unwrap_or(usual.header_timeout),
            idle_timeout: fields
                .optional("idle_timeout")
                .unwrap_or(usual.idle_timeout),
            connections: fields.optional("connections").unwrap_or(usual.connections),
            window_chunks: fields
                .optional("window_chunks")
                .unwrap_or(usual.window_chunks),
            threads: fields.optional("threads").unwrap_or(usual.threads),
        };
        let body = !limits.body.is_empty() && limits.body <= BODY_MAX;
        fields.check("body", body, format!("use `1 B` to `{BODY_MAX}`"));
        check_over_zero(fields, "header_timeout", limits.header_timeout);
        check_over_zero(fields, "idle_timeout", limits.idle_timeout);
        fields.check("connections", limits.connections > 0, "use 1 or more");
        fields.check("window_chunks", limits.window_chunks > 0, "use 1 or more");
        let threads = (1..=THREADS_MAX).contains(&limits.threads);
        fields.check("threads", threads, format!("use 1 to {THREADS_MAX}"));
        limits
    }
}

impl AgentLimits {
    fn build(fields: &mut Fields<'_>) -> Self {
        let usual = AgentLimits::default();
        let limits = AgentLimits {
            answer_buffer: fields
                .optional("answer_buffer")
                .unwrap_or(usual.answer_buffer),
            all_answers: fields.optional("all_answers").unwrap_or(usual.all_answers),
            answer_retention: fields
                .optional("answer_retention")
                .unwrap_or(usual.answer_retention),
            cancel_grace: fields
                .optional("cancel_grace")
                .unwrap_or(usual.cancel_grace),
            report_interval: fields
                .optional("report_interval")
                .unwrap_or(usual.report_interval),
            connect_timeout: fields
                .optional("connect_timeout")
                .unwrap_or(usual.connect_timeout),
        };
        fields.check(
            "answer_buffer",
            !limits.answer_buffer.is_empty(),
            "use more than nothing, such as `1 MiB`",
        );
        fields.check(
            "all_answers",
            limits.all_answers >= limits.answer_buffer,
            format!(
                "use at least `answer_buffer`, which is {}",
                limits.answer_buffer
            ),
        );
        let interval = REPORT_INTERVALS.contains(&limits.report_interval);
        let (first, last) = (REPORT_INTERVALS.start(), REPORT_INTERVALS.end());
        fields.check(
            "report_interval",
            interval,
            format!("use `{first}` to `{last}`"),
        );
        check_over_zero(fields, "connect_timeout", limits.connect_timeout);
        limits
    }
}

impl Drain {
    fn build(fields: &mut Fields<'_>) -> Self {
        let usual = Drain::default();
        let drain = Drain {
            grace: fields.optional("grace").unwrap_or(usual.grace),
            longest: fields.optional("longest").unwrap_or(usual.longest),
        };
        check_over_zero(fields, "longest", drain.longest);
        drain
    }
}

impl Log {
    fn build(fields: &mut Fields<'_>) -> Self {
        Log {
            level: fields.optional("level").unwrap_or_default(),
            format: fields.optional("format").unwrap_or_default(),
        }
    }
}

fn check_over_zero(fields: &Fields<'_>, name: &'static str, span: Millis) {
    fields.check(name, span > Millis(0), "use more than zero, such as `1 s`");
}

fn check_platform(fields: &Fields<'_>, platform: Option<SocketAddr>) {
    let holds = platform.is_none_or(is_reachable);
    fields.check(
        "platform",
        holds,
        "use the platform's own address, with its port",
    );
}

/// Reports two listeners on one address; port zero is another port each time.
fn check_distinct(
    fields: &Fields<'_>,
    name: &'static str,
    addr: Option<SocketAddr>,
    other_name: &str,
    other: Option<SocketAddr>,
) {
    let same = addr.is_some() && addr == other && addr.is_some_and(|a| a.port() != 0);
    fields.check(name, !same, format!("use another port than `{other_name}`"));
}

/// Reports an address that entries could not open links to.
fn check_advertised(fields: &Fields<'_>, link: Option<SocketAddr>, advertise: Option<SocketAddr>) {
    let told = advertise.is_none_or(is_reachable);
    fields.check(
        "advertise",
        told,
        "use an address that entries can reach, with its port",
    );
    let everywhere = link.is_some_and(|a| a.ip().is_unspecified());
    fields.check(
        "link",
        advertise.is_some() || !everywhere,
        "entries cannot be told this address: use the VM's own, or set `advertise`",
    );
}

fn is_reachable(addr: SocketAddr) -> bool {
    addr.port() != 0 && !addr.ip().is_unspecified()
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
