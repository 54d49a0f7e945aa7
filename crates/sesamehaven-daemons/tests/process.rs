//! The daemons as processes: command line, settings check, admin interface and
//! signals.
#![allow(clippy::unwrap_used)] // Helper functions are used in tests only.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use awc::http::StatusCode;
use rstest::rstest;
use serde_json::Value;

use sesamehaven_daemons::ports::Ports;

const ENTRY: &str = env!("CARGO_BIN_EXE_sesame-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_sesame-agent");
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn run(program: &str, args: &[&str]) -> (i32, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(program).args(args).output().unwrap();
    let text = [stdout, stderr].concat();
    (status.code().unwrap(), String::from_utf8(text).unwrap())
}

fn check(program: &str, path: &Path) -> (i32, String) {
    run(program, &["--settings", path.to_str().unwrap(), "--check"])
}

#[test]
fn example_settings_are_valid() {
    assert_eq!(check(ENTRY, &example("entry.yaml")), (0, String::new()));
    assert_eq!(check(AGENT, &example("agent.yaml")), (0, String::new()));
}

#[test]
fn check_lists_all_errors_and_exits_with_2() {
    let path = write_settings(
        "wrong.yaml",
        "name: entry-1\nlisten: here\nlog: { level: loud }\n",
    );
    let (code, text) = check(ENTRY, &path);
    assert_eq!(code, 2);
    let at = path.display();
    assert!(
        text.contains(&format!("{at}: line 2: `listen`: `here` is not valid")),
        "{text}"
    );
    assert!(
        text.contains(&format!("{at}: line 3: `log.level`: `loud`")),
        "{text}"
    );
    assert!(text.contains("`link_key`: missing"), "{text}");
    let (code, text) = check(AGENT, Path::new("/nowhere/agent.yaml"));
    assert_eq!(code, 2);
    assert!(
        text.contains("cannot read the settings /nowhere/agent.yaml"),
        "{text}"
    );
}

#[rstest]
#[case::help(&["--help"], 0, "--settings=FILE")]
#[case::version(&["--version"], 0, env!("CARGO_PKG_VERSION"))]
#[case::completion(&["--bpaf-complete-style-bash"], 0, "complete")]
#[case::unknown(&["--setings", "x"], 2, "--setings")]
#[case::no_settings(&["--check"], 2, "--settings")]
fn command_line_prints_help_version_completion_and_errors(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] word: &str,
) {
    for program in [ENTRY, AGENT] {
        let (found, text) = run(program, args);
        assert_eq!(found, code, "{text}");
        assert!(text.contains(word), "{text}");
    }
}

/// A daemon process that is killed at the end of its test.
struct Daemon {
    child: Child,
    settings: PathBuf,
    ports: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn settings(ports: &Path, level: &str) -> String {
    let ports = ports.display();
    // No process listens on the platform's address, as in an outage.
    format!(
        "name: entry-1\ndata_centre: hobro\nlisten: 127.0.0.1:0\nadmin: 127.0.0.1:0\n\
         reports: 127.0.0.1:0\nplatform: 127.0.0.1:9\nports_file: {ports}\n\
         link_key: \"{}\"\nlog: {{ level: {level}, format: json }}\n",
        "ab".repeat(32)
    )
}

impl Daemon {
    fn start() -> Daemon {
        let ports = Path::new(env!("CARGO_TARGET_TMPDIR")).join("process-ports.json");
        fs::remove_file(&ports).ok();
        let settings = write_settings("process.yaml", &settings(&ports, "info"));
        let child = Command::new(ENTRY)
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Daemon {
            child,
            settings,
            ports,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }

    async fn admin(&self) -> String {
        let read = || fs::read(&self.ports).ok();
        let ports = wait_for(|| async { read() }).await;
        let ports: Ports = serde_json::from_slice(&ports).unwrap();
        format!("http://{}", ports.admin.unwrap())
    }
}

async fn wait_for<T, F: Future<Output = Option<T>>>(mut poll: impl FnMut() -> F) -> T {
    let found = async {
        loop {
            if let Some(found) = poll().await {
                return found;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, found).await.unwrap()
}

async fn get(url: &str) -> (StatusCode, String) {
    let mut res = awc::Client::default().get(url).send().await.unwrap();
    let body = res.body().await.unwrap();
    (res.status(), String::from_utf8(body.to_vec()).unwrap())
}

#[actix_rt::test]
async fn admin_interface_and_signals_control_a_running_daemon() {
    let mut daemon = Daemon::start();
    let admin = daemon.admin().await;
    assert_eq!(get(&format!("{admin}/healthz")).await.0, StatusCode::OK);
    let (status, text) = get(&format!("{admin}/readyz")).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(text.contains("no configuration"), "{text}");
    assert_eq!(get(&format!("{admin}/status")).await.0, StatusCode::OK);

    let level = format!("{admin}/log-level");
    assert_eq!(get(&level).await.1, "\"info\"");
    let put = |body: &'static str| awc::Client::default().put(&level).send_body(body);
    assert_eq!(put("loud").await.unwrap().status(), StatusCode::BAD_REQUEST);
    assert_eq!(put("debug").await.unwrap().status(), StatusCode::NO_CONTENT);
    assert_eq!(get(&level).await.1, "\"debug\"");

    fs::write(&daemon.settings, settings(&daemon.ports, "warn")).unwrap();
    daemon.signal("HUP");
    wait_for(|| async { (get(&level).await.1 == "\"warn\"").then_some(()) }).await;
    fs::write(&daemon.settings, settings(&daemon.ports, "loud")).unwrap();
    daemon.signal("HUP");
    let metrics = format!("{admin}/metrics");
    let refused = "settings_reloads_total{outcome=\"refused\"} 1";
    wait_for(|| async { get(&metrics).await.1.contains(refused).then_some(()) }).await;
    let (_, text) = get(&metrics).await;
    assert!(
        text.contains("settings_reloads_total{outcome=\"done\"} 1"),
        "{text}"
    );
    assert!(text.contains("log_level_changes_total 2"), "{text}");
    assert_eq!(get(&level).await.1, "\"warn\"");

    daemon.child.kill().unwrap();
    let mut log = String::new();
    daemon
        .child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    let lines: Vec<Value> = log
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    let warned = lines.iter().filter(|l| l["level"] == "warn");
    assert!(
        warned
            .into_iter()
            .any(|l| l["payload"].to_string().contains("log.level")),
        "{log}"
    );
}
