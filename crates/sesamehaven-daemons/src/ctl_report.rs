//! `sesamectl report burn`: goodput, wasted prefill and burn rates.
//!
//! Totals by tier come from `/metrics` of all daemons; windows and organisations
//! come from `/burn` of the entries. The counting rules are described in
//! [`docs/SLO.md`](../../../docs/SLO.md).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::Serialize;
use serde_json::json;

use sesamehaven::burn::{Alert, Counts, Snapshot, WINDOWS};
use sesamehaven::id::OrganisationName;
use sesamehaven::tier::Tier;

use crate::ctl::{Error, Exit, Output, Result};
use crate::ctl_burn_html;
use crate::ctl_options::BurnOptions;

const HTTP_TIMEOUT: Duration = Duration::from_secs(3);

/// Goodput and error-budget burn of a tier.
#[derive(Debug, Clone, Serialize)]
pub struct TierReport {
    /// The tier.
    pub tier: Tier,
    /// The counts since the processes started.
    pub counts: Counts,
    /// The share of requests answered within their deadline.
    pub goodput: Option<f64>,
    /// The share of prefill work that was wasted.
    pub waste: Option<f64>,
    /// The burn rate over each of [`WINDOWS`], or [`None`] without requests.
    pub burn: [Option<f64>; WINDOWS.len()],
    /// The alert level.
    pub alert: Alert,
}

/// A report on service levels over several daemons.
#[derive(Debug, Clone, Serialize)]
pub struct BurnReport {
    /// The objective: the share of good requests, in percent.
    pub objective: f64,
    /// The tiers with any counts.
    pub tiers: Vec<TierReport>,
    /// Counts by organisation, the lowest goodput first.
    pub organisations: Vec<(OrganisationName, Counts)>,
    /// Counts of organisations that are not counted individually.
    pub others: Counts,
}

impl BurnReport {
    /// Builds the report from the metrics and the window counts of several daemons.
    pub fn new(metrics: &[String], snapshots: &[Snapshot], objective: f64) -> Self {
        let mut sum = Snapshot::default();
        snapshots.iter().for_each(|snapshot| sum.merge(snapshot));
        let mut totals = BTreeMap::new();
        metrics
            .iter()
            .for_each(|text| add_metrics(&mut totals, text));
        let tiers = totals.into_iter().map(|(tier, counts)| TierReport {
            tier,
            counts,
            goodput: counts.goodput(),
            waste: counts.waste(),
            burn: match sum.tiers.get(tier.index()) {
                Some(snapshot) => snapshot.windows.map(|w| w.burn_rate(objective)),
                None => [None; WINDOWS.len()],
            },
            alert: sum.alert(tier, objective),
        });
        let tiers = tiers.collect();
        let mut organisations: Vec<_> = sum.organisations.into_iter().collect();
        let key = |counts: &Counts| counts.goodput().unwrap_or(1.0);
        organisations.sort_by(|(_, a), (_, b)| key(a).total_cmp(&key(b)));
        BurnReport {
            objective,
            tiers,
            organisations,
            others: sum.others,
        }
    }

    /// Returns whether any tier has an active alert.
    pub fn is_burning(&self) -> bool {
        self.tiers.iter().any(|tier| tier.alert != Alert::None)
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let mut text = format!("objective: {}% good\n", self.objective);
        text += "tier  goodput    good    slow    late unknown refused rejected   waste  \
                 burn 5min 30min 1h 6h  alert\n";
        for t in &self.tiers {
            let c = &t.counts;
            let burn: Vec<_> = t.burn.iter().map(|b| format_rate(*b)).collect();
            text += &format!(
                "{:>4}  {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7}  {}  {:?}\n",
                t.tier,
                format_percent(t.goodput),
                c.good,
                c.slow,
                c.late,
                c.unknown,
                c.refused,
                c.rejected,
                format_percent(t.waste),
                burn.join(" "),
                t.alert,
            );
        }
        for (name, c) in &self.organisations {
            let eligible = c.eligible();
            text += &format!(
                "{name}  {} of {eligible} requests\n",
                format_percent(c.goodput())
            );
        }
        if self.others != Counts::default() {
            let eligible = self.others.eligible();
            let goodput = format_percent(self.others.goodput());
            text += &format!("other organisations  {goodput} of {eligible} requests\n");
        }
        text
    }
}

/// Formats a share as a percentage.
pub(crate) fn format_percent(share: Option<f64>) -> String {
    share.map_or("-".into(), |s| format!("{:.2}%", s * 100.0))
}

