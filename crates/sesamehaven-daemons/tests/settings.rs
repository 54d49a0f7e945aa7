//! Settings: the examples are valid and show the defaults, and errors are reported
//! all at once.

use rstest::rstest;

use sesamehaven::unit::{Bytes, Millis};
use sesamehaven_daemons::fields;
use sesamehaven_daemons::settings::{
    AgentSettings, EntryLimits, EntrySettings, LogLevel, Settings,
};

const ENTRY: &str = include_str!("../../../examples/entry.yaml");
const AGENT: &str = include_str!("../../../examples/agent.yaml");

fn problems<T: Settings>(text: &str) -> Vec<String> {
    let read = fields::read(text, T::build);
    let problems = read.err().unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn examples_show_the_defaults() {
    let entry = fields::read(ENTRY, EntrySettings::build).unwrap();
    let agent = fields::read(AGENT, AgentSettings::build).unwrap();
    assert_eq!(
        format!("{:?}", entry.limits),
        format!("{:?}", EntryLimits::default())
    );
    assert_eq!(entry.limits.body, Bytes(2 << 20));
    assert_eq!(agent.drain.longest, Millis(600_000));
    assert_eq!(agent.entries, [entry.reports]);
    // Omitted fields take the values that the examples show.
    let bare: String = AGENT
        .lines()
        .take_while(|l| *l != "limits:")
        .collect::<Vec<_>>()
        .join("\n");
    let bare = fields::read(&bare, AgentSettings::build).unwrap();
    assert_eq!(format!("{bare:?}"), format!("{agent:?}"));
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = "\
name: -entry
data_centre: jylland-1
listen: 127.0.0.1:8080
admin: 127.0.0.1:8080
reports: localhost:8082
link_key: 1234567890
limits:
  body: 2 MB
  header_timeout: 5
  idle_timeout: 0 s
  conections: 8192
  threads: many
drain: 3 s
log:
  level: loud
listens: 127.0.0.1:8080
";
    let unknown_fields = "name, data_centre, listen, admin, reports, platform, link_key, limits, links, drain, log, ports_file";
    let expected = [
        "line 1: `platform`: missing: this field has no default".into(),
        "line 1: `name`: daemon `-entry` is not valid: use 1 to 63 characters out of a-z, A-Z, 0-9, `.`, `_` and `-`, the first a letter or digit".into(),
        "line 4: `admin`: use another port than `listen`".into(),
        "line 5: `reports`: `localhost:8082` is not valid: use an IP address and a port, such as `127.0.0.1:8080`".into(),
        "line 6: `link_key`: not valid: use 64 hexadecimal digits, as `openssl rand -hex 32` prints them".into(),
        "line 8: `limits.body`: size `2 MB` is not valid: write a number and a unit, such as `512 B`, `64 KiB` or `2 MiB`".into(),
        "line 9: `limits.header_timeout`: duration `5` is not valid: write a number and a unit, such as `250 ms`, `3 s`, `5 min` or `2 h`".into(),
        "line 10: `limits.idle_timeout`: use more than zero, such as `1 s`".into(),
        "line 11: `limits.conections`: unknown field: use one of body, header_timeout, idle_timeout, connections, window_chunks, threads".into(),
        format!("line 12: `limits.threads`: `many` is not valid: use a whole number, at most {}", usize::MAX),
        "line 13: `drain`: write the fields of this section below it, each as `name: value`".into(),
        "line 15: `log.level`: `loud` is not valid: use `error`, `warn`, `info` or `debug`".into(),
        format!("line 16: `listens`: unknown field: use one of {unknown_fields}"),
    ];
    let mut found = problems::<EntrySettings>(text);
    let mut expected: Vec<String> = expected.into();
    found.sort();
    expected.sort();
    assert_eq!(found, expected);
}

#[rstest]
#[case::no_fields("", "line 1: `name`: missing")]
#[case::scalar_for_a_section("just words", "line 1: write the fields of this section below it")]
#[case::invalid_yaml("name: [entry\nlisten: x", "not valid YAML")]
#[case::duplicate_key(
    "name: a\nname: b\n",
    "line 2: not valid YAML: duplicate mapping key: name"
)]
#[case::unreachable_link(
    "link: 0.0.0.0:9080",
    "line 1: `link`: entries cannot connect to this address"
)]
#[case::unreachable_entry(
    "entries: [127.0.0.1:0]",
    "line 1: `entries`: use the entries' own addresses"
)]
#[case::scalar_for_a_list("entries: 127.0.0.1:8082", "line 1: `entries`: write a list")]
#[case::limit_below_answer_buffer(
    "limits:\n  all_answers: 1 KiB",
    "line 2: `limits.all_answers`: use at least `answer_buffer`"
)]
#[case::silence_below_two_heartbeats(
    "links:\n  silent_after: 600 ms",
    "line 2: `links.silent_after`: use at least 2 times `heartbeat`, which is `1 s`"
)]
#[case::report_interval_too_long(
    "limits:\n  report_interval: 1 h",
    "line 2: `limits.report_interval`: use `10 ms` to `2 s`"
)]
fn errors_name_line_field_and_remedy(#[case] text: &str, #[case] problem: &str) {
    let found = problems::<AgentSettings>(text);
    assert!(found.iter().any(|p| p.contains(problem)), "{found:#?}");
}

#[test]
fn body_limit_has_to_fit_into_a_frame() {
    let text = ENTRY.replace("body: 2 MiB", "body: 8 MiB");
    let problem = "`limits`: `body` may be at most `7936 KiB`, since `links.frame` is `8 MiB`";
    assert!(problems::<EntrySettings>(&text)[0].contains(problem));
}

/// Keys and names keep their text even where YAML would parse them as numbers.
#[test]
fn plain_scalars_keep_their_text() {
    let key = "1234567890".repeat(6) + "1234";
    let text = AGENT.replace("name: agent-1", "name: 007");
    let text = text.replace(
        "\"5e5a3e0000000000000000000000000000000000000000000000000000000001\"",
        &key,
    );
    let settings = fields::read(&text, AgentSettings::build).unwrap();
    assert_eq!(settings.name.as_str(), "007");
    assert_eq!(settings.link_key.to_string(), key);
    assert_eq!(settings.log.level, LogLevel::Info);
}
