//! `sesamectl` against the platform stand-in.

#![allow(clippy::unwrap_used)] // Tests panic on unexpected results.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use serde_json::{Value, json};

use sesamehaven::config::Configuration;
use sesamehaven_config::to_yaml;
use sesamehaven_system_tests::temp_dir::TempDir;
use sesamehaven_system_tests::{Fleet, Process, platform, sample, wait};

/// A fleet with a valid configuration, and the files that `sesamectl` applies to it.
struct OperatorEnv {
    fleet: Fleet,
    directory: TempDir,
    command_count: u32,
}

/// The exit code and the output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: i32,
    text: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}

impl OperatorEnv {
    async fn new() -> Self {
        let mut fleet = Fleet::new().await.unwrap();
        fleet
            .add_engine("engine-1", "model-a", "agent-1", &[])
            .await
            .unwrap();
        fleet.configure_entries(&["entry-1"]);
        OperatorEnv {
            fleet,
            directory: TempDir::new().unwrap(),
            command_count: 0,
        }
    }

    /// Writes the configuration with one more organisation to a file.
    fn write_with_organisation(&self, organisation: &str) -> PathBuf {
        let mut configuration = self.fleet.configuration.clone();
        let key = format!("key of {organisation}");
        configuration
            .organisations
            .push(sample::organisation(organisation, &key));
        self.write(organisation, &configuration)
    }

    fn write(&self, name: &str, configuration: &Configuration) -> PathBuf {
        let path = self.directory.path().join(format!("{name}.yaml"));
        fs::write(&path, to_yaml(configuration).unwrap()).unwrap();
        path
    }

    fn start(&mut self, args: &[&str]) -> Process {
        self.command_count += 1;
        let platform = format!("http://{}", self.fleet.platform());
        let needs_platform = !matches!(args[0], "check" | "digest-key");
        let mut all = args.to_vec();
        if needs_platform {
            all.extend(["--platform", &platform]);
        }
        let name = format!("ctl-{}", self.command_count);
        Process::start("sesamectl", &name, self.directory.path(), &all).unwrap()
    }

    async fn run(&mut self, args: &[&str]) -> CommandOutput {
        let process = self.start(args);
        wait_for_output(process).await
    }

    async fn apply(&mut self, organisation: &str, base: u64) -> CommandOutput {
        let file = self.write_with_organisation(organisation);
        let args = apply_args(&file, base);
        self.run(&args.iter().map(String::as_str).collect::<Vec<_>>())
            .await
    }

    async fn set_faults(&self, faults: Value) {
        let platform = self.fleet.platform();
        self.fleet
            .http
            .post_json(platform, "/control/faults", &faults)
            .await
            .unwrap();
    }

    /// Returns the number of writes that the platform has received.
    async fn put_count(&self) -> u64 {
        let platform = self.fleet.platform();
        let counts: Value = self
            .fleet
            .http
            .get_json(platform, "/control/counts")
            .await
            .unwrap();
        counts["put"].as_u64().unwrap_or(0)
    }

    async fn wait_for_generation(&self, daemon: &str, generation: u64) {
        let admin = self.fleet.daemon(daemon).admin();
        let what = format!("{daemon} to serve generation {generation}");
        wait::until(&what, async || {
            let status: Value = self.fleet.http.get_json(admin, "/status").await.ok()?;
            (status["generation"] == generation).then_some(())
        })
        .await
        .unwrap();
    }

    async fn history(&mut self) -> Value {
        let output = self.run(&["history", "--json", "--last", "1000"]).await;
        output.json()["generations"].clone()
    }
}

fn apply_args(file: &std::path::Path, base: u64) -> Vec<String> {
    let file = file.display().to_string();
    let base = base.to_string();
    let args = [
        "apply", "--json", &file, "--base", &base, "--note", "a test", "--author", "test",
    ];
    args.map(String::from).to_vec()
}

async fn wait_for_output(mut process: Process) -> CommandOutput {
    let status = process.wait().await.unwrap();
    CommandOutput {
        code: status.code().unwrap(),
        text: process.log(),
    }
}

