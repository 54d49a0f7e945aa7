//! Tests that the checker finds violations, and none where all guarantees hold.

use rstest::rstest;
use sesamehaven_standins::check::{EngineRuns, Prefill, Violation, check};
use sesamehaven_standins::record::{CallRecord, RunEnd, RunRecord};
use sesamehaven_standins::request_record::{Outcome, Prefix, RequestRecord, Verdict};

fn request(outcome: Outcome, sent_ms: f64) -> RequestRecord {
    RequestRecord {
        echo: "#a".into(),
        key: Some("k".into()),
        outcome,
        sent_ms,
        verdict: match outcome {
            Outcome::Answered => Verdict::Whole,
            _ => Verdict::None,
        },
        good: outcome == Outcome::Answered,
        status: 503,
        retry_after_s: Some(1),
        ..RequestRecord::default()
    }
}

fn call(effect_ms: f64) -> CallRecord {
    CallRecord {
        path: "/calls?ref=a".into(),
        effect_ms,
        ..CallRecord::default()
    }
}

fn ran_twice() -> Vec<Violation> {
    vec![Violation::RanTwice {
        echo: "#a".into(),
        runs: 2,
    }]
}

fn ran_after_not_run() -> Vec<Violation> {
    vec![Violation::RanAfterNotRun {
        echo: "#a".into(),
        code: "".into(),
    }]
}

#[rstest]
#[case::one_run(&[(Outcome::Answered, 0.0)], &[1.0], vec![])]
#[case::refused_and_not_run(&[(Outcome::NotRun, 0.0)], &[], vec![])]
#[case::refused_but_ran(&[(Outcome::NotRun, 0.0)], &[1.0], ran_after_not_run())]
#[case::refused_then_resent(
    &[(Outcome::NotRun, 0.0), (Outcome::Answered, 5.0)], &[6.0], vec![]
)]
#[case::ran_before_the_resend(
    &[(Outcome::NotRun, 0.0), (Outcome::Unknown, 5.0)], &[3.0], ran_after_not_run()
)]
#[case::resend_attached_to_the_run(
    &[(Outcome::Answered, 0.0), (Outcome::Answered, 5.0)], &[1.0], vec![]
)]
#[case::ran_again_on_resend(
    &[(Outcome::Answered, 0.0), (Outcome::Answered, 5.0)], &[1.0, 6.0], ran_twice()
)]
fn runs_are_checked_against_reported_outcomes_and_repeatable_requests_may_run_again(
    #[case] sends: &[(Outcome, f64)],
    #[case] runs: &[f64],
    #[case] expected: Vec<Violation>,
) {
    let requests: Vec<RequestRecord> = sends
        .iter()
        .map(|(outcome, sent_ms)| request(*outcome, *sent_ms))
        .collect();
    let calls: Vec<CallRecord> = runs.iter().map(|at| call(*at)).collect();
    assert_eq!(check(&requests, &[], &calls).violations, expected);

    let repeatable = requests.into_iter().map(|request| RequestRecord {
        repeatable: true,
        ..request
    });
    let repeatable: Vec<RequestRecord> = repeatable.collect();
    let findings = check(&repeatable, &[], &calls);
    let is_ran_twice = |v: &Violation| matches!(v, Violation::RanTwice { .. });
    assert!(!findings.violations.iter().any(is_ran_twice));
}

#[rstest]
#[case(Verdict::Partial, Violation::PartialAnswer { echo: "#a".into() })]
#[case(Verdict::Mismatch, Violation::MismatchedAnswer { echo: "#a".into() })]
fn wrong_answers_are_reported(#[case] verdict: Verdict, #[case] expected: Violation) {
    let wrong = RequestRecord {
        verdict,
        ..request(Outcome::Answered, 0.0)
    };
    assert_eq!(check(&[wrong], &[], &[]).violations, [expected]);
}

#[test]
fn prefill_is_wasted_if_undelivered_or_cached_elsewhere() {
    let answered = |echo: &str, good: bool| RequestRecord {
        echo: echo.into(),
        good,
        prefix: Some(Prefix {
            name: "p".into(),
            tokens: 60,
        }),
        ..request(Outcome::Answered, 0.0)
    };
    let run = |echo: &str, received_ms: f64| RunRecord {
        run: echo.into(),
        echo: echo.into(),
        received_ms,
        prefilled_tokens: 100,
        end: RunEnd::Done,
        ..RunRecord::default()
    };
    let engine = |name: &str, runs: Vec<RunRecord>| EngineRuns {
        engine: name.into(),
        runs,
    };
    let log = [
        answered("#a", true),
        answered("#b", true),
        answered("#c", false),
    ];
    let unfinished = RunRecord {
        prefilled_tokens: 0,
        end: RunEnd::Running,
        ..run("#b", 2.0)
    };
    let engines = [
        engine("one", vec![run("#a", 1.0), run("#c", 3.0)]),
        engine("two", vec![unfinished, run("#b", 2.0)]),
    ];
    let findings = check(&log, &engines, &[]);
    assert_eq!(findings.runs, 3);
    let expected = Prefill {
        computed: 300,
        unheard: 100,
        repeated: 60,
        wasted_percent: 160.0 / 3.0,
    };
    assert_eq!(findings.prefill, expected);
}
