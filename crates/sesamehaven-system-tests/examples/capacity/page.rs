//! The text of the page.

use std::fmt::Write as _;

use crate::Result;
use crate::chart::draw_chart;
use crate::fit::Line;
use crate::library::{LibrarySizes, Points};
use crate::processes::{IdleFleet, RequestCosts, Usage};

/// The reports that an agent sends to each entry per second, as set by `report_interval`.
const REPORTS_PER_S: f64 = 10.0;
/// The traffic of the cache summaries of one endpoint to each peer.
const CACHE_SUMMARY_BYTES_PER_S: f64 = 512.0;
/// The traffic below which a link counts as idle; heartbeats take about 185 bytes per second.
const IDLE_LINK_BYTES_PER_S: f64 = 250.0;
/// The limit of the control traffic of a daemon. The page calls limits bounds.
pub(crate) const CONTROL_LIMIT_BYTES_PER_S: f64 = 19_000.0;

pub(crate) struct Page {
    pub(crate) text: String,
    pub(crate) chart: String,
}

/// The fitted lines from which the costs of a fleet are extrapolated.
pub(crate) struct Lines {
    entry_cpu: Line,
    agent_cpu: Line,
    pub(crate) entry_memory: Line,
    pub(crate) agent_memory: Line,
    entry_link: Line,
    agent_link: Line,
    calls: Line,
    change_calls: Line,
    pub(crate) organisation: Line,
    configuration: Line,
    recent_key: Line,
    expired_key: Line,
    report: Line,
    entry_work: Line,
    agent_work: Line,
    work_bytes: Line,
}

/// The size and load of a fleet.
pub(crate) struct Size {
    pub(crate) entries: f64,
    pub(crate) agents: f64,
    pub(crate) endpoints: f64,
    pub(crate) organisations: f64,
    pub(crate) requests: f64,
    pub(crate) tokens: f64,
}

const TODAY: Size = Size {
    entries: 3.0,
    agents: 12.0,
    endpoints: 12.0,
    organisations: 1_000.0,
    requests: 50.0,
    tokens: 11_500.0,
};
pub(crate) const TARGET: Size = Size {
    entries: 40.0,
    agents: 330.0,
    endpoints: 600.0,
    organisations: 42_000.0,
    requests: 4_800.0,
    tokens: 1_100_000.0,
};

impl Lines {
    /// Returns the bytes of reports per second between a daemon and `peers` others.
    pub(crate) fn report_traffic(&self, size: &Size, peers: f64) -> f64 {
        let endpoints = size.endpoints / size.agents;
        peers * (REPORTS_PER_S * self.report.at(endpoints) + endpoints * CACHE_SUMMARY_BYTES_PER_S)
    }

    /// Returns the control traffic of an entry in bytes per second.
    pub(crate) fn entry_control(&self, size: &Size) -> f64 {
        self.entry_link.at(size.agents).max(0.0) + self.report_traffic(size, size.agents)
    }

    /// Returns the control traffic of an agent in bytes per second.
    pub(crate) fn agent_control(&self, size: &Size) -> f64 {
        self.agent_link.at(size.entries).max(0.0) + self.report_traffic(size, size.entries)
    }
}

fn fit_over_fleets(fleets: &[IdleFleet], role: impl Fn(&IdleFleet) -> (f64, f64)) -> Line {
    Line::fit(&fleets.iter().map(role).collect::<Points>())
}

