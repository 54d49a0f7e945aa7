//! Graceful shutdown: running requests are completed, queued requests move to other agents.

use serde_json::{Value, json};

use sesamehaven_system_tests::http::ResponseStream;
use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// The length of an answer that is still streaming when the signal arrives.
const LONG_ANSWER_TOKENS: u64 = 120;

/// Starts an entry and two agents with one slow engine each, of batch size `max_batch`.
async fn start_fleet(max_batch: &str) -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    let args = ["--decode-rate", "100", "--max-batch", max_batch];
    for (engine, agent) in [("engine-1", "agent-1"), ("engine-2", "agent-2")] {
        fleet.add_engine(engine, "model-a", agent, &args).await?;
    }
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await?;
    fleet
        .start_entry("entry-1", "drain: { grace: 100 ms }")
        .await?;
    fleet.start_agent("agent-1", "").await?;
    fleet.start_agent("agent-2", "").await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 2).await?;
    Ok(fleet)
}

/// Sends a streamed request with a long answer and waits for its first token.
async fn start_stream(fleet: &Fleet) -> Result<ResponseStream> {
    let url = format!(
        "http://{}/v1/completions",
        fleet.daemon("entry-1").address()
    );
    let body = json!({
        "model": "model-a", "prompt": "inspect the vent",
        "max_tokens": LONG_ANSWER_TOKENS, "stream": true,
    });
    let headers = [AUTHORIZATION, ("work-class", "once")];
    let mut stream = fleet
        .http
        .open("POST", &url, &headers, body.to_string())
        .await?;
    stream.next_chunk().await?;
    Ok(stream)
}

async fn records(fleet: &Fleet, engine: &str) -> Result<Vec<Value>> {
    let engine = fleet.standin(engine).address();
    fleet.http.get_json(engine, "/control/records").await
}

#[actix_rt::test]
async fn an_agent_that_receives_sigterm_completes_its_streams_and_accepts_no_more() {
    let mut fleet = start_fleet("64").await.unwrap();
    // Routing is random, so streams are started until both agents have some.
    let mut streams = Vec::new();
    while streams.len() < 4
        || records(&fleet, "engine-1").await.unwrap().is_empty()
        || records(&fleet, "engine-2").await.unwrap().is_empty()
    {
        streams.push(start_stream(&fleet).await.unwrap());
    }
    fleet.daemon_mut("agent-1").process.terminate().unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
    let before = records(&fleet, "engine-1").await.unwrap().len();
    for _ in 0..8 {
        streams.push(start_stream(&fleet).await.unwrap());
    }
    for stream in &mut streams {
        let rest = stream.rest().await.unwrap();
        assert!(rest.ends_with(b"data: [DONE]\n\n"), "a stream was cut off");
    }
    assert_eq!(records(&fleet, "engine-1").await.unwrap().len(), before);
    let status = fleet.daemon_mut("agent-1").process.wait().await.unwrap();
    assert!(status.success(), "{status}");
}

#[actix_rt::test]
async fn an_entry_that_receives_sigterm_completes_its_streams() {
    let mut fleet = start_fleet("64").await.unwrap();
    let mut streams = Vec::new();
    for _ in 0..4 {
        streams.push(start_stream(&fleet).await.unwrap());
    }
    fleet.daemon_mut("entry-1").process.terminate().unwrap();
    for stream in &mut streams {
        let rest = stream.rest().await.unwrap();
        assert!(rest.ends_with(b"data: [DONE]\n\n"), "a stream was cut off");
    }
    let status = fleet.daemon_mut("entry-1").process.wait().await.unwrap();
    assert!(status.success(), "{status}");
}

