//! Shared parts of the measurements: runs of the load tool and the resource usage
//! of processes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::Value;

use crate::error::{Error, Result};
use crate::process::locate;

/// The clock ticks per second in which Linux reports CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// The number of fields in `/proc/PID/stat` between the process name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// The resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// The CPU time in seconds, user and system time together.
    pub cpu_s: f64,
    /// The resident memory in KiB.
    pub resident_kib: f64,
}

impl Usage {
    /// Reads the resource usage of a process since its start.
    ///
    /// # Errors
    ///
    /// Fails when the process no longer exists.
    pub fn of(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
        let ticks: f64 = fields.take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|l| l.split_whitespace().next()?.parse().ok());
        Ok(Usage {
            cpu_s: ticks / CLOCK_TICKS_PER_SECOND,
            resident_kib: resident.unwrap_or_default(),
        })
    }
}

/// Returns the load averages of this machine, which are recorded with each figure.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let averages: Vec<&str> = text.split_whitespace().take(3).collect();
    averages.join(" ")
}

/// The arguments of a run of `sesame-load`.
#[derive(Debug, Clone)]
pub struct LoadRun {
    /// The load plan.
    pub plan: PathBuf,
    /// The seed of arrival times and contents.
    pub seed: u64,
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The factor applied to the request rates of the plan.
    pub rate_factor: f64,
    /// The file that receives the report.
    pub json: PathBuf,
    /// The file that receives the log.
    pub log: Option<PathBuf>,
    /// The command-line options that select the targets of requests.
    pub targets: Vec<String>,
}

impl LoadRun {
    /// Runs the tool to completion and returns its report.
    ///
    /// # Errors
    ///
    /// Fails when the tool fails or its report cannot be read.
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

/// Runs a tool of the workspace to completion.
///
/// # Errors
///
/// Fails when its exit code is not one of `accepted_codes`.
pub async fn run_tool(
    program: &'static str,
    args: Vec<String>,
    accepted_codes: &'static [i32],
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
        Some(code) if accepted_codes.contains(&code) => Ok(()),
        _ => Err(failed(String::from_utf8_lossy(&output.stderr).into_owned())),
    }
}

/// Reads and parses a JSON file.
///
/// # Errors
///
/// Fails when the file cannot be read or is not JSON.
pub fn read_json(path: &Path) -> Result<Value> {
    Ok(serde_json::from_slice(&fs::read(path)?)?)
}
