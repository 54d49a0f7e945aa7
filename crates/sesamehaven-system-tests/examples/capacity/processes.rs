//! The resource usage of real daemons on loopback.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven::config::PoolKind;
use sesamehaven_system_tests::{Fleet, sample, wait};

use crate::Result;

const IDLE_WINDOW: Duration = Duration::from_secs(8);
/// The clock ticks per second in which Linux reports CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const REQUESTS_PER_RUN: usize = 40;
const SETTLING_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of key slots.
const KEY_SLOTS: f64 = 1_024.0;

/// The resource usage of the daemons of one role.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_ms: f64,
    /// Bytes of resident memory.
    pub(crate) bytes: f64,
    /// Bytes on links, sent and received.
    pub(crate) link: f64,
    /// Datagrams of reports, sent and received.
    pub(crate) reports: f64,
}

/// The measurements of an idle fleet; usage is the average per daemon, and per second
/// except for memory.
#[derive(Debug)]
pub(crate) struct IdleFleet {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    pub(crate) entry: Usage,
    pub(crate) agent: Usage,
    /// Platform calls per second.
    pub(crate) calls: f64,
    /// Platform calls for one change of the configuration.
    pub(crate) calls_per_change: f64,
    /// Bytes on all links, counted at one end, from the start to the idle window.
    pub(crate) settling_bytes: f64,
    /// Key slots without a home, summed over entries, read after the write of the change that
    /// follows the idle window.
    pub(crate) unserved: f64,
    /// Key slots that agents are homes of, summed over agents, read after the same write; there
    /// are 1,024 slots.
    pub(crate) homes: f64,
}

/// Measures a fleet of this size without requests.
pub(crate) async fn measure_idle(entries: usize, agents: usize) -> Result<IdleFleet> {
    let (mut fleet, entry_names, agent_names) = start(entries, agents).await?;
    let settling_bytes = wait_until_settled(&fleet, &entry_names, &agent_names).await?;
    let calls = platform_calls(&fleet).await?;
    let before = (
        total_usage(&fleet, &entry_names).await?,
        total_usage(&fleet, &agent_names).await?,
    );
    sleep(IDLE_WINDOW).await;
    let calls = (platform_calls(&fleet).await? - calls) / IDLE_WINDOW.as_secs_f64();
    let entry = average_rate(before.0, total_usage(&fleet, &entry_names).await?, entries);
    let agent = average_rate(before.1, total_usage(&fleet, &agent_names).await?, agents);
    let calls_before = platform_calls(&fleet).await?;
    if let Some(class) = fleet.configuration.classes.first_mut() {
        class.expected_output.0 += 1;
    }
    fleet.apply().await?;
    let unserved = sum_metric(&fleet, &entry_names, "entry_key_unserved_slots").await?;
    let homes = sum_metric(&fleet, &agent_names, "agent_key_home_slots").await?;
    let names: Vec<_> = entry_names.into_iter().chain(agent_names).collect();
    wait_for_generation(&fleet, &names).await?;
    Ok(IdleFleet {
        entries,
        agents,
        entry,
        agent,
        calls,
        calls_per_change: platform_calls(&fleet).await? - calls_before,
        settling_bytes,
        unserved,
        homes,
    })
}

/// Waits until all key slots have homes and no slot has several, for at most
/// [`SETTLING_TIMEOUT`], and returns the bytes on links until then.
async fn wait_until_settled(fleet: &Fleet, entries: &[String], agents: &[String]) -> Result<f64> {
    // A fleet that does not settle is measured nevertheless and reported on the page.
    let _ = wait::until_within(SETTLING_TIMEOUT, "homes of all keys", async || {
        let unserved = sum_metric(fleet, entries, "entry_key_unserved_slots")
            .await
            .ok()?;
        let homes = sum_metric(fleet, agents, "agent_key_home_slots")
            .await
            .ok()?;
        (unserved == 0.0 && homes == KEY_SLOTS).then_some(())
    })
    .await;
    let sent = sum_metric(fleet, entries, "link_sent_bytes_total").await?;
    Ok(sent + sum_metric(fleet, entries, "link_received_bytes_total").await?)
}

/// Returns the sum of a metric over daemons.
async fn sum_metric(fleet: &Fleet, names: &[String], metric: &str) -> Result<f64> {
    let mut sum = 0.0;
    for name in names {
        sum += fleet
            .http
            .metric(fleet.daemon(name).admin(), metric)
            .await?;
    }
    Ok(sum)
}

/// Measured points of (tokens per request, cost per request).
#[derive(Debug, Default)]
pub(crate) struct RequestCosts {
    pub(crate) entry_ms: Vec<(f64, f64)>,
    pub(crate) agent_ms: Vec<(f64, f64)>,
    pub(crate) link_bytes: Vec<(f64, f64)>,
}

