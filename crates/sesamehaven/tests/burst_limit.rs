//! What organisations may use at once, at several processes that tell each other their totals.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::shared_limit::{BurstLimit, SharedWindow, WindowLimit};
use sesamehaven::unit::{Instant, Millis};

const RATE_PER_S: u64 = 10_000;
const BURST: u64 = 10_000;
const WINDOW: Millis = Millis(8_000);
const START: u64 = 100_000;
/// The interval at which processes tell each other their totals.
const DIGEST_INTERVAL_MS: u64 = 50;
const AMOUNT: u64 = 70;

fn window(has_burst_limit: bool) -> SharedWindow {
    let limit = WindowLimit {
        window: WINDOW,
        amount: RATE_PER_S * WINDOW.0 / 1_000 + BURST,
    };
    let mut window = SharedWindow::new(limit, Instant(0));
    if has_burst_limit {
        let limit = BurstLimit {
            rate_per_s: RATE_PER_S as f64,
            burst: BURST as f64,
        };
        window.set_burst(limit, Instant(0));
    }
    assert!(window.consume(0, 1.0, Instant(START)).is_ok());
    window
}

/// Returns what an organisation consumes in each second at three processes together, if it asks for
/// `factor` times its rate.
fn consumed_per_s(factor: u64, has_burst_limit: bool) -> Vec<u64> {
    let mut processes: Vec<SharedWindow> = (0..3).map(|_| window(has_burst_limit)).collect();
    let mut consumed = vec![0; 6];
    let mut asked = 0;
    for ms in 0..6_000 {
        let now = Instant(START + ms);
        if ms % DIGEST_INTERVAL_MS == 0 {
            let totals: Vec<u64> = processes.iter().map(SharedWindow::consumed).collect();
            for (own, process) in processes.iter_mut().enumerate() {
                let others = (0..3).filter(|peer| *peer != own);
                others.for_each(|peer| process.on_peer(peer as u64, totals[peer], None, now));
            }
        }
        while asked < RATE_PER_S * factor * ms / 1_000 {
            asked += AMOUNT;
            let process = &mut processes[(asked / AMOUNT % 3) as usize];
            if process.consume(AMOUNT, 1.0, now).is_ok() {
                consumed[ms as usize / 1_000] += AMOUNT;
            }
        }
    }
    consumed
}

/// Two thirds of what is asked for in the time between two messages is not known when it is consumed.
fn unknown(factor: u64) -> u64 {
    RATE_PER_S * factor * DIGEST_INTERVAL_MS / 1_000
}

/// One organisation sends seven times its rate, which would take the endpoints from the others.
#[test]
fn a_hot_organisation_gets_its_rate_after_its_burst() {
    let limited = consumed_per_s(7, true);
    let at_most = RATE_PER_S + BURST + unknown(7);
    assert!(limited[0] <= at_most, "{limited:?}");
    for second in &limited[1..] {
        let range = RATE_PER_S * 9 / 10..=RATE_PER_S + unknown(7);
        assert!(range.contains(second), "{limited:?}");
    }
    let windowed = consumed_per_s(7, false);
    assert!(windowed[0] >= 7 * RATE_PER_S - 2 * AMOUNT, "{windowed:?}");
}

#[rstest]
#[case::at_its_rate(1)]
#[case::at_twice_its_rate_for_less_than_its_burst(2)]
fn an_organisation_is_not_refused_within_its_limit(#[case] factor: u64) {
    let asked = RATE_PER_S * factor;
    let consumed = consumed_per_s(factor, true)[0];
    assert!(consumed >= asked - 2 * AMOUNT, "{consumed} of {asked}");
}

/// Its own urgent requests would be refused for less urgent ones otherwise.
#[test]
fn a_hot_organisation_gets_its_urgent_requests_first() {
    let mut window = window(true);
    let tiers = [Tier::MOST_URGENT, Tier::new(2).unwrap()];
    let mut consumed = [0, 0];
    for ms in 0..4_000 {
        for (tier, consumed) in tiers.iter().zip(&mut consumed) {
            // Each tier asks for twice the rate.
            let amount = RATE_PER_S * 2 / 1_000;
            let now = Instant(START + ms);
            *consumed += match window.consume_as(*tier, amount, 1.0, now) {
                Ok(()) => amount,
                Err(_) => 0,
            };
        }
    }
    let [urgent, other] = consumed;
    assert!(urgent >= RATE_PER_S * 4, "{urgent} and {other}");
    assert!(other <= BURST, "{urgent} and {other}");
}

#[test]
fn an_organisation_without_urgent_requests_has_its_whole_burst() {
    let mut window = window(true);
    let consumed = window.consume_as(Tier::LEAST_URGENT, BURST, 1.0, Instant(START));
    assert!(consumed.is_ok(), "{consumed:?}");
}

#[test]
fn a_refund_may_be_consumed_again_at_once() {
    let (mut window, now) = (window(true), Instant(START));
    assert!(window.consume(BURST, 1.0, now).is_ok());
    assert!(window.consume(AMOUNT, 1.0, now).is_err());
    window.refund(AMOUNT, now);
    assert!(window.consume(AMOUNT, 1.0, now).is_ok());
}

#[test]
fn a_refusal_returns_when_the_rate_has_made_up_for_it() {
    let (mut window, now) = (window(true), Instant(START));
    assert!(window.consume(BURST, 1.0, now).is_ok());
    let wait = window.consume(RATE_PER_S / 2, 1.0, now).unwrap_err();
    assert_eq!(wait, Millis(500));
    assert!(window.consume(RATE_PER_S / 2, 1.0, now.after(wait)).is_ok());
}

/// It would never be available otherwise.
#[test]
fn an_amount_above_the_burst_waits_for_a_full_bucket() {
    let (mut window, now) = (window(true), Instant(START));
    assert!(window.consume(BURST * 2, 1.0, now).is_ok());
    assert!(
        window
            .consume(BURST * 2, 1.0, now.after(Millis(1_000)))
            .is_err()
    );
    assert!(
        window
            .consume(BURST * 2, 1.0, now.after(Millis(2_000)))
            .is_ok()
    );
}
