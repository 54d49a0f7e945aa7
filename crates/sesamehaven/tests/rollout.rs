//! Rollouts over several processes: phases, exposure and the writing of the verdict.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use sesamehaven::Tier;
use sesamehaven::backlog::Ticket;
use sesamehaven::dispatcher::{Dispatcher, Step, Work};
use sesamehaven::exposure::{Access, Exposure, VersionRules};
use sesamehaven::placement::{DispatchOutcome, ListedEndpoint};
use sesamehaven::rollout::{OrderState, Phase, Rollout, RolloutOrder, Surroundings};
use sesamehaven::rollout_evidence::{Evidence, Outcome, Side};
use sesamehaven::software_version::PoolVersion;
use sesamehaven::unit::{Instant, Millis};

const DURATION: Millis = Millis(14_000);
const MAX_AGE: Millis = Millis(1_000);

fn order(state: OrderState, revision: u64) -> RolloutOrder {
    RolloutOrder {
        name: "drafting".into(),
        created: 5,
        revision,
        pool: "drafting".into(),
        candidate: "v2".parse().unwrap(),
        duration: DURATION,
        state,
        error: None,
    }
}

fn rollout() -> Rollout {
    Rollout::new(order(OrderState::New, 5), MAX_AGE, Instant(10_000))
}

/// A pool with both versions, in a fleet whose processes hear each other.
fn seen() -> Surroundings {
    Surroundings {
        endpoints: 8,
        candidates: 4,
        others: 4,
        running_elsewhere: 3,
        is_connected: true,
    }
}

/// Totals in which `bad` of `requests` at the candidate failed, spread over its endpoints.
fn evidence(requests: u32, bad: u32) -> Evidence {
    let mut evidence = Evidence::default();
    for n in 0..requests {
        let outcome = match n < bad {
            true => Outcome::Failed,
            false => Outcome::Good,
        };
        evidence.record(Side::Candidate, 1, n % 4, outcome);
        (0..10).for_each(|_| evidence.record(Side::Baseline, 1, 0, Outcome::Good));
    }
    evidence
}

/// Ticks a rollout each 100 ms until a phase begins, and returns it with the time.
fn next_phase(
    rollout: &mut Rollout,
    seen: &Surroundings,
    from: u64,
    until: u64,
) -> Option<(Phase, u64)> {
    let mut ticks = (from..until).step_by(100);
    ticks.find_map(|ms| rollout.on_tick(seen, Instant(ms)).map(|phase| (phase, ms)))
}

#[test]
fn a_sound_candidate_is_promoted_and_succeeds_before_the_limit() {
    let mut rollout = rollout();
    rollout.set_own_evidence(&evidence(200, 0));
    let limit = 9_000 + DURATION.0;
    let (phase, promoted_at) = next_phase(&mut rollout, &seen(), 10_000, limit).unwrap();
    assert_eq!(phase, Phase::Promoting);
    let (phase, at) = next_phase(&mut rollout, &seen(), promoted_at, limit).unwrap();
    assert_eq!(phase, Phase::Succeeded);
    assert!(at + 2_000 <= limit, "{at}");
}

/// At `succeeded` the other versions stop at once, so that what still runs there would be lost.
#[test]
fn a_rollout_succeeds_as_soon_as_nothing_runs_at_the_other_versions() {
    let mut rollout = rollout();
    rollout.set_own_evidence(&evidence(200, 0));
    let limit = 9_000 + DURATION.0;
    let (_, promoted_at) = next_phase(&mut rollout, &seen(), 10_000, limit).unwrap();
    let busy = next_phase(&mut rollout, &seen(), promoted_at, promoted_at + 1_000);
    assert_eq!(busy, None);
    let idle = Surroundings {
        running_elsewhere: 0,
        ..seen()
    };
    let now = Instant(promoted_at + 1_000);
    assert_eq!(rollout.on_tick(&idle, now), Some(Phase::Succeeded));
}

/// An order to move a pool to the version that it runs would otherwise close its only endpoints.
#[test]
fn a_candidate_without_any_other_version_is_not_rolled_back() {
    let mut rollout = rollout();
    let alone = Surroundings {
        others: 0,
        ..seen()
    };
    let phase = next_phase(&mut rollout, &alone, 10_000, 60_000);
    assert_eq!(phase.map(|(phase, _)| phase), Some(Phase::Succeeded));
}

