//! The error budget report `sesamectl report burn` on running daemons.

#![allow(clippy::unwrap_used)] // Tests panic on unexpected results.

use std::fs;

use serde_json::{Value, json};

use sesamehaven_system_tests::temp_dir::TempDir;
use sesamehaven_system_tests::{Fleet, Process, sample, wait};

/// Runs `sesamectl report burn --json` on an entry and an agent and returns its exit code and
/// output.
async fn burn_report(
    fleet: &Fleet,
    directory: &TempDir,
    process_name: &str,
    html: &str,
) -> (i32, Value) {
    let entry = fleet.daemon("entry-1").admin().to_string();
    let agent = fleet.daemon("agent-1").admin().to_string();
    let args = [
        "report", "burn", "--json", "--daemon", &entry, "--daemon", &agent, "--html", html,
    ];
    let mut process = Process::start("sesamectl", process_name, directory.path(), &args).unwrap();
    let code = process.wait().await.unwrap().code().unwrap();
    let json = serde_json::from_str(&process.log());
    (code, json.unwrap_or_else(|_| panic!("{}", process.log())))
}

#[actix_rt::test]
async fn the_report_counts_answers_disconnects_wasted_prefill_and_silent_daemons() {
    let mut fleet = Fleet::new().await.unwrap();
    fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await.unwrap();
    let entry = fleet.start_entry("entry-1", "").await.unwrap();
    fleet.start_agent("agent-1", "").await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();

    let url = format!("http://{entry}/v1/completions");
    let key = format!("Bearer {}", sample::API_KEY);
    let headers = [
        ("authorization", key.as_str()),
        ("content-type", "application/json"),
        ("work-class", "urgent"),
    ];
    for i in 0..4 {
        let body = json!({
            "model": "model-a", "stream": true, "max_tokens": 4,
            "prompt": format!("a few words about visit {i}"),
        });
        let response = fleet
            .http
            .send("POST", &url, &headers, body.to_string())
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let agent = fleet.daemon("agent-1").admin();
    wait::until("the prefill of all answers to be counted", async || {
        let wasted = fleet
            .http
            .metric(agent, "agent_wasted_prefill_tokens_total")
            .await;
        let all = fleet.http.metric(agent, "agent_prefill_tokens_total").await;
        (all.ok()? > 0.0 && wasted.ok()? == 0.0).then_some(())
    })
    .await
    .unwrap();

    let directory = TempDir::new().unwrap();
    let html = directory.path().join("burn.html").display().to_string();
    let (code, json) = burn_report(&fleet, &directory, "ctl-1", &html).await;
    let tier = &json["report"]["tiers"][0];
    assert_eq!(tier["tier"], 0, "{json:#}");
    let counts = &tier["counts"];
    let answered = counts["good"].as_u64().unwrap() + counts["slow"].as_u64().unwrap();
    assert_eq!(
        (answered, tier["goodput"].as_f64()),
        (4, Some(1.0)),
        "{json:#}"
    );
    assert_eq!(tier["waste"], 0.0, "{json:#}");
    assert!(tier["burn"][0].is_number(), "{json:#}");
    assert_eq!(json["report"]["organisations"][0][0], sample::ORGANISATION);
    assert_eq!(code, i32::from(tier["alert"] != "none"));
    let page = fs::read_to_string(&html).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(!page.contains("src=") && !page.contains("href="), "{page}");

    let body = json!({
        "model": "model-a", "stream": true, "max_tokens": 32, "prompt": "not wanted any more",
    });
    let mut stream = fleet
        .http
        .open("POST", &url, &headers, body.to_string())
        .await
        .unwrap();
    stream.next_chunk().await.unwrap();
    drop(stream);
    wait::until(
        "the wasted prefill of a caller that disconnected",
        async || {
            let wasted = fleet
                .http
                .metric(agent, "agent_wasted_prefill_tokens_total")
                .await;
            (wasted.ok()? > 0.0).then_some(())
        },
    )
    .await
    .unwrap();
    let (_, json) = burn_report(&fleet, &directory, "ctl-2", &html).await;
    let tier = &json["report"]["tiers"][0];
    assert_eq!(tier["counts"]["rejected"], 1, "{json:#}");
    assert!(tier["waste"].as_f64().unwrap() > 0.0, "{json:#}");

    fleet.daemon_mut("agent-1").process.kill().unwrap();
    let (code, json) = burn_report(&fleet, &directory, "ctl-3", &html).await;
    assert_eq!(
        (code, json["silent"].as_array().unwrap().len()),
        (1, 1),
        "{json:#}"
    );
}
