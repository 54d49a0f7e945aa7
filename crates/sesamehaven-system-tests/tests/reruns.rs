//! Requests whose first endpoint fails before any part of an answer was passed on.

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];

/// Starts an entry and two engines behind the given agents.
async fn start_fleet(agents: [&str; 2]) -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    for (engine, agent) in ENGINES.into_iter().zip(agents) {
        fleet.add_engine(engine, "model-a", agent, &[]).await?;
    }
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", "").await?;
    fleet.start_agent(agents[0], "").await?;
    if agents[0] != agents[1] {
        fleet.start_agent(agents[1], "").await?;
    }
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 2).await?;
    Ok(fleet)
}

/// Returns the runs of an engine, or none if it does not answer.
async fn runs(fleet: &Fleet, engine: &str) -> Vec<Value> {
    let address = fleet.standin(engine).address();
    let records = fleet.http.get_json(address, "/control/records").await;
    records.unwrap_or_default()
}

#[actix_rt::test]
async fn a_request_whose_endpoint_refuses_connections_goes_to_another() {
    let mut fleet = start_fleet(["agent-1", "agent-2"]).await.unwrap();
    fleet.standin_mut("engine-1").process.kill().unwrap();
    let entry = fleet.daemon("entry-1").address();
    let url = format!("http://{entry}/v1/completions");
    for number in 0..8 {
        let class = ["once", "normal"][number % 2];
        let key = format!("key-{number}");
        let body = json!({ "model": "model-a", "prompt": key, "max_tokens": 4 }).to_string();
        let headers = [
            AUTHORIZATION,
            ("work-class", class),
            ("idempotency-key", &key),
        ];
        let response = fleet.http.send("POST", &url, &headers, body).await.unwrap();
        assert_eq!(response.status, 200, "{class}: {}", response.text());
    }
    let rerouted = fleet.daemon("entry-1").admin();
    let rerouted = fleet.http.metric(rerouted, "entry_reroutes_total").await;
    assert!(rerouted.unwrap() > 0.0, "no request met the killed engine");
}
