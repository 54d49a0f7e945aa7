//! The usage of limits that fronts report to each other.

use rstest::rstest;

use sesamehaven::limit_use::LimitUse;
use sesamehaven::unit::Instant;
use sesamehaven_front::peers::{Digest, Peers, encode};
use sesamehaven_front::routing_table::{Organisation, RateLimit, RoutingTable};
use sesamehaven_front::settings::Bounds;
use sesamehaven_front::shared_limits::{SharedLimits, UsageChanges};

/// The limits of the deployment with hundreds of VMs.
const ORGANISATIONS: usize = 40;
/// The number of organisations whose requests reach one front between two digests there.
const ACTIVE: usize = 5;

fn limits(organisations: usize) -> SharedLimits {
    let organisations = (0..organisations).map(|n| Organisation {
        name: format!("organisation-{n}").into(),
        keys: Vec::new(),
        tier: None,
        limit: Some(RateLimit {
            rate_per_s: 1_000_000,
            burst: 0,
            counts_tokens: true,
            default_tokens: 200,
        }),
    });
    let table = RoutingTable::new(1, Vec::new(), organisations.collect());
    let mut limits = SharedLimits::default();
    limits.set_table(&table, &Bounds::default(), Instant(0));
    // The limits count as used up until the usage from before the start is known.
    limits.restore(&[], Instant(0));
    limits
}

fn charge(limits: &mut SharedLimits, organisation: usize, peers: &Peers) {
    let name = format!("organisation-{organisation}");
    let charged = limits.charge(&name, 3_000, &peers.liveness, Instant(1));
    assert!(charged.is_ok());
}

fn peers() -> Peers {
    Peers::new(([127, 0, 0, 1], 7_600).into(), 1, "north", Vec::new())
}

fn len(digest: &mut Digest) -> usize {
    encode(digest).map(|buf| buf.len()).unwrap_or(usize::MAX)
}

#[test]
fn a_change_is_reported_once_to_each_group_of_fronts() {
    let (mut limits, peers) = (limits(ORGANISATIONS), peers());
    let (mut near, mut far) = (UsageChanges::default(), UsageChanges::default());
    charge(&mut limits, 3, &peers);
    assert_eq!(limits.usage_changes(&mut near).len(), 1);
    assert!(limits.usage_changes(&mut near).is_empty());
    charge(&mut limits, 4, &peers);
    assert_eq!(limits.usage_changes(&mut near).len(), 1);
    assert_eq!(limits.usage_changes(&mut far).len(), 2);
}

/// Guards against requests of one front being ordered by its own part of the usage only, and against an
/// organisation without a limit that always goes first or last.
#[test]
fn the_order_of_organisations_follows_the_usage_at_all_fronts() {
    let (mut own, mut other, peers) = (limits(4), limits(4), peers());
    // What was assumed at the start has left the window.
    let now = Instant(20_000);
    own.merge_usage(7, &other.usage(now), true, now);
    let name = "organisation-2";
    let charged = other.charge(name, 4_000_000, &peers.liveness, now);
    assert!(charged.is_ok());
    own.merge_usage(7, &other.usage(now), true, now);
    let used = own.limit_use(Some(name), now);
    assert_eq!(used, other.limit_use(Some(name), now));
    let unused = own.limit_use(Some("organisation-1"), now);
    assert_eq!(unused, LimitUse::default());
    for unlimited in [None, Some("without-a-limit")] {
        let average = own.limit_use(unlimited, now).level();
        assert!(unused.level() < average && average < used.level());
    }
}

/// Changes alone, with a lost one among them, add up to what was used.
#[rstest]
#[case::none_lost(usize::MAX)]
#[case::first_lost(0)]
#[case::last_but_one_lost(3)]
fn a_lost_change_is_made_up_for_by_the_next(#[case] lost: usize) {
    let (mut sender, mut receiver, peers) = (limits(1), limits(1), peers());
    let mut changes = UsageChanges::default();
    receiver.merge_usage(7, &sender.usage(Instant(1)), true, Instant(1));
    for n in 0..5 {
        charge(&mut sender, 0, &peers);
        let usage = sender.usage_changes(&mut changes);
        if n != lost {
            receiver.merge_usage(7, &usage, false, Instant(1));
        }
    }
    let used = |limits: &SharedLimits| limits.usage(Instant(1))[0].sum;
    assert_eq!(used(&receiver), used(&sender));
}

/// A digest with the few changes of 50 ms is at most a fifth of one with the whole usage.
#[test]
fn a_digest_does_not_grow_with_idle_organisations() {
    let (mut limits, mut peers) = (limits(ORGANISATIONS), peers());
    let mut changes = UsageChanges::default();
    for organisation in 0..ORGANISATIONS {
        charge(&mut limits, organisation, &peers);
    }
    limits.usage_changes(&mut changes);
    for organisation in 0..ACTIVE {
        charge(&mut limits, organisation, &peers);
    }
    let mut digest = peers.digest(Instant(1));
    digest.usage = limits.usage(Instant(1));
    let full = len(&mut digest);
    digest.usage = limits.usage_changes(&mut changes);
    let partial = len(&mut digest);
    assert!(partial * 5 <= full, "{partial} of {full} bytes");
}