/// Formats a burn rate.
pub(crate) fn format_rate(rate: Option<f64>) -> String {
    rate.map_or("-".into(), |r| format!("{r:.2}"))
}

/// Adds the counters of one daemon, in Prometheus text format, to the counts by
/// tier.
fn add_metrics(totals: &mut BTreeMap<Tier, Counts>, text: &str) {
    for line in text.lines() {
        let Some((name, tier, outcome, value)) = parse_series(line) else {
            continue;
        };
        let counts = totals.entry(tier).or_default();
        let field = match (name, outcome) {
            ("agent_prefill_tokens_total", _) => &mut counts.prefill,
            ("agent_wasted_prefill_tokens_total", _) => &mut counts.wasted_prefill,
            (_, Some("good")) => &mut counts.good,
            (_, Some("slow")) => &mut counts.slow,
            (_, Some("late")) => &mut counts.late,
            (_, Some("unknown")) => &mut counts.unknown,
            (_, Some("refused")) => &mut counts.refused,
            (_, Some("rejected")) => &mut counts.rejected,
            _ => continue,
        };
        *field += value;
    }
}

/// Parses a line if it belongs to a counter used by the report.
fn parse_series(line: &str) -> Option<(&str, Tier, Option<&str>, u64)> {
    let (series, value) = line.rsplit_once(' ')?;
    let (name, labels) = series.strip_suffix('}')?.split_once('{')?;
    let is_known = matches!(
        name,
        "entry_outcomes_total" | "agent_prefill_tokens_total" | "agent_wasted_prefill_tokens_total"
    );
    let label = |wanted: &str| {
        let mut labels = labels.split(',').filter_map(|l| l.trim().split_once('='));
        let (_, value) = labels.find(|(name, _)| *name == wanted)?;
        Some(value.trim_matches('"'))
    };
    let tier = label("tier")?.parse().ok()?;
    let value = value.parse().ok()?;
    is_known.then(|| (name, tier, label("outcome"), value))
}

/// Queries all daemons and builds their report.
pub(crate) async fn run(options: &BurnOptions) -> Result<Output> {
    let client = Client::builder().timeout(HTTP_TIMEOUT).finish();
    let responses = options.daemons.iter().map(|daemon| ask(&client, *daemon));
    let responses = futures_util::future::join_all(responses).await;
    let mut metrics = Vec::new();
    let mut snapshots = Vec::new();
    let mut failures = Vec::new();
    for (daemon, response) in options.daemons.iter().zip(responses) {
        match response {
            Ok((text, snapshot)) => {
                metrics.push(text);
                snapshots.push(snapshot);
            }
            Err(error) => failures.push((*daemon, error)),
        }
    }
    let report = BurnReport::new(&metrics, &snapshots, options.objective);
    if let Some(path) = &options.html {
        let failed = |message: String| Error::Page {
            path: path.clone(),
            message,
        };
        let page = ctl_burn_html::page(&report, &failures).map_err(failed)?;
        std::fs::write(path, page).map_err(|err| failed(err.to_string()))?;
    }
    let mut text = report.text();
    for (daemon, error) in &failures {
        text += &format!("{daemon} is missing from the sums: {error}\n");
    }
    let exit = match report.is_burning() || !failures.is_empty() {
        true => Exit::Difference,
        false => Exit::Done,
    };
    Ok(Output {
        text,
        json: json!({ "report": report, "windows": WINDOWS, "silent": failures }),
        exit,
    })
}

async fn ask(
    client: &Client,
    daemon: SocketAddr,
) -> std::result::Result<(String, Snapshot), String> {
    let metrics = get(client, daemon, "/metrics").await?;
    let snapshot = get(client, daemon, "/burn").await?;
    let snapshot = serde_json::from_slice(&snapshot).map_err(|err| format!("/burn: {err}"))?;
    Ok((String::from_utf8_lossy(&metrics).into_owned(), snapshot))
}

async fn get(
    client: &Client,
    daemon: SocketAddr,
    path: &str,
) -> std::result::Result<Vec<u8>, String> {
    let sent = client.get(format!("http://{daemon}{path}")).send().await;
    let mut res = sent.map_err(|err| err.to_string())?;
    if res.status() != StatusCode::OK {
        return Err(format!("{path} answers {}", res.status()));
    }
    let body = res.body().limit(ANSWER_MAX_BYTES).await;
    Ok(body.map_err(|err| err.to_string())?.to_vec())
}

/// Maximum size of a response body.
const ANSWER_MAX_BYTES: usize = 16 << 20;
