//! What real daemons on loopback take.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven::config::PoolKind;
use sesamehaven_system_tests::{Fleet, sample, wait};

use crate::Result;

const IDLE: Duration = Duration::from_secs(8);
/// The clock ticks of Linux, in which `/proc` gives processor time.
const TICKS_PER_SECOND: f64 = 100.0;
const REQUESTS: usize = 40;
const SETTLING: Duration = Duration::from_secs(10);
/// The slots that keys fall into.
const SLOTS: f64 = 1_024.0;

/// What the daemons of one role take on average while nothing is asked.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_ms: f64,
    pub(crate) bytes: f64,
    /// Bytes a second on links, sent and received.
    pub(crate) link: f64,
    /// Datagrams a second, sent and received.
    pub(crate) reports: f64,
}

/// An idle fleet.
#[derive(Debug)]
pub(crate) struct Idle {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    pub(crate) entry: Usage,
    pub(crate) agent: Usage,
    pub(crate) calls: f64,
    pub(crate) calls_a_change: f64,
    /// Bytes on all links, counted once, from the start to the window.
    pub(crate) settling_bytes: f64,
    /// Slots of keys without a home at the end, summed over entries.
    pub(crate) unserved: f64,
    /// Slots that agents are homes of at the end; all of them are 1,024.
    pub(crate) homes: f64,
}

pub(crate) async fn idle(entries: usize, agents: usize) -> Result<Idle> {
    let (mut fleet, entry_names, agent_names) = start(entries, agents).await?;
    let settling_bytes = settle(&fleet, &entry_names, &agent_names).await?;
    let calls = calls_so_far(&fleet).await?;
    let before = (
        totals(&fleet, &entry_names).await?,
        totals(&fleet, &agent_names).await?,
    );
    sleep(IDLE).await;
    let calls = (calls_so_far(&fleet).await? - calls) / IDLE.as_secs_f64();
    let entry = rate(before.0, totals(&fleet, &entry_names).await?, entries);
    let agent = rate(before.1, totals(&fleet, &agent_names).await?, agents);
    let calls_before = calls_so_far(&fleet).await?;
    if let Some(class) = fleet.configuration.classes.first_mut() {
        class.expected_output.0 += 1;
    }
    fleet.apply().await?;
    let unserved = sum(&fleet, &entry_names, "entry_key_unserved_slots").await?;
    let homes = sum(&fleet, &agent_names, "agent_key_home_slots").await?;
    let names: Vec<_> = entry_names.into_iter().chain(agent_names).collect();
    reach(&fleet, &names).await?;
    Ok(Idle {
        entries,
        agents,
        entry,
        agent,
        calls,
        calls_a_change: calls_so_far(&fleet).await? - calls_before,
        settling_bytes,
        unserved,
        homes,
    })
}

/// Waits until all slots of keys have homes, and the homes have stopped moving.
async fn settle(fleet: &Fleet, entries: &[String], agents: &[String]) -> Result<f64> {
    // A fleet that does not settle is measured as it is, and the page says so.
    let _ = wait::until_within(SETTLING, "homes of all keys", async || {
        let unserved = sum(fleet, entries, "entry_key_unserved_slots").await.ok()?;
        let homes = sum(fleet, agents, "agent_key_home_slots").await.ok()?;
        (unserved == 0.0 && homes == SLOTS).then_some(())
    })
    .await;
    let sent = sum(fleet, entries, "link_sent_bytes_total").await?;
    Ok(sent + sum(fleet, entries, "link_received_bytes_total").await?)
}

async fn sum(fleet: &Fleet, names: &[String], metric: &str) -> Result<f64> {
    let mut sum = 0.0;
    for name in names {
        sum += fleet
            .http
            .metric(fleet.daemon(name).admin(), metric)
            .await?;
    }
    Ok(sum)
}

/// Points of (tokens a request, what a request took).
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub(crate) entry_ms: Vec<(f64, f64)>,
    pub(crate) agent_ms: Vec<(f64, f64)>,
    pub(crate) link_bytes: Vec<(f64, f64)>,
}

pub(crate) async fn work() -> Result<Work> {
    let (fleet, entries, agents) = start(1, 1).await?;
    let mut work = Work::default();
    // The first requests pay for connections, and are not counted.
    for (tokens, is_counted) in [(8, false), (16, true), (64, true), (128, true)] {
        let entry = totals(&fleet, &entries).await?;
        let agent = totals(&fleet, &agents).await?;
        let sends = (0..REQUESTS).map(|i| send(&fleet, i, tokens));
        for sent in futures_util::future::join_all(sends).await {
            sent?;
        }
        let entry_rate = difference(entry, totals(&fleet, &entries).await?, REQUESTS as f64);
        let agent_rate = difference(agent, totals(&fleet, &agents).await?, REQUESTS as f64);
        if is_counted {
            let tokens = tokens as f64;
            work.entry_ms.push((tokens, entry_rate.cpu_ms));
            work.agent_ms.push((tokens, agent_rate.cpu_ms));
            work.link_bytes.push((tokens, agent_rate.link));
        }
    }
    Ok(work)
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
    let reply = fleet
        .http
        .send("POST", &url, &headers, body.to_string())
        .await?;
    match reply.status {
        200 => Ok(()),
        status => Err(format!("{status}: {}", reply.text()).into()),
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

async fn reach(fleet: &Fleet, names: &[String]) -> Result<()> {
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

/// Sums over daemons; memory is at present, all else since their start.
async fn totals(fleet: &Fleet, names: &[String]) -> Result<Usage> {
    let mut sum = Usage::default();
    for name in names {
        let daemon = fleet.daemon(name);
        let id = daemon.process.id().to_string();
        sum.cpu_ms += ticks(&id)? / TICKS_PER_SECOND * 1_000.0;
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

fn rate(before: Usage, after: Usage, daemons: usize) -> Usage {
    let mut usage = difference(before, after, IDLE.as_secs_f64() * daemons as f64);
    usage.bytes = after.bytes / daemons as f64;
    usage
}

fn difference(before: Usage, after: Usage, by: f64) -> Usage {
    Usage {
        cpu_ms: (after.cpu_ms - before.cpu_ms) / by,
        bytes: after.bytes,
        link: (after.link - before.link) / by,
        reports: (after.reports - before.reports) / by,
    }
}

async fn calls_so_far(fleet: &Fleet) -> Result<f64> {
    let counts: Value = fleet
        .http
        .get_json(fleet.platform(), "/control/counts")
        .await?;
    let counts = counts.as_object().ok_or("no counts")?;
    Ok(counts.values().filter_map(Value::as_f64).sum())
}

fn ticks(id: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no fields")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let field = |i: usize| fields.get(i).ok_or("too few fields");
    Ok(field(11)?.parse::<f64>()? + field(12)?.parse::<f64>()?)
}

/// Returns the resident memory of a process.
pub(crate) fn resident_bytes(id: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|l| l.split_whitespace().next())
        .ok_or("no VmRSS")?;
    Ok(kib.parse::<f64>()? * 1_024.0)
}