#[actix_rt::test]
async fn queued_requests_of_a_leaving_agent_are_rerouted() {
    let mut fleet = start_fleet("1").await.unwrap();
    for endpoint in &mut fleet.configuration.endpoints {
        endpoint.concurrency = 1;
    }
    fleet.apply().await.unwrap();
    let generation = fleet.generation;
    for agent in ["agent-1", "agent-2"] {
        let admin = fleet.daemon(agent).admin();
        wait::until("the new configuration", || async {
            let status = fleet.http.get_json::<Value>(admin, "/status").await.ok()?;
            (status["generation"] == generation.0).then_some(())
        })
        .await
        .unwrap();
    }
    let answers = (0..8).map(|_| async {
        let mut stream = start_stream(&fleet).await?;
        stream.rest().await
    });
    let answers = futures_util::future::join_all(answers);
    let stop_agent = async {
        // Routing decides where requests queue, so the agent to stop is one that has some.
        let leaving = wait::until("a queued request", || async {
            for i in 1..=2 {
                let admin = fleet.daemon(&format!("agent-{i}")).admin();
                let status = fleet.http.get_json::<Value>(admin, "/status").await.ok()?;
                let endpoint = &status["endpoints"][0];
                if endpoint["running"] == 1 && endpoint["queued"].as_u64()? > 0 {
                    return Some(i);
                }
            }
            None
        })
        .await
        .unwrap();
        let agent = format!("agent-{leaving}");
        fleet.daemon(&agent).process.terminate().unwrap();
        leaving
    };
    let (answers, leaving) = futures_util::future::join(answers, stop_agent).await;
    for answer in answers {
        let rest = answer.unwrap();
        assert!(rest.ends_with(b"data: [DONE]\n\n"), "a stream was cut off");
    }
    let engine = format!("engine-{leaving}");
    let runs = records(&fleet, &engine).await.unwrap().len();
    assert!(runs < 3, "the leaving agent dispatched queued requests");
    let agent = format!("agent-{leaving}");
    let status = fleet.daemon_mut(&agent).process.wait().await.unwrap();
    assert!(status.success(), "{status}");
}

/// Stores the list of VMs in the platform, with `agent-1` in the given state.
async fn list_vms(fleet: &Fleet, state: &str) -> Result<()> {
    let vm = |name: &str, role: &str, state: &str| {
        json!({
            "name": name, "data_centre": "dc-1", "role": role,
            "address": "127.0.0.1", "state": state,
        })
    };
    let vms = json!([
        vm("agent-1", "agent", state),
        vm("agent-2", "agent", "live"),
        vm("entry-1", "entry", "live"),
    ]);
    let url = format!("http://{}/control/vms", fleet.platform());
    let headers = [("content-type", "application/json")];
    let response = fleet
        .http
        .send("PUT", &url, &headers, vms.to_string())
        .await?;
    assert!(response.status < 300, "{}", response.text());
    Ok(())
}

#[actix_rt::test]
async fn an_agent_whose_vm_is_listed_as_leaving_drains_and_exits() {
    let mut fleet = start_fleet("64").await.unwrap();
    list_vms(&fleet, "live").await.unwrap();
    let admin = fleet.daemon("agent-1").admin();
    wait::until("the agent to see its VM listed as live", || async {
        let status = fleet.http.get_json::<Value>(admin, "/status").await.ok()?;
        (status["vm"] == "live").then_some(())
    })
    .await
    .unwrap();
    let mut streams = Vec::new();
    while records(&fleet, "engine-1").await.unwrap().is_empty() {
        streams.push(start_stream(&fleet).await.unwrap());
    }
    list_vms(&fleet, "leaving").await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
    for stream in &mut streams {
        let rest = stream.rest().await.unwrap();
        assert!(rest.ends_with(b"data: [DONE]\n\n"), "a stream was cut off");
    }
    let agent = &mut fleet.daemon_mut("agent-1").process;
    assert!(agent.wait().await.unwrap().success());
}

#[actix_rt::test]
async fn an_agent_that_never_saw_its_vm_live_ignores_the_list_as_stale() {
    let fleet = start_fleet("64").await.unwrap();
    list_vms(&fleet, "leaving").await.unwrap();
    let admin = fleet.daemon("agent-1").admin();
    wait::until("the agent to see its VM listed as leaving", || async {
        let status = fleet.http.get_json::<Value>(admin, "/status").await.ok()?;
        (status["vm"] == "leaving").then_some(())
    })
    .await
    .unwrap();
    let status = fleet
        .http
        .get_json::<Value>(admin, "/status")
        .await
        .unwrap();
    assert_eq!(status["leaving"], false);
}
