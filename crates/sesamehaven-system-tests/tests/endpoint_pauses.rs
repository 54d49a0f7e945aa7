//! Endpoints that turn a request away and want no others for a time.

use serde_json::json;

use sesamehaven_standins::record::{RunRecord, unix_ms};
use sesamehaven_system_tests::Fleet;

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");
const RETRY_AFTER_MS: u64 = 1_500;
const REQUESTS: usize = 8;

#[actix_rt::test]
async fn nothing_is_sent_to_an_endpoint_before_its_retry_after_is_over() {
    let mut fleet = Fleet::new().await.unwrap();
    let engine = fleet.add_engine("engine-1", "model-a", "agent-1", &[]);
    let engine = engine.await.unwrap();
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await.unwrap();
    let entry = fleet.start_entry("entry-1", "").await.unwrap();
    fleet.start_agent("agent-1", "").await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();

    let set_faults = async |faults| {
        let posted = fleet.http.post_json(engine, "/control/faults", &faults);
        posted.await.unwrap();
    };
    let url = format!("http://{entry}/v1/completions");
    let body = json!({ "model": "model-a", "prompt": "a", "max_tokens": 4 }).to_string();
    let headers = [AUTHORIZATION, ("work-class", "once")];
    let send = || fleet.http.send("POST", &url, &headers, body.clone());
    set_faults(json!({ "refuse": true, "retry_after_ms": RETRY_AFTER_MS })).await;
    let sent_ms = unix_ms();
    assert_eq!(send().await.unwrap().status, 503);
    set_faults(json!({ "refuse": false })).await;

    let requests = (0..REQUESTS).map(|_| send());
    for response in futures_util::future::join_all(requests).await {
        let response = response.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let runs: Vec<RunRecord> = fleet
        .http
        .get_json(engine, "/control/records")
        .await
        .unwrap();
    assert_eq!(runs.len(), REQUESTS);
    for run in runs {
        let after = run.received_ms - sent_ms;
        assert!(after >= RETRY_AFTER_MS as f64, "received after {after} ms");
    }
}
