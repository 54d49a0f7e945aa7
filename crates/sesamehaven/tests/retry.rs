//! The retry budget, compared with a balance computed from its whole history.

use proptest::prelude::*;

use sesamehaven::config::Repeat;
use sesamehaven::retry::RetryBudget;

#[derive(Debug, Clone, Copy)]
enum Event {
    Success,
    Retry(Repeat),
    Hedge(Repeat),
}

/// Computes the balance from the whole history.
fn balance(history: &[(Event, bool)], percent: i64, burst: i64) -> i64 {
    history
        .iter()
        .fold(burst * 1_000, |balance, event| match event {
            (Event::Success, _) => (balance + percent * 10).min(burst * 1_000),
            (_, true) => balance - 1_000,
            (_, false) => balance,
        })
}

fn repeat() -> impl Strategy<Value = Repeat> {
    prop_oneof![
        4 => Just(Repeat::Idempotent),
        1 => Just(Repeat::AtMostOnce),
        1 => Just(Repeat::Claimed),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => Just(Event::Success),
        3 => repeat().prop_map(Event::Retry),
        1 => repeat().prop_map(Event::Hedge),
    ]
}

proptest! {
    #[test]
    fn the_budget_behaves_like_the_naive_model(
        percent in 0u32..60,
        burst in 0u32..6,
        events in prop::collection::vec(event(), 0..200),
    ) {
        let mut budget = RetryBudget::new(percent, burst);
        let mut history = Vec::new();
        for event in events {
            let before = balance(&history, percent.into(), burst.into());
            let (paid, expected) = match event {
                Event::Success => {
                    budget.on_success();
                    (false, false)
                }
                Event::Retry(repeat) => {
                    let is_allowed = repeat == Repeat::Idempotent && before >= 1_000;
                    (budget.retry(repeat), is_allowed)
                }
                Event::Hedge(repeat) => {
                    let available = before - i64::from(burst) * 500;
                    let is_allowed = repeat == Repeat::Idempotent && available >= 1_000;
                    (budget.hedge(repeat), is_allowed)
                }
            };
            prop_assert_eq!(paid, expected);
            history.push((event, paid));
        }
        let retries = history.iter().filter(|(_, paid)| *paid).count() as u64;
        let successes = history.iter().filter(|(e, _)| matches!(e, Event::Success)).count() as u64;
        prop_assert!(retries * 100 <= u64::from(burst) * 100 + successes * u64::from(percent));
    }
}
