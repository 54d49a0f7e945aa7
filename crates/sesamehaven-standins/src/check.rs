//! Checks the outcomes reported to callers against the work done by endpoints.
//!
//! A request is identified by its reference: the echo word that its prompt and
//! its answer contain, which is also in the path of a service call.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::completion::ECHO_MARK;
use crate::record::{CallRecord, RunEnd, RunRecord};
use crate::request_record::{Outcome, Prefix, RequestRecord, Verdict};

/// How long after a run a prefix counts as cached by the engine that computed it.
const PREFIX_RETENTION_MS: f64 = 60_000.0;

/// The runs of an engine.
#[derive(Debug, Clone)]
pub struct EngineRuns {
    /// The name of the engine.
    pub engine: SmolStr,
    /// Its run records; of several records of one run the last is used.
    pub runs: Vec<RunRecord>,
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "violation")]
pub enum Violation {
    /// A request that may run at most once ran several times.
    RanTwice {
        /// The reference.
        echo: SmolStr,
        /// The number of runs.
        runs: usize,
    },
    /// A request ran although its caller received `not-run`.
    RanAfterNotRun {
        /// The reference.
        echo: SmolStr,
        /// The error code that the caller received.
        code: SmolStr,
    },
    /// An answer appeared complete but was truncated.
    PartialAnswer {
        /// The reference.
        echo: SmolStr,
    },
    /// An answer belonged to another request.
    #[serde(rename = "anothers_answer")]
    MismatchedAnswer {
        /// The reference.
        echo: SmolStr,
    },
    /// A response stated none of the three outcomes.
    NoOutcome {
        /// The reference.
        echo: SmolStr,
        /// The HTTP status of the response.
        status: u16,
    },
    /// A refusal due to load had no `Retry-After` header.
    NoRetryAfter {
        /// The reference.
        echo: SmolStr,
        /// The error code that the caller received.
        code: SmolStr,
    },
    /// A caller gave up before it learnt the outcome: well after its deadline through
    /// an entry, at the latest at the deadline under a baseline policy.
    #[serde(rename = "not_told")]
    NoResponse {
        /// The reference.
        echo: SmolStr,
    },
}

impl Violation {
    /// Returns the kind of the violation, as serialized.
    pub fn kind(&self) -> &'static str {
        match self {
            Violation::RanTwice { .. } => "ran_twice",
            Violation::RanAfterNotRun { .. } => "ran_after_not_run",
            Violation::PartialAnswer { .. } => "partial_answer",
            Violation::MismatchedAnswer { .. } => "anothers_answer",
            Violation::NoOutcome { .. } => "no_outcome",
            Violation::NoRetryAfter { .. } => "no_retry_after",
            Violation::NoResponse { .. } => "not_told",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::RanTwice { echo, runs } => write!(f, "{echo} ran {runs} times"),
            Violation::RanAfterNotRun { echo, code } => {
                write!(f, "{echo} ran, but its caller received not-run ({code})")
            }
            Violation::PartialAnswer { echo } => write!(f, "{echo} got a partial answer"),
            Violation::MismatchedAnswer { echo } => {
                write!(f, "{echo} got another request's answer")
            }
            Violation::NoOutcome { echo, status } => {
                write!(f, "{echo} got status {status} without Request-Outcome")
            }
            Violation::NoRetryAfter { echo, code } => {
                write!(f, "{echo} was refused ({code}) without Retry-After")
            }
            Violation::NoResponse { echo } => write!(f, "{echo} got no outcome in time"),
        }
    }
}

/// Prefill of all runs, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Prefill {
    /// All computed prefill.
    pub computed: u64,
    /// Prefill for answers that no caller received completely and in time.
    pub unheard: u64,
    /// Prefill of shared prefixes that another engine had cached.
    pub repeated: u64,
    /// The percentage of prefill that is unheard or repeated.
    pub wasted_percent: f64,
}

