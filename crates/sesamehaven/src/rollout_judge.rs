//! The assessment of a rollout: whether the candidate is bad, sound or not yet proven.
//!
//! The candidate's share of bad responses is compared with the baseline's by a likelihood-ratio test, per
//! class and over all classes, over the whole run and over the last seconds. The rates of wrong verdicts
//! are determined by the simulation in `tests/rollout_judge.rs`.

use std::collections::VecDeque;
use std::fmt;

use smallvec::SmallVec;

use crate::rollout_comparison::{Comparison, Exclusion, excluded};
use crate::rollout_evidence::{ClassOutcomes, Evidence, Outcomes};
use crate::unit::{Instant, Millis};

/// The number of the candidate's requests from which it may count as sound.
const MIN_REQUESTS: f64 = 30.0;
/// The number of these that must be left without the worst endpoints before the rest is believed.
const MIN_REMAINING_REQUESTS: f64 = 20.0;
/// The span that shows a fault that begins during the run, before the whole run does.
const WINDOW: Millis = Millis(3_000);
/// The time between two totals that are kept for the window.
const SNAPSHOT_INTERVAL: Millis = Millis(250);
/// The time after which the rates of both sides are compared anew, since they change together.
const SLICE: Millis = Millis(1_000);
/// The number of the baseline's responses without which a slice is continued.
const MIN_SLICE_RESPONSES: u32 = 20;
/// The log-likelihood ratio from which chance is ruled out, for one class; the test is repeated some
/// hundred times in a run.
const MIN_SCORE: f64 = 11.0;
/// The log-likelihood ratio from which a single class is bad without the worst endpoints.
///
/// It is lower, since their bad responses of all classes are deducted from this one.
const MIN_CLASS_REMAINDER_SCORE: f64 = 4.0;
/// The log-likelihood ratio from which a candidate is not sound.
const SUSPICIOUS_SCORE: f64 = 3.0;
/// The part of bad responses above the baseline's that makes a candidate bad; smaller differences, as by
/// cold caches, do not matter.
const MIN_EXCESS_SHARE: f64 = 0.1;
/// The number of bad responses above the baseline's, without the worst endpoints; fewer may have one cause.
const MIN_EXCESS: f64 = 8.0;
/// The part of the requests above which a class is not judged on its own: the sum over all classes then
/// shows the same, and the deduction for endpoints would not be on the safe side.
const MAX_CLASS_PART: f64 = 0.75;
/// The part of the requests up to which a class is judged without the worst quarter of the endpoints only:
/// if broken endpoints fail on all classes, that quarter alone has more bad responses than the class.
const SMALL_CLASS_PART: f64 = 0.25;
/// What the evidence says of the candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assessment {
    /// There is too little evidence, or some of it speaks against the candidate.
    Unproven,
    /// Nothing speaks against the candidate, and it has been used.
    Sound,
    /// The candidate is worse than the baseline, by more than chance or single machines explain.
    Bad(Finding),
}

/// Why a candidate counts as bad, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finding {
    /// The class that is bad, or [`None`] for all together.
    pub class: Option<u32>,
    /// The last span of time to which the counts belong, or [`None`] for the whole run.
    pub window: Option<Millis>,
    /// The counts of the candidate.
    pub candidate: Outcomes,
    /// The counts of the baseline.
    pub baseline: Outcomes,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.class {
            Some(class) => write!(f, "class {class}")?,
            None => f.write_str("all classes")?,
        }
        match self.window {
            Some(Millis(window)) => write!(f, ", last {window} ms: ")?,
            None => f.write_str(", whole run: ")?,
        }
        let (candidate, baseline) = (self.candidate, self.baseline);
        write!(
            f,
            "candidate {} failed and {} slow of {}, baseline {} failed and {} slow of {}",
            candidate.failed,
            candidate.slow,
            candidate.requests,
            baseline.failed,
            baseline.slow,
            baseline.requests,
        )
    }
}

/// What one test says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    Clear,
    Suspicious,
    Bad,
}