#[actix_rt::test]
async fn one_of_two_concurrent_applies_succeeds_and_the_other_reports_the_conflict() {
    let mut operators = OperatorEnv::new().await;
    assert_eq!(operators.apply("first", 0).await.code, 0);
    for base in 1..=5 {
        // Slow calls let both operators read the head before either of them changes it.
        operators.set_faults(json!({ "slow_ms": 20 })).await;
        let names = ["anna", "bo"].map(|name| format!("{name}-{base}"));
        let files = names
            .each_ref()
            .map(|name| operators.write_with_organisation(name));
        let files = files.map(|f| apply_args(&f, base));
        let args = files
            .each_ref()
            .map(|a| a.iter().map(String::as_str).collect::<Vec<_>>());
        let processes = args.map(|a| operators.start(&a));
        let mut results = Vec::new();
        for process in processes {
            results.push(wait_for_output(process).await);
        }
        results.sort_by_key(|r| r.code);
        assert_eq!((results[0].code, results[1].code), (0, 1), "{results:?}");
        let winner = results[0].json();
        let conflict = results[1].json()["conflict"].clone();
        assert_eq!(winner["generation"], base + 1);
        assert_eq!(conflict["in_force"]["change"], winner["change"]);
        let changed = changed_organisations(&conflict["yours_against_in_force"]);
        assert!(names.iter().all(|n| changed.contains(n)), "{changed:?}");
    }
}

fn changed_organisations(changes: &Value) -> Vec<String> {
    let changes = changes.as_array().unwrap().iter();
    let changes = changes.filter(|c| c["list"] == "organisations");
    changes
        .map(|c| c["name"].as_str().unwrap().into())
        .collect()
}

/// Guards against a change that is reported as failed or applied twice when the head was
/// written but the response was lost, also if another change has replaced it since.
#[rstest]
#[case::still_in_force(false)]
#[case::replaced_meanwhile(true)]
#[actix_rt::test]
async fn a_lost_response_is_resolved_by_the_change_id(#[case] replaced: bool) {
    let mut operators = OperatorEnv::new().await;
    assert_eq!(operators.apply("first", 0).await.code, 0);
    let puts_before = operators.put_count().await;
    operators.set_faults(json!({ "slow_ms": 400 })).await;
    let file = operators.write_with_organisation("anna");
    let args = apply_args(&file, 1);
    let anna = operators.start(&args.iter().map(String::as_str).collect::<Vec<_>>());
    // The writes are a part, the replaced head in the history, and the new head, which is delayed.
    wait::until("the write of the head", async || {
        (operators.put_count().await == puts_before + 3).then_some(())
    })
    .await
    .unwrap();
    operators.set_faults(json!({ "lose_answers": 1 })).await;
    let (http, platform) = (operators.fleet.http.clone(), operators.fleet.platform());
    wait::until("generation 2", async || {
        let head = platform::head(&http, platform).await.unwrap();
        (head.generation.0 == 2).then_some(())
    })
    .await
    .unwrap();
    operators.set_faults(json!({ "slow_ms": 0 })).await;
    if replaced {
        assert_eq!(operators.apply("bo", 2).await.code, 0);
    }
    let anna = wait_for_output(anna).await;
    assert_eq!(anna.code, 0, "{}", anna.text);

    let history = operators.history().await;
    let history = history.as_array().unwrap();
    assert_eq!(history.len(), if replaced { 3 } else { 2 });
    let applied = history
        .iter()
        .filter(|h| h["change"] == anna.json()["change"]);
    assert_eq!(applied.count(), 1);
}

#[actix_rt::test]
async fn undo_creates_a_new_generation() {
    let mut operators = OperatorEnv::new().await;
    operators.apply("first", 0).await;
    operators.apply("second", 1).await;
    let plan = operators
        .write_with_organisation("first")
        .display()
        .to_string();
    assert_eq!(operators.run(&["plan", &plan]).await.code, 1);
    let undone = operators
        .run(&["undo", "--base", "2", "--note", "back", "--json"])
        .await;
    assert_eq!((undone.code, &undone.json()["generation"]), (0, &json!(3)));
    assert_eq!(operators.run(&["plan", &plan]).await.code, 0);
    let stale = operators
        .run(&["undo", "--base", "2", "--note", "back"])
        .await;
    assert_eq!(stale.code, 1);
    assert!(
        stale.text.contains("in force is generation 3"),
        "{}",
        stale.text
    );
}

#[actix_rt::test]
async fn an_invalid_configuration_is_rejected_with_all_errors() {
    let mut operators = OperatorEnv::new().await;
    let mut configuration = operators.fleet.configuration.clone();
    configuration.entries[0].data_centre = "oslo".parse().unwrap();
    configuration.endpoints[0].concurrency = 0;
    configuration.organisations[0].key_digests.clear();
    let file = operators
        .write("unsound", &configuration)
        .display()
        .to_string();
    for args in [
        vec!["check", &file, "--json"],
        vec!["plan", &file, "--json"],
    ] {
        let output = operators.run(&args).await;
        assert_eq!(output.code, 2);
        assert_eq!(
            output.json()["findings"].as_array().unwrap().len(),
            3,
            "{}",
            output.text
        );
    }
    fs::write(&file, "data_centres: []\ncolour: red\n").unwrap();
    let unknown = operators.run(&["check", &file]).await;
    assert_eq!(unknown.code, 2);
    assert!(unknown.text.contains("colour"), "{}", unknown.text);
    for invalid in [vec!["apply", &file], vec!["appply"], vec!["plan"]] {
        assert_eq!(operators.run(&invalid).await.code, 2, "{invalid:?}");
    }
}

