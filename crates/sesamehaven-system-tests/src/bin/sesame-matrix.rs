//! Measures the scheduling policy under load with the real daemons, against two baselines.

use std::collections::HashMap;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::time::sleep;

use sesamehaven::config::Pool;
use sesamehaven_standins::json_lines;
use sesamehaven_standins::record::RunRecord;
use sesamehaven_standins::request_record::{Outcome, RequestRecord};
use sesamehaven_system_tests::measure::{LoadRun, load_average, read_json, run_tool};
use sesamehaven_system_tests::temp_dir::TempDir;
use sesamehaven_system_tests::{Error, Fleet, Result, sample};

const POOL: &str = "model-a";
const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
const ENGINES: [(&str, &str); 4] = [
    ("engine-1", "agent-1"),
    ("engine-2", "agent-2"),
    ("engine-3", "agent-3"),
    ("engine-4", "agent-4"),
];
/// The prefill and decode rates of the faster generation of engines, in tokens per second.
const FAST_ENGINE_ARGS: [&str; 4] = ["--prefill-rate", "20000", "--decode-rate", "100"];
/// The prefill and decode rates of the slower generation of engines, in tokens per second.
const SLOW_ENGINE_ARGS: [&str; 4] = ["--prefill-rate", "8000", "--decode-rate", "60"];
const COMMON_ENGINE_ARGS: [&str; 4] = ["--max-batch", "32", "--cache-tokens", "40000"];
/// The concurrency limit of each engine.
const CONCURRENCY: u32 = 64;
/// The duration of the load before the measured run, in which the daemons learn the rates of
/// the engines.
const WARM_UP: Duration = Duration::from_secs(2);
const WARM_UP_RATE_FACTOR: f64 = 0.3;
/// The time from the start of a run to the injection of its fault.
const FAULT_DELAY: Duration = Duration::from_secs(3);
/// The minimum time from the sending of a less urgent request to a refusal, and from the refusal
/// to the receipt of that request by an engine, for the refusal to count as a reversal.
const REVERSAL_MARGIN_MS: f64 = 50.0;

/// What is measured: the policy with two weightings, and two baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Roegvagt,
    Warta,
    Naive,
    LeastOutstanding,
}

const STRATEGIES: [Strategy; 4] = [
    Strategy::Roegvagt,
    Strategy::Warta,
    Strategy::Naive,
    Strategy::LeastOutstanding,
];

impl Strategy {
    /// Returns the name of the baseline in `sesame-load`, or `None` for a weighting of the policy.
    fn baseline(self) -> Option<&'static str> {
        match self {
            Strategy::Roegvagt | Strategy::Warta => None,
            Strategy::Naive => Some("naive"),
            Strategy::LeastOutstanding => Some("least-outstanding"),
        }
    }

    /// Configures a pool with the weighting of `examples/roegvagt.yaml` or `examples/warta.yaml`.
    fn apply_weighting(self, pool: &mut Pool) {
        let (queue, reserve, preempt, weight) = match self {
            Strategy::Warta => (96, 25, false, 0.5),
            _ => (128, 20, true, 1.0),
        };
        pool.queue_requests = queue;
        pool.reserve_percent = reserve;
        pool.preempt = preempt;
        pool.prefix_weight = weight;
    }
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Strategy::Roegvagt => "røgvagt",
            Strategy::Warta => "warta",
            Strategy::Naive => "naive",
            Strategy::LeastOutstanding => "least out.",
        })
    }
}

/// The fault injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    SlowEngine,
    StaleReports,
    EngineKilled,
    EntryKilled,
}

/// A row of the matrix.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    plan: &'static str,
    rate_factor: f64,
    fault: Fault,
}

const fn case(name: &'static str, plan: &'static str, rate_factor: f64, fault: Fault) -> Case {
    Case {
        name,
        plan,
        rate_factor,
        fault,
    }
}

const CASES: [Case; 12] = [
    case("steady-0.6", "mixed.yaml", 0.6, Fault::None),
    case("steady-1", "mixed.yaml", 1.0, Fault::None),
    case("steady-1.5", "mixed.yaml", 1.5, Fault::None),
    case("steady-3", "mixed.yaml", 3.0, Fault::None),
    case("slow-engine", "mixed.yaml", 1.0, Fault::SlowEngine),
    case("endpoint-killed", "mixed.yaml", 1.0, Fault::EngineKilled),
    case("entry-killed", "mixed.yaml", 1.0, Fault::EntryKilled),
    case("burst", "mixed-burst.yaml", 0.6, Fault::None),
    case("stale-0.6", "mixed.yaml", 0.6, Fault::StaleReports),
    case("stale-1.5", "mixed.yaml", 1.5, Fault::StaleReports),
    case("long-flood", "mixed-long.yaml", 0.6, Fault::None),
    case("one-floods", "mixed-flood.yaml", 1.0, Fault::None),
];

