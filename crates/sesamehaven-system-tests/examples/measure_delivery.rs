//! Measures the delivery of configurations to many daemons and the load on the platform.
//!
//! `cargo run -p sesamehaven-system-tests --example measure_delivery -- 10 40`
//! takes fleet sizes as arguments. A tenth of the daemons, and at least two, are entries.

use std::error::Error;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven::config::PoolKind;
use sesamehaven_system_tests::{Fleet, wait};

const IDLE_WINDOW: Duration = Duration::from_secs(30);
const CHANGES_PER_PHASE: usize = 5;
const OUTAGE_DURATION: Duration = Duration::from_secs(4);
/// The clock ticks per second in which Linux reports CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

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
    let calls_before = platform_calls(&fleet).await?;
    let ticks_before = cpu_ticks(&fleet, &names);
    sleep(IDLE_WINDOW).await;
    let idle = calls_since(&fleet, calls_before).await? / IDLE_WINDOW.as_secs_f64();
    let cpu_ms = (cpu_ticks(&fleet, &names) - ticks_before) / CLOCK_TICKS_PER_SECOND * 1_000.0;
    let cpu_ms = cpu_ms / IDLE_WINDOW.as_secs_f64() / size as f64;
    println!("{size} daemons, {entries} of them entries");
    println!("  idle: {idle:.2} calls/s; processor time {cpu_ms:.2} ms/s a daemon");
    measure_changes(&mut fleet, &names, "healthy (calls per change)", 0).await?;
    measure_changes(&mut fleet, &names, "slow 500 ms (calls per change)", 500).await?;
    measure_outage(&mut fleet, &names).await
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
    wait_for_generation(&fleet, &names).await?;
    for name in &names[..names.len() - agents.len()] {
        fleet.wait_for_endpoints(name, agents.len() as u64).await?;
    }
    Ok((fleet, names))
}

/// Applies changes while the platform answers after `slow_ms`, and prints their delivery times.
async fn measure_changes(
    fleet: &mut Fleet,
    names: &[String],
    phase: &str,
    slow_ms: u64,
) -> Result<()> {
    set_faults(fleet, json!({ "slow_ms": slow_ms })).await?;
    let before = platform_calls(fleet).await?;
    let mut times = Vec::new();
    for _ in 0..CHANGES_PER_PHASE {
        // Delivery is timed from the write of the head, without the time of the operator's writes.
        change_configuration(fleet);
        fleet.apply().await?;
        times.extend(wait_for_generation(fleet, names).await?);
    }
    let per_change = calls_since(fleet, before).await? / CHANGES_PER_PHASE as f64;
    print(phase, times, per_change);
    Ok(())
}

/// Changes the configuration so that it has a part that no daemon has yet.
fn change_configuration(fleet: &mut Fleet) {
    if let Some(class) = fleet.configuration.classes.first_mut() {
        class.expected_output.0 += 1;
    }
}

/// Applies a change at the end of an outage, and prints its delivery times.
async fn measure_outage(fleet: &mut Fleet, names: &[String]) -> Result<()> {
    set_faults(fleet, json!({ "slow_ms": 0, "down": true })).await?;
    let before = platform_calls(fleet).await?;
    sleep(OUTAGE_DURATION).await;
    let during = calls_since(fleet, before).await? / OUTAGE_DURATION.as_secs_f64();
    set_faults(fleet, json!({ "down": false })).await?;
    change_configuration(fleet);
    fleet.apply().await?;
    let times = wait_for_generation(fleet, names).await?;
    print(
        "after an outage (calls during the outage)",
        times,
        during * OUTAGE_DURATION.as_secs_f64(),
    );
    Ok(())
}

fn print(phase: &str, mut times_ms: Vec<u128>, calls: f64) {
    times_ms.sort_unstable();
    let (p50, p100) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
    println!("  {phase}: in force after p50 {p50} ms, p100 {p100} ms; {calls:.1} calls");
}

async fn set_faults(fleet: &Fleet, faults: Value) -> Result<()> {
    fleet
        .http
        .post_json(fleet.platform(), "/control/faults", &faults)
        .await?;
    Ok(())
}

/// Waits until all daemons serve the latest generation and returns the time that each took, in
/// milliseconds.
async fn wait_for_generation(fleet: &Fleet, names: &[String]) -> Result<Vec<u128>> {
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

/// Returns the number of calls that the platform has received for delivery.
async fn platform_calls(fleet: &Fleet) -> Result<f64> {
    let counts: Value = fleet
        .http
        .get_json(fleet.platform(), "/control/counts")
        .await?;
    // Reads of the list of VMs by agents are not part of delivery.
    let kinds = ["get", "watch", "put", "list"];
    Ok(kinds.iter().filter_map(|kind| counts[kind].as_f64()).sum())
}

async fn calls_since(fleet: &Fleet, before: f64) -> Result<f64> {
    Ok(platform_calls(fleet).await? - before)
}

/// Returns the CPU time of the daemons, user and system time together, in clock ticks.
fn cpu_ticks(fleet: &Fleet, names: &[String]) -> f64 {
    let ticks = names.iter().filter_map(|name| {
        let id = fleet.daemon(name).process.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some(fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?)
    });
    ticks.sum()
}
