//! Checks what callers were told against what endpoints did.
//!
//! A request is known by its reference: the word that its prompt and its
//! answer hold, which is also in the path of a service's call.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::completion::ECHO_MARK;
use crate::record::{CallRecord, RunEnd, RunRecord};
use crate::request_record::{Outcome, Prefix, RequestRecord, Verdict};

/// How long a prefix counts as held by the engine that computed it last.
const PREFIX_HELD_MS: f64 = 60_000.0;

/// A run of an engine, with the name of the engine.
#[derive(Debug, Clone)]
pub struct EngineRuns {
    /// The engine.
    pub engine: SmolStr,
    /// Its runs; of several records of one run the last is used.
    pub runs: Vec<RunRecord>,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "violation")]
pub enum Violation {
    /// A request that may run once ran several times.
    RanTwice {
        /// The reference.
        echo: SmolStr,
        /// How often it ran.
        runs: usize,
    },
    /// A request ran although its caller was told that it did not.
    RanAfterNotRun {
        /// The reference.
        echo: SmolStr,
        /// The code that the caller was told.
        code: SmolStr,
    },
    /// An answer looked complete and was not.
    PartialAnswer {
        /// The reference.
        echo: SmolStr,
    },
    /// An answer was not to this request.
    #[serde(rename = "anothers_answer")]
    MismatchedAnswer {
        /// The reference.
        echo: SmolStr,
    },
    /// An answer was none of the three outcomes.
    NoOutcome {
        /// The reference.
        echo: SmolStr,
        /// The status of the answer.
        status: u16,
    },
    /// A refusal for load without a time to come back.
    NoRetryAfter {
        /// The reference.
        echo: SmolStr,
        /// The code that the caller was told.
        code: SmolStr,
    },
    /// A caller was not told anything until well after its deadline.
    #[serde(rename = "not_told")]
    NoResponse {
        /// The reference.
        echo: SmolStr,
    },
}

impl Violation {
    /// Returns what kind of promise was broken.
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
                write!(f, "{echo} ran, but its caller was told not-run ({code})")
            }
            Violation::PartialAnswer { echo } => write!(f, "{echo} got a part of its answer"),
            Violation::MismatchedAnswer { echo } => write!(f, "{echo} got another's answer"),
            Violation::NoOutcome { echo, status } => {
                write!(f, "{echo} got status {status} without Request-Outcome")
            }
            Violation::NoRetryAfter { echo, code } => {
                write!(f, "{echo} was refused ({code}) without Retry-After")
            }
            Violation::NoResponse { echo } => write!(f, "{echo} was not told its outcome"),
        }
    }
}

/// Prefill of all runs, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Prefill {
    /// All that was computed.
    pub computed: u64,
    /// What was computed for answers that no caller got whole and in time.
    pub unheard: u64,
    /// What was computed of shared prefixes that another engine held.
    pub repeated: u64,
    /// The share of unheard and repeated prefill, in percent.
    pub wasted_percent: f64,
}

/// The result of a check.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Findings {
    /// Requests that were sent.
    pub sent: usize,
    /// Runs of engines and calls of services.
    pub runs: usize,
    /// Repeatable requests that ran more than once, which is allowed.
    pub repeated: usize,
    /// The broken promises.
    pub violations: Vec<Violation>,
    /// The prefill.
    pub prefill: Prefill,
}

impl Findings {
    /// Counts the broken promises by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind()).or_default() += 1;
        }
        counts
    }
}