/// Measures the cost of requests with one entry and one agent.
pub(crate) async fn measure_load() -> Result<RequestCosts> {
    let (fleet, entries, agents) = start(1, 1).await?;
    let mut costs = RequestCosts::default();
    // The first run includes the cost of opening connections and is not counted.
    for (tokens, is_counted) in [(8, false), (16, true), (64, true), (128, true)] {
        let entry = total_usage(&fleet, &entries).await?;
        let agent = total_usage(&fleet, &agents).await?;
        let sends = (0..REQUESTS_PER_RUN).map(|i| send(&fleet, i, tokens));
        for sent in futures_util::future::join_all(sends).await {
            sent?;
        }
        let entry_cost = difference(
            entry,
            total_usage(&fleet, &entries).await?,
            REQUESTS_PER_RUN as f64,
        );
        let agent_cost = difference(
            agent,
            total_usage(&fleet, &agents).await?,
            REQUESTS_PER_RUN as f64,
        );
        if is_counted {
            let tokens = tokens as f64;
            costs.entry_ms.push((tokens, entry_cost.cpu_ms));
            costs.agent_ms.push((tokens, agent_cost.cpu_ms));
            costs.link_bytes.push((tokens, agent_cost.link));
        }
    }
    Ok(costs)
}

async fn send(fleet: &Fleet, number: usize, tokens: usize) -> Result<()> {
    let url = format!(
        "http://{}/v1/completions",
        fleet.daemon("entry-0").address()
    );
    let key = format!("Bearer {}", sample::API_KEY);
    let headers = [
        ("authorization", key.as_str()),
        ("content-type", "application/json"),
    ];
    let body = json!({
        "model": "model", "stream": true, "max_tokens": tokens,
        "prompt": format!("the words of visit {number}"),
    });
    let response = fleet
        .http
        .send("POST", &url, &headers, body.to_string())
        .await?;
    match response.status {
        200 => Ok(()),
        status => Err(format!("{status}: {}", response.text()).into()),
    }
}

async fn start(entries: usize, agents: usize) -> Result<(Fleet, Vec<String>, Vec<String>)> {
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
    fleet.wait_until_ready().await?;
    for entry in &entries {
        fleet.wait_for_endpoints(entry, agents.len() as u64).await?;
    }
    Ok((fleet, entries, agents))
}

async fn wait_for_generation(fleet: &Fleet, names: &[String]) -> Result<()> {
    let generation = fleet.generation.0 as f64;
    for name in names {
        let admin = fleet.daemon(name).admin();
        wait::until(name, async || {
            let seen = fleet.http.metric(admin, "config_generation").await.ok()?;
            (seen == generation).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Returns the usage summed over daemons: current memory, and all other quantities since start.
async fn total_usage(fleet: &Fleet, names: &[String]) -> Result<Usage> {
    let mut sum = Usage::default();
    for name in names {
        let daemon = fleet.daemon(name);
        let id = daemon.process.id().to_string();
        sum.cpu_ms += cpu_ticks(&id)? / CLOCK_TICKS_PER_SECOND * 1_000.0;
        sum.bytes += resident_bytes(&id)?;
        for counter in ["link_sent_bytes_total", "link_received_bytes_total"] {
            sum.link += fleet.http.metric(daemon.admin(), counter).await?;
        }
        for counter in ["reports_sent_total", "reports_received_total"] {
            sum.reports += fleet.http.metric(daemon.admin(), counter).await?;
        }
    }
    Ok(sum)
}

/// Returns the average usage per daemon and second in the idle window.
fn average_rate(before: Usage, after: Usage, daemons: usize) -> Usage {
    let mut usage = difference(before, after, IDLE_WINDOW.as_secs_f64() * daemons as f64);
    usage.bytes = after.bytes / daemons as f64;
    usage
}

/// Returns the increase of usage divided by `divisor`, with the memory of `after`.
fn difference(before: Usage, after: Usage, divisor: f64) -> Usage {
    Usage {
        cpu_ms: (after.cpu_ms - before.cpu_ms) / divisor,
        bytes: after.bytes,
        link: (after.link - before.link) / divisor,
        reports: (after.reports - before.reports) / divisor,
    }
}

/// Returns the number of calls that the platform has received.
async fn platform_calls(fleet: &Fleet) -> Result<f64> {
    let counts: Value = fleet
        .http
        .get_json(fleet.platform(), "/control/counts")
        .await?;
    let counts = counts.as_object().ok_or("no counts")?;
    Ok(counts.values().filter_map(Value::as_f64).sum())
}

/// Returns the CPU time of a process, user and system time together, in clock ticks.
fn cpu_ticks(id: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no fields")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let field = |i: usize| fields.get(i).ok_or("too few fields");
    Ok(field(11)?.parse::<f64>()? + field(12)?.parse::<f64>()?)
}

/// Returns the resident memory of a process in bytes.
pub(crate) fn resident_bytes(id: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|l| l.split_whitespace().next())
        .ok_or("no VmRSS")?;
    Ok(kib.parse::<f64>()? * 1_024.0)
}
