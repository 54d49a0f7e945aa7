//! Agents that fall silent for a moment and go on.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven_system_tests::http::Response;
use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");
/// Requests whose keys have homes at both agents.
const REQUESTS: usize = 24;
/// The time that an agent is silent, less than after which its links are closed.
const PAUSE_DURATION: Duration = Duration::from_millis(1_500);

/// Starts an entry and two agents, of which only the second has an engine, which runs one
/// request at a time. Both are homes of keys.
async fn start_fleet() -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    let args = ["--decode-rate", "100"];
    fleet
        .add_engine("engine-2", "model-a", "agent-2", &args)
        .await?;
    fleet
        .add_service("service-1", "booking", "agent-1", &[])
        .await?;
    fleet.configuration.endpoints[0].concurrency = 1;
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", "").await?;
    fleet.start_agent("agent-1", "").await?;
    fleet.start_agent("agent-2", "").await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 2).await?;
    let admin = fleet.daemon("entry-1").admin();
    wait::until("homes of all keys", async || {
        let text = fleet.http.get(admin, "/metrics").await.ok()?.text();
        text.contains("entry_key_unserved_slots 0").then_some(())
    })
    .await?;
    Ok(fleet)
}

/// Sends requests with different keys.
fn send_all(fleet: &Fleet, tokens: u64) -> Vec<JoinHandle<Result<Response>>> {
    let entry = fleet.daemon("entry-1").address();
    let send = |number| {
        let http = fleet.http.clone();
        let url = format!("http://{entry}/v1/completions");
        actix_rt::spawn(async move {
            let key = format!("key-{number}");
            let body = json!({ "model": "model-a", "prompt": key, "max_tokens": tokens });
            let headers = [
                AUTHORIZATION,
                ("work-class", "once"),
                ("idempotency-key", &key),
            ];
            http.send("POST", &url, &headers, body.to_string()).await
        })
    };
    (0..REQUESTS).map(send).collect()
}

async fn wait_for_metric(fleet: &Fleet, daemon: &str, name: &str, at_least: usize) -> Result<()> {
    let admin = fleet.daemon(daemon).admin();
    wait::until(name, async || {
        let value = fleet.http.metric(admin, name).await.ok()?;
        (value >= at_least as f64).then_some(())
    })
    .await
}

async fn resume_later(fleet: &Fleet, agent: &str) -> Result<()> {
    sleep(PAUSE_DURATION).await;
    fleet.daemon(agent).process.resume()
}

#[actix_rt::test]
async fn a_request_waits_for_the_home_of_its_key_that_is_silent_for_a_moment() {
    let fleet = start_fleet().await.unwrap();
    fleet.daemon("agent-1").process.pause().unwrap();
    let requests = send_all(&fleet, 1);
    wait_for_metric(&fleet, "entry-1", "entry_key_claims_total", REQUESTS)
        .await
        .unwrap();
    resume_later(&fleet, "agent-1").await.unwrap();
    for request in requests {
        let response = request.await.unwrap().unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

#[actix_rt::test]
async fn a_refusal_waits_for_the_home_of_its_key_that_is_silent_for_a_moment() {
    let fleet = start_fleet().await.unwrap();
    let requests = send_all(&fleet, 1_000);
    let agent = fleet.daemon("agent-2").admin();
    wait::until("queued requests", async || {
        let status: Value = fleet.http.get_json(agent, "/status").await.ok()?;
        let queued = status["endpoints"][0]["queued"].as_u64()?;
        (queued as usize == REQUESTS - 1).then_some(())
    })
    .await
    .unwrap();
    fleet.daemon("agent-1").process.pause().unwrap();
    fleet.daemon("agent-2").process.terminate().unwrap();
    wait_for_metric(&fleet, "agent-2", "agent_refusals_total", REQUESTS - 1)
        .await
        .unwrap();
    resume_later(&fleet, "agent-1").await.unwrap();
    let mut unknown = Vec::new();
    for request in requests {
        let response = request.await.unwrap().unwrap();
        if response.header("request-outcome") == Some("unknown") {
            unknown.push(response.text());
        }
    }
    assert!(
        unknown.is_empty(),
        "{} of {REQUESTS}: {}",
        unknown.len(),
        unknown[0]
    );
}

/// A process that falls silent while requests run and wait.
#[rstest]
#[case::agent("agent-2")]
#[case::entry("entry-1")]
#[case::endpoint("engine-2")]
#[actix_rt::test]
async fn a_silent_moment_ends_no_answer(#[case] name: &str) {
    let fleet = start_fleet().await.unwrap();
    let url = format!(
        "http://{}/v1/completions",
        fleet.daemon("entry-1").address()
    );
    let open = async |class, tokens: usize| {
        let body = json!({
            "model": "model-a", "prompt": "a", "max_tokens": tokens, "stream": true,
        });
        let headers = [AUTHORIZATION, ("work-class", class)];
        fleet
            .http
            .open("POST", &url, &headers, body.to_string())
            .await
    };
    let mut running = open("once", 100).await.unwrap();
    let mut text = running.next_chunk().await.unwrap().unwrap().to_vec();
    let queued = ["once", "normal", "once", "normal"].map(|class| open(class, 10));
    let queued = futures_util::future::try_join_all(queued);
    let paused = async {
        let agent = fleet.daemon("agent-2").admin();
        wait::until("queued requests", async || {
            let status: Value = fleet.http.get_json(agent, "/status").await.ok()?;
            (status["endpoints"][0]["queued"] == 4).then_some(())
        })
        .await?;
        let process = match name {
            "engine-2" => &fleet.standin(name).process,
            _ => &fleet.daemon(name).process,
        };
        process.pause()?;
        sleep(PAUSE_DURATION).await;
        process.resume()?;
        running.rest().await
    };
    let (queued, rest) = tokio::join!(queued, paused);
    text.extend(rest.unwrap());
    let text = String::from_utf8(text).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    for mut stream in queued.unwrap() {
        let text = String::from_utf8(stream.rest().await.unwrap().to_vec()).unwrap();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    let records = fleet.standin("engine-2").address();
    let records: Vec<Value> = fleet
        .http
        .get_json(records, "/control/records")
        .await
        .unwrap();
    assert_eq!(records.len(), 5, "a request ran twice");
}