#[actix_rt::test]
async fn an_apply_during_an_outage_fails_and_changes_nothing() {
    let mut operators = OperatorEnv::new().await;
    operators.set_faults(json!({ "down": true })).await;
    let file = operators.write_with_organisation("first");
    let mut args = apply_args(&file, 0);
    args.extend(["--patience".into(), "200 ms".into()]);
    let output = operators
        .run(&args.iter().map(String::as_str).collect::<Vec<_>>())
        .await;
    assert_eq!(output.code, 3, "{}", output.text);
    operators.set_faults(json!({ "down": false })).await;
    assert_eq!(operators.history().await, json!([]));
}

/// Guards against a platform restored from an old backup: the daemons keep the newer
/// generation, and `sesamectl status` shows how to apply above it.
#[actix_rt::test]
async fn a_platform_restored_with_an_old_head_is_detected_and_repaired() {
    let mut operators = OperatorEnv::new().await;
    for (name, base) in [("first", 0), ("second", 1), ("third", 2)] {
        assert_eq!(operators.apply(name, base).await.code, 0);
    }
    operators.fleet.start_entry("entry-1", "").await.unwrap();
    operators.wait_for_generation("entry-1", 3).await;
    let daemon = operators.fleet.daemon("entry-1").admin().to_string();
    let status = ["status", "--daemon", &daemon];
    assert_eq!(operators.run(&status).await.code, 0);

    let (http, address) = (operators.fleet.http.clone(), operators.fleet.platform());
    let old = http
        .get(address, "/objects/config/history/1")
        .await
        .unwrap();
    let url = format!("http://{address}/objects/config/head");
    http.send("PUT", &url, &[], old.body).await.unwrap();
    let output = operators.run(&status).await;
    assert_eq!(output.code, 1);
    assert!(output.text.contains("--above 3"), "{}", output.text);

    let file = operators
        .write_with_organisation("fourth")
        .display()
        .to_string();
    let args = [
        "apply", &file, "--base", "1", "--above", "3", "--note", "go on", "--json",
    ];
    let applied = operators.run(&args).await;
    assert_eq!(
        (applied.code, &applied.json()["generation"]),
        (0, &json!(4))
    );
    operators.wait_for_generation("entry-1", 4).await;
    assert_eq!(operators.run(&status).await.code, 0);
}

/// The design size of 42,000 organisations: a change rewrites a single part, and a restarted
/// daemon receives the whole configuration from its peers while the platform is down.
#[actix_rt::test]
async fn a_daemon_restarted_during_an_outage_receives_42_000_organisations() {
    let mut operators = OperatorEnv::new().await;
    let mut configuration = operators.fleet.configuration.clone();
    let organisation = |i: u32| sample::organisation(&format!("org-{i:05}"), &format!("key {i}"));
    configuration
        .organisations
        .extend((0..42_000).map(organisation));
    let file = operators.write("many", &configuration);
    let args = apply_args(&file, 0);
    let applied = operators
        .run(&args.iter().map(String::as_str).collect::<Vec<_>>())
        .await;
    assert_eq!(applied.code, 0, "{}", applied.text);
    operators.fleet.start_entry("entry-1", "").await.unwrap();
    operators.fleet.start_agent("agent-1", "").await.unwrap();
    operators
        .fleet
        .wait_for_endpoints("entry-1", 1)
        .await
        .unwrap();

    configuration.organisations[17].key_digests = sample::organisation("o", "new").key_digests;
    let file = operators.write("many", &configuration);
    let args = apply_args(&file, 1);
    let applied = operators
        .run(&args.iter().map(String::as_str).collect::<Vec<_>>())
        .await;
    assert_eq!(applied.json()["parts_written"], 1, "{}", applied.text);
    operators.wait_for_generation("agent-1", 2).await;
    operators.set_faults(json!({ "down": true })).await;
    operators.fleet.restart("agent-1").await.unwrap();
    operators.wait_for_generation("agent-1", 2).await;
}
