//! Rate limits shared by several processes, under partitions, restarts and message loss.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use rstest::rstest;

use sesamehaven::shared_limit::{PeerTracker, SharedWindow, WindowLimit};
use sesamehaven::shared_retry_budget::SharedRetryBudget;
use sesamehaven::unit::{Instant, Millis};

const LIMIT: WindowLimit = WindowLimit {
    window: Millis(8_000),
    amount: 8_000,
};

/// Creates a window whose start is long past.
fn established(now: Instant) -> SharedWindow {
    let mut window = SharedWindow::new(LIMIT, Instant(0));
    window.on_restored(None, Instant(0));
    assert!(window.consume(0, 1.0, now).is_ok());
    window
}

/// Consumes as much as is allowed during `span`, in steps of 100; returns the sum.
fn consume_all(window: &mut SharedWindow, share: f64, from: u64, span: u64) -> u64 {
    let mut sum = 0;
    for now in (from..from + span).step_by(50) {
        while window.consume(100, share, Instant(now)).is_ok() {
            sum += 100;
        }
    }
    sum
}

#[test]
fn no_more_than_the_limit_is_consumed_in_a_window() {
    let mut window = established(Instant(20_000));
    let sum = consume_all(&mut window, 1.0, 20_000, 8_000);
    assert!(sum <= LIMIT.amount, "{sum}");
    assert!(sum >= LIMIT.amount - 100, "{sum}");
}

#[test]
fn consumption_of_others_counts_despite_a_lost_message() {
    let mut window = established(Instant(20_000));
    let now = Instant(20_100);
    window.on_peer(1, 500, Some(0), now);
    // The message with a total of 3,000 was lost; the next total makes up for it.
    window.on_peer(1, 6_500, Some(0), now);
    let sum = consume_all(&mut window, 1.0, 20_100, 50);
    assert_eq!(sum, 2_000);
}

#[test]
fn a_refund_may_be_consumed_again() {
    let mut window = established(Instant(20_000));
    assert_eq!(consume_all(&mut window, 1.0, 20_000, 50), 8_000);
    window.refund(1_000, Instant(20_050));
    assert_eq!(consume_all(&mut window, 1.0, 20_050, 50), 1_000);
}

#[test]
fn a_refusal_returns_when_enough_has_left_the_window() {
    let mut window = established(Instant(20_000));
    assert_eq!(consume_all(&mut window, 1.0, 20_000, 50), 8_000);
    let wait = window.consume(100, 1.0, Instant(21_000)).unwrap_err();
    let then = Instant(21_000).after(wait);
    assert!(window.consume(100, 1.0, then).is_ok(), "after {wait}");
}

/// Two fronts receive each other's messages, a third is partitioned, and a fourth restarts.
#[test]
fn a_front_that_starts_during_a_partition_does_not_take_the_partitioned_share() {
    let now = Instant(60_000);
    let mut peers = PeerTracker::default();
    peers.set_expected_peers(2);
    peers.on_message(1, 4, now);
    peers.on_message(2, 4, now);
    assert_eq!(peers.total_processes(now), 4);
    assert!((peers.limit_share(now) - 0.75).abs() < 1e-9);
}

#[test]
fn a_front_that_starts_partitioned_counts_its_seeds() {
    let mut peers = PeerTracker::default();
    peers.set_expected_peers(3);
    assert!((peers.limit_share(Instant(0)) - 0.25).abs() < 1e-9);
}

#[test]
fn a_front_that_shuts_down_is_not_counted() {
    let mut peers = PeerTracker::default();
    peers.on_message(1, 2, Instant(0));
    peers.on_leave(1);
    assert_eq!(peers.total_processes(Instant(10)), 1);
}

/// Consumption just before a start must stay in the window for its full length.
#[rstest]
#[case::from_a_peer(true)]
#[case::from_the_directory(false)]
fn a_restart_keeps_earlier_consumption(#[case] by_peer: bool) {
    let start = 100_000;
    let mut window = SharedWindow::new(LIMIT, Instant(start));
    match by_peer {
        true => window.on_peer(1, 77, Some(7_500), Instant(start)),
        false => window.on_restored(Some(7_500), Instant(start)),
    }
    let sum = consume_all(&mut window, 1.0, start, 7_900);
    assert!(
        sum <= 500,
        "{sum} consumed in addition to the earlier 7,500"
    );
}

#[test]
fn a_start_after_low_usage_allows_typical_use() {
    let start = 100_000;
    let mut window = SharedWindow::new(LIMIT, Instant(start));
    window.on_restored(None, Instant(start));
    // A typical organisation uses about half of its limit.
    for now in (start..start + 8_000).step_by(100) {
        assert!(window.consume(50, 1.0, Instant(now)).is_ok(), "at {now}");
    }
}

#[test]
fn only_high_usage_is_persisted() {
    let mut window = established(Instant(20_000));
    assert!(window.consume(3_000, 1.0, Instant(20_000)).is_ok());
    assert_eq!(window.high_usage(Instant(20_001)), None);
    assert!(window.consume(2_000, 1.0, Instant(20_001)).is_ok());
    assert_eq!(window.high_usage(Instant(20_002)), Some(5_000));
}

#[test]
fn retries_stay_within_the_budget_of_any_window() {
    let mut budget = SharedRetryBudget::new(0.2, 40.0, Millis(10_000), Instant(0));
    let mut taken = Vec::new();
    for now in (0..60_000).step_by(20) {
        budget.on_request(4, Instant(now));
        if budget.try_consume(4, Instant(now)) {
            taken.push(now);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = taken
            .iter()
            .filter(|t| (end - 10_000..end).contains(*t))
            .count();
        // A window has 500 requests: a fifth of them, and a quarter of the constant part.
        assert!(within <= 110, "{within} retries before {end}");
    }
    assert!(taken.len() > 300, "{}", taken.len());
}

/// A snapshot is older than what the other processes know, and lacks what they consumed since.
#[test]
fn the_first_report_of_a_peer_raises_the_usage_restored_before_it() {
    let limit = WindowLimit {
        window: Millis(8_000),
        amount: 1_000,
    };
    let now = Instant(100_000);
    let mut window = SharedWindow::new(limit, now);
    window.on_restored(Some(600), now);
    assert!(window.consume(50, 1.0, now).is_ok());
    window.on_peer(7, 400, Some(900), now);
    assert_eq!(window.usage(now), Some(900));
    // Later reports add what has been consumed since, and nothing twice.
    window.on_peer(7, 420, Some(970), now);
    assert_eq!(window.usage(now), Some(920));
    window.on_peer(8, 10, Some(300), now);
    assert_eq!(window.usage(now), Some(920));
    assert!(window.consume(100, 1.0, now).is_err());
}

/// Half of the limit is assumed to have been consumed evenly; all of it may have been a moment ago.
#[test]
fn the_first_report_of_a_peer_replaces_the_usage_assumed_before_it() {
    let limit = WindowLimit {
        window: Millis(8_000),
        amount: 1_000,
    };
    let now = Instant(100_000);
    let mut window = SharedWindow::new(limit, now);
    window.on_restored(None, now);
    assert!(window.consume(50, 1.0, now).is_ok());
    assert_eq!(window.reported_usage(now), None);
    window.on_peer(7, 400, Some(450), now);
    let later = now.after(Millis(7_000));
    window.on_peer(7, 400, Some(450), later);
    assert_eq!(window.usage(later), Some(500));
    assert_eq!(window.reported_usage(later), Some(500));
}
