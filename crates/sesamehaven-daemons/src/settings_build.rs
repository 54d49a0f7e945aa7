//! Builds settings from their fields, and validates constraints between fields.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use sesamehaven::id::Digest;
use sesamehaven::unit::{Bytes, Millis};

use crate::fields::{Fields, Value};
use crate::settings::{
    AgentLimits, AgentSettings, Drain, EntryLimits, EntrySettings, Links, Log, LogFormat, LogLevel,
    Settings,
};

/// Part of a frame that is reserved for a request's metadata besides its body.
const FRAME_OVERHEAD: Bytes = Bytes(256 << 10);

/// Minimum of the frame size limit.
const FRAME_MIN: Bytes = Bytes(1 << 20);

/// Maximum of the frame size limit.
const FRAME_MAX: Bytes = Bytes(64 << 20);

/// Minimum number of heartbeat intervals before a silent peer is lost.
const HEARTBEATS_MISSED: u64 = 2;

/// Maximum number of HTTP threads.
const THREADS_MAX: usize = 64;

/// Range of the interval between reports.
const REPORT_INTERVALS: RangeInclusive<Millis> = Millis(10)..=Millis(2_000);

impl Value for LogLevel {
    fn parse(text: &str) -> Result<Self, String> {
        let found = LogLevel::ALL.into_iter().find(|l| l.as_str() == text);
        found
            .ok_or_else(|| format!("`{text}` is not valid: use `error`, `warn`, `info` or `debug`"))
    }
}

impl Value for LogFormat {
    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("`{text}` is not valid: use `text` or `json`")),
        }
    }
}

impl Value for Digest {
    /// Parses a key; the error message does not repeat an invalid one.
    fn parse(text: &str) -> Result<Self, String> {
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
        let links = fields.section("links", Links::build);
        let drain = fields.section("drain", Drain::build);
        let log = fields.section("log", Log::build);
        let ports_file = fields.optional("ports_file");
        check_platform(fields, platform);
        check_distinct(fields, "admin", admin, "listen", listen);
        let room = Bytes(links.frame.0.saturating_sub(FRAME_OVERHEAD.0));
        fields.check(
            "limits",
            limits.body <= room,
            format!(
                "`body` may be at most `{room}`, since `links.frame` is `{}`",
                links.frame
            ),
        );
        Some(EntrySettings {
            name: name?,
            data_centre: data_centre?,
            listen: listen?,
            admin: admin?,
            reports: reports?,
            platform: platform?,
            link_key: link_key?,
            limits,
            links,
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
        let links = fields.section("links", Links::build);
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
            links,
            drain,
            log,
            ports_file,
            file: PathBuf::new(),
        })
    }
}

impl EntryLimits {
    fn build(fields: &mut Fields<'_>) -> Self {
        let defaults = EntryLimits::default();
        let limits = EntryLimits {
            body: fields.optional("body").unwrap_or(defaults.body),
            header_timeout: fields
                .optional("header_timeout")
                .unwrap_or(defaults.header_timeout),
            idle_timeout: fields
                .optional("idle_timeout")
                .unwrap_or(defaults.idle_timeout),
            connections: fields
                .optional("connections")
                .unwrap_or(defaults.connections),
            window_chunks: fields
                .optional("window_chunks")
                .unwrap_or(defaults.window_chunks),
            threads: fields.optional("threads").unwrap_or(defaults.threads),
        };
        fields.check(
            "body",
            !limits.body.is_empty(),
            "use a size above zero, such as `2 MiB`",
        );
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
        let defaults = AgentLimits::default();
        let limits = AgentLimits {
            answer_buffer: fields
                .optional("answer_buffer")
                .unwrap_or(defaults.answer_buffer),
            all_answers: fields
                .optional("all_answers")
                .unwrap_or(defaults.all_answers),
            answer_retention: fields
                .optional("answer_retention")
                .unwrap_or(defaults.answer_retention),
            cancel_grace: fields
                .optional("cancel_grace")
                .unwrap_or(defaults.cancel_grace),
            report_interval: fields
                .optional("report_interval")
                .unwrap_or(defaults.report_interval),
            connect_timeout: fields
                .optional("connect_timeout")
                .unwrap_or(defaults.connect_timeout),
        };
        fields.check(
            "answer_buffer",
            !limits.answer_buffer.is_empty(),
            "use a size above zero, such as `1 MiB`",
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

impl Links {
    fn build(fields: &mut Fields<'_>) -> Self {
        let defaults = Links::default();
        let links = Links {
            heartbeat: fields.optional("heartbeat").unwrap_or(defaults.heartbeat),
            silent_after: fields
                .optional("silent_after")
                .unwrap_or(defaults.silent_after),
            frame: fields.optional("frame").unwrap_or(defaults.frame),
        };
        check_over_zero(fields, "heartbeat", links.heartbeat);
        let least = Millis(links.heartbeat.0.saturating_mul(HEARTBEATS_MISSED));
        fields.check(
            "silent_after",
            links.silent_after >= least,
            format!("use at least {HEARTBEATS_MISSED} times `heartbeat`, which is `{least}`"),
        );
        let frame = (FRAME_MIN..=FRAME_MAX).contains(&links.frame);
        fields.check(
            "frame",
            frame,
            format!("use `{FRAME_MIN}` to `{FRAME_MAX}`"),
        );
        links
    }
}

impl Drain {
    fn build(fields: &mut Fields<'_>) -> Self {
        let defaults = Drain::default();
        let drain = Drain {
            grace: fields.optional("grace").unwrap_or(defaults.grace),
            longest: fields.optional("longest").unwrap_or(defaults.longest),
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
    let is_valid = platform.is_none_or(is_reachable);
    fields.check(
        "platform",
        is_valid,
        "use the platform's own address, with its port",
    );
}

/// Reports two listeners on the same address, except on port 0, which is a
/// different port for each.
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

/// Reports an address to which entries cannot open links.
fn check_advertised(fields: &Fields<'_>, link: Option<SocketAddr>, advertise: Option<SocketAddr>) {
    let is_valid = advertise.is_none_or(is_reachable);
    fields.check(
        "advertise",
        is_valid,
        "use an address that entries can reach, with its port",
    );
    let is_unspecified = link.is_some_and(|a| a.ip().is_unspecified());
    fields.check(
        "link",
        advertise.is_some() || !is_unspecified,
        "entries cannot connect to this address: use the VM's own, or set `advertise`",
    );
}

fn is_reachable(addr: SocketAddr) -> bool {
    addr.port() != 0 && !addr.ip().is_unspecified()
}
