//! The page's text.

use std::fmt::Write as _;

use crate::Result;
use crate::fit::Line;
use crate::library::{Library, Points};
use crate::picture::picture;
use crate::processes::{Idle, Usage, Work};

/// Reports a second, as set by `report_interval`.
const REPORTS: f64 = 10.0;
/// The bytes a second of the summary of an engine's cache.
const SUMMARY: f64 = 512.0;
/// The bytes a second on a link that a fleet at rest stays below.
const HEARTBEATS: f64 = 250.0;
/// The bound of a daemon's control in bytes a second.
pub(crate) const BOUND: f64 = 19_000.0;

pub(crate) struct Page {
    pub(crate) text: String,
    pub(crate) picture: String,
}

/// The lines that sizes are worked out with.
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
    whole_key: Line,
    old_key: Line,
    report: Line,
    entry_work: Line,
    agent_work: Line,
    work_bytes: Line,
}

/// A fleet to be worked out.
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
    pub(crate) fn of_reports(&self, size: &Size, peers: f64) -> f64 {
        let endpoints = size.endpoints / size.agents;
        peers * (REPORTS * self.report.at(endpoints) + endpoints * SUMMARY)
    }

    pub(crate) fn entry_bytes(&self, size: &Size) -> f64 {
        self.entry_link.at(size.agents).max(0.0) + self.of_reports(size, size.agents)
    }

    pub(crate) fn agent_bytes(&self, size: &Size) -> f64 {
        self.agent_link.at(size.entries).max(0.0) + self.of_reports(size, size.entries)
    }
}

fn over(fleets: &[Idle], role: impl Fn(&Idle) -> (f64, f64)) -> Line {
    Line::fit(&fleets.iter().map(role).collect::<Points>())
}

fn lines(l: &Library, fleets: &[Idle], w: &Work) -> Lines {
    let entry = |what: fn(&Usage) -> f64| over(fleets, |f| (f.agents as f64, what(&f.entry)));
    let agent = |what: fn(&Usage) -> f64| over(fleets, |f| (f.entries as f64, what(&f.agent)));
    // Traffic of homes that still move is told apart from that of an idle fleet.
    let settled: Vec<&Idle> = fleets.iter().filter(|f| is_settled(f)).collect();
    let quiet = |role: &dyn Fn(&Idle) -> (f64, f64)| {
        Line::fit(&settled.iter().map(|f| role(f)).collect::<Points>())
    };
    let daemons = |f: &Idle| (f.entries + f.agents) as f64;
    Lines {
        entry_cpu: quiet(&|f| (f.agents as f64, f.entry.cpu_ms)),
        agent_cpu: quiet(&|f| (f.entries as f64, f.agent.cpu_ms)),
        entry_memory: entry(|u| u.bytes),
        agent_memory: agent(|u| u.bytes),
        entry_link: quiet(&|f| (f.agents as f64, f.entry.link)),
        agent_link: quiet(&|f| (f.entries as f64, f.agent.link)),
        calls: over(fleets, |f| (daemons(f), f.calls)),
        change_calls: over(fleets, |f| (daemons(f), f.calls_a_change)),
        organisation: Line::fit(&l.organisations),
        configuration: Line::fit(&l.configuration),
        whole_key: Line::fit(&l.whole_keys),
        old_key: Line::fit(&l.old_keys),
        report: Line::fit(&l.report),
        entry_work: Line::fit(&w.entry_ms),
        agent_work: Line::fit(&w.agent_ms),
        work_bytes: Line::fit(&w.link_bytes),
    }
}

pub(crate) fn write(l: &Library, fleets: &[Idle], w: &Work) -> Result<Page> {
    let lines = lines(l, fleets, w);
    let mut text = String::from(include_str!("head.md"));
    measured(&mut text, fleets)?;
    slopes(&mut text, &lines)?;
    roles(&mut text, &lines)?;
    broken(&mut text, &lines)?;
    unsettled(&mut text, fleets)?;
    text += include_str!("tail.md");
    Ok(Page {
        text,
        picture: picture(&lines)?,
    })
}

