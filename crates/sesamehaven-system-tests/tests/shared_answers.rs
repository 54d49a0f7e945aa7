//! Callers that wait with the same key, at another entry, for a run that is still queued.
#![allow(clippy::unwrap_used)] // Helper functions are used in tests only.

use serde_json::{Value, json};

use sesamehaven_system_tests::http::{Response, ResponseStream};
use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");
const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
const AGENTS: [&str; 2] = ["agent-1", "agent-2"];

/// Starts two entries and the first of two agents, whose engines run one request at a time.
async fn start_fleet() -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    for (engine, agent) in ["engine-1", "engine-2"].into_iter().zip(AGENTS) {
        let args = ["--decode-rate", "100"];
        fleet.add_engine(engine, "model-a", agent, &args).await?;
    }
    for endpoint in &mut fleet.configuration.endpoints {
        endpoint.concurrency = 1;
    }
    fleet.configure_entries(&ENTRIES);
    fleet.apply().await?;
    for entry in ENTRIES {
        fleet.start_entry(entry, "").await?;
    }
    fleet.start_agent(AGENTS[0], "").await?;
    fleet.wait_until_ready().await?;
    for entry in ENTRIES {
        fleet.wait_for_endpoints(entry, 1).await?;
    }
    Ok(fleet)
}

/// Occupies the engine with a stream of this length.
async fn occupy(fleet: &Fleet, tokens: u64) -> Result<ResponseStream> {
    let url = format!(
        "http://{}/v1/completions",
        fleet.daemon("entry-1").address()
    );
    let body = json!({ "model": "model-a", "prompt": "a", "max_tokens": tokens, "stream": true });
    let headers = [AUTHORIZATION, ("work-class", "once")];
    let opened = fleet.http.open("POST", &url, &headers, body.to_string());
    let mut stream = opened.await?;
    stream.next_chunk().await?;
    Ok(stream)
}

/// Sends the same request with the same key.
fn send(fleet: &Fleet, entry: &str) -> impl Future<Output = Result<Response>> + use<> {
    let url = format!("http://{}/v1/completions", fleet.daemon(entry).address());
    let body = json!({ "model": "model-a", "prompt": "#mark", "max_tokens": 8 });
    let headers = [
        AUTHORIZATION,
        ("work-class", "once"),
        ("idempotency-key", "k"),
    ];
    let http = fleet.http.clone();
    async move { http.send("POST", &url, &headers, body.to_string()).await }
}

async fn wait_for_queue(fleet: &Fleet) -> Result<()> {
    let admin = fleet.daemon(AGENTS[0]).admin();
    wait::until("a queued request", async || {
        let status: Value = fleet.http.get_json(admin, "/status").await.ok()?;
        let queued = status["endpoints"][0]["queued"].as_u64()?;
        (queued > 0).then_some(())
    })
    .await
}

/// Waits until the second entry reads the answer of the first one's request.
async fn wait_for_reader(fleet: &Fleet) -> Result<()> {
    let admin = fleet.daemon("entry-2").admin();
    wait::until("a second reader", async || {
        let resumes = fleet.http.metric(admin, "entry_resumes_total").await.ok()?;
        (resumes > 0.0).then_some(())
    })
    .await
}

async fn count_runs(fleet: &Fleet) -> Result<usize> {
    let mut count = 0;
    for engine in ["engine-1", "engine-2"] {
        let address = fleet.standin(engine).address();
        let runs: Vec<Value> = fleet.http.get_json(address, "/control/records").await?;
        count += runs.iter().filter(|run| run["echo"] == "#mark").count();
    }
    Ok(count)
}

/// Sends the request to both entries while it is queued, and returns the answers.
async fn send_twice(
    fleet: &mut Fleet,
    meanwhile: impl AsyncFnOnce(&mut Fleet) -> Result<()>,
) -> Result<[Response; 2]> {
    let [first, second] = ENTRIES.map(|entry| send(fleet, entry));
    let first = actix_rt::spawn(first);
    wait_for_queue(fleet).await?;
    let second = actix_rt::spawn(second);
    wait_for_reader(fleet).await?;
    meanwhile(fleet).await?;
    let (first, second) = tokio::join!(first, second);
    Ok([first.unwrap()?, second.unwrap()?])
}

fn check(answers: &[Response; 2]) {
    for answer in answers {
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(answers[0].body, answers[1].body);
}

#[actix_rt::test]
async fn a_second_caller_follows_a_queued_request_that_its_agent_returns() {
    let mut fleet = start_fleet().await.unwrap();
    let _stream = occupy(&fleet, 1_000).await.unwrap();
    let drain = async |fleet: &mut Fleet| {
        fleet.start_agent(AGENTS[1], "").await?;
        for entry in ENTRIES {
            fleet.wait_for_endpoints(entry, 2).await?;
        }
        fleet.daemon(AGENTS[0]).process.terminate()
    };
    let answers = send_twice(&mut fleet, drain).await.unwrap();
    check(&answers);
    assert_eq!(count_runs(&fleet).await.unwrap(), 1);
}

#[actix_rt::test]
async fn a_second_caller_waits_as_long_as_the_request_is_queued() {
    let mut fleet = start_fleet().await.unwrap();
    let _stream = occupy(&fleet, 500).await.unwrap();
    let answers = send_twice(&mut fleet, async |_| Ok(())).await.unwrap();
    check(&answers);
    assert_eq!(count_runs(&fleet).await.unwrap(), 1);
}
