//! Answers that break off on their way, which no caller may take for whole.

use rstest::rstest;
use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// Starts an entry and an agent before one engine and one plain service.
async fn fleet() -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    let crash = [
        "--crash-mark",
        "poison",
        "--crash",
        "refuse",
        "--crash-down-ms",
        "0",
    ];
    fleet
        .add_engine("engine-1", "model-a", "agent-1", &crash)
        .await?;
    fleet
        .add_service("service-1", "booking", "agent-1", &[])
        .await?;
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", "").await?;
    fleet.start_agent("agent-1", "").await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 2).await?;
    Ok(fleet)
}

#[rstest]
#[case::length_is_told(true)]
#[case::length_is_not_told(false)]
#[actix_rt::test]
async fn half_an_answer_of_a_service_is_an_unknown_outcome(#[case] tell_length: bool) {
    let fleet = fleet().await.unwrap();
    let service = fleet.standin("service-1").address();
    let faults = json!({ "cut_answers": 1, "tell_length": tell_length });
    fleet
        .http
        .post_json(service, "/control/faults", &faults)
        .await
        .unwrap();
    let entry = fleet.daemon("entry-1").address();
    let url = format!("http://{entry}/services/booking/visits");
    let headers = [
        AUTHORIZATION,
        ("work-class", "once"),
        ("idempotency-key", "k"),
    ];
    let reply = fleet
        .http
        .send("POST", &url, &headers, "a visit")
        .await
        .unwrap();
    assert_eq!(
        reply.header("request-outcome"),
        Some("unknown"),
        "{}",
        reply.text()
    );
    assert_eq!(reply.status, 502);
    let calls: Vec<Value> = fleet
        .http
        .get_json(service, "/control/records")
        .await
        .unwrap();
    assert_eq!(
        calls.len(),
        1,
        "a call that may not be repeated was: {calls:?}"
    );
}

#[actix_rt::test]
async fn a_stream_that_its_engine_breaks_off_ends_in_an_error() {
    let fleet = fleet().await.unwrap();
    let entry = fleet.daemon("entry-1").address();
    let url = format!("http://{entry}/v1/completions");
    let body = json!({
        "model": "model-a", "prompt": "a", "max_tokens": 100_000, "stream": true,
    });
    let headers = [AUTHORIZATION, ("work-class", "once")];
    let opened = fleet
        .http
        .open("POST", &url, &headers, body.to_string())
        .await;
    let mut stream = opened.unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());
    let engine = fleet.standin("engine-1").address();
    let crash = json!({ "crash": true });
    fleet
        .http
        .post_json(engine, "/control/faults", &crash)
        .await
        .unwrap();
    let rest = String::from_utf8_lossy(&stream.rest().await.unwrap()).into_owned();
    let end = rest.split("event: error").nth(1);
    assert!(end.is_some_and(|end| end.contains("\"unknown\"")), "{rest}");
    assert!(!rest.contains("[DONE]"));
}