/// The comparison of one class since the beginning of the run, by slices.
#[derive(Debug, Clone, Copy)]
struct ClassRun {
    closed: Comparison,
    slice_start: ClassOutcomes,
    slice_started_at: Instant,
}

impl ClassRun {
    /// Adds the present totals, and closes the slice if it is long enough; returns the whole comparison.
    fn advance(&mut self, totals: ClassOutcomes, now: Instant) -> Comparison {
        let slice = since(totals, self.slice_start).unwrap_or_default();
        let comparison = self.closed.plus(Comparison::of(slice));
        if now.since(self.slice_started_at) >= SLICE
            && slice.baseline.requests >= MIN_SLICE_RESPONSES
        {
            self.closed = comparison;
            (self.slice_start, self.slice_started_at) = (totals, now);
        }
        comparison
    }
}

/// Compares the candidate with the baseline.
///
/// # Example
///
/// ```
/// use sesamehaven::rollout_evidence::{Evidence, Outcome, Side};
/// use sesamehaven::rollout_judge::{Assessment, Judge};
/// use sesamehaven::unit::Instant;
///
/// let (mut judge, mut totals) = (Judge::default(), Evidence::default());
/// for i in 0..600 {
///     totals.record(Side::Baseline, 1, 0, Outcome::Good);
///     if i % 10 == 0 {
///         totals.record(Side::Candidate, 1, i % 3, Outcome::Failed);
///     }
/// }
/// let Assessment::Bad(finding) = judge.assess(&totals, Instant(1_000)) else {
///     panic!("a candidate that fails always is bad");
/// };
/// assert_eq!(finding.candidate.failed, 60);
/// ```
#[derive(Debug, Default)]
pub struct Judge {
    classes: Vec<ClassRun>,
    /// Totals of the past, for the window.
    snapshots: VecDeque<(Instant, Evidence)>,
    last: Evidence,
}

impl Judge {
    /// Assesses the totals of all processes, which usually grow.
    ///
    /// Totals that decrease, because a process has left or is not heard, begin the comparison anew. It is
    /// called often enough, about every 100 ms, that the growth of the others does not hide a decrease.
    pub fn assess(&mut self, totals: &Evidence, now: Instant) -> Assessment {
        if difference(totals, &self.last).is_none() {
            // What was counted before would count twice when the totals of the process return.
            self.classes.clear();
            self.snapshots.clear();
        }
        self.last.clone_from(totals);
        let recent = self.recent(totals, now);
        let run: SmallVec<[(u32, Comparison); 4]> = totals
            .classes
            .iter()
            .map(|class| (class.class, self.advance(*class, now)))
            .collect();
        let (verdict, class) = judge(&run, totals);
        if verdict == Verdict::Bad {
            return Assessment::Bad(finding(totals, class, None));
        }
        let mut worst = verdict;
        if let Some(recent) = recent {
            let window: SmallVec<[(u32, Comparison); 4]> = recent
                .classes
                .iter()
                .map(|class| (class.class, Comparison::of(*class)))
                .collect();
            let (verdict, class) = judge(&window, &recent);
            if verdict == Verdict::Bad {
                return Assessment::Bad(finding(&recent, class, Some(WINDOW)));
            }
            worst = worst.max(verdict);
        }
        let is_used = f64::from(totals.candidate().requests) >= MIN_REQUESTS;
        match is_used && worst == Verdict::Clear {
            true => Assessment::Sound,
            false => Assessment::Unproven,
        }
    }

    fn advance(&mut self, totals: ClassOutcomes, now: Instant) -> Comparison {
        let known = |run: &ClassRun| run.slice_start.class == totals.class;
        let at = match self.classes.iter().position(known) {
            Some(at) => at,
            None => {
                self.classes.push(ClassRun {
                    closed: Comparison::default(),
                    slice_start: nothing_of(totals.class),
                    slice_started_at: now,
                });
                self.classes.len() - 1
            }
        };
        self.classes[at].advance(totals, now)
    }

