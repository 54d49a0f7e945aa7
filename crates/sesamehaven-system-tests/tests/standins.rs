//! The behaviour and injected faults of the stand-ins, which other tests rely on.

use std::net::SocketAddr;

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result, wait};

fn completions_url(address: SocketAddr) -> String {
    format!("http://{address}/v1/completions")
}

async fn records(fleet: &Fleet, address: SocketAddr) -> Result<Vec<Value>> {
    fleet.http.get_json(address, "/control/records").await
}

#[actix_rt::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let fleet = Fleet::new().await.unwrap();
    let platform = fleet.platform();
    let faults = json!({ "lose_answers": 1 });
    fleet
        .http
        .post_json(platform, "/control/faults", &faults)
        .await
        .unwrap();
    let url = format!("http://{platform}/objects/claims/1/a");
    let create = [("if-version", "0")];
    assert!(fleet.http.send("PUT", &url, &create, "x").await.is_err());
    let retried = fleet.http.send("PUT", &url, &create, "x").await.unwrap();
    assert_eq!(retried.status, 409);
    assert_eq!(retried.header("object-version"), Some("1"));
}

#[actix_rt::test]
async fn a_watch_returns_when_the_object_changes() {
    let fleet = Fleet::new().await.unwrap();
    let platform = fleet.platform();
    let url = format!("http://{platform}/objects/config/head");
    let watch = fleet
        .http
        .get(platform, "/watch/config/head?after=0&wait_ms=20000");
    let write = async {
        let waiting = wait::until("the watch to be counted", async || {
            let counts: Value = fleet
                .http
                .get_json(platform, "/control/counts")
                .await
                .ok()?;
            counts["watch"].as_u64()
        });
        waiting.await?;
        fleet.http.send("PUT", &url, &[], "{}").await
    };
    let (watched, written) = tokio::join!(watch, write);
    let (watched, written) = (watched.unwrap(), written.unwrap());
    assert_eq!(
        watched.header("object-version"),
        written.header("object-version")
    );
    assert_eq!(watched.text(), "{}");
}

#[actix_rt::test]
async fn a_request_with_the_crash_mark_crashes_the_engine_and_all_its_runs() {
    let mut fleet = Fleet::new().await.unwrap();
    let args = [
        "--crash-mark",
        "poison",
        "--crash",
        "refuse",
        "--crash-down-ms",
        "50",
    ];
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &args)
        .await
        .unwrap();
    let other = json!({ "prompt": "a", "max_tokens": 500, "stream": true }).to_string();
    let url = completions_url(engine);
    let mut stream = fleet.http.open("POST", &url, &[], other).await.unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());

    let poison = json!({ "prompt": "poison" }).to_string();
    assert!(fleet.http.send("POST", &url, &[], poison).await.is_err());
    assert!(
        stream.rest().await.is_err(),
        "the answer looked complete despite the crash"
    );
    wait::until("the engine to restart", async || {
        let response = fleet.http.get(engine, "/health").await.ok()?;
        (response.status == 200).then_some(())
    })
    .await
    .unwrap();
    let records = records(&fleet, engine).await.unwrap();
    assert!(records.iter().all(|r| r["end"] == "crashed"), "{records:?}");
}

