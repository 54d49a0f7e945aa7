//! The admission gate of one endpoint, event by event.

use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::config::{Objective, PoolKind, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::{
    FULL_COOLDOWN, Gate, GateConfig, RunOutcome, Step, Verdict, Withdrawal, Work,
};
use sesamehaven::id::RequestId;
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::unit::{Instant, Millis, Tokens};

fn config() -> GateConfig {
    GateConfig {
        kind: PoolKind::Model,
        queue_requests: 4,
        concurrency: 2,
        reserve_percent: 0,
        preempt: false,
        most_urgent: Tier::MOST_URGENT,
        objective: Objective::default(),
    }
}

fn work(id: u128, tier: u8) -> Work {
    Work {
        id: RequestId(id),
        tier: Tier::new(tier).expect("tests name tiers that exist"),
        organisation: OrganisationDigest(1),
        weight: 1,
        prompt: Tokens(100),
        output: Tokens(20),
        deadline: Instant(1_000_000),
        repeat: Repeat::Idempotent,
        fingerprint: 0,
        suspect: false,
    }
}

fn accept(gate: &mut Gate, id: u128, tier: u8, now: Instant) -> Vec<(RequestId, Refused)> {
    match gate.offer(work(id, tier), now) {
        Verdict::Accepted { evicted, .. } => evicted.to_vec(),
        Verdict::Refused(refused) => panic!("{id} was refused: {refused:?}"),
    }
}

fn refuse(gate: &mut Gate, work: Work, now: Instant) -> Refused {
    match gate.offer(work, now) {
        Verdict::Refused(refused) => refused,
        Verdict::Accepted { .. } => panic!("{} was accepted", work.id),
    }
}

fn dispatched(gate: &mut Gate, now: Instant) -> Vec<u128> {
    let ids = gate.poll(now).into_iter().filter_map(|step| match step {
        Step::Dispatch(id) => Some(id.0),
        _ => None,
    });
    ids.collect()
}

/// Creates a gate whose endpoint is busy and whose queue holds requests 10, 11, … of the
/// given tiers.
fn busy(cfg: GateConfig, tiers: [u8; 4], now: Instant) -> Gate {
    let mut gate = Gate::new(cfg);
    accept(&mut gate, 1, 0, now);
    accept(&mut gate, 2, 0, now);
    assert_eq!(dispatched(&mut gate, now), [1, 2]);
    for (id, tier) in (10..).zip(tiers) {
        accept(&mut gate, id, tier, now);
    }
    gate
}

#[rstest]
fn urgent_work_precedes_queued_work() {
    let now = Instant(1_000);
    let mut gate = busy(config(), [3, 2, 0, 1], now);
    let mut order = Vec::new();
    let mut last = 1;
    for _ in 0..4 {
        gate.on_first_token(RequestId(last), now);
        gate.on_end(RequestId(last), RunOutcome::Completed, now);
        let next = dispatched(&mut gate, now);
        assert_eq!(next.len(), 1);
        last = next[0];
        order.push(last);
    }
    assert_eq!(order, [12, 13, 11, 10]);
}

#[rstest]
fn a_full_queue_evicts_the_least_urgent_tier_before_refusing() {
    let now = Instant(1_000);
    let mut gate = busy(config(), [3, 2, 2, 1], now);
    let evicted = accept(&mut gate, 20, 1, now);
    assert_eq!(evicted[0].0, RequestId(10));
    assert_eq!(evicted[0].1.reason, Refusal::Evicted);
    let refused = refuse(&mut gate, work(21, 2), now);
    assert_eq!(refused.reason, Refusal::Full);
    assert_eq!(refused.admits, Some(Tier::new(1).unwrap()));
}

#[rstest]
fn a_refusal_as_full_closes_the_queue_to_less_urgent_tiers() {
    let now = Instant(1_000);
    let mut gate = busy(config(), [1, 1, 1, 1], now);
    assert_eq!(refuse(&mut gate, work(20, 1), now).reason, Refusal::Full);
    assert_eq!(gate.withdraw(RequestId(10), now), Withdrawal::Withdrawn);
    let within = Instant(now.0 + FULL_COOLDOWN.0 - 1);
    let refused = refuse(&mut gate, work(21, 2), within);
    assert_eq!(refused.reason, Refusal::Full);
    assert_eq!(refused.admits, Some(Tier::new(1).unwrap()));
    accept(&mut gate, 22, 1, within);
    gate.withdraw(RequestId(22), within);
    accept(&mut gate, 23, 2, now.after(FULL_COOLDOWN));
}

#[rstest]
fn withdrawal_distinguishes_queued_from_dispatched_work() {
    let now = Instant(1_000);
    let mut gate = busy(config(), [0, 0, 0, 0], now);
    assert_eq!(gate.withdraw(RequestId(10), now), Withdrawal::Withdrawn);
    assert_eq!(gate.withdraw(RequestId(10), now), Withdrawal::Unknown);
    assert_eq!(
        gate.withdraw(RequestId(1), now),
        Withdrawal::AlreadyDispatched
    );
}

#[rstest]
fn a_closed_gate_returns_its_queue_and_refuses_offers() {
    let now = Instant(1_000);
    let mut gate = busy(config(), [0, 1, 2, 3], now);
    let returned = gate.close(now);
    assert_eq!(returned.len(), 4);
    assert!(returned.iter().all(|(_, r)| r.reason == Refusal::Leaving));
    assert_eq!(refuse(&mut gate, work(30, 0), now).reason, Refusal::Leaving);
    assert_eq!(gate.running(), 2);
}

#[rstest]
#[case::allowed(true)]
#[case::not_allowed(false)]
fn running_work_is_preempted_only_if_configured(#[case] preempt: bool) {
    let now = Instant(1_000);
    let mut cfg = config();
    cfg.preempt = preempt;
    let mut gate = Gate::new(cfg);
    accept(&mut gate, 1, 3, now);
    accept(&mut gate, 2, 2, now);
    assert_eq!(dispatched(&mut gate, now).len(), 2);
    accept(&mut gate, 3, 0, now);
    let steps = gate.poll(now);
    assert_eq!(steps.contains(&Step::Cancel(RequestId(1))), preempt);
    gate.on_end(RequestId(1), RunOutcome::Cancelled, now);
    assert_eq!(dispatched(&mut gate, now), [3]);
}

#[rstest]
fn work_that_cannot_meet_its_deadline_is_refused() {
    let now = Instant(1_000);
    let mut gate = busy(config(), [1, 1, 1, 1], now);
    gate.withdraw(RequestId(10), now);
    let mut late = work(20, 0);
    late.deadline = Instant(1_500);
    assert!(matches!(gate.offer(late, now), Verdict::Accepted { .. }));
    let steps = gate.poll(Instant(1_501));
    let refused = steps.iter().find_map(|step| match step {
        Step::Refuse(id, refused) if id.0 == 20 => Some(refused.reason),
        _ => None,
    });
    assert_eq!(refused, Some(Refusal::DeadlineUnreachable));
    assert!(
        gate.next_wake(now)
            .is_some_and(|at| at > now.after(Millis(1)))
    );
}

#[rstest]
fn retry_after_grows_with_load_and_has_jitter() {
    let now = Instant(10_000);
    let retry_after = |refusals: u128| {
        let mut gate = busy(config(), [0, 0, 0, 0], now);
        for id in 100..100 + refusals {
            refuse(&mut gate, work(id, 0), now);
        }
        let spans = (10_000..10_040).map(|id| refuse(&mut gate, work(id, 0), now).retry_after);
        let spans: Vec<u64> = spans.map(|span| span.0).collect();
        let (least, most) = (spans.iter().min().copied(), spans.iter().max().copied());
        (least.unwrap_or(0), most.unwrap_or(0))
    };
    let (light, heavy) = (retry_after(10), retry_after(200));
    assert!(
        heavy.0 > light.1,
        "{light:?} under light load, {heavy:?} under heavy"
    );
    assert!(light.1 > light.0 * 5 / 4, "{light:?} is hardly spread");
}

#[rstest]
fn a_long_request_neither_blocks_short_ones_nor_starves() {
    let mut cfg = config();
    (cfg.queue_requests, cfg.concurrency) = (400, 8);
    let mut gate = Gate::new(cfg);
    let mut now = Instant(0);
    let long = |id| Work {
        prompt: Tokens(10_000),
        ..work(id, 1)
    };
    let mut started = Vec::new();
    for id in 0..40 {
        accept(&mut gate, id, 1, now);
    }
    for id in [1_000, 1_001, 1_002] {
        assert!(matches!(
            gate.offer(long(id), now),
            Verdict::Accepted { .. }
        ));
    }
    let mut running: Vec<(u128, Instant)> = Vec::new();
    let mut next = 40;
    while now.0 < 60_000 {
        for id in dispatched(&mut gate, now) {
            started.push((id, now));
            let span = if id >= 1_000 { 10_000 } else { 100 };
            running.push((id, now.after(Millis(span))));
        }
        now = now.after(Millis(50));
        let prefilled = running.iter().filter(|(id, _)| *id < 1_000);
        for (id, _) in prefilled {
            gate.on_first_token(RequestId(*id), now);
        }
        for (id, _) in running.extract_if(.., |(_, end)| *end <= now) {
            gate.on_first_token(RequestId(id), now);
            gate.on_end(RequestId(id), RunOutcome::Completed, now);
            if next < 900 {
                accept(&mut gate, next, 1, now);
                next += 1;
            }
        }
    }
    let start = |id: u128| started.iter().find(|(i, _)| *i == id).map(|(_, at)| at.0);
    let longs: Vec<_> = [1_000, 1_001, 1_002].map(start).into();
    assert!(
        longs.iter().all(Option::is_some),
        "long requests starved: {longs:?}"
    );
    let first = longs.iter().flatten().min().copied().unwrap_or(0);
    let during = started
        .iter()
        .filter(|(id, at)| *id < 1_000 && (first..first + 10_000).contains(&at.0));
    let during = during.count();
    assert!(
        during > 100,
        "only {during} short requests started beside a long one"
    );
}

#[test]
fn a_held_gate_dispatches_nothing_before_its_time() {
    let now = Instant(1_000);
    let until = Instant(2_500);
    let mut gate = Gate::new(config());
    accept(&mut gate, 1, 0, now);
    let hasty = Work {
        deadline: Instant(2_000),
        ..work(2, 0)
    };
    assert!(matches!(gate.offer(hasty, now), Verdict::Accepted { .. }));
    gate.hold(until);
    let steps = gate.poll(now);
    let returned = RequestId(2);
    assert!(
        matches!(steps[..], [Step::Refuse(id, Refused { reason: Refusal::DeadlineUnreachable, .. })] if id == returned),
        "{steps:?}"
    );
    let refused = refuse(
        &mut gate,
        Work {
            id: RequestId(3),
            ..hasty
        },
        now,
    );
    assert_eq!(refused.reason, Refusal::DeadlineUnreachable);
    accept(&mut gate, 4, 0, now);
    // A shorter pause, as of a request that was turned away before, changes nothing.
    gate.hold(Instant(1_500));
    assert_eq!(dispatched(&mut gate, Instant(2_499)), []);
    assert!(gate.load(now).queued[0] > gate.load(until).queued[0]);
    assert_eq!(gate.next_wake(now), Some(until));
    assert_eq!(dispatched(&mut gate, until), [1, 4]);
}
