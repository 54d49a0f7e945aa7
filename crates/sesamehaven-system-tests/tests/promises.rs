//! Checks the outcomes reported to callers under load and faults against the records
//! of the endpoints.

use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven_standins::check::{EngineRuns, Findings, check};
use sesamehaven_standins::load::{self, LoadOptions};
use sesamehaven_standins::load_plan::Plan;
use sesamehaven_standins::record::{CallRecord, RunRecord};
use sesamehaven_standins::target::{Policy, Targets};
use sesamehaven_system_tests::proxy::{Proxy, Transport};
use sesamehaven_system_tests::{Fleet, Result, wait};

const SEED: u64 = 5;
const LOAD_DURATION: Duration = Duration::from_secs(3);
/// The time that a daemon is paused, shorter than the heartbeat timeout of links (2 s).
const PAUSE_DURATION: Duration = Duration::from_millis(1_500);

/// About three times the capacity of the two engines, without retries.
const OVERLOAD_PLAN: &str = "
streams:
  - name: briefs
    tier: 0
    api_key: key-of-org-1
    class: urgent
    pool: model-a
    rate: 20
    deadline: 4 s
    repeatable: true
    output_tokens: {median: 16}
    prefix: {count: 4, tokens: 64}
  - name: roundups
    tier: 3
    api_key: key-of-org-1
    class: batch
    pool: model-a
    call: text
    rate: 200
    deadline: 4 s
    repeatable: true
    streamed: false
    prompt_tokens: {median: 100, spread: 0.5, long_percent: 2, long_factor: 20}
";

/// Requests that may run at most once, from callers that retry them.
const RETRY_PLAN: &str = "
streams:
  - name: summaries
    tier: 1
    api_key: key-of-org-1
    class: once
    pool: model-a
    rate: 20
    deadline: 4 s
    key: uuid7
    resend_percent: 30
    resend_after: 100 ms
  - name: summaries with other keys
    tier: 1
    api_key: key-of-org-1
    class: once
    pool: model-a
    rate: 10
    deadline: 4 s
    streamed: false
    key: text
    resend_percent: 30
    resend_after: 1 s
  - name: bookings
    tier: 0
    api_key: key-of-org-1
    class: claimed
    pool: booking
    call: service
    rate: 20
    deadline: 4 s
    key: uuid7
    resend_percent: 30
    resend_after: 20 ms
";

/// Requests that may run at most once, without retries, at half the capacity of the engines.
const AT_MOST_ONCE_PLAN: &str = "
streams:
  - name: summaries
    tier: 1
    api_key: key-of-org-1
    class: once
    pool: model-a
    rate: 30
    deadline: 6 s
  - name: whole summaries
    tier: 1
    api_key: key-of-org-1
    class: once
    pool: model-a
    rate: 15
    deadline: 6 s
    streamed: false
  - name: bookings
    tier: 0
    api_key: key-of-org-1
    class: once
    pool: booking
    call: service
    rate: 30
    deadline: 6 s
";

/// Starts two entries, two agents with engines of different speed, and a plain
/// service. The links to the agents pass through a proxy.
async fn start_fleet() -> Result<(Fleet, Proxy)> {
    let mut fleet = Fleet::new().await?;
    let fast = ["--decode-rate", "100", "--max-batch", "16"];
    let slow = [
        "--decode-rate",
        "40",
        "--max-batch",
        "8",
        "--prefill-rate",
        "5000",
    ];
    fleet
        .add_engine("engine-1", "model-a", "agent-1", &fast)
        .await?;
    fleet
        .add_engine("engine-2", "model-a", "agent-2", &slow)
        .await?;
    fleet
        .add_service("service-1", "booking", "agent-1", &[])
        .await?;
    let entries = ["entry-1", "entry-2"];
    fleet.configure_entries(&entries);
    fleet.apply().await?;
    for entry in entries {
        fleet.start_entry(entry, "").await?;
    }
    let proxy = Proxy::start(&mut fleet, "proxy").await?;
    for agent in ["agent-1", "agent-2"] {
        let route = proxy.add_route(agent, Transport::Tcp, None).await?;
        let link = fleet
            .start_agent(agent, &format!("advertise: \"{route}\""))
            .await?;
        proxy.set_target(agent, link).await?;
    }
    fleet.wait_until_ready().await?;
    for entry in entries {
        fleet.wait_for_endpoints(entry, 3).await?;
    }
    Ok((fleet, proxy))
}

/// Waits until the first engine has `MIN_RUNS` runs, so that the fault occurs under load.
async fn wait_for_runs(fleet: &Fleet) -> Result<()> {
    const MIN_RUNS: usize = 30;
    let engine = fleet.standin("engine-1").address();
    wait::until("runs on the first engine", async || {
        let runs: Vec<RunRecord> = fleet.http.get_json(engine, "/control/records").await.ok()?;
        (runs.len() >= MIN_RUNS).then_some(())
    })
    .await
}

