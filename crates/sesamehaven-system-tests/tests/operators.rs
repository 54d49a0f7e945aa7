//! Operators with `sesamectl` against the stand-in of the platform.

#![allow(clippy::unwrap_used)] // A test stops at what it does not expect.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use serde_json::{Value, json};

use sesamehaven::config::Configuration;
use sesamehaven_config::to_yaml;
use sesamehaven_system_tests::temp_dir::TempDir;
use sesamehaven_system_tests::{Fleet, Process, platform, sample, wait};

/// A fleet whose configuration is sound, and files to apply.
struct Operators {
    fleet: Fleet,
    directory: TempDir,
    commands: u32,
}

/// What a command printed, and its exit code.
#[derive(Debug)]
struct Ended {
    code: i32,
    text: String,
}

impl Ended {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}

impl Operators {
    async fn new() -> Self {
        let mut fleet = Fleet::new().await.unwrap();
        fleet
            .add_engine("engine-1", "model-a", "agent-1", &[])
            .await
            .unwrap();
        fleet.configure_entries(&["entry-1"]);
        Operators {
            fleet,
            directory: TempDir::new().unwrap(),
            commands: 0,
        }
    }

    /// Writes the sample with one more organisation.
    fn file(&self, organisation: &str) -> PathBuf {
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
        self.commands += 1;
        let platform = format!("http://{}", self.fleet.platform());
        let needs_platform = !matches!(args[0], "check" | "digest-key");
        let mut all = args.to_vec();
        if needs_platform {
            all.extend(["--platform", &platform]);
        }
        let name = format!("ctl-{}", self.commands);
        Process::start("sesamectl", &name, self.directory.path(), &all).unwrap()
    }

    async fn run(&mut self, args: &[&str]) -> Ended {
        let process = self.start(args);
        ended(process).await
    }

    async fn apply(&mut self, organisation: &str, base: u64) -> Ended {
        let file = self.file(organisation);
        let args = apply_args(&file, base);
        self.run(&args.iter().map(String::as_str).collect::<Vec<_>>())
            .await
    }

    async fn fault(&self, fault: Value) {
        let platform = self.fleet.platform();
        self.fleet
            .http
            .post_json(platform, "/control/faults", &fault)
            .await
            .unwrap();
    }

    /// Counts the writes that the platform was asked for.
    async fn puts(&self) -> u64 {
        let platform = self.fleet.platform();
        let counts: Value = self
            .fleet
            .http
            .get_json(platform, "/control/counts")
            .await
            .unwrap();
        counts["put"].as_u64().unwrap_or(0)
    }

