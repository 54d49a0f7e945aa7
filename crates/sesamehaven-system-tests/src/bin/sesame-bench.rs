//! Measures the cost of the path through entry and agent against direct requests to the engine.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use serde_json::Value;
use tokio::time::sleep;

use sesamehaven::config::Objective;
use sesamehaven::unit::Millis;
use sesamehaven_system_tests::measure::{LoadRun, Usage, load_average};
use sesamehaven_system_tests::temp_dir::TempDir;
use sesamehaven_system_tests::{Fleet, Result};

const POOL: &str = "model-a";
const ENTRY: &str = "entry-1";
const AGENT: &str = "agent-1";
/// The concurrency limit of the engines; the benchmark stays below it.
const CONCURRENCY: u32 = 4_096;
/// The measured request rates, in requests per second. They are used as rate factors, as
/// `bench.yaml` sends one request per second.
const RATES_PER_S: [f64; 3] = [50.0, 200.0, 1_000.0];
const WARM_UP: Duration = Duration::from_secs(2);
/// The time during which streams are opened to measure memory.
const STREAM_OPENING: Duration = Duration::from_secs(6);
/// The time from the start of the load to the reading of memory, before any stream ends.
const MEMORY_READ_DELAY: Duration = Duration::from_secs(9);

/// The arguments of an engine that adds next to no latency.
const FAST_ENGINE_ARGS: [&str; 8] = [
    "--prefill-rate",
    "10000000",
    "--decode-rate",
    "1000",
    "--slowdown",
    "0",
    "--max-batch",
    "4096",
];

/// The arguments of an engine that keeps streams open while memory is read.
const SLOW_ENGINE_ARGS: [&str; 8] = [
    "--prefill-rate",
    "10000000",
    "--decode-rate",
    "20",
    "--slowdown",
    "0",
    "--max-batch",
    "4096",
];

struct Options {
    seed: u64,
    seconds: u64,
    plans: PathBuf,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of arrival times and contents")
        .argument::<u64>("NUMBER")
        .fallback(7)
        .display_fallback();
    let seconds = long("seconds")
        .help("Time during which requests are sent at each rate, in seconds")
        .argument::<u64>("NUMBER")
        .fallback(10)
        .display_fallback();
    let plans = long("plans")
        .help("Directory of the load plans")
        .argument::<PathBuf>("DIRECTORY")
        .fallback("examples/load".into());
    construct!(Options {
        seed,
        seconds,
        plans
    })
    .to_options()
    .descr("Measures the cost of the path through entry and agent")
    .version(env!("CARGO_PKG_VERSION"))
}

/// The processes under measurement and the options of the load.
struct Bench {
    fleet: Fleet,
    directory: TempDir,
    options: Options,
}

impl Bench {
    async fn start(options: Options) -> Result<Self> {
        let mut fleet = Fleet::new().await?;
        fleet
            .add_engine("engine-1", POOL, AGENT, &FAST_ENGINE_ARGS)
            .await?;
        let slow_pool = "model-slow";
        fleet
            .add_engine("engine-slow", slow_pool, AGENT, &SLOW_ENGINE_ARGS)
            .await?;
        fleet.configure_entries(&[ENTRY]);
        for endpoint in &mut fleet.configuration.endpoints {
            endpoint.concurrency = CONCURRENCY;
        }
        for pool in &mut fleet.configuration.pools {
            pool.queue_requests = CONCURRENCY;
        }
        for class in &mut fleet.configuration.classes {
            class.objective = Objective {
                first_token: Millis(2_000),
                between_tokens: Millis(1_000),
                ..Objective::default()
            };
        }
        fleet.apply().await?;
        fleet.start_entry(ENTRY, "").await?;
        fleet.start_agent(AGENT, "").await?;
        fleet.wait_until_ready().await?;
        fleet.wait_for_endpoints(ENTRY, 2).await?;
        Ok(Bench {
            fleet,
            directory: TempDir::new()?,
            options,
        })
    }

    fn load_run(&self, plan: &str, rate_factor: f64, duration: Duration, direct: bool) -> LoadRun {
        let targets = match direct {
            true => {
                let engine = self.fleet.standin("engine-1").address();
                let endpoint = format!("{POOL}={engine}");
                ["--direct", "least-outstanding", "--endpoint", &endpoint]
                    .map(String::from)
                    .to_vec()
            }
            false => {
                let entry = self.fleet.daemon(ENTRY).address();
                vec!["--entry".into(), entry.to_string()]
            }
        };
        LoadRun {
            plan: self.options.plans.join(plan),
            seed: self.options.seed,
            duration,
            rate_factor,
            json: self.directory.path().join("report.json"),
            log: None,
            targets,
        }
    }