impl FromStr for Case {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        let names = CASES.map(|case| case.name).join(", ");
        let case = CASES.into_iter().find(|case| case.name == s);
        case.ok_or_else(|| format!("use one of {names}"))
    }
}

struct Options {
    seed: u64,
    seconds: u64,
    parallel_runs: usize,
    cases: Vec<Case>,
    plans: PathBuf,
    json: Option<PathBuf>,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of arrival times and contents")
        .argument::<u64>("NUMBER")
        .fallback(7)
        .display_fallback();
    let seconds = long("seconds")
        .help("Time during which requests are sent in each run, in seconds")
        .argument::<u64>("NUMBER")
        .fallback(12)
        .display_fallback();
    let parallel_runs = long("side-by-side")
        .help("Number of strategies measured in parallel, each with its own processes")
        .argument::<usize>("NUMBER")
        .fallback(1)
        .display_fallback();
    let cases = long("case")
        .help("Case to measure; all cases if not given")
        .argument::<Case>("NAME")
        .many();
    let plans = long("plans")
        .help("Directory of the load plans")
        .argument::<PathBuf>("DIRECTORY")
        .fallback("examples/load".into());
    let json = long("json")
        .help("File that receives all reports as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Options {
        seed,
        seconds,
        parallel_runs,
        cases,
        plans,
        json
    })
    .to_options()
    .descr("Measures the policy under load against two baselines")
    .version(env!("CARGO_PKG_VERSION"))
}

/// One run of one case with one strategy.
struct Run<'a> {
    fleet: Fleet,
    directory: TempDir,
    options: &'a Options,
    case: Case,
    strategy: Strategy,
}

impl<'a> Run<'a> {
    async fn start(options: &'a Options, case: Case, strategy: Strategy) -> Result<Self> {
        let mut fleet = Fleet::new().await?;
        let directory = TempDir::new()?;
        for (i, (engine, agent)) in ENGINES.into_iter().enumerate() {
            let speed = if i < 2 {
                FAST_ENGINE_ARGS
            } else {
                SLOW_ENGINE_ARGS
            };
            let records = directory.path().join(engine).display().to_string();
            let mut args = [speed, COMMON_ENGINE_ARGS].concat();
            args.extend(["--records", records.as_str()]);
            fleet.add_engine(engine, POOL, agent, &args).await?;
        }
        let run = Run {
            fleet,
            directory,
            options,
            case,
            strategy,
        };
        match strategy.baseline() {
            Some(_) => Ok(run),
            None => run.start_daemons().await,
        }
    }

    async fn start_daemons(mut self) -> Result<Self> {
        let fleet = &mut self.fleet;
        fleet.configure_entries(&ENTRIES);
        let configuration = &mut fleet.configuration;
        configuration.classes.push(sample::class(
            "office",
            2,
            sesamehaven::config::Repeat::Idempotent,
        ));
        let classes = configuration.classes.iter().map(|c| c.name.clone());
        let classes = classes.collect::<Vec<_>>();
        for contract in &mut configuration.contracts {
            contract.classes = classes.clone();
        }
        for (name, key) in [("org-2", "key-of-org-2"), ("org-3", "key-of-org-3")] {
            configuration
                .organisations
                .push(sample::organisation(name, key));
        }
        for pool in &mut configuration.pools {
            self.strategy.apply_weighting(pool);
        }
        for endpoint in &mut configuration.endpoints {
            endpoint.concurrency = CONCURRENCY;
        }
        fleet.apply().await?;
        for entry in ENTRIES {
            fleet.start_entry(entry, "").await?;
        }
        let extra = match self.case.fault {
            Fault::StaleReports => "limits:\n  report_interval: 2 s",
            _ => "",
        };
        for (_, agent) in ENGINES {
            fleet.start_agent(agent, extra).await?;
        }
        fleet.wait_until_ready().await?;
        for entry in ENTRIES {
            fleet
                .wait_for_endpoints(entry, ENGINES.len() as u64)
                .await?;
        }
        Ok(self)
    }

    fn load_run(&self, name: &str, rate_factor: f64, duration: Duration, seed: u64) -> LoadRun {
        let mut targets = Vec::new();
        match self.strategy.baseline() {
            Some(baseline) => {
                targets.extend(["--direct".into(), baseline.into()]);
                for (engine, _) in ENGINES {
                    let address = self.fleet.standin(engine).address();
                    targets.extend(["--endpoint".into(), format!("{POOL}={address}")]);
                }
            }
            None => {
                for entry in ENTRIES {
                    let address = self.fleet.daemon(entry).address();
                    targets.extend(["--entry".into(), address.to_string()]);
                }
            }
        }
        LoadRun {
            plan: self.options.plans.join(self.case.plan),
            seed,
            duration,
            rate_factor,
            json: self.directory.path().join(format!("{name}.json")),
            log: Some(self.directory.path().join(format!("{name}.log"))),
            targets,
        }
    }