#[rstest]
#[case::partitioned(Surroundings { is_connected: false, ..seen() })]
#[case::without_candidates(Surroundings { candidates: 0, ..seen() })]
fn a_candidate_is_not_promoted(#[case] seen: Surroundings) {
    let mut rollout = rollout();
    rollout.set_own_evidence(&evidence(200, 0));
    let phase = next_phase(&mut rollout, &seen, 10_000, 60_000);
    assert_ne!(phase.map(|(phase, _)| phase), Some(Phase::Promoting));
}

#[rstest]
#[case::unused(evidence(3, 0), seen(), "only 3 responses")]
#[case::without_endpoints(Evidence::default(), Surroundings { candidates: 0, ..seen() }, "no endpoint of the version")]
#[case::unknown_pool(Evidence::default(), Surroundings { endpoints: 0, ..seen() }, "no endpoint serves the pool")]
fn an_order_that_cannot_be_carried_out_is_rolled_back_with_a_reason(
    #[case] evidence: Evidence,
    #[case] seen: Surroundings,
    #[case] reason: &str,
) {
    let mut rollout = rollout();
    rollout.set_own_evidence(&evidence);
    let (phase, at) = next_phase(&mut rollout, &seen, 10_000, 60_000).unwrap();
    assert_eq!(phase, Phase::RolledBack);
    assert!(at < 9_000 + DURATION.0);
    let write = rollout.pending_write(0, Instant(at)).unwrap();
    assert_eq!(write.state, OrderState::RolledBack);
    assert!(write.reason.contains(reason), "{}", write.reason);
}

#[test]
fn a_verdict_of_another_process_is_adopted_and_an_older_one_is_not() {
    let (mut first, mut second) = (rollout(), rollout());
    first.set_own_evidence(&evidence(200, 150));
    let now = Instant(12_000);
    assert_eq!(first.on_tick(&seen(), now), Some(Phase::RolledBack));
    let behind = second.report(now);
    assert_eq!(first.on_peer(2, &behind, now), None);
    assert_eq!(
        second.on_peer(1, &first.report(now), now),
        Some(Phase::RolledBack)
    );
    assert_eq!(second.reason(), first.reason());
}

/// A process that was paused across the verdict comes back with an old belief.
#[test]
fn the_listed_verdict_overrides_what_a_process_believes() {
    let mut rollout = rollout();
    rollout.set_own_evidence(&evidence(200, 0));
    let (phase, at) = next_phase(&mut rollout, &seen(), 10_000, 60_000).unwrap();
    assert_eq!(phase, Phase::Promoting);
    let now = Instant(at + 100);
    let verdict = rollout.on_listed(order(OrderState::RolledBack, 9), now);
    assert_eq!(verdict, Some(Phase::RolledBack));
    assert_eq!(rollout.pending_write(0, now), None);
    let idle = Surroundings {
        running_elsewhere: 0,
        ..seen()
    };
    assert_eq!(rollout.on_tick(&idle, now.after(Millis(5_000))), None);
}

/// The directory may come back from an older copy, in which the verdict is missing.
#[test]
fn a_verdict_that_the_directory_has_lost_is_written_again() {
    let mut rollout = rollout();
    rollout.on_listed(order(OrderState::RolledBack, 9), Instant(11_000));
    assert_eq!(rollout.pending_write(0, Instant(11_000)), None);
    rollout.on_listed(order(OrderState::Running, 7), Instant(12_000));
    assert_eq!(rollout.phase(), Phase::RolledBack);
    let write = rollout.pending_write(0, Instant(13_000)).unwrap();
    assert_eq!((write.state, write.revision), (OrderState::RolledBack, 7));
}

#[test]
fn processes_take_turns_to_write_a_status() {
    let (mut first, mut third) = (rollout(), rollout());
    let now = Instant(10_000);
    assert!(first.pending_write(0, now).is_some());
    assert_eq!(first.pending_write(0, now.after(Millis(500))), None);
    assert!(first.pending_write(0, now.after(Millis(1_000))).is_some());
    assert_eq!(third.pending_write(2, now), None);
    assert!(third.pending_write(2, now.after(Millis(800))).is_some());
}

