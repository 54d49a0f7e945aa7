//! What measurements share: the load tool's runs and the use of a process.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::Value;

use crate::error::{Error, Result};
use crate::process::locate;

/// The clock ticks a second in which Linux tells processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The fields of `/proc/PID/stat` after the name, up to the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, of user and system together.
    pub processor_s: f64,
    /// Resident memory in KiB.
    pub resident_kib: f64,
}

impl Usage {
    /// Reads what a process has used so far.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn of(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
        let ticks: f64 = fields.take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|l| l.split_whitespace().next()?.parse().ok());
        Ok(Usage {
            processor_s: ticks / TICKS_PER_SECOND,
            resident_kib: resident.unwrap_or_default(),
        })
    }
}

/// Returns the load averages of this machine, which a figure is noted with.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let averages: Vec<&str> = text.split_whitespace().take(3).collect();
    averages.join(" ")
}

/// A run of `sesame-load`.
#[derive(Debug, Clone)]
pub struct LoadRun {
    /// The plan.
    pub plan: PathBuf,
    /// The seed.
    pub seed: u64,
    /// How long requests are sent.
    pub duration: Duration,
    /// How many times the plan's rates are sent.
    pub rate_factor: f64,
    /// Where the report goes.
    pub json: PathBuf,
    /// Where the log goes.
    pub log: Option<PathBuf>,
    /// The options that say where requests go.
    pub targets: Vec<String>,
}

impl LoadRun {
    /// Runs the tool to its end and returns its report.
    ///
    /// # Errors
    ///
    /// Fails when the tool does.
    pub async fn run(self) -> Result<Value> {
        let mut args = vec![
            "--plan".into(),
            self.plan.display().to_string(),
            "--seed".into(),
            self.seed.to_string(),
            "--duration".into(),
            format!("{} ms", self.duration.as_millis()),
            "--rate-factor".into(),
            self.rate_factor.to_string(),
            "--json".into(),
            self.json.display().to_string(),
        ];
        if let Some(log) = &self.log {
            args.extend(["--log".into(), log.display().to_string()]);
        }
        args.extend(self.targets);
        run_tool("sesame-load", args, &[0]).await?;
        read_json(&self.json)
    }
}

/// Runs a tool of the workspace to its end.
///
/// # Errors
///
/// Fails when it ends with another exit code than those in `good`.
pub async fn run_tool(
    program: &'static str,
    args: Vec<String>,
    good: &'static [i32],
) -> Result<()> {
    let path = locate(program)?;
    let failed = |reason: String| Error::Process {
        name: program.into(),
        reason,
    };
    let run = move || Command::new(path).args(args).output();
    let output = actix_rt::task::spawn_blocking(run).await;
    let output = output.map_err(|e| failed(e.to_string()))??;
    match output.status.code() {
        Some(code) if good.contains(&code) => Ok(()),
        _ => Err(failed(String::from_utf8_lossy(&output.stderr).into_owned())),
    }
}

/// Reads a file of JSON.
///
/// # Errors
///
/// Fails when it cannot be read.
pub fn read_json(path: &Path) -> Result<Value> {
    Ok(serde_json::from_slice(&fs::read(path)?)?)
}