fn measured(text: &mut String, fleets: &[Idle]) -> Result<()> {
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
            f.calls_a_change,
            f.settling_bytes / 1e3,
            f.homes,
            f.unserved,
        )?;
    }
    Ok(())
}

fn slopes(text: &mut String, l: &Lines) -> Result<()> {
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
        ("home: bytes by keys of the last 15 min", &l.whole_key),
        ("home: bytes by older keys", &l.old_key),
        ("report: bytes by endpoints", &l.report),
        ("entry: ms a request by tokens", &l.entry_work),
        ("agent: ms a request by tokens", &l.agent_work),
        ("link: bytes a request by tokens", &l.work_bytes),
    ];
    for (name, line) in rows {
        writeln!(
            text,
            "| {name} | {:.2} | {:.3} | {:.3} |",
            line.base, line.slope, line.r2
        )?;
    }
    Ok(())
}

fn roles(text: &mut String, l: &Lines) -> Result<()> {
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
    let keys = |s: &Size| s.requests * (900.0 * l.whole_key.slope + 86_400.0 * 4.0) / 1e6;
    row(
        "entry",
        "links",
        &|s| s.agents,
        "one TCP link to each agent",
    )?;
    row(
        "entry",
        "control KB/s",
        &|s| l.entry_bytes(s) / 1e3,
        "heartbeats on links, reports by UDP",
    )?;
    row(
        "entry",
        "reports/s received",
        &|s| REPORTS * s.agents,
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
        &|s| work(&l.entry_work, s, s.entries),
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
        &|s| l.agent_bytes(s) / 1e3,
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
        &|s| work(&l.agent_work, s, s.agents),
        "calls of engines, not control",
    )?;
    row(
        "agent",
        "answers on links KB/s",
        &|s| answers(l, s) / s.agents / 1e3,
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

fn work(line: &Line, s: &Size, daemons: f64) -> f64 {
    (s.requests * line.base.max(0.0) + s.tokens * line.slope) / daemons / 10.0
}

fn answers(l: &Lines, s: &Size) -> f64 {
    s.requests * l.work_bytes.base.max(0.0) + s.tokens * l.work_bytes.slope
}

/// Tells at which size a bound breaks, for the target's shape of fleet.
fn broken(text: &mut String, l: &Lines) -> Result<()> {
    *text += "\n## Where bounds break\n\n";
    let scaled = |daemons: f64| Size {
        entries: daemons * TARGET.entries / 370.0,
        agents: daemons * TARGET.agents / 370.0,
        endpoints: daemons * TARGET.endpoints / 370.0,
        ..TARGET
    };
    let first =
        |f: &dyn Fn(&Size) -> f64, most: f64| (4..=370).find(|n| f(&scaled(f64::from(*n))) > most);
    type Rule<'a> = (&'a str, Box<dyn Fn(&Size) -> f64 + 'a>, f64);
    let rules: [Rule<'_>; 6] = [
        (
            "an entry's control, 19 KB/s",
            Box::new(|s| l.entry_bytes(s)),
            BOUND,
        ),
        (
            "an agent's control, 19 KB/s",
            Box::new(|s| l.agent_bytes(s)),
            BOUND,
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
    for (name, f, most) in rules {
        let at = f(&TARGET);
        match first(&f, most) {
            Some(n) => writeln!(
                text,
                "- **Broken**: {name}, from {n} daemons of the target's mix on; {at:.0} at 370 (bound {most:.0})."
            )?,
            None => writeln!(text, "- Kept: {name}; {at:.0} at 370 (bound {most:.0}).")?,
        }
    }
    Ok(())
}

/// Returns whether links carried hardly more than heartbeats.
fn is_settled(f: &Idle) -> bool {
    f.entry.link < HEARTBEATS * f.agents as f64
}

/// Tells of fleets whose homes of keys were still moving.
fn unsettled(text: &mut String, fleets: &[Idle]) -> Result<()> {
    for f in fleets.iter().filter(|f| !is_settled(f)) {
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
