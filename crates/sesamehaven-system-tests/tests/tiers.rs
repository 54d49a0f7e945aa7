//! Shedding: the least urgent work goes first, whichever entry either came by.

use futures_util::future::{join, join_all};
use serde_json::{Value, json};

use sesamehaven_system_tests::http::Response;
use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// Work of the least urgent tier, several times what fits.
const BATCH: usize = 40;
/// Urgent work, as much as the queues hold.
const URGENT: usize = 8;

/// Starts two entries before two agents with two slots and a queue of four each.
async fn fleet() -> Result<Fleet> {
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

async fn ask(fleet: &Fleet, entry: usize, class: &str) -> Result<Response> {
    let entry = fleet.daemon(["entry-1", "entry-2"][entry % 2]).address();
    let url = format!("http://{entry}/v1/completions");
    let body = json!({ "model": "model-a", "prompt": "tag the archive", "max_tokens": 32 });
    let headers = [AUTHORIZATION, ("work-class", class)];
    fleet
        .http
        .send("POST", &url, &headers, body.to_string())
        .await
}

/// Waits until both agents hold work that is queued.
async fn queued(fleet: &Fleet) -> Result<()> {
    wait::until("queues that are full", || async {
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
async fn batch_work_makes_room_for_urgent_work_of_either_entry() {
    let fleet = fleet().await.unwrap();
    let batch = join_all((0..BATCH).map(|i| ask(&fleet, i, "batch")));
    let urgent = async {
        queued(&fleet).await?;
        let urgent = (0..URGENT).map(|i| ask(&fleet, i, "urgent"));
        Ok::<_, sesamehaven_system_tests::Error>(join_all(urgent).await)
    };
    let (batch, urgent) = join(batch, urgent).await;

    for reply in urgent.unwrap() {
        let reply = reply.unwrap();
        assert_eq!(reply.status, 200, "urgent work was shed: {}", reply.text());
    }
    let mut shed = 0;
    for reply in batch {
        let reply = reply.unwrap();
        if reply.status == 200 {
            continue;
        }
        shed += 1;
        assert_eq!(reply.status, 503, "{}", reply.text());
        assert_eq!(reply.header("request-outcome"), Some("not-run"));
        let retry_after = reply.header("retry-after").and_then(|s| s.parse().ok());
        assert!(retry_after.is_some_and(|secs: u64| secs >= 1));
    }
    assert!(shed > 0, "nothing was shed, so nothing was tried");
}
