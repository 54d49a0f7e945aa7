//! The faults of the stand-ins, which other tests rely on.

use std::net::SocketAddr;

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result, wait};

fn completions(address: SocketAddr) -> String {
    format!("http://{address}/v1/completions")
}

async fn records(fleet: &Fleet, address: SocketAddr) -> Result<Vec<Value>> {
    fleet.http.get_json(address, "/control/records").await
}

#[actix_rt::test]
async fn a_lost_answer_leaves_its_write_behind() {
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
    let again = fleet.http.send("PUT", &url, &create, "x").await.unwrap();
    assert_eq!(again.status, 409);
    assert_eq!(again.header("object-version"), Some("1"));
}

#[actix_rt::test]
async fn a_watch_answers_when_the_object_changes() {
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
    let (seen, written) = tokio::join!(watch, write);
    let (seen, written) = (seen.unwrap(), written.unwrap());
    assert_eq!(
        seen.header("object-version"),
        written.header("object-version")
    );
    assert_eq!(seen.text(), "{}");
}

#[actix_rt::test]
async fn a_marked_body_crashes_the_engine_and_all_that_runs_there() {
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
    let innocent = json!({ "prompt": "a", "max_tokens": 500, "stream": true }).to_string();
    let url = completions(engine);
    let mut stream = fleet.http.open("POST", &url, &[], innocent).await.unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());

    let poison = json!({ "prompt": "poison" }).to_string();
    assert!(fleet.http.send("POST", &url, &[], poison).await.is_err());
    assert!(
        stream.rest().await.is_err(),
        "a crash looked like a whole answer"
    );
    wait::until("the engine to come back", async || {
        let reply = fleet.http.get(engine, "/health").await.ok()?;
        (reply.status == 200).then_some(())
    })
    .await
    .unwrap();
    let records = records(&fleet, engine).await.unwrap();
    assert!(records.iter().all(|r| r["end"] == "crashed"), "{records:?}");
}

#[actix_rt::test]
async fn cancelled_and_abandoned_runs_end() {
    let mut fleet = Fleet::new().await.unwrap();
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    let body = json!({ "prompt": "a", "max_tokens": 100_000, "stream": true }).to_string();
    let url = completions(engine);
    let id = [("request-id", "to-cancel")];
    let mut cancelled = fleet
        .http
        .open("POST", &url, &id, body.clone())
        .await
        .unwrap();
    let mut abandoned = fleet.http.open("POST", &url, &[], body).await.unwrap();
    assert!(abandoned.next_chunk().await.unwrap().is_some());

    drop(abandoned);
    let reply = fleet
        .http
        .post_json(engine, "/cancel/to-cancel", &json!({}))
        .await;
    assert!(reply.is_ok());
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
async fn a_stream_is_resumed_where_it_broke_off() {
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
        .open("POST", &completions(engine), &id, body)
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
async fn a_cached_prefix_skips_prefill_and_moves_to_another_engine() {
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
        let url = completions(first);
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
        .send("POST", &completions(second), &[], body)
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
async fn old_fencing_numbers_are_refused_where_they_are_checked() {
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
    for (engine, old_status) in [(checking, 409), (ignoring, 200)] {
        let url = format!("http://{engine}/orders");
        let json = [("content-type", "application/json")];
        let mut statuses = Vec::new();
        for fence in [2, 1] {
            let order = json!({ "fence": fence, "kind": "load", "name": "m" }).to_string();
            let reply = fleet.http.send("POST", &url, &json, order).await.unwrap();
            statuses.push(reply.status);
        }
        assert_eq!(statuses, [200, old_status]);
    }
}