#[test]
fn a_rolled_back_version_takes_nothing_and_a_retired_one_only_its_streams() {
    let (old, new) = (PoolVersion(1), order(OrderState::New, 5).candidate());
    let mut rollout = rollout();
    assert_eq!(rollout.rules(0.1).access(new), Access::Candidate);
    rollout.set_own_evidence(&evidence(200, 0));
    next_phase(&mut rollout, &seen(), 10_000, 60_000);
    rollout.retire([old, new]);
    assert_eq!(rollout.rules(0.1).access(old), Access::BegunStreams);
    assert_eq!(rollout.rules(0.1).access(new), Access::Open);
    rollout.on_listed(order(OrderState::RolledBack, 9), Instant(60_000));
    assert_eq!(rollout.rules(0.1).access(old), Access::Open);
    assert_eq!(rollout.rules(0.1).access(new), Access::Closed);
}

proptest! {
    /// The share holds for the sum over processes of any size that start at any time.
    #[test]
    fn the_exposed_share_holds_for_all_processes_together(
        processes in proptest::collection::vec((0_u64..400, 0_usize..3), 1..30),
    ) {
        let classes = ["brief", "roundup", "steps"];
        let (mut requests, mut exposed) = (0_u64, 0_u64);
        for (count, class) in processes {
            let mut exposure = Exposure::default();
            for n in 0..count {
                let class = SmolStr::new(classes[(class + n as usize) % classes.len()]);
                let is_exposed = exposure.has_room(&class, 0.08);
                exposure.on_start(&class, is_exposed);
                (requests, exposed) = (requests + 1, exposed + u64::from(is_exposed));
            }
        }
        prop_assert!(exposed as f64 <= 0.08 * requests as f64);
    }
}

fn listed(id: &str, version: PoolVersion) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        slots: 6,
        is_near: true,
        is_ready: true,
        version,
    }
}

/// Sends requests one after the other, and returns how many the endpoints `new-…` got.
fn send(pool: &mut Dispatcher, tickets: std::ops::Range<u64>, outcome: DispatchOutcome) -> usize {
    let mut to_candidate = 0;
    for ticket in tickets {
        let now = Instant(ticket * 10);
        let work = Work::new("brief", Tier::MOST_URGENT, Millis(500), now);
        let steps = pool.on_arrival(Ticket(ticket), work, now);
        let [Step::Start { endpoint, .. }] = &steps[..] else {
            panic!("not started: {steps:?}");
        };
        to_candidate += usize::from(endpoint.starts_with("new"));
        pool.on_end(Ticket(ticket), outcome, now.after(Millis(5)));
    }
    to_candidate
}

/// A pool with two endpoints of each version, the second of which is tried.
fn pool_with_candidate(old: PoolVersion, new: PoolVersion) -> Dispatcher {
    let mut pool = Dispatcher::new(3);
    pool.set_version_rules(VersionRules {
        candidate: Some(new),
        share: 0.08,
        ..VersionRules::default()
    });
    let ids = ["old-1", "old-2", "new-1", "new-2"];
    let endpoints = ids.map(|id| listed(id, if id.starts_with("old") { old } else { new }));
    pool.set_endpoints(endpoints);
    pool
}

#[test]
fn a_dispatcher_exposes_a_share_and_counts_what_came_of_it() {
    let (old, new) = (PoolVersion(1), PoolVersion(2));
    let mut pool = pool_with_candidate(old, new);
    assert_eq!(send(&mut pool, 1..1_001, DispatchOutcome::Success), 80);
    let candidate = pool.rollout_evidence().unwrap().candidate();
    assert_eq!((candidate.requests, candidate.bad()), (80, 0));
    pool.set_version_rules(VersionRules {
        closed: smallvec::smallvec![new],
        ..VersionRules::default()
    });
    assert_eq!(send(&mut pool, 2_000..2_100, DispatchOutcome::Success), 0);
    pool.set_version_rules(VersionRules {
        retired: smallvec::smallvec![old],
        ..VersionRules::default()
    });
    assert_eq!(send(&mut pool, 3_000..3_100, DispatchOutcome::Success), 100);
}

/// Half of all endpoints may be all those that take requests which begin anywhere, while a version is
/// tried beside as many of another one.
#[test]
fn failures_do_not_eject_all_endpoints_beside_a_candidate() {
    let (old, new) = (PoolVersion(1), PoolVersion(2));
    let mut pool = pool_with_candidate(old, new);
    send(&mut pool, 1..400, DispatchOutcome::Failure);
}