    /// Returns what was counted within the window, or [`None`] while the run is shorter than it.
    fn recent(&mut self, totals: &Evidence, now: Instant) -> Option<Evidence> {
        let is_over = |at: Instant| now.since(at) >= WINDOW;
        while self.snapshots.get(1).is_some_and(|(at, _)| is_over(*at)) {
            self.snapshots.pop_front();
        }
        let recent = self
            .snapshots
            .front()
            .map(|(at, earlier)| (is_over(*at), difference(totals, earlier)));
        let last = self.snapshots.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now.since(at) >= SNAPSHOT_INTERVAL) {
            self.snapshots.push_back((now, totals.clone()));
        }
        recent.and_then(|(is_over, recent)| recent.filter(|_| is_over))
    }
}

/// Returns the worst verdict over all classes and single ones, with the class that it is about.
fn judge(classes: &[(u32, Comparison)], evidence: &Evidence) -> (Verdict, Option<u32>) {
    let all = classes
        .iter()
        .fold(Comparison::default(), |sum, (_, c)| sum.plus(*c));
    let share = all.expected_share();
    let quarter = excluded(evidence, share, Exclusion::Quarter);
    let by_chance = excluded(evidence, share, Exclusion::Chance);
    let verdict = test(all, all.without(by_chance), MIN_SCORE, MIN_SCORE);
    let mut worst = (verdict, None);
    let min_score = MIN_SCORE + (classes.len().max(1) as f64).ln();
    for (class, comparison) in classes {
        if comparison.requests > all.requests * MAX_CLASS_PART {
            continue;
        }
        let is_small = comparison.requests <= all.requests * SMALL_CLASS_PART;
        let remainder = comparison.without(if is_small { quarter } else { by_chance });
        let verdict = test(*comparison, remainder, min_score, MIN_CLASS_REMAINDER_SCORE);
        if verdict > worst.0 {
            worst = (verdict, Some(*class));
        }
    }
    worst
}

/// Tests a comparison, which must also hold without the worst endpoints.
fn test(
    comparison: Comparison,
    remainder: Comparison,
    min_score: f64,
    min_remainder_score: f64,
) -> Verdict {
    let score = comparison.score();
    if score < SUSPICIOUS_SCORE || comparison.excess_share() < MIN_EXCESS_SHARE {
        return Verdict::Clear;
    }
    if remainder.requests < MIN_REMAINING_REQUESTS {
        return Verdict::Suspicious;
    }
    let remainder_score = remainder.score();
    if score >= min_score
        && remainder_score >= min_remainder_score
        && remainder.excess() >= MIN_EXCESS
    {
        return Verdict::Bad;
    }
    match remainder_score >= SUSPICIOUS_SCORE {
        true => Verdict::Suspicious,
        false => Verdict::Clear,
    }
}

fn finding(evidence: &Evidence, class: Option<u32>, window: Option<Millis>) -> Finding {
    let counted = |c: &&ClassOutcomes| class.is_none_or(|class| c.class == class);
    let classes = evidence.classes.iter().filter(counted);
    let (candidate, baseline) = classes.fold(Default::default(), |sum: (Outcomes, Outcomes), c| {
        (sum.0.plus(c.candidate), sum.1.plus(c.baseline))
    });
    Finding {
        class,
        window,
        candidate,
        baseline,
    }
}

/// Returns what was counted since `earlier`, or [`None`] if a count has decreased.
fn difference(totals: &Evidence, earlier: &Evidence) -> Option<Evidence> {
    let mut difference = totals.clone();
    for class in &mut difference.classes {
        *class = since(*class, earlier.class(class.class))?;
    }
    for endpoint in &mut difference.endpoints {
        let earlier = earlier.endpoint(endpoint.endpoint);
        endpoint.outcomes = endpoint.outcomes.since(earlier)?;
    }
    Some(difference)
}

fn since(totals: ClassOutcomes, earlier: ClassOutcomes) -> Option<ClassOutcomes> {
    Some(ClassOutcomes {
        class: totals.class,
        candidate: totals.candidate.since(earlier.candidate)?,
        baseline: totals.baseline.since(earlier.baseline)?,
    })
}

fn nothing_of(class: u32) -> ClassOutcomes {
    ClassOutcomes {
        class,
        ..ClassOutcomes::default()
    }
}