    async fn serves(&self, daemon: &str, generation: u64) {
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
        let ended = self.run(&["history", "--json", "--last", "1000"]).await;
        ended.json()["generations"].clone()
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

async fn ended(mut process: Process) -> Ended {
    let status = process.wait().await.unwrap();
    Ended {
        code: status.code().unwrap(),
        text: process.log(),
    }
}

#[actix_rt::test]
async fn of_two_operators_one_wins_and_the_other_is_shown_the_difference() {
    let mut operators = Operators::new().await;
    assert_eq!(operators.apply("first", 0).await.code, 0);
    for base in 1..=5 {
        // Slow calls let both read the head before either moves it.
        operators.fault(json!({ "slow_ms": 20 })).await;
        let names = ["anna", "bo"].map(|name| format!("{name}-{base}"));
        let files = names.each_ref().map(|name| operators.file(name));
        let files = files.map(|f| apply_args(&f, base));
        let args = files
            .each_ref()
            .map(|a| a.iter().map(String::as_str).collect::<Vec<_>>());
        let racing = args.map(|a| operators.start(&a));
        let mut results = Vec::new();
        for process in racing {
            results.push(ended(process).await);
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

/// The move of the head is performed, its answer is lost, and another change follows it at once.
#[rstest]
#[case::still_in_force(false)]
#[case::replaced_meanwhile(true)]
#[actix_rt::test]
async fn a_lost_answer_is_settled_by_the_change_id(#[case] replaced: bool) {
    let mut operators = Operators::new().await;
    assert_eq!(operators.apply("first", 0).await.code, 0);
    let before = operators.puts().await;
    operators.fault(json!({ "slow_ms": 400 })).await;
    let file = operators.file("anna");
    let args = apply_args(&file, 1);
    let anna = operators.start(&args.iter().map(String::as_str).collect::<Vec<_>>());
    // A part, the head that goes away, and then the head, which is held for a while.
    wait::until("the move of the head", async || {
        (operators.puts().await == before + 3).then_some(())
    })
    .await
    .unwrap();
    operators.fault(json!({ "lose_answers": 1 })).await;
    let (http, platform) = (operators.fleet.http.clone(), operators.fleet.platform());
    wait::until("generation 2", async || {
        let head = platform::head(&http, platform).await.unwrap();
        (head.generation.0 == 2).then_some(())
    })
    .await
    .unwrap();
    operators.fault(json!({ "slow_ms": 0 })).await;
    if replaced {
        assert_eq!(operators.apply("bo", 2).await.code, 0);
    }
    let anna = ended(anna).await;
    assert_eq!(anna.code, 0, "{}", anna.text);

    let history = operators.history().await;
    let history = history.as_array().unwrap();
    assert_eq!(history.len(), if replaced { 3 } else { 2 });
    let ours = history
        .iter()
        .filter(|h| h["change"] == anna.json()["change"]);
    assert_eq!(ours.count(), 1);
}

#[actix_rt::test]
async fn undo_is_a_new_generation() {
    let mut operators = Operators::new().await;
    operators.apply("first", 0).await;
    operators.apply("second", 1).await;
    let plan = operators.file("first").display().to_string();
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
async fn an_unsound_configuration_is_refused_with_all_errors() {
    let mut operators = Operators::new().await;
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
        let ended = operators.run(&args).await;
        assert_eq!(ended.code, 2);
        assert_eq!(
            ended.json()["findings"].as_array().unwrap().len(),
            3,
            "{}",
            ended.text
        );
    }
    fs::write(&file, "data_centres: []\ncolour: red\n").unwrap();
    let unknown = operators.run(&["check", &file]).await;
    assert_eq!(unknown.code, 2);
    assert!(unknown.text.contains("colour"), "{}", unknown.text);
    for wrong in [vec!["apply", &file], vec!["appply"], vec!["plan"]] {
        assert_eq!(operators.run(&wrong).await.code, 2, "{wrong:?}");
    }
}

#[actix_rt::test]
async fn an_outage_changes_nothing_and_says_so() {
    let mut operators = Operators::new().await;
    operators.fault(json!({ "down": true })).await;
    let file = operators.file("first");
    let mut args = apply_args(&file, 0);
    args.extend(["--patience".into(), "200 ms".into()]);
    let ended = operators
        .run(&args.iter().map(String::as_str).collect::<Vec<_>>())
        .await;
    assert_eq!(ended.code, 3, "{}", ended.text);
    operators.fault(json!({ "down": false })).await;
    assert_eq!(operators.history().await, json!([]));
}

/// The platform comes back with an old head; the daemons keep theirs, and the way out is shown.
#[actix_rt::test]
async fn a_restored_platform_is_seen_and_overtaken() {
    let mut operators = Operators::new().await;
    for (name, base) in [("first", 0), ("second", 1), ("third", 2)] {
        assert_eq!(operators.apply(name, base).await.code, 0);
    }
    operators.fleet.start_entry("entry-1", "").await.unwrap();
    operators.serves("entry-1", 3).await;
    let daemon = operators.fleet.daemon("entry-1").admin().to_string();
    let status = ["status", "--daemon", &daemon];
    assert_eq!(operators.run(&status).await.code, 0);

    let (http, at) = (operators.fleet.http.clone(), operators.fleet.platform());
    let old = http.get(at, "/objects/config/history/1").await.unwrap();
    let url = format!("http://{at}/objects/config/head");
    http.send("PUT", &url, &[], old.body).await.unwrap();
    let seen = operators.run(&status).await;
    assert_eq!(seen.code, 1);
    assert!(seen.text.contains("--above 3"), "{}", seen.text);

    let file = operators.file("fourth").display().to_string();
    let args = [
        "apply", &file, "--base", "1", "--above", "3", "--note", "go on", "--json",
    ];
    let applied = operators.run(&args).await;
    assert_eq!(
        (applied.code, &applied.json()["generation"]),
        (0, &json!(4))
    );
    operators.serves("entry-1", 4).await;
    assert_eq!(operators.run(&status).await.code, 0);
}

/// The size that the system has to carry: parts stay small, a change moves one, and peers pass all on.
#[actix_rt::test]
async fn forty_two_thousand_organisations_reach_a_daemon_that_starts_during_an_outage() {
    let mut operators = Operators::new().await;
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
    operators.serves("agent-1", 2).await;
    operators.fault(json!({ "down": true })).await;
    operators.fleet.restart("agent-1").await.unwrap();
    operators.serves("agent-1", 2).await;
}