fn fit_lines(l: &LibrarySizes, fleets: &[IdleFleet], w: &RequestCosts) -> Lines {
    let entry =
        |what: fn(&Usage) -> f64| fit_over_fleets(fleets, |f| (f.agents as f64, what(&f.entry)));
    let agent =
        |what: fn(&Usage) -> f64| fit_over_fleets(fleets, |f| (f.entries as f64, what(&f.agent)));
    // Excludes fleets whose key slots still change homes, as that traffic is not idle traffic.
    let settled: Vec<&IdleFleet> = fleets.iter().filter(|f| has_idle_links(f)).collect();
    let settled_line = |role: &dyn Fn(&IdleFleet) -> (f64, f64)| {
        Line::fit(&settled.iter().map(|f| role(f)).collect::<Points>())
    };
    let daemons = |f: &IdleFleet| (f.entries + f.agents) as f64;
    Lines {
        entry_cpu: settled_line(&|f| (f.agents as f64, f.entry.cpu_ms)),
        agent_cpu: settled_line(&|f| (f.entries as f64, f.agent.cpu_ms)),
        entry_memory: entry(|u| u.bytes),
        agent_memory: agent(|u| u.bytes),
        entry_link: settled_line(&|f| (f.agents as f64, f.entry.link)),
        agent_link: settled_line(&|f| (f.entries as f64, f.agent.link)),
        calls: fit_over_fleets(fleets, |f| (daemons(f), f.calls)),
        change_calls: fit_over_fleets(fleets, |f| (daemons(f), f.calls_per_change)),
        organisation: Line::fit(&l.organisations),
        configuration: Line::fit(&l.configuration),
        recent_key: Line::fit(&l.recent_keys),
        expired_key: Line::fit(&l.expired_keys),
        report: Line::fit(&l.report),
        entry_work: Line::fit(&w.entry_ms),
        agent_work: Line::fit(&w.agent_ms),
        work_bytes: Line::fit(&w.link_bytes),
    }
}

/// Fits the measurements and returns the page with its chart.
pub(crate) fn write(l: &LibrarySizes, fleets: &[IdleFleet], w: &RequestCosts) -> Result<Page> {
    let lines = fit_lines(l, fleets, w);
    let mut text = String::from(include_str!("head.md"));
    write_measurements(&mut text, fleets)?;
    write_lines(&mut text, &lines)?;
    write_roles(&mut text, &lines)?;
    write_limits(&mut text, &lines)?;
    write_unsettled(&mut text, fleets)?;
    text += include_str!("tail.md");
    Ok(Page {
        text,
        chart: draw_chart(&lines)?,
    })
}

fn write_measurements(text: &mut String, fleets: &[IdleFleet]) -> Result<()> {
    *text += "| entries, agents | entry ms/s, MB, link KB/s, datagrams/s | agent ms/s, MB, link KB/s, \
              datagrams/s | platform calls/s | calls a change | link KB before | homes, unserved |\n\
              | --- | --- | --- | --- | --- | --- | --- |\n";
    let usage = |u: &Usage| {
        let (mb, kb) = (u.bytes / 1e6, u.link / 1e3);
        format!("{:.1}, {mb:.1}, {kb:.2}, {:.0}", u.cpu_ms, u.reports)
    };
    for f in fleets {
        let (entry, agent) = (usage(&f.entry), usage(&f.agent));
        writeln!(
            text,
            "| {}, {} | {entry} | {agent} | {:.2} | {:.0} | {:.0} | {:.0}, {:.0} |",
            f.entries,
            f.agents,
            f.calls,
            f.calls_per_change,
            f.settling_bytes / 1e3,
            f.homes,
            f.unserved,
        )?;
    }
    Ok(())
}

fn write_lines(text: &mut String, l: &Lines) -> Result<()> {
    *text += "\n| line through the points | at zero | slope | r² |\n| --- | --- | --- | --- |\n";
    let rows = [
        ("entry, idle: ms/s by agents", &l.entry_cpu),
        ("agent, idle: ms/s by entries", &l.agent_cpu),
        ("entry: bytes of memory by agents", &l.entry_memory),
        ("agent: bytes of memory by entries", &l.agent_memory),
        ("entry: link bytes/s by agents", &l.entry_link),
        ("agent: link bytes/s by entries", &l.agent_link),
        ("platform: calls/s by daemons", &l.calls),
        ("platform: calls a change by daemons", &l.change_calls),
        ("index: bytes by organisations", &l.organisation),
        (
            "configuration as JSON: bytes by organisations",
            &l.configuration,
        ),
        ("home: bytes by keys of the last 15 min", &l.recent_key),
        ("home: bytes by older keys", &l.expired_key),
        ("report: bytes by endpoints", &l.report),
        ("entry: ms a request by tokens", &l.entry_work),
        ("agent: ms a request by tokens", &l.agent_work),
        ("link: bytes a request by tokens", &l.work_bytes),
    ];
    for (name, line) in rows {
        writeln!(
            text,
            "| {name} | {:.2} | {:.3} | {:.3} |",
            line.intercept, line.slope, line.r2
        )?;
    }
    Ok(())
}