/// Checks a log against the records of all engines and services.
pub fn check(told: &[RequestRecord], engines: &[EngineRuns], calls: &[CallRecord]) -> Findings {
    let engines: Vec<EngineRuns> = engines.iter().map(last_records).collect();
    let starts = starts(&engines, calls);
    let by_echo = group(told.iter().map(|t| (t.echo.clone(), t)));
    let mut findings = Findings {
        sent: told.len(),
        runs: starts.values().map(Vec::len).sum(),
        ..Findings::default()
    };
    for (echo, sends) in &by_echo {
        let started = starts.get(echo).map_or(&[][..], Vec::as_slice);
        check_runs(echo, sends, started, &mut findings);
    }
    let single = told.iter().filter_map(check_single);
    findings.violations.extend(single);
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

/// Lists when each request reached an endpoint.
fn starts(engines: &[EngineRuns], calls: &[CallRecord]) -> HashMap<SmolStr, Vec<f64>> {
    let runs = engines.iter().flat_map(|engine| &engine.runs);
    let runs = runs.map(|run| (run.echo.clone(), run.received_ms));
    let calls = calls
        .iter()
        .filter_map(|c| Some((reference(&c.path)?, c.effect_ms)));
    group(runs.chain(calls))
}

/// Finds the reference in the path of a service's call.
fn reference(path: &str) -> Option<SmolStr> {
    let (_, after) = path.split_once("ref=")?;
    let reference = after.split('&').next()?;
    Some(format_smolstr!("{ECHO_MARK}{reference}"))
}

fn check_runs(echo: &SmolStr, sends: &[&RequestRecord], started: &[f64], findings: &mut Findings) {
    // Without a key each send is a request of its own.
    let keyed = sends.iter().any(|told| told.key.is_some());
    let allowed = if keyed { 1 } else { sends.len() };
    if started.len() > allowed {
        if sends.iter().all(|told| told.repeatable) {
            findings.repeated += 1;
        } else {
            findings.violations.push(Violation::RanTwice {
                echo: echo.clone(),
                runs: started.len(),
            });
        }
    }
    let refused = sends.iter().find(|told| told.outcome == Outcome::NotRun);
    let explained = |run_ms: f64| {
        let mut others = sends.iter().filter(|t| t.outcome != Outcome::NotRun);
        others.any(|told| told.sent_ms <= run_ms)
    };
    if let Some(refused) = refused
        && started.iter().any(|run_ms| !explained(*run_ms))
    {
        findings.violations.push(Violation::RanAfterNotRun {
            echo: echo.clone(),
            code: refused.code.clone(),
        });
    }
}

fn check_single(told: &RequestRecord) -> Option<Violation> {
    let echo = told.echo.clone();
    match (told.outcome, told.verdict) {
        (Outcome::Answered, Verdict::Whole) => None,
        (Outcome::Answered, Verdict::Mismatch) => Some(Violation::MismatchedAnswer { echo }),
        (Outcome::Answered, _) => Some(Violation::PartialAnswer { echo }),
        (Outcome::Failed, _) => {
            let status = told.status;
            Some(Violation::NoOutcome { echo, status })
        }
        (Outcome::NotRun, _) => {
            let for_load = matches!(told.status, 429 | 503);
            let silent = for_load && told.retry_after_s.is_none();
            let code = told.code.clone();
            silent.then_some(Violation::NoRetryAfter { echo, code })
        }
        (Outcome::Unknown, _) => {
            (told.code == "caller_timeout").then_some(Violation::NoResponse { echo })
        }
    }
}

/// The engines that computed a prefix of a model, with the time of the last run.
type Holders<'a> = HashMap<(&'a SmolStr, &'a SmolStr), Vec<(&'a SmolStr, f64)>>;

fn prefix_of<'a>(sends: &[&'a RequestRecord]) -> Option<&'a Prefix> {
    sends.first().and_then(|told| told.prefix.as_ref())
}

fn prefill(by_echo: &HashMap<SmolStr, Vec<&RequestRecord>>, engines: &[EngineRuns]) -> Prefill {
    let mut runs: Vec<(&SmolStr, &RunRecord)> = engines
        .iter()
        .flat_map(|e| e.runs.iter().map(|run| (&e.engine, run)))
        .collect();
    runs.sort_by(|a, b| a.1.received_ms.total_cmp(&b.1.received_ms));
    let mut prefill = Prefill::default();
    let mut heard: HashMap<&SmolStr, ()> = HashMap::new();
    let mut holders = Holders::new();
    for (engine, run) in runs {
        prefill.computed += run.prefilled_tokens;
        let sends = by_echo.get(&run.echo).map_or(&[][..], Vec::as_slice);
        let wanted = run.end == RunEnd::Done && sends.iter().any(|told| told.good);
        // Of several whole runs one was heard, the others were in vain.
        if !wanted || heard.insert(&run.echo, ()).is_some() {
            prefill.unheard += run.prefilled_tokens;
        } else {
            prefill.repeated += repeated(engine, run, sends, &holders);
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

/// Returns how much of a shared prefix was computed though another engine held it.
///
/// Engines are taken to hold a prefix for [`PREFIX_HELD_MS`] after its last
/// run, so this is an upper bound where their caches are small.
fn repeated(
    engine: &SmolStr,
    run: &RunRecord,
    sends: &[&RequestRecord],
    holders: &Holders<'_>,
) -> u64 {
    let Some(prefix) = prefix_of(sends) else {
        return 0;
    };
    let Some(held) = holders.get(&(&run.model, &prefix.name)) else {
        return 0;
    };
    let elsewhere = held
        .iter()
        .any(|(holder, at_ms)| *holder != engine && run.received_ms - at_ms < PREFIX_HELD_MS);
    if !elsewhere {
        return 0;
    }
    prefix
        .tokens
        .saturating_sub(run.cached_tokens)
        .min(run.prefilled_tokens)
}