    fn usage(&self) -> Result<[Usage; 2]> {
        Ok([
            Usage::of(self.fleet.daemon(ENTRY).process.id())?,
            Usage::of(self.fleet.daemon(AGENT).process.id())?,
        ])
    }

    /// Measures the resident memory of the daemons when idle and with many open streams.
    async fn measure_memory(&self) -> Result<()> {
        let duration = Duration::from_secs(1);
        self.load_run("open-streams.yaml", 0.02, duration, false)
            .run()
            .await?;
        let idle = self.usage()?;
        let run = self.load_run("open-streams.yaml", 1.0, STREAM_OPENING, false);
        let load = actix_rt::spawn(run.run());
        sleep(MEMORY_READ_DELAY).await;
        let open = self.usage()?;
        let admin = self.fleet.daemon(AGENT).admin();
        let status: Value = self.fleet.http.get_json(admin, "/status").await?;
        let requests = status["requests"].as_f64().unwrap_or_default();
        let endpoints = status["endpoints"].as_array().into_iter().flatten();
        let running = endpoints.filter_map(|endpoint| endpoint["running"].as_f64());
        let streams: f64 = running.sum();
        let _ = load.await;
        println!("resident memory ({streams} open streams, {requests} requests held):");
        for ((name, idle), open) in ["entry", "agent"].iter().zip(idle).zip(open) {
            let kib_per_stream = (open.resident_kib - idle.resident_kib) / streams.max(1.0);
            println!(
                "  {name}: idle {:.1} MiB, open {:.1} MiB, each stream {kib_per_stream:.1} KiB",
                idle.resident_kib / 1024.0,
                open.resident_kib / 1024.0,
            );
        }
        Ok(())
    }

    /// Measures one rate, with direct requests and through the daemons, and prints a table row.
    async fn measure_rate(&self, rate: f64) -> Result<()> {
        let duration = Duration::from_secs(self.options.seconds);
        let plan = "bench.yaml";
        let direct = self.load_run(plan, rate, duration, true).run().await?;
        self.load_run(plan, rate, WARM_UP, false).run().await?;
        let before = self.usage()?;
        let through = self.load_run(plan, rate, duration, false).run().await?;
        let after = self.usage()?;
        let tokens = through["total"]["good_tokens"].as_f64().unwrap_or_default();
        let first = |report: &Value, quantile: &str| {
            let value = &report["total"]["first_token"][quantile];
            value.as_f64().unwrap_or(f64::NAN)
        };
        let pair = |quantile: &str| {
            let (direct, through) = (first(&direct, quantile), first(&through, quantile));
            format!("{direct:.2} / {through:.2} / {:.2}", through - direct)
        };
        let cpu_s_per_token = |i: usize| (after[i].cpu_s - before[i].cpu_s) / tokens.max(1.0);
        let cost = |i: usize| {
            format!(
                "{:.1} µs, {:.0}",
                cpu_s_per_token(i) * 1e6,
                1.0 / cpu_s_per_token(i)
            )
        };
        println!(
            "| {rate} | {:.2}, {:.2} | {} | {} | {} | {} | {:.1}, {:.1} | {} |",
            direct["total"]["good_percent"].as_f64().unwrap_or_default(),
            through["total"]["good_percent"]
                .as_f64()
                .unwrap_or_default(),
            pair("p50_ms"),
            pair("p99_ms"),
            cost(0),
            cost(1),
            direct["lateness"]["p99_ms"].as_f64().unwrap_or_default(),
            through["lateness"]["p99_ms"].as_f64().unwrap_or_default(),
            load_average(),
        );
        Ok(())
    }
}

#[actix_rt::main]
async fn main() -> Result<()> {
    let bench = Bench::start(options().run()).await?;
    println!("seed {}", bench.options.seed);
    bench.measure_memory().await?;
    println!(
        "| requests/s | good %: direct, through | first token p50 ms: direct / through / added | p99 ms \
         | entry: a token, tokens/s a core | agent | sent late p99 ms | load average |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for rate in RATES_PER_S {
        bench.measure_rate(rate).await?;
    }
    Ok(())
}
