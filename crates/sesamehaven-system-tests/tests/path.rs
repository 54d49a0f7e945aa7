//! Requests over the whole path from the caller through entry and agent to the endpoint.

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// Starts an entry and two agents with one engine each; the first agent also has a plain service.
async fn start_fleet() -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    let engines = [("engine-1", "agent-1"), ("engine-2", "agent-2")];
    for (engine, agent) in engines {
        fleet.add_engine(engine, "model-a", agent, &[]).await?;
    }
    fleet
        .add_service("service-1", "booking", "agent-1", &[])
        .await?;
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", "").await?;
    fleet.start_agent("agent-1", "").await?;
    fleet.start_agent("agent-2", "").await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 3).await?;
    Ok(fleet)
}

#[actix_rt::test]
async fn requests_are_served_end_to_end() {
    let fleet = start_fleet().await.unwrap();
    let entry = fleet.daemon("entry-1").address();

    let url = format!("http://{entry}/v1/chat/completions");
    let messages = json!([{ "role": "user", "content": "inspect the vent" }]);
    let body = json!({ "model": "model-a", "messages": messages, "max_tokens": 4 });
    let response = fleet
        .http
        .send("POST", &url, &[AUTHORIZATION], body.to_string())
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    let answer: Value = response.json().unwrap();
    assert!(
        answer["choices"][0]["message"]["content"].is_string(),
        "{answer}"
    );
    assert!(response.header("traceparent").is_some());

    let body = json!({ "model": "model-a", "prompt": "inspect the vent", "max_tokens": 4, "stream": true });
    let url = format!("http://{entry}/v1/completions");
    let response = fleet
        .http
        .send("POST", &url, &[AUTHORIZATION], body.to_string())
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(
        response.text().ends_with("data: [DONE]\n\n"),
        "{}",
        response.text()
    );

    let url = format!("http://{entry}/services/booking/visits?day=3");
    let response = fleet
        .http
        .send("PUT", &url, &[AUTHORIZATION], "a visit")
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    let echo: Value = response.json().unwrap();
    assert_eq!(echo["path"], "/visits?day=3", "{echo}");
}