fn write_roles(text: &mut String, l: &Lines) -> Result<()> {
    *text += include_str!("roles.md");
    let mut row = |role: &str, what: &str, f: &dyn Fn(&Size) -> f64, how: &str| {
        writeln!(
            text,
            "| {role} | {what} | {:.2} | {:.2} | {how} |",
            f(&TODAY),
            f(&TARGET)
        )
    };
    let index = |s: &Size| l.organisation.at(s.organisations).max(0.0) / 1e6;
    // A key takes its full record for 900 s and 4 bytes for 86,400 s.
    let keys = |s: &Size| s.requests * (900.0 * l.recent_key.slope + 86_400.0 * 4.0) / 1e6;
    row(
        "entry",
        "links",
        &|s| s.agents,
        "one TCP link to each agent",
    )?;
    row(
        "entry",
        "control KB/s",
        &|s| l.entry_control(s) / 1e3,
        "heartbeats on links, reports by UDP",
    )?;
    row(
        "entry",
        "reports/s received",
        &|s| REPORTS_PER_S * s.agents,
        "UDP, no answers",
    )?;
    row(
        "entry",
        "idle processor, % of a core",
        &|s| l.entry_cpu.at(s.agents) / 10.0,
        "decoding of reports",
    )?;
    row(
        "entry",
        "memory MB without keys",
        &|s| l.entry_memory.at(s.agents) / 1e6 + index(s),
        "index of the configuration",
    )?;
    row(
        "entry",
        "memory MB of keys",
        &|s| keys(s) / s.entries,
        "its part of the ledger; reasoned, if all requests have keys",
    )?;
    row(
        "entry",
        "work, % of a core",
        &|s| load_percent(&l.entry_work, s, s.entries),
        "requests and tokens, not control",
    )?;
    row(
        "agent",
        "links",
        &|s| s.entries,
        "one TCP link from each entry",
    )?;
    row(
        "agent",
        "control KB/s",
        &|s| l.agent_control(s) / 1e3,
        "heartbeats on links, reports by UDP",
    )?;
    row(
        "agent",
        "idle processor, % of a core",
        &|s| l.agent_cpu.at(s.entries) / 10.0,
        "reports, polls of gates",
    )?;
    row(
        "agent",
        "memory MB without keys",
        &|s| l.agent_memory.at(s.entries) / 1e6 + index(s),
        "index of the configuration",
    )?;
    row(
        "agent",
        "work, % of a core",
        &|s| load_percent(&l.agent_work, s, s.agents),
        "calls of engines, not control",
    )?;
    row(
        "agent",
        "answers on links KB/s",
        &|s| answer_bytes(l, s) / s.agents / 1e3,
        "chunks of answers, not control",
    )?;
    row(
        "key's home",
        "memory MB",
        &|s| keys(s) / s.agents,
        "grants whole for 15 min, then 4 bytes for a day; reasoned, if all requests have keys",
    )?;
    row(
        "watcher",
        "platform calls/s of the fleet",
        &|s| l.calls.at(s.entries + s.agents),
        "one watch a group of daemons; agents' lists of VMs",
    )?;
    row(
        "watcher",
        "calls a change",
        &|s| l.change_calls.at(s.entries + s.agents),
        "head, parts that changed, hints to peers",
    )?;
    row(
        "watcher",
        "configuration as JSON, KB",
        &|s| l.configuration.at(s.organisations) / 1e3,
        "a daemon that starts reads all of it",
    )?;
    *text += include_str!("reasoned.md");
    Ok(())
}

