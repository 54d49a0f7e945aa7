//! Measures how a configuration reaches many processes, and what it costs the platform.
//!
//! `cargo run -p sesamehaven-system-tests --example measure_delivery -- 10 40`
//! takes the numbers of daemons. A tenth of them are entries, at least two.

use std::error::Error;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven::config::PoolKind;
use sesamehaven_system_tests::{Fleet, wait};

const IDLE: Duration = Duration::from_secs(30);
const CHANGES: usize = 5;
const OUTAGE: Duration = Duration::from_secs(4);
/// The clock ticks of Linux, in which `/proc` gives processor time.
const TICKS_PER_SECOND: f64 = 100.0;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[actix_rt::main]
async fn main() -> Result<()> {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    for size in sizes {
        measure(size).await?;
    }
    Ok(())
}

async fn measure(size: usize) -> Result<()> {
    let entries = (size / 10).max(2);
    let (mut fleet, names) = start(entries, size - entries).await?;
    let calls = calls(&fleet).await?;
    let spent = processor_ticks(&fleet, &names);
    sleep(IDLE).await;
    let idle = calls_since(&fleet, calls).await? / IDLE.as_secs_f64();
    let spent = (processor_ticks(&fleet, &names) - spent) / TICKS_PER_SECOND * 1_000.0;
    let spent = spent / IDLE.as_secs_f64() / size as f64;
    println!("{size} daemons, {entries} of them entries");
    println!("  idle: {idle:.2} calls/s; processor time {spent:.2} ms/s a daemon");
    phase(&mut fleet, &names, "healthy", 0).await?;
    phase(&mut fleet, &names, "slow 500 ms", 500).await?;
    outage(&mut fleet, &names).await
}

async fn start(entries: usize, agents: usize) -> Result<(Fleet, Vec<String>)> {
    let mut fleet = Fleet::new().await?;
    let engine = fleet.start_standin("standin-engine", "engine", &[]).await?;
    let entries: Vec<String> = (0..entries).map(|i| format!("entry-{i}")).collect();
    let agents: Vec<String> = (0..agents).map(|i| format!("agent-{i}")).collect();
    fleet.configure_entries(&entries.iter().map(String::as_str).collect::<Vec<_>>());
    for agent in &agents {
        let endpoint = format!("endpoint-of-{agent}");
        fleet.configure_endpoint(&endpoint, "model", PoolKind::Model, agent, engine);
    }
    fleet.apply().await?;
    for entry in &entries {
        fleet.start_entry(entry, "").await?;
    }
    for agent in &agents {
        fleet.start_agent(agent, "").await?;
    }
    let names: Vec<String> = entries.iter().chain(&agents).cloned().collect();
    reach(&fleet, &names).await?;
    for name in &names[..names.len() - agents.len()] {
        fleet.wait_for_endpoints(name, agents.len() as u64).await?;
    }
    Ok((fleet, names))
}

/// Applies changes and prints how long they take.
async fn phase(fleet: &mut Fleet, names: &[String], what: &str, slow_ms: u64) -> Result<()> {
    fault(fleet, json!({ "slow_ms": slow_ms })).await?;
    let before = calls(fleet).await?;
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        // The clock starts when the head has moved, as the writes belong to the operator.
        change(fleet);
        fleet.apply().await?;
        times.extend(reach(fleet, names).await?);
    }
    let per_change = calls_since(fleet, before).await? / CHANGES as f64;
    print(what, times, per_change);
    Ok(())
}

/// Makes a part that nobody has in hand.
fn change(fleet: &mut Fleet) {
    if let Some(class) = fleet.configuration.classes.first_mut() {
        class.expected_output.0 += 1;
    }
}

/// Applies a change as soon as an outage ends.
async fn outage(fleet: &mut Fleet, names: &[String]) -> Result<()> {
    fault(fleet, json!({ "slow_ms": 0, "down": true })).await?;
    let before = calls(fleet).await?;
    sleep(OUTAGE).await;
    let during = calls_since(fleet, before).await? / OUTAGE.as_secs_f64();
    fault(fleet, json!({ "down": false })).await?;
    change(fleet);
    fleet.apply().await?;
    let times = reach(fleet, names).await?;
    print("after an outage", times, during * OUTAGE.as_secs_f64());
    Ok(())
}

fn print(what: &str, mut times: Vec<u128>, calls: f64) {
    times.sort_unstable();
    let (p50, p100) = (times[times.len() / 2], times[times.len() - 1]);
    println!("  {what}: in force after p50 {p50} ms, p100 {p100} ms; {calls:.1} calls");
}

async fn fault(fleet: &Fleet, fault: Value) -> Result<()> {
    fleet
        .http
        .post_json(fleet.platform(), "/control/faults", &fault)
        .await?;
    Ok(())
}

/// Waits until all serve the latest generation, and gives the times in milliseconds.
async fn reach(fleet: &Fleet, names: &[String]) -> Result<Vec<u128>> {
    let start = Instant::now();
    let gauge = &format!("config_generation {}", fleet.generation);
    let waits = names.iter().map(async |name| {
        let admin = fleet.daemon(name).admin();
        wait::until(name, async || {
            let metrics = fleet.http.get(admin, "/metrics").await.ok()?.text();
            let mut lines = metrics.lines();
            lines.any(|line| line == gauge).then_some(())
        })
        .await?;
        Ok(start.elapsed().as_millis())
    });
    let reached = futures_util::future::join_all(waits).await;
    reached.into_iter().collect()
}

async fn calls(fleet: &Fleet) -> Result<f64> {
    let counts: Value = fleet
        .http
        .get_json(fleet.platform(), "/control/counts")
        .await?;
    // Agents read the list of VMs on their own; it is not part of delivery.
    let kinds = ["get", "watch", "put", "list"];
    Ok(kinds.iter().filter_map(|kind| counts[kind].as_f64()).sum())
}

async fn calls_since(fleet: &Fleet, before: f64) -> Result<f64> {
    Ok(calls(fleet).await? - before)
}

fn processor_ticks(fleet: &Fleet, names: &[String]) -> f64 {
    let ticks = names.iter().filter_map(|name| {
        let id = fleet.daemon(name).process.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some(fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?)
    });
    ticks.sum()
}
