//! The timeline of a request, collected from the logs of all processes.
//!
//! The log lines and fields are those of fronts; see
//! [`docs/OPERATIONS.md`](../../../docs/OPERATIONS.md#fronts).

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Time before a request's first line from which state changes of its processes are
/// included, in milliseconds.
const BEFORE_MS: u64 = 3_000;
/// Time after a request's last line until which events of its endpoints are
/// included, in milliseconds.
const AFTER_MS: u64 = 1_000;
/// Payloads of lines about a process's configuration and dependencies.
const STATE_MESSAGES: [&str; 7] = [
    "configuration in force",
    "configuration rejected, the one in force stays",
    "dependency lost",
    "dependency regained",
    "front draining",
    "front started",
    "settings reloaded",
];
/// Payloads of lines about the state of an endpoint.
const ENDPOINT_MESSAGES: [&str; 3] = ["endpoint crashed", "endpoint gone", "endpoint listed"];
/// Payload of lines about a request that was running at an endpoint that crashed, which may be
/// written after its end.
const AT_CRASH: &str = "request at crash";

/// A log line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// The process that wrote the line.
    #[serde(default)]
    pub process: SmolStr,
    /// The time, in milliseconds since the Unix epoch.
    #[serde(rename = "timestamp")]
    pub time: u64,
    /// The message.
    #[serde(rename = "payload")]
    pub text: SmolStr,
    /// The structured fields.
    #[serde(rename = "kv", default)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns [`None`] if it is not a log line in JSON.
    ///
    /// A log collector may have prefixed the line. The last word of the prefix
    /// names the process; without a prefix, `source` does.
    pub fn parse(text: &str, source: &str) -> Option<Self> {
        let at = text.find('{')?;
        let mut line: LogLine = serde_json::from_str(text[at..].trim()).ok()?;
        let before = text[..at].split_whitespace().next_back();
        line.process = before.unwrap_or(source).into();
        Some(line)
    }

    fn text_field(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn number_field(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        self.text_field("id") == id
    }

    /// Formats the line with its time relative to `start`.
    fn format(&self, start: u64) -> String {
        let after = self.time as i64 - start as i64;
        let fields = self.fields.iter().filter(|(name, _)| *name != "id");
        let fields = fields.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let fields: String = fields.collect();
        format!("{after:+} ms {} {}:{fields}\n", self.process, self.text)
    }
}

/// The log lines of a request and the cause of its outcome.
#[derive(Debug, Clone, Serialize)]
pub struct Timeline {
    /// The id of the request.
    pub id: String,
    /// The cause of its outcome.
    pub cause: String,
    /// The lines of the request and related ones, ordered by time.
    pub lines: Vec<LogLine>,
}

impl Timeline {
    /// Collects the timeline of a request; returns [`None`] if no line mentions it.
    pub fn find(id: &str, lines: &[LogLine]) -> Option<Self> {
        let own: Vec<&LogLine> = lines.iter().filter(|l| l.is_about(id)).collect();
        let first = own.iter().map(|l| l.time).min()?;
        let last = own.iter().max_by_key(|l| (l.text != AT_CRASH, l.time))?;
        let span = first.saturating_sub(BEFORE_MS)..last.time + AFTER_MS;
        let is_part = |line: &&LogLine| {
            let is_near = span.contains(&line.time);
            let is_state = STATE_MESSAGES.contains(&line.text.as_str())
                && own.iter().any(|l| l.process == line.process);
            let is_endpoint_event = ENDPOINT_MESSAGES.contains(&line.text.as_str())
                && own.iter().any(|l| {
                    let endpoint = l.text_field("endpoint");
                    !endpoint.is_empty() && endpoint == line.text_field("endpoint")
                });
            line.is_about(id) || is_near && (is_state || is_endpoint_event)
        };
        let mut selected: Vec<LogLine> = lines.iter().filter(is_part).cloned().collect();
        for text in ["configuration in force", "dependency lost"] {
            // The latest state change may be older than the span.
            let earlier = lines
                .iter()
                .filter(|l| l.process == last.process && l.text == text && l.time < span.start);
            selected.extend(earlier.max_by_key(|l| l.time).cloned());
        }
        selected.sort_by_key(|l| l.time);
        Some(Timeline {
            id: id.to_owned(),
            cause: cause(&own, last, &selected),
            lines: selected,
        })
    }