/// Returns the CPU time of requests and tokens per daemon, in percent of a core.
fn load_percent(line: &Line, s: &Size, daemons: f64) -> f64 {
    (s.requests * line.intercept.max(0.0) + s.tokens * line.slope) / daemons / 10.0
}

/// Returns the traffic of answers on all links in bytes per second.
fn answer_bytes(l: &Lines, s: &Size) -> f64 {
    s.requests * l.work_bytes.intercept.max(0.0) + s.tokens * l.work_bytes.slope
}

/// Writes the fleet size at which each limit is exceeded, for fleets with the mix of the target.
///
/// The limits are in the units of the fitted lines: bytes/s, ms/s, bytes and calls/s.
fn write_limits(text: &mut String, l: &Lines) -> Result<()> {
    *text += "\n## Where bounds break\n\n";
    let scaled = |daemons: f64| Size {
        entries: daemons * TARGET.entries / 370.0,
        agents: daemons * TARGET.agents / 370.0,
        endpoints: daemons * TARGET.endpoints / 370.0,
        ..TARGET
    };
    let first_above = |f: &dyn Fn(&Size) -> f64, limit: f64| {
        (4..=370).find(|n| f(&scaled(f64::from(*n))) > limit)
    };
    type Rule<'a> = (&'a str, Box<dyn Fn(&Size) -> f64 + 'a>, f64);
    let rules: [Rule<'_>; 6] = [
        (
            "an entry's control, 19 KB/s",
            Box::new(|s| l.entry_control(s)),
            CONTROL_LIMIT_BYTES_PER_S,
        ),
        (
            "an agent's control, 19 KB/s",
            Box::new(|s| l.agent_control(s)),
            CONTROL_LIMIT_BYTES_PER_S,
        ),
        (
            "an entry's idle processor time, 3.8% of a core",
            Box::new(|s| l.entry_cpu.at(s.agents)),
            38.0,
        ),
        (
            "an agent's idle processor time, 3.8% of a core",
            Box::new(|s| l.agent_cpu.at(s.entries)),
            38.0,
        ),
        (
            "an entry's memory without keys, 32 MB",
            Box::new(|s| l.entry_memory.at(s.agents) + l.organisation.at(s.organisations)),
            32e6,
        ),
        (
            "the platform's calls, 2,000/s",
            Box::new(|s| l.calls.at(s.entries + s.agents)),
            2_000.0,
        ),
    ];
    for (name, f, limit) in rules {
        let at = f(&TARGET);
        match first_above(&f, limit) {
            Some(n) => writeln!(
                text,
                "- **Broken**: {name}, from {n} daemons of the target's mix on; {at:.0} at 370 (bound {limit:.0})."
            )?,
            None => writeln!(text, "- Kept: {name}; {at:.0} at 370 (bound {limit:.0}).")?,
        }
    }
    Ok(())
}

/// Returns whether the links of entries carried little more than heartbeats on average.
fn has_idle_links(f: &IdleFleet) -> bool {
    f.entry.link < IDLE_LINK_BYTES_PER_S * f.agents as f64
}

/// Writes the fleets whose links were not idle during the measurement, as key slots still changed
/// homes.
fn write_unsettled(text: &mut String, fleets: &[IdleFleet]) -> Result<()> {
    for f in fleets.iter().filter(|f| !has_idle_links(f)) {
        writeln!(
            text,
            "- **Broken**: {} entries with {} agents had not settled 10 s or more after their start: {:.0} slots of keys were \
             unserved, links carried {:.0} KB/s an entry and {:.1} KB/s an agent.",
            f.entries,
            f.agents,
            f.unserved,
            f.entry.link / 1e3,
            f.agent.link / 1e3,
        )?;
    }
    Ok(())
}