    async fn inject_fault(&mut self) -> Result<()> {
        match self.case.fault {
            Fault::None | Fault::StaleReports => {}
            Fault::SlowEngine => {
                let engine = self.fleet.standin("engine-1").address();
                let slow = json!({ "slow": 4.0 });
                self.fleet
                    .http
                    .post_json(engine, "/control/faults", &slow)
                    .await?;
            }
            Fault::EngineKilled => self.fleet.standin_mut("engine-1").process.kill()?,
            Fault::EntryKilled if self.strategy.baseline().is_some() => {}
            Fault::EntryKilled => self.fleet.daemon_mut("entry-1").process.kill()?,
        }
        Ok(())
    }

    /// Performs the run and returns its report and findings as JSON.
    async fn measure(mut self) -> Result<Value> {
        let Options { seed, seconds, .. } = *self.options;
        let warm_up = self.load_run("warm-up", WARM_UP_RATE_FACTOR, WARM_UP, seed + 1);
        warm_up.run().await?;
        let duration = Duration::from_secs(seconds);
        let load = self.load_run("run", self.case.rate_factor, duration, seed);
        let load = actix_rt::spawn(load.run());
        sleep(FAULT_DELAY).await;
        self.inject_fault().await?;
        let report = load.await.map_err(|e| Error::Unexpected {
            what: e.to_string(),
        })??;
        let findings = self.check().await?;
        let calls = self.join_calls()?;
        Ok(json!({
            "case": self.case.name,
            "way": self.strategy.to_string(),
            "load_average": load_average(),
            "report": report,
            "violations": findings["violations"].as_array().map_or(0, Vec::len),
            "prefill": findings["prefill"],
            "reversals": Self::count_reversals(&calls),
            "before_engine": Self::time_to_engine(&calls),
        }))
    }

    /// Runs `standin-check` on the logs of warm-up and run and the records of the engines.
    async fn check(&self) -> Result<Value> {
        let path = |name: &str| self.directory.path().join(name).display().to_string();
        let all = self.directory.path().join("all.log");
        let mut logs = std::fs::read(path("warm-up.log"))?;
        logs.extend(std::fs::read(path("run.log"))?);
        std::fs::write(&all, logs)?;
        let mut args = vec!["--log".into(), path("all.log"), "--json".into()];
        args.push(path("findings.json"));
        for (engine, _) in ENGINES {
            args.extend(["--records".into(), path(engine)]);
        }
        run_tool("standin-check", args, &[0, 1]).await?;
        read_json(&self.directory.path().join("findings.json"))
    }

    /// Returns the outcome of each call with the time at which an engine first received it.
    fn join_calls(&self) -> Result<Vec<(RequestRecord, Option<f64>)>> {
        let unreadable = |e: sesamehaven_standins::Error| Error::Unexpected {
            what: e.to_string(),
        };
        let path = |name: &str| self.directory.path().join(name);
        let outcomes: Vec<RequestRecord> =
            json_lines::read(&path("run.log")).map_err(unreadable)?;
        let mut received_ms: HashMap<_, f64> = HashMap::new();
        for (engine, _) in ENGINES {
            let runs: Vec<RunRecord> = json_lines::read(&path(engine)).map_err(unreadable)?;
            for run in runs {
                let first = received_ms.entry(run.echo).or_insert(run.received_ms);
                *first = first.min(run.received_ms);
            }
        }
        let join = |call: RequestRecord| {
            let received_ms = received_ms.get(&call.echo).copied();
            (call, received_ms)
        };
        Ok(outcomes.into_iter().map(join).collect())
    }

    /// Counts reversals: requests refused for lack of capacity while a less urgent request was
    /// waiting that an engine received later.
    fn count_reversals(calls: &[(RequestRecord, Option<f64>)]) -> usize {
        let waited: Vec<(u8, f64, f64)> = calls
            .iter()
            .filter_map(|(call, received_ms)| Some((call.tier, call.sent_ms, (*received_ms)?)))
            .filter(|(_, sent, received_ms)| received_ms - sent > 2.0 * REVERSAL_MARGIN_MS)
            .collect();
        let is_for_capacity = |t: &&RequestRecord| {
            t.outcome == Outcome::NotRun && matches!(t.code.as_str(), "pool_full" | "evicted")
        };
        let is_reversed = |t: &RequestRecord| {
            waited.iter().any(|(tier, sent, received_ms)| {
                *tier > t.tier
                    && sent + REVERSAL_MARGIN_MS < t.ended_ms
                    && t.ended_ms + REVERSAL_MARGIN_MS < *received_ms
            })
        };
        let refused = calls.iter().map(|(call, _)| call).filter(is_for_capacity);
        refused.filter(|t| is_reversed(t)).count()
    }

