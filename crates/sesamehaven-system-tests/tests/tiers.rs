//! Load shedding: the least urgent requests are shed first, whichever entry received them.

use futures_util::future::{join, join_all};
use serde_json::{Value, json};

use sesamehaven_system_tests::http::Response;
use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// The number of least urgent requests, several times the capacity of the agents.
const BATCH_REQUESTS: usize = 40;
/// The number of urgent requests, as many as fit into the queues.
const URGENT_REQUESTS: usize = 8;

/// Starts two entries and two agents, each with two slots and a queue of four.
async fn start_fleet() -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    for (engine, agent) in [("engine-1", "agent-1"), ("engine-2", "agent-2")] {
        fleet
            .add_engine(engine, "model-a", agent, &["--max-batch", "2"])
            .await?;
    }
    for endpoint in &mut fleet.configuration.endpoints {
        endpoint.concurrency = 2;
    }
    for pool in &mut fleet.configuration.pools {
        pool.queue_requests = 4;
    }
    fleet.configure_entries(&["entry-1", "entry-2"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", "").await?;
    fleet.start_entry("entry-2", "").await?;
    fleet.start_agent("agent-1", "").await?;
    fleet.start_agent("agent-2", "").await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 2).await?;
    fleet.wait_for_endpoints("entry-2", 2).await?;
    Ok(fleet)
}

async fn send(fleet: &Fleet, entry: usize, class: &str) -> Result<Response> {
    let entry = fleet.daemon(["entry-1", "entry-2"][entry % 2]).address();
    let url = format!("http://{entry}/v1/completions");
    let body = json!({ "model": "model-a", "prompt": "tag the archive", "max_tokens": 32 });
    let headers = [AUTHORIZATION, ("work-class", class)];
    fleet
        .http
        .send("POST", &url, &headers, body.to_string())
        .await
}

/// Waits until at least four requests are queued at the agents.
async fn wait_for_queued_requests(fleet: &Fleet) -> Result<()> {
    wait::until("queued requests", || async {
        let mut queued = 0;
        for agent in ["agent-1", "agent-2"] {
            let admin = fleet.daemon(agent).admin();
            let status = fleet.http.get_json::<Value>(admin, "/status").await.ok()?;
            queued += status["endpoints"][0]["queued"].as_u64()?;
        }
        (queued >= 4).then_some(())
    })
    .await
}

#[actix_rt::test]
async fn batch_requests_are_shed_for_urgent_requests_of_either_entry() {
    let fleet = start_fleet().await.unwrap();
    let batch = join_all((0..BATCH_REQUESTS).map(|i| send(&fleet, i, "batch")));
    let urgent = async {
        wait_for_queued_requests(&fleet).await?;
        let urgent = (0..URGENT_REQUESTS).map(|i| send(&fleet, i, "urgent"));
        Ok::<_, sesamehaven_system_tests::Error>(join_all(urgent).await)
    };
    let (batch, urgent) = join(batch, urgent).await;

    for response in urgent.unwrap() {
        let response = response.unwrap();
        assert_eq!(
            response.status,
            200,
            "an urgent request was shed: {}",
            response.text()
        );
    }
    let mut shed = 0;
    for response in batch {
        let response = response.unwrap();
        if response.status == 200 {
            continue;
        }
        shed += 1;
        assert_eq!(response.status, 503, "{}", response.text());
        assert_eq!(response.header("request-outcome"), Some("not-run"));
        let retry_after = response.header("retry-after").and_then(|s| s.parse().ok());
        assert!(retry_after.is_some_and(|secs: u64| secs >= 1));
    }
    assert!(shed > 0, "no request was shed, so shedding was not tested");
}
