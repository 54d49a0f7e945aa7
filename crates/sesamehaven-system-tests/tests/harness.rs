//! Tests of the harness itself.

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, fleet, platform};

#[actix_rt::test]
async fn a_stored_configuration_is_readable_until_the_stand_in_restarts() {
    let mut fleet = Fleet::new().await.unwrap();
    fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await.unwrap();

    let head = platform::head(&fleet.http, fleet.platform()).await.unwrap();
    assert_eq!(head.generation, fleet.generation);
    let path = format!("/objects/config/parts/{}", head.parts[0]);
    let part = fleet.http.get(fleet.platform(), &path).await.unwrap();
    let stored = part.json().unwrap();
    assert_eq!(fleet.configuration, stored);

    let address = fleet.platform();
    fleet.restart_standin(fleet::PLATFORM).await.unwrap();
    assert_eq!(fleet.platform(), address);
    assert!(platform::head(&fleet.http, address).await.is_err());
}

#[actix_rt::test]
async fn an_engine_streams_and_records_a_run() {
    let mut fleet = Fleet::new().await.unwrap();
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    let body = json!({ "prompt": "a b c", "max_tokens": 3, "stream": true }).to_string();
    let url = format!("http://{engine}/v1/completions");
    let response = fleet.http.send("POST", &url, &[], body).await.unwrap();
    assert!(response.text().ends_with("data: [DONE]\n\n"));
    let records: Vec<Value> = fleet
        .http
        .get_json(engine, "/control/records")
        .await
        .unwrap();
    assert_eq!(records[0]["end"], "done");
    assert_eq!(records[0]["prefilled_tokens"], 3);
}