    /// Returns quantiles of the time from sending to receipt by an engine, for the top tier.
    fn time_to_engine(calls: &[(RequestRecord, Option<f64>)]) -> Value {
        let top = calls.iter().filter(|(call, _)| call.tier == 0);
        let waits = top.filter_map(|(call, received_ms)| Some((*received_ms)? - call.sent_ms));
        let mut waits: Vec<f64> = waits.collect();
        waits.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let last = waits.len().saturating_sub(1) as f64;
            waits.get((last * share) as usize).copied()
        };
        json!({ "p50_ms": at(0.5), "p95_ms": at(0.95), "p99_ms": at(0.99) })
    }
}

fn as_f64_or_zero(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}

/// Formats a quantity of each tier, separated by commas.
fn by_tier(report: &Value, quantity: impl Fn(&Value) -> f64, digits: usize) -> String {
    let tiers = report["tiers"].as_object();
    let values = tiers.into_iter().flat_map(|tiers| tiers.values());
    let values: Vec<String> = values
        .map(|tier| format!("{:.digits$}", quantity(tier)))
        .collect();
    values.join(", ")
}

/// Returns the refused share of the requests of a tier, in percent.
fn refused_percent(tier: &Value) -> f64 {
    let codes = tier["not_run"].as_object();
    let counts = codes.into_iter().flat_map(|codes| codes.values());
    100.0 * counts.map(as_f64_or_zero).fold(0.0, |sum, n| sum + n)
        / as_f64_or_zero(&tier["sent"]).max(1.0)
}

/// Formats quantiles as `p50/p95/p99` in milliseconds.
fn format_quantiles(quantiles: &Value) -> String {
    let [p50, p95, p99] =
        ["p50_ms", "p95_ms", "p99_ms"].map(|name| as_f64_or_zero(&quantiles[name]));
    format!("{p50:.0}/{p95:.0}/{p99:.0}")
}

/// Formats a row of the table.
fn row(found: &Value) -> String {
    let report = &found["report"];
    let top_tier = &report["tiers"]["0"];
    let prefill = &found["prefill"];
    let text = |name: &str| found[name].as_str().unwrap_or_default().to_owned();
    let share = |name: &str| {
        100.0 * as_f64_or_zero(&prefill[name]) / as_f64_or_zero(&prefill["computed"]).max(1.0)
    };
    let cells = [
        text("case"),
        text("way"),
        format!("{:.1}", as_f64_or_zero(&report["total"]["good_percent"])),
        by_tier(report, |tier| as_f64_or_zero(&tier["good_percent"]), 1),
        format_quantiles(&top_tier["first_token"]),
        format_quantiles(&found["before_engine"]),
        format_quantiles(&top_tier["between_tokens"]),
        format!("{:.1} + {:.1}", share("unheard"), share("repeated")),
        format!("{:.0}k", as_f64_or_zero(&prefill["computed"]) / 1e3),
        by_tier(report, refused_percent, 1),
        format!(
            "{:.0}",
            as_f64_or_zero(&report["total"]["refusal"]["p99_ms"])
        ),
        found["reversals"].to_string(),
        found["violations"].to_string(),
        format!("{:.0}", as_f64_or_zero(&report["lateness"]["p99_ms"])),
        text("load_average"),
    ];
    format!("| {} |", cells.join(" | "))
}

const TABLE_HEAD: &str = "| case | way | good % | good % by tier | first token, top tier, p50/p95/p99 ms \
| of which before an engine | between tokens, top tier | wasted prefill %: unheard + repeated | prefill | refused % by tier \
| refusal p99 ms | reversals | violations | sent late p99 ms | load average |\n\
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

#[actix_rt::main]
async fn main() -> Result<()> {
    let options = options().run();
    let cases = match options.cases.is_empty() {
        true => CASES.to_vec(),
        false => options.cases.clone(),
    };
    println!(
        "seed {}, {} s\n\n{TABLE_HEAD}",
        options.seed, options.seconds
    );
    let mut all = Vec::new();
    for case in cases {
        for strategies in STRATEGIES.chunks(options.parallel_runs.max(1)) {
            let runs = strategies.iter().map(async |strategy| {
                let run = Run::start(&options, case, *strategy).await?;
                run.measure().await
            });
            for found in join_all(runs).await {
                let found = found?;
                println!("{}", row(&found));
                all.push(found);
            }
        }
    }
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_vec(&all)?)?;
    }
    Ok(())
}
