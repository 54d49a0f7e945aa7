//! Limits of organisations across several entries, and the bound on their state.

use rstest::rstest;

use sesamehaven::config::Limits;
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::outcome::Refusal;
use sesamehaven::quota::Quota;
use sesamehaven::unit::Instant;

const ORGANISATION: OrganisationDigest = OrganisationDigest(1);

fn limits() -> Limits {
    Limits {
        requests_per_second: Some(40.0),
        ..Limits::default()
    }
}

/// Sends 200 requests per second for 30 s, `parts` tenths to each entry, and returns the
/// rate of admitted requests over the last 20 s.
fn admitted(parts: [u64; 4], exchange: bool) -> f64 {
    let mut entries: [Quota; 4] = Default::default();
    entries.iter_mut().for_each(|q| q.set_entries(4));
    let mut admitted = 0;
    for count in 0..6_000u64 {
        let now = Instant(count * 5);
        let slot = (count * 7) % 10;
        let mut sum = 0;
        let entry = parts.iter().position(|n| {
            sum += n;
            slot < sum
        });
        let entry = &mut entries[entry.expect("ten parts")];
        if entry.admit(ORGANISATION, &limits(), 1.0, now).is_ok() {
            entry.on_end(ORGANISATION);
            admitted += u64::from(now.0 >= 10_000);
        }
        if exchange && now.0.is_multiple_of(1_000) {
            let summaries: Vec<_> = entries.iter().map(|q| q.summary(now)).collect();
            for (from, demands) in (0..).zip(&summaries) {
                let others = entries.iter_mut().enumerate();
                let others = others.filter(|(to, _)| *to as u64 != from);
                others.for_each(|(_, q)| q.on_summary(from, demands, now));
            }
        }
    }
    admitted as f64 / 20.0
}

#[rstest]
#[case::even([3, 3, 2, 2], true)]
#[case::uneven([7, 1, 1, 1], true)]
#[case::one_entry([10, 0, 0, 0], true)]
#[case::even_without_exchange([3, 3, 2, 2], false)]
fn a_rate_limit_holds_approximately_across_entries(
    #[case] parts: [u64; 4],
    #[case] exchange: bool,
) {
    let rate = admitted(parts, exchange);
    assert!(
        (32.0..50.0).contains(&rate),
        "{rate} requests a second of 40"
    );
}

#[rstest]
fn entries_without_exchange_never_exceed_the_limit() {
    let rate = admitted([7, 1, 1, 1], false);
    assert!(
        (20.0..=41.0).contains(&rate),
        "{rate} requests a second of 40"
    );
}

#[rstest]
fn tokens_and_concurrency_are_limited() {
    let mut quota = Quota::default();
    let limits = Limits {
        tokens_per_second: Some(1_000.0),
        concurrency: Some(2),
        ..Limits::default()
    };
    let now = Instant(10_000);
    assert!(quota.admit(ORGANISATION, &limits, 400.0, now).is_ok());
    assert!(quota.admit(ORGANISATION, &limits, 3_400.0, now).is_ok());
    let busy = quota.admit(ORGANISATION, &limits, 1.0, now).unwrap_err();
    assert_eq!(busy.reason, Refusal::Limited);
    quota.on_end(ORGANISATION);
    quota.on_end(ORGANISATION);
    let spent = quota.admit(ORGANISATION, &limits, 1.0, now).unwrap_err();
    assert!(spent.retry_after.0 > 2_000, "{}", spent.retry_after);
    let later = now.after(spent.retry_after);
    assert!(quota.admit(ORGANISATION, &limits, 1.0, later).is_ok());
}

#[rstest]
fn state_is_bounded_for_many_organisations() {
    let mut quota = Quota::default();
    for count in 0..42_000 {
        let organisation = OrganisationDigest(count);
        let admitted = quota.admit(organisation, &limits(), 1.0, Instant(count / 5));
        assert!(admitted.is_ok());
        quota.on_end(organisation);
    }
    assert!(quota.len() <= 8_192, "{} are held", quota.len());
}
