//! `sesamectl explain` over log files.

#![allow(clippy::unwrap_used)] // A panic fails the test.

use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;

use sesamehaven_daemons::timeline::{LogLine, Timeline};

const FRONT_1: &str = r#"
{"level":"info","timestamp":1000,"payload":"configuration in force","kv":{"version":4,"age_ms":3},"tid":1}
{"level":"info","timestamp":9000,"payload":"request","kv":{"id":"r-1","event":"dispatch","endpoint":"i-1","elapsed_ms":2},"tid":1}
{"level":"info","timestamp":9100,"payload":"request","kv":{"id":"r-1","event":"broken_off","endpoint":"i-1","detail":"connection reset","elapsed_ms":102},"tid":1}
{"level":"info","timestamp":9101,"payload":"request","kv":{"id":"r-1","event":"failed","endpoint":"","detail":"endpoint_failed","elapsed_ms":103},"tid":1}
no line of a log
{"level":"info","timestamp":9300,"payload":"request denied","kv":{"id":"r-2","why":"unknown_key","config":4,"config_age_ms":90},"tid":1}
{"level":"info","timestamp":9400,"payload":"request","kv":{"id":"r-3","event":"failed","detail":"overload","free":1,"places":42,"waiting":9,"elapsed_ms":0},"tid":1}
"#;
const FRONT_2: &str = r#"
{"level":"warn","timestamp":9150,"payload":"endpoint crashed","kv":{"endpoint":"i-1","running":1},"tid":1}
{"level":"info","timestamp":9150,"payload":"endpoint gone","kv":{"endpoint":"i-2"},"tid":1}
"#;

fn lines() -> Vec<LogLine> {
    let parse = |text: &'static str, source: &'static str| {
        text.lines().filter_map(move |l| LogLine::parse(l, source))
    };
    parse(FRONT_1, "front-1")
        .chain(parse(FRONT_2, "front-2"))
        .collect()
}

#[rstest]
#[case::broken(
    "r-1",
    "endpoint_failed: broken_off at i-1, which crashed: connection reset; it may have run"
)]
#[case::denied(
    "r-2",
    "unknown_key in version 4, in force there for 8300 ms and confirmed 90 ms before"
)]
#[case::refused(
    "r-3",
    "refused as overload after 0 ms, not run: 1 of 42 places were free and 9 requests waited at front-1"
)]
fn cause_is_derived_from_the_logs(#[case] id: &str, #[case] cause: &str) {
    assert_eq!(Timeline::find(id, &lines()).unwrap().cause, cause);
}

#[test]
fn timeline_includes_events_of_the_requests_endpoint_only() {
    let timeline = Timeline::find("r-1", &lines()).unwrap();
    let lines_found: Vec<_> = timeline
        .lines
        .iter()
        .map(|l| (l.process.as_str(), l.text.as_str()))
        .collect();
    assert_eq!(
        lines_found,
        [
            ("front-1", "configuration in force"),
            ("front-1", "request"),
            ("front-1", "request"),
            ("front-1", "request"),
            ("front-2", "endpoint crashed"),
        ]
    );
}

#[test]
fn prefix_of_a_line_names_the_process() {
    let line = LogLine::parse(
        r#" 12.5 front-9 {"timestamp":1,"payload":"request"}"#,
        "file",
    );
    assert_eq!(line.unwrap().process, "front-9");
}

#[rstest]
#[case::found("r-1", 0, "cause: endpoint_failed")]
#[case::unknown("r-9", 1, "no line of 8 names request r-9")]
fn command_reads_log_files(#[case] id: &str, #[case] code: i32, #[case] words: &str) {
    let dir = std::env::temp_dir().join(format!("sesame-explain-{}-{id}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let files: Vec<PathBuf> = [("front-1.log", FRONT_1), ("front-2.log", FRONT_2)]
        .map(|(name, text)| {
            let path = dir.join(name);
            std::fs::write(&path, text).unwrap();
            path
        })
        .into();
    let out = Command::new(env!("CARGO_BIN_EXE_sesamectl"))
        .arg("explain")
        .arg(id)
        .args(files)
        .output()
        .unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    let stdout = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(out.status.code(), Some(code), "{stdout}");
    assert!(stdout.contains(words), "{stdout}");
}

#[test]
fn error_names_an_unreadable_log() {
    let out = Command::new(env!("CARGO_BIN_EXE_sesamectl"))
        .args(["explain", "r-1", "/nowhere/front.log"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("/nowhere/front.log"));
}
