//! Limits that several processes keep together, through cuts, restarts and lost messages.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use rstest::rstest;

use sesamehaven::shared_limit::{PeerTracker, SharedRetryBudget, SharedWindow, WindowLimit};
use sesamehaven::unit::{Instant, Millis};

const ALLOWANCE: WindowLimit = WindowLimit {
    window: Millis(8_000),
    amount: 8_000,
};

/// Builds a window whose start is long past.
fn settled(now: Instant) -> SharedWindow {
    let mut window = SharedWindow::new(ALLOWANCE, Instant(0));
    window.on_restored(None, Instant(0));
    assert!(window.consume(0, 1.0, now).is_ok());
    window
}

/// Draws as much as is allowed in steps of 100 for a span; returns the sum.
fn draw_all(window: &mut SharedWindow, share: f64, from: u64, span: u64) -> u64 {
    let mut sum = 0;
    for now in (from..from + span).step_by(50) {
        while window.consume(100, share, Instant(now)).is_ok() {
            sum += 100;
        }
    }
    sum
}

#[test]
fn no_window_holds_more_than_the_limit() {
    let mut window = settled(Instant(20_000));
    let sum = draw_all(&mut window, 1.0, 20_000, 8_000);
    assert!(sum <= ALLOWANCE.amount, "{sum}");
    assert!(sum >= ALLOWANCE.amount - 100, "{sum}");
}

#[test]
fn what_others_draw_counts_also_after_a_lost_message() {
    let mut window = settled(Instant(20_000));
    let now = Instant(20_100);
    window.on_peer(1, 500, Some(0), now);
    // The message that told of 3,000 was lost; totals make it good.
    window.on_peer(1, 6_500, Some(0), now);
    let sum = draw_all(&mut window, 1.0, 20_100, 50);
    assert_eq!(sum, 2_000);
}

#[test]
fn what_is_given_back_may_be_drawn_again() {
    let mut window = settled(Instant(20_000));
    assert_eq!(draw_all(&mut window, 1.0, 20_000, 50), 8_000);
    window.refund(1_000, Instant(20_050));
    assert_eq!(draw_all(&mut window, 1.0, 20_050, 50), 1_000);
}

#[test]
fn a_refusal_says_when_enough_has_left_the_window() {
    let mut window = settled(Instant(20_000));
    assert_eq!(draw_all(&mut window, 1.0, 20_000, 50), 8_000);
    let wait = window.consume(100, 1.0, Instant(21_000)).unwrap_err();
    let then = Instant(21_000).after(wait);
    assert!(window.consume(100, 1.0, then).is_ok(), "after {wait}");
}

/// Two fronts hear each other, a third is cut off, and a fourth is killed and starts anew.
#[test]
fn a_front_that_starts_beside_a_cut_off_one_does_not_take_its_share() {
    let now = Instant(60_000);
    let mut hearing = PeerTracker::default();
    hearing.set_expected_peers(2);
    hearing.on_message(1, 4, now);
    hearing.on_message(2, 4, now);
    assert_eq!(hearing.total_processes(now), 4);
    assert!((hearing.limit_share(now) - 0.75).abs() < 1e-9);
}

#[test]
fn a_front_that_starts_cut_off_counts_on_its_seeds() {
    let mut hearing = PeerTracker::default();
    hearing.set_expected_peers(3);
    assert!((hearing.limit_share(Instant(0)) - 0.25).abs() < 1e-9);
}

#[test]
fn a_front_that_leaves_is_not_waited_for() {
    let mut hearing = PeerTracker::default();
    hearing.on_message(1, 2, Instant(0));
    hearing.on_leave(1);
    assert_eq!(hearing.total_processes(Instant(10)), 1);
}

/// What was drawn just before a start must stay in the window for its whole length.
#[rstest]
#[case::told_by_another(true)]
#[case::kept_in_the_directory(false)]
fn a_start_does_not_forget_what_was_drawn(#[case] by_peer: bool) {
    let start = 100_000;
    let mut window = SharedWindow::new(ALLOWANCE, Instant(start));
    match by_peer {
        true => window.on_peer(1, 77, Some(7_500), Instant(start)),
        false => window.on_restored(Some(7_500), Instant(start)),
    }
    let sum = draw_all(&mut window, 1.0, start, 7_900);
    assert!(
        sum <= 500,
        "{sum} drawn beside 7,500 that were drawn before"
    );
}

#[test]
fn a_start_after_quiet_times_allows_ordinary_use() {
    let start = 100_000;
    let mut window = SharedWindow::new(ALLOWANCE, Instant(start));
    window.on_restored(None, Instant(start));
    // An ordinary organisation uses about half of its limit.
    for now in (start..start + 8_000).step_by(100) {
        assert!(window.consume(50, 1.0, Instant(now)).is_ok(), "at {now}");
    }
}

#[test]
fn only_heavy_use_is_worth_keeping() {
    let mut window = settled(Instant(20_000));
    assert!(window.consume(3_000, 1.0, Instant(20_000)).is_ok());
    assert_eq!(window.high_usage(Instant(20_001)), None);
    assert!(window.consume(2_000, 1.0, Instant(20_001)).is_ok());
    assert_eq!(window.high_usage(Instant(20_002)), Some(5_000));
}

#[test]
fn second_sends_stay_within_the_budget_of_any_window() {
    let mut share = SharedRetryBudget::new(0.2, 40.0, Millis(10_000));
    let mut taken = Vec::new();
    for now in (0..60_000).step_by(20) {
        share.on_request(Instant(now));
        if share.try_consume(4, Instant(now)) {
            taken.push(now);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = taken
            .iter()
            .filter(|t| (end - 10_000..end).contains(*t))
            .count();
        // 500 requests in each window, a fifth of them and a quarter of the constant part.
        assert!(within <= 110, "{within} second sends before {end}");
    }
    assert!(taken.len() > 300, "{}", taken.len());
}
