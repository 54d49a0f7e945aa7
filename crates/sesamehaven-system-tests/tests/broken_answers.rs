//! Answers that are truncated on their way, which must not look complete to the caller.

use rstest::rstest;
use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// Starts an entry and an agent with one engine and one plain service.
async fn start_fleet() -> Result<Fleet> {
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
#[case::with_content_length(true)]
#[case::without_content_length(false)]
#[actix_rt::test]
async fn a_truncated_answer_of_a_service_has_an_unknown_outcome(#[case] with_length: bool) {
    let fleet = start_fleet().await.unwrap();
    let service = fleet.standin("service-1").address();
    let faults = json!({ "cut_answers": 1, "tell_length": with_length });
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
    let response = fleet
        .http
        .send("POST", &url, &headers, "a visit")
        .await
        .unwrap();
    assert_eq!(
        response.header("request-outcome"),
        Some("unknown"),
        "{}",
        response.text()
    );
    assert_eq!(response.status, 502);
    let calls: Vec<Value> = fleet
        .http
        .get_json(service, "/control/records")
        .await
        .unwrap();
    assert_eq!(
        calls.len(),
        1,
        "an at-most-once call was repeated: {calls:?}"
    );
}

#[actix_rt::test]
async fn a_stream_truncated_by_its_engine_ends_with_an_error_event() {
    let fleet = start_fleet().await.unwrap();
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