#[actix_rt::test]
async fn cancelled_and_disconnected_runs_end() {
    let mut fleet = Fleet::new().await.unwrap();
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    let body = json!({ "prompt": "a", "max_tokens": 100_000, "stream": true }).to_string();
    let url = completions_url(engine);
    let id = [("request-id", "to-cancel")];
    let mut cancelled = fleet
        .http
        .open("POST", &url, &id, body.clone())
        .await
        .unwrap();
    let mut disconnected = fleet.http.open("POST", &url, &[], body).await.unwrap();
    assert!(disconnected.next_chunk().await.unwrap().is_some());

    drop(disconnected);
    let response = fleet
        .http
        .post_json(engine, "/cancel/to-cancel", &json!({}))
        .await;
    assert!(response.is_ok());
    let rest = cancelled.rest().await.unwrap();
    assert!(!rest.ends_with(b"data: [DONE]\n\n"));
    wait::until("both runs to end", async || {
        let records = records(&fleet, engine).await.ok()?;
        let ended = records[0]["end"] == "cancelled" && records[1]["end"] == "disconnected";
        ended.then_some(())
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn a_stream_is_resumed_after_the_last_received_token() {
    let mut fleet = Fleet::new().await.unwrap();
    let args = ["--resume-ms", "20000"];
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &args)
        .await
        .unwrap();
    let body = json!({ "prompt": "a", "max_tokens": 6, "stream": true }).to_string();
    let id = [("request-id", "r")];
    let mut stream = fleet
        .http
        .open("POST", &completions_url(engine), &id, body)
        .await
        .unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());
    drop(stream);
    let rest = fleet
        .http
        .get(engine, "/streams/r?after=1")
        .await
        .unwrap()
        .text();
    assert!(!rest.contains("\"t0\""));
    assert!(
        (1..6).all(|n| rest.contains(&format!("\" t{n}\""))),
        "{rest}"
    );
    assert!(rest.ends_with("data: [DONE]\n\n"));
}

#[actix_rt::test]
async fn a_cached_prefix_skips_prefill_and_can_be_copied_to_another_engine() {
    let mut fleet = Fleet::new().await.unwrap();
    let args = ["--block-tokens", "4", "--events-lag-ms", "0"];
    let first = fleet
        .add_engine("engine-1", "model-a", "agent-1", &args)
        .await
        .unwrap();
    let second = fleet
        .add_engine("engine-2", "model-a", "agent-1", &args)
        .await
        .unwrap();
    let body = json!({ "prompt": "a b c d e f g h i", "max_tokens": 1 }).to_string();
    for _ in 0..2 {
        let url = completions_url(first);
        fleet
            .http
            .send("POST", &url, &[], body.clone())
            .await
            .unwrap();
    }
    let events: Value = fleet.http.get_json(first, "/cache/events").await.unwrap();
    assert_eq!(events["next"], 2);
    let prefix = events["events"][1]["prefix"].as_str().unwrap().to_owned();

    let exported = fleet
        .http
        .get(first, &format!("/kv/{prefix}"))
        .await
        .unwrap();
    let url = format!("http://{second}/kv/{prefix}");
    let json = [("content-type", "application/json")];
    let imported = fleet
        .http
        .send("PUT", &url, &json, exported.body)
        .await
        .unwrap();
    assert_eq!(imported.status, 200);
    fleet
        .http
        .send("POST", &completions_url(second), &[], body)
        .await
        .unwrap();

    let prefilled = async |engine| -> Vec<u64> {
        let records = records(&fleet, engine).await.unwrap();
        let prefilled = records.iter().map(|r| r["prefilled_tokens"].as_u64());
        prefilled.flatten().collect()
    };
    assert_eq!(prefilled(first).await, [9, 1]);
    assert_eq!(prefilled(second).await, [1]);
}

#[actix_rt::test]
async fn stale_fencing_tokens_are_rejected_by_engines_that_check_them() {
    let mut fleet = Fleet::new().await.unwrap();
    let checking = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    let args = ["--ignore-fencing"];
    let ignoring = fleet
        .add_engine("engine-2", "model-a", "agent-1", &args)
        .await
        .unwrap();
    for (engine, stale_status) in [(checking, 409), (ignoring, 200)] {
        let url = format!("http://{engine}/orders");
        let json = [("content-type", "application/json")];
        let mut statuses = Vec::new();
        for fence in [2, 1] {
            let order = json!({ "fence": fence, "kind": "load", "name": "m" }).to_string();
            let response = fleet.http.send("POST", &url, &json, order).await.unwrap();
            statuses.push(response.status);
        }
        assert_eq!(statuses, [200, stale_status]);
    }
}