/// Sends the load of a plan through both entries, injects a fault while requests
/// run, and checks the outcomes.
async fn send_and_check(
    fleet: &mut Fleet,
    plan: &str,
    inject_fault: impl AsyncFnOnce(&mut Fleet) -> Result<()>,
) -> Result<Findings> {
    println!("seed {SEED}");
    let plan = Plan::parse(plan).unwrap_or_else(|e| panic!("{e}"));
    let entries = ["entry-1", "entry-2"].map(|name| fleet.daemon(name).address());
    let targets = Targets::new(Policy::Entries, &entries, &[]).unwrap_or_else(|e| panic!("{e}"));
    let options = LoadOptions {
        seed: SEED,
        duration: LOAD_DURATION,
        rate_factor: 1.0,
        threads: 1,
    };
    let load = actix_rt::task::spawn_blocking(move || load::run(plan, targets, &options));
    wait_for_runs(fleet).await?;
    inject_fault(fleet).await?;
    let result = load.await.unwrap_or_else(|e| panic!("{e}"));
    let (report, outcomes) = result.unwrap_or_else(|e| panic!("{e}"));
    println!("{}", report.text());
    let mut engines = Vec::new();
    for name in ["engine-1", "engine-2"] {
        let address = fleet.standin(name).address();
        let runs: Vec<RunRecord> = fleet.http.get_json(address, "/control/records").await?;
        engines.push(EngineRuns {
            engine: name.into(),
            runs,
        });
    }
    let service = fleet.standin("service-1").address();
    let calls: Vec<CallRecord> = fleet.http.get_json(service, "/control/records").await?;
    let findings = check(&outcomes, &engines, &calls);
    println!("{} runs, {:?}", findings.runs, findings.prefill);
    println!("violations: {:?}", findings.counts());
    findings
        .violations
        .iter()
        .take(10)
        .for_each(|v| println!("{v}"));
    Ok(findings)
}

#[actix_rt::test]
async fn outcomes_are_correct_under_overload() {
    let (mut fleet, _proxy) = start_fleet().await.unwrap();
    let findings = send_and_check(&mut fleet, OVERLOAD_PLAN, async |_| Ok(())).await;
    assert_eq!(findings.unwrap().violations, []);
}

#[actix_rt::test]
async fn at_most_once_requests_run_once_despite_retries() {
    let (mut fleet, _proxy) = start_fleet().await.unwrap();
    let findings = send_and_check(&mut fleet, RETRY_PLAN, async |_| Ok(())).await;
    assert_eq!(findings.unwrap().violations, []);
}

#[rstest]
#[case::cut(json!({ "cut": true }))]
#[case::silent_both_ways(json!({ "scope": "existing", "silent": "both" }))]
#[case::silent_to_agents(json!({ "scope": "existing", "silent": "to_target" }))]
#[case::silent_to_entries(json!({ "scope": "existing", "silent": "to_caller" }))]
#[actix_rt::test]
async fn outcomes_are_correct_when_links_fail(#[case] faults: Value) {
    let (mut fleet, proxy) = start_fleet().await.unwrap();
    let inject_fault = async |_: &mut Fleet| proxy.set_faults(&faults).await;
    let findings = send_and_check(&mut fleet, AT_MOST_ONCE_PLAN, inject_fault).await;
    assert_eq!(findings.unwrap().violations, []);
}

#[rstest]
#[case::agent("agent-2")]
#[case::entry("entry-2")]
#[actix_rt::test]
async fn outcomes_are_correct_when_a_daemon_is_killed(#[case] name: &str) {
    let (mut fleet, _proxy) = start_fleet().await.unwrap();
    let inject_fault = async |fleet: &mut Fleet| fleet.restart(name).await;
    let findings = send_and_check(&mut fleet, AT_MOST_ONCE_PLAN, inject_fault).await;
    assert_eq!(findings.unwrap().violations, []);
}

#[rstest]
#[case::agent("agent-1")]
#[case::entry("entry-1")]
#[actix_rt::test]
async fn outcomes_are_correct_when_a_daemon_is_paused(#[case] name: &str) {
    let (mut fleet, _proxy) = start_fleet().await.unwrap();
    let inject_fault = async |fleet: &mut Fleet| {
        fleet.daemon(name).process.pause()?;
        sleep(PAUSE_DURATION).await;
        fleet.daemon(name).process.resume()
    };
    let findings = send_and_check(&mut fleet, AT_MOST_ONCE_PLAN, inject_fault).await;
    assert_eq!(findings.unwrap().violations, []);
}
