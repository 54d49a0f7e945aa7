//! The cost of the path through entry and agent, beside the direct way to the engine.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use serde_json::Value;
use tokio::time::sleep;

use sesamehaven::config::Objective;
use sesamehaven::unit::Millis;
use sesamehaven_system_tests::directory::Directory;
use sesamehaven_system_tests::measure::{LoadRun, Usage, load_average};
use sesamehaven_system_tests::{Fleet, Result};

const POOL: &str = "model-a";
const ENTRY: &str = "entry-1";
const AGENT: &str = "agent-1";
/// The requests that the engines are ever given at once, more than the bench sends.
const CONCURRENCY: u32 = 4_096;
const RATES: [f64; 3] = [50.0, 200.0, 1_000.0];
const WARM_UP: Duration = Duration::from_secs(2);
const OPENING: Duration = Duration::from_secs(6);
/// When the memory of open streams is read, before the first of them ends.
const OPEN_READ_AT: Duration = Duration::from_secs(9);

const ENGINE: [&str; 8] = [
    "--prefill-rate",
    "10000000",
    "--decode-rate",
    "1000",
    "--slowdown",
    "0",
    "--max-batch",
    "4096",
];

const SLOW_ENGINE: [&str; 8] = [
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
        .help("How long requests are sent at each rate")
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
    .descr("Measures what the path through entry and agent costs")
    .version(env!("CARGO_PKG_VERSION"))
}

/// The processes under measurement and how they are loaded.
struct Bench {
    fleet: Fleet,
    directory: Directory,
    options: Options,
}

impl Bench {
    async fn start(options: Options) -> Result<Self> {
        let mut fleet = Fleet::new().await?;
        fleet.add_engine("engine-1", POOL, AGENT, &ENGINE).await?;
        let slow = "model-slow";
        fleet
            .add_engine("engine-slow", slow, AGENT, &SLOW_ENGINE)
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
        fleet.ready().await?;
        fleet.serving(ENTRY, 2).await?;
        Ok(Bench {
            fleet,
            directory: Directory::new()?,
            options,
        })
    }

    fn load(&self, plan: &str, rate: f64, duration: Duration, direct: bool) -> LoadRun {
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
            rate_factor: rate,
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

    /// Reads the memory of the daemons while nothing and while many streams are open.
    async fn memory(&self) -> Result<()> {
        let duration = Duration::from_secs(1);
        self.load("open-streams.yaml", 0.02, duration, false)
            .run()
            .await?;
        let idle = self.usage()?;
        let run = self.load("open-streams.yaml", 1.0, OPENING, false);
        let load = actix_rt::spawn(run.run());
        sleep(OPEN_READ_AT).await;
        let open = self.usage()?;
        let admin = self.fleet.daemon(AGENT).admin();
        let status: Value = self.fleet.http.get_json(admin, "/status").await?;
        let held = status["requests"].as_f64().unwrap_or_default();
        let doors = status["endpoints"].as_array().into_iter().flatten();
        let running = doors.filter_map(|door| door["running"].as_f64());
        let streams: f64 = running.sum();
        let _ = load.await;
        println!("resident memory ({streams} open streams, {held} requests held):");
        for ((name, idle), open) in ["entry", "agent"].iter().zip(idle).zip(open) {
            let each = (open.resident_kib - idle.resident_kib) / streams.max(1.0);
            println!(
                "  {name}: idle {:.1} MiB, open {:.1} MiB, each stream {each:.1} KiB",
                idle.resident_kib / 1024.0,
                open.resident_kib / 1024.0,
            );
        }
        Ok(())
    }

    /// Measures one rate, direct and through, and prints a row of the table.
    async fn rate(&self, rate: f64) -> Result<()> {
        let duration = Duration::from_secs(self.options.seconds);
        let plan = "bench.yaml";
        let direct = self.load(plan, rate, duration, true).run().await?;
        self.load(plan, rate, WARM_UP, false).run().await?;
        let before = self.usage()?;
        let through = self.load(plan, rate, duration, false).run().await?;
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
        let cost = |i: usize| (after[i].processor_s - before[i].processor_s) / tokens.max(1.0);
        let each = |i: usize| format!("{:.1} µs, {:.0}", cost(i) * 1e6, 1.0 / cost(i));
        println!(
            "| {rate} | {:.2}, {:.2} | {} | {} | {} | {} | {:.1}, {:.1} | {} |",
            direct["total"]["good_percent"].as_f64().unwrap_or_default(),
            through["total"]["good_percent"]
                .as_f64()
                .unwrap_or_default(),
            pair("p50_ms"),
            pair("p99_ms"),
            each(0),
            each(1),
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
    bench.memory().await?;
    println!(
        "| requests/s | good %: direct, through | first token p50 ms: direct / through / added | p99 ms \
         | entry: a token, tokens/s a core | agent | sent late p99 ms | load average |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for rate in RATES {
        bench.rate(rate).await?;
    }
    Ok(())
}
