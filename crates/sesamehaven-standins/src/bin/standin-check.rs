//! Checks the outcomes reported to callers against the records of engines and services.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use serde::de::DeserializeOwned;
use sesamehaven_standins::check::{EngineRuns, check};
use sesamehaven_standins::client::client;
use sesamehaven_standins::record::CallRecord;
use sesamehaven_standins::server::check_loopback;
use sesamehaven_standins::{Error, Result, json_lines};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

const RECORDS_MAX_BYTES: usize = 1 << 30;
/// The maximum number of violations printed individually; the JSON file lists all.
const SHOWN_MAX: usize = 20;
const RECORDS_TIMEOUT: Duration = Duration::from_secs(60);

struct Options {
    log: PathBuf,
    files: Vec<PathBuf>,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    json: Option<PathBuf>,
}

fn options() -> OptionParser<Options> {
    let log = long("log")
        .help("Log of sesame-load")
        .argument::<PathBuf>("FILE");
    let files = long("records")
        .help("File of an engine's records, one for each engine")
        .argument::<PathBuf>("FILE")
        .many();
    let engines = long("engine")
        .help("Address of an engine that keeps its records in memory")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let services = long("service")
        .help("Address of a plain service")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let json = long("json")
        .help("File that receives the findings as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Options {
        log,
        files,
        engines,
        services,
        json
    })
    .to_options()
    .descr("Checks the outcomes reported to callers against the work done by endpoints")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Fetches the records that an engine or service keeps in memory.
async fn fetch_records<T: DeserializeOwned>(address: SocketAddr) -> Result<T> {
    check_loopback(address)?;
    let url = format_smolstr!("http://{address}/control/records");
    let failed = |reason: String| Error::Request {
        url: url.clone(),
        reason,
    };
    let http = client(RECORDS_TIMEOUT);
    let sent = http.get(url.as_str()).send().await;
    let mut response = sent.map_err(|e| failed(e.to_string()))?;
    let body = response.body().limit(RECORDS_MAX_BYTES).await;
    let body = body.map_err(|e| failed(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
}

/// Runs the check and prints the findings; returns whether there are no violations.
async fn run(options: Options) -> Result<bool> {
    let mut engines = Vec::new();
    for path in &options.files {
        engines.push(EngineRuns {
            engine: SmolStr::from(path.display().to_string()),
            runs: json_lines::read(path)?,
        });
    }
    for address in options.engines {
        engines.push(EngineRuns {
            engine: address.to_smolstr(),
            runs: fetch_records(address).await?,
        });
    }
    let mut calls: Vec<CallRecord> = Vec::new();
    for address in options.services {
        calls.extend(fetch_records::<Vec<CallRecord>>(address).await?);
    }
    let findings = check(&json_lines::read(&options.log)?, &engines, &calls);
    println!("{} requests, {} runs", findings.sent, findings.runs);
    println!("prefill: {:?}", findings.prefill);
    let shown = findings.violations.iter().take(SHOWN_MAX);
    shown.for_each(|violation| println!("{violation}"));
    println!("{} violations", findings.violations.len());
    for (kind, count) in findings.counts() {
        println!("    {kind}: {count}");
    }
    if let Some(path) = options.json {
        let json = serde_json::to_vec_pretty(&findings).unwrap_or_default();
        fs::write(&path, json).map_err(|source| Error::File { path, source })?;
    }
    Ok(findings.violations.is_empty())
}

#[actix_web::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("standin-check: {e}");
            ExitCode::from(2)
        }
    }
}
