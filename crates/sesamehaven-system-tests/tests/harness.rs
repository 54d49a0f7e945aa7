//! The harness itself: processes start, are found again and go away.

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, fleet, platform};

#[actix_rt::test]
async fn configuration_is_stored_and_survives_no_restart_of_the_stand_in() {
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
async fn an_engine_streams_to_a_test() {
    let mut fleet = Fleet::new().await.unwrap();
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    let body = json!({ "prompt": "a b c", "max_tokens": 3, "stream": true }).to_string();
    let url = format!("http://{engine}/v1/completions");
    let reply = fleet.http.send("POST", &url, &[], body).await.unwrap();
    assert!(reply.text().ends_with("data: [DONE]\n\n"));
    let records: Vec<Value> = fleet
        .http
        .get_json(engine, "/control/records")
        .await
        .unwrap();
    assert_eq!(records[0]["end"], "done");
    assert_eq!(records[0]["prefilled_tokens"], 3);
}