    /// Formats the timeline as text.
    pub fn text(&self) -> String {
        let own = self.lines.iter().find(|l| l.is_about(&self.id));
        let start = own.map_or(0, |l| l.time);
        let lines: String = self.lines.iter().map(|l| l.format(start)).collect();
        format!("{lines}cause: {}\n", self.cause)
    }
}

/// Derives the cause of a request's outcome from its log lines and the selected ones.
fn cause(own: &[&LogLine], last: &LogLine, selected: &[LogLine]) -> String {
    if last.text == "request denied" {
        return cause_of_denial(last, selected);
    }
    let endpoint = own
        .iter()
        .rev()
        .map(|l| l.text_field("endpoint"))
        .find(|endpoint| !endpoint.is_empty())
        .unwrap_or_default();
    let elapsed = last.number_field("elapsed_ms");
    match (last.text_field("event"), last.text_field("detail")) {
        ("answered" | "stream_whole", _) => {
            format!("answered whole by {endpoint} after {elapsed} ms")
        }
        (
            "failed",
            why @ ("overload" | "overdue" | "no_endpoint" | "no_version" | "paused" | "rejected"),
        ) => {
            format!(
                "refused as {why} after {elapsed} ms, not run: {} of {} places were free and {} requests waited at {}",
                last.number_field("free"),
                last.number_field("places"),
                last.number_field("waiting"),
                last.process,
            )
        }
        ("failed", why @ ("version_gone" | "origin_unknown")) => {
            let taken_up = own.iter().find(|l| l.text_field("event") == "taken_up");
            let detail = taken_up.map_or("", |l| l.text_field("detail"));
            format!("refused as {why}, not run: the caller took up {detail}")
        }
        ("over_limit", organisation) => {
            format!("refused, not run: organisation {organisation} was over its limit")
        }
        ("failed" | "stream_cut", why) => {
            let crashed = selected
                .iter()
                .any(|l| l.text == "endpoint crashed" && l.text_field("endpoint") == endpoint);
            let fate = match crashed {
                true => "which crashed",
                false => "which went on serving",
            };
            let broken = own.iter().rev().find(|l| {
                ["broken_off", "stream_broken", "answer_spoilt", "doubtful"]
                    .contains(&l.text_field("event"))
            });
            match broken {
                Some(line) => format!(
                    "{why}: {} at {endpoint}, {fate}: {}; it may have run",
                    line.text_field("event"),
                    line.text_field("detail"),
                ),
                None => format!("{why} at {endpoint} after {elapsed} ms; it may have run"),
            }
        }
        (event, detail) => format!("no end is logged; the last event is {event} {detail}"),
    }
}

fn cause_of_denial(last: &LogLine, selected: &[LogLine]) -> String {
    let (version, age) = (
        last.number_field("config"),
        last.number_field("config_age_ms"),
    );
    let before = |text: &str| {
        let lines = selected.iter().rev();
        let mut lines = lines.filter(|l| l.process == last.process && l.time <= last.time);
        lines.find(|l| l.text == text)
    };
    match last.text_field("why") {
        why @ ("unknown_key" | "no_route") => {
            let since = before("configuration in force").map_or(String::new(), |l| {
                format!(", in force there for {} ms", last.time - l.time)
            });
            format!("{why} in version {version}{since} and confirmed {age} ms before")
        }
        "keys_not_confirmed" => {
            let since = before("dependency lost").map_or(String::new(), |l| {
                let ago = last.time - l.time;
                format!(
                    "; {} was lost {ago} ms before: {}",
                    l.text_field("name"),
                    l.text_field("reason")
                )
            });
            format!(
                "refused, not run: version {version} was last confirmed {age} ms before, too long to vouch for keys{since}"
            )
        }
        why => format!("refused as {why}, not run"),
    }
}
