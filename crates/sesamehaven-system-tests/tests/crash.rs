//! A request that crashes each endpoint that runs it, sent again and again.

use serde_json::{Value, json};

use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// How often the caller of the crashing request sends it.
const SENDS: usize = 50;
/// The endpoints that one such request may crash.
const CRASHES_MAX: u64 = 2;
const ENGINES: usize = 4;

async fn fleet() -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    let args = [
        "--crash-mark",
        "poison",
        "--crash",
        "refuse",
        "--crash-down-ms",
        "300",
    ];
    for i in 1..=ENGINES {
        let engine = format!("engine-{i}");
        let agent = format!("agent-{i}");
        fleet.add_engine(&engine, "model-a", &agent, &args).await?;
    }
    fleet.configure_entries(&["entry-1", "entry-2"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", "").await?;
    fleet.start_entry("entry-2", "").await?;
    for i in 1..=ENGINES {
        fleet.start_agent(&format!("agent-{i}"), "").await?;
    }
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", ENGINES as u64).await?;
    fleet.wait_for_endpoints("entry-2", ENGINES as u64).await?;
    Ok(fleet)
}

async fn ask(fleet: &Fleet, entry: usize, prompt: &str) -> Result<(u16, Value)> {
    let entry = fleet.daemon(["entry-1", "entry-2"][entry % 2]).address();
    let url = format!("http://{entry}/v1/completions");
    let body = json!({ "model": "model-a", "prompt": prompt, "max_tokens": 4 });
    let reply = fleet
        .http
        .send("POST", &url, &[AUTHORIZATION], body.to_string())
        .await?;
    Ok((reply.status, reply.json()?))
}

/// Adds up a counter over all agents.
async fn agents_total(fleet: &Fleet, name: &str) -> Result<u64> {
    let mut total = 0;
    for i in 1..=ENGINES {
        let admin = fleet.daemon(&format!("agent-{i}")).admin();
        let text = fleet.http.get(admin, "/metrics").await?.text();
        let values = text
            .lines()
            .filter_map(|line| line.strip_prefix(name)?.trim().parse::<u64>().ok());
        total += values.sum::<u64>();
    }
    Ok(total)
}

#[actix_rt::test]
async fn one_crashing_request_takes_few_endpoints_down_and_no_innocent_with_it() {
    let fleet = fleet().await.unwrap();
    let mut quarantined = 0;
    for i in 0..SENDS {
        let (status, body) = ask(&fleet, i, "poison in the vent").await.unwrap();
        assert_ne!(status, 200, "{body}");
        if body["error"]["code"] == "quarantined" {
            quarantined += 1;
        }
    }
    let crashes = agents_total(&fleet, "agent_endpoint_crashes_total")
        .await
        .unwrap();
    assert!(crashes <= CRASHES_MAX, "{crashes} endpoints crashed");
    assert!(
        quarantined > SENDS / 2,
        "{quarantined} of {SENDS} were refused by quarantine"
    );

    for i in 0..20 {
        let prompt = format!("inspect vent {i}");
        let answered = wait::until("an answer to an innocent request", || async {
            let (status, _) = ask(&fleet, i, &prompt).await.ok()?;
            (status == 200).then_some(())
        });
        answered.await.unwrap();
    }
}