/// The result of a check.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The number of requests sent.
    pub sent: usize,
    /// The number of engine runs and service calls.
    pub runs: usize,
    /// The number of repeatable requests that ran more than once, which is allowed.
    pub repeated: usize,
    /// The violated guarantees.
    pub violations: Vec<Violation>,
    /// The prefill of all runs.
    pub prefill: Prefill,
}

impl Findings {
    /// Counts the violations by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind()).or_default() += 1;
        }
        counts
    }
}

/// Checks the load tool's log against the records of all engines and services.
pub fn check(requests: &[RequestRecord], engines: &[EngineRuns], calls: &[CallRecord]) -> Findings {
    let engines: Vec<EngineRuns> = engines.iter().map(last_records).collect();
    let starts = starts(&engines, calls);
    let by_echo = group(requests.iter().map(|r| (r.echo.clone(), r)));
    let mut findings = Findings {
        sent: requests.len(),
        runs: starts.values().map(Vec::len).sum(),
        ..Findings::default()
    };
    for (echo, sends) in &by_echo {
        let started = starts.get(echo).map_or(&[][..], Vec::as_slice);
        check_runs(echo, sends, started, &mut findings);
    }
    let by_request = requests.iter().filter_map(check_outcome);
    findings.violations.extend(by_request);
    findings.violations.sort_by_key(ToString::to_string);
    findings.prefill = prefill(&by_echo, &engines);
    findings
}

fn group<T>(pairs: impl Iterator<Item = (SmolStr, T)>) -> HashMap<SmolStr, Vec<T>> {
    let mut groups: HashMap<SmolStr, Vec<T>> = HashMap::new();
    for (key, value) in pairs {
        groups.entry(key).or_default().push(value);
    }
    groups
}

/// Keeps the last record of each run.
fn last_records(engine: &EngineRuns) -> EngineRuns {
    let mut position: HashMap<&SmolStr, usize> = HashMap::new();
    let mut runs: Vec<RunRecord> = Vec::new();
    for record in &engine.runs {
        match position.get(&record.run) {
            Some(i) => runs[*i] = record.clone(),
            None => {
                position.insert(&record.run, runs.len());
                runs.push(record.clone());
            }
        }
    }
    EngineRuns {
        engine: engine.engine.clone(),
        runs,
    }
}

/// Groups the times at which requests reached an endpoint by reference.
fn starts(engines: &[EngineRuns], calls: &[CallRecord]) -> HashMap<SmolStr, Vec<f64>> {
    let runs = engines.iter().flat_map(|engine| &engine.runs);
    let runs = runs.map(|run| (run.echo.clone(), run.received_ms));
    let calls = calls
        .iter()
        .filter_map(|c| Some((reference(&c.path)?, c.effect_ms)));
    group(runs.chain(calls))
}

/// Extracts the reference from the path of a service call.
fn reference(path: &str) -> Option<SmolStr> {
    let (_, rest) = path.split_once("ref=")?;
    let reference = rest.split('&').next()?;
    Some(format_smolstr!("{ECHO_MARK}{reference}"))
}

/// Checks that a request did not run too often and, if a send of it was refused,
/// that each run follows a send that was not.
fn check_runs(echo: &SmolStr, sends: &[&RequestRecord], started: &[f64], findings: &mut Findings) {
    // Without an idempotency key each send is a separate request.
    let keyed = sends.iter().any(|send| send.key.is_some());
    let allowed = if keyed { 1 } else { sends.len() };
    if started.len() > allowed {
        if sends.iter().all(|send| send.repeatable) {
            findings.repeated += 1;
        } else {
            findings.violations.push(Violation::RanTwice {
                echo: echo.clone(),
                runs: started.len(),
            });
        }
    }
    let refused = sends.iter().find(|send| send.outcome == Outcome::NotRun);
    let is_explained = |run_ms: f64| {
        let mut others = sends.iter().filter(|s| s.outcome != Outcome::NotRun);
        others.any(|send| send.sent_ms <= run_ms)
    };
    if let Some(refused) = refused
        && started.iter().any(|run_ms| !is_explained(*run_ms))
    {
        findings.violations.push(Violation::RanAfterNotRun {
            echo: echo.clone(),
            code: refused.code.clone(),
        });
    }
}

fn check_outcome(record: &RequestRecord) -> Option<Violation> {
    let echo = record.echo.clone();
    match (record.outcome, record.verdict) {
        (Outcome::Answered, Verdict::Whole) => None,
        (Outcome::Answered, Verdict::Mismatch) => Some(Violation::MismatchedAnswer { echo }),
        (Outcome::Answered, _) => Some(Violation::PartialAnswer { echo }),
        (Outcome::Failed, _) => {
            let status = record.status;
            Some(Violation::NoOutcome { echo, status })
        }
        (Outcome::NotRun, _) => {
            let due_to_load = matches!(record.status, 429 | 503);
            let is_missing = due_to_load && record.retry_after_s.is_none();
            let code = record.code.clone();
            is_missing.then_some(Violation::NoRetryAfter { echo, code })
        }
        (Outcome::Unknown, _) => {
            (record.code == "caller_timeout").then_some(Violation::NoResponse { echo })
        }
    }
}

/// The engines that computed a prefix, with the time of their last run, by model and prefix name.
type PrefixHolders<'a> = HashMap<(&'a SmolStr, &'a SmolStr), Vec<(&'a SmolStr, f64)>>;

fn prefix_of<'a>(sends: &[&'a RequestRecord]) -> Option<&'a Prefix> {
    sends.first().and_then(|send| send.prefix.as_ref())
}

/// Sums up the prefill of all runs and the part of it that was wasted.
fn prefill(by_echo: &HashMap<SmolStr, Vec<&RequestRecord>>, engines: &[EngineRuns]) -> Prefill {
    let mut runs: Vec<(&SmolStr, &RunRecord)> = engines
        .iter()
        .flat_map(|e| e.runs.iter().map(|run| (&e.engine, run)))
        .collect();
    runs.sort_by(|a, b| a.1.received_ms.total_cmp(&b.1.received_ms));
    let mut prefill = Prefill::default();
    let mut delivered: HashMap<&SmolStr, ()> = HashMap::new();
    let mut holders = PrefixHolders::new();
    for (engine, run) in runs {
        prefill.computed += run.prefilled_tokens;
        let sends = by_echo.get(&run.echo).map_or(&[][..], Vec::as_slice);
        let is_useful = run.end == RunEnd::Done && sends.iter().any(|send| send.good);
        // Of several completed runs only one reached the caller; the others were wasted.
        if !is_useful || delivered.insert(&run.echo, ()).is_some() {
            prefill.unheard += run.prefilled_tokens;
        } else {
            prefill.repeated += repeated_tokens(engine, run, sends, &holders);
        }
        let Some(prefix) = prefix_of(sends) else {
            continue;
        };
        let held = holders.entry((&run.model, &prefix.name)).or_default();
        held.retain(|(holder, _)| *holder != engine);
        held.push((engine, run.received_ms));
    }
    let wasted = prefill.unheard + prefill.repeated;
    prefill.wasted_percent = 100.0 * wasted as f64 / prefill.computed.max(1) as f64;
    prefill
}

/// Returns how many tokens of a shared prefix were computed although another engine had it cached.
///
/// Engines are assumed to retain a prefix for [`PREFIX_RETENTION_MS`] after its
/// last run, so this is an upper bound for engines with small caches.
fn repeated_tokens(
    engine: &SmolStr,
    run: &RunRecord,
    sends: &[&RequestRecord],
    holders: &PrefixHolders<'_>,
) -> u64 {
    let Some(prefix) = prefix_of(sends) else {
        return 0;
    };
    let Some(held) = holders.get(&(&run.model, &prefix.name)) else {
        return 0;
    };
    let is_held_elsewhere = held
        .iter()
        .any(|(holder, at_ms)| *holder != engine && run.received_ms - at_ms < PREFIX_RETENTION_MS);
    if !is_held_elsewhere {
        return 0;
    }
    prefix
        .tokens
        .saturating_sub(run.cached_tokens)
        .min(run.prefilled_tokens)
}
