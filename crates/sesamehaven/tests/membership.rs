//! Membership derived from the daemons' own messages.

use rstest::rstest;

use sesamehaven::guard::Run;
use sesamehaven::id::{DaemonName, Incarnation, PoolName};
use sesamehaven::key::WallTime;
use sesamehaven::membership::{
    Change, Event, Health, LIST_LAG, Membership, VmState, latest_listed, select_agents,
};
use sesamehaven::unit::Instant;

fn run(incarnation: u64) -> Run {
    Run {
        name: "agent-1".parse().expect("a plain name"),
        incarnation: Incarnation(incarnation),
    }
}

fn listed(state: VmState, upto: u64) -> Event {
    Event::Listed {
        name: run(0).name,
        state,
        upto: Incarnation(upto),
    }
}

#[test]
fn a_stale_list_does_not_affect_a_later_run() {
    let mut membership = Membership::default();
    membership.on_event(Event::Heartbeat(run(5)), Instant(0));
    membership.on_event(listed(VmState::Gone, 4), Instant(1));
    membership.tick(Instant(60_000));
    assert_eq!(membership.health(&run(5).name), Some(Health::Lost));
    assert!(membership.has_ended(&run(4)) && !membership.has_ended(&run(5)));
    let lag_us = LIST_LAG.0 * 1_000;
    assert_eq!(latest_listed(WallTime(LIST_LAG.0 * 2)), Incarnation(lag_us));
}

#[test]
fn an_earlier_run_never_returns() {
    let mut membership = Membership::default();
    membership.on_event(Event::Heartbeat(run(5)), Instant(0));
    let changes = membership.on_event(Event::Heartbeat(run(7)), Instant(10));
    assert_eq!(changes, [Change::Started(run(7))]);
    assert!(
        membership
            .on_event(Event::Leaving(run(5)), Instant(20))
            .is_empty()
    );
    assert!(membership.has_ended(&run(5)));
    assert!(!membership.has_ended(&run(7)));
    assert_eq!(membership.health(&run(7).name), Some(Health::Alive));
}

#[rstest]
#[case(VmState::Live, 1_000, Health::Alive)]
#[case(VmState::Leaving, 1_000, Health::Leaving)]
#[case(VmState::Gone, 1_000, Health::Alive)]
#[case(VmState::Gone, 2_000, Health::Suspect)]
#[case(VmState::Gone, 3_000, Health::Gone)]
#[case(VmState::Live, 2_000, Health::Suspect)]
#[case(VmState::Live, 3_000, Health::Lost)]
fn a_vm_listed_as_gone_counts_only_after_the_timeout(
    #[case] vm: VmState,
    #[case] silent: u64,
    #[case] expected: Health,
) {
    let mut membership = Membership::default();
    membership.on_event(Event::Heartbeat(run(5)), Instant(0));
    membership.on_event(listed(vm, 5), Instant(1));
    membership.tick(Instant(silent));
    assert_eq!(membership.health(&run(5).name), Some(expected));
}

#[test]
fn a_timeout_does_not_prove_that_a_run_ended() {
    let mut membership = Membership::default();
    membership.on_event(Event::Heartbeat(run(5)), Instant(0));
    let lost = membership.tick(Instant(60_000));
    assert_eq!(lost, [Change::HealthChanged(run(5), Health::Lost)]);
    assert!(!membership.has_ended(&run(5)));
    let back = membership.on_event(Event::Heartbeat(run(5)), Instant(60_001));
    assert_eq!(back, [Change::HealthChanged(run(5), Health::Alive)]);
}

#[test]
fn a_resumed_process_reports_no_lost_daemons() {
    let mut membership = Membership::default();
    membership.on_event(Event::Heartbeat(run(5)), Instant(0));
    assert!(!membership.detect_pause(Instant(0), Instant(500)));
    assert!(membership.detect_pause(Instant(500), Instant(60_000)));
    assert!(membership.tick(Instant(60_000)).is_empty());
    assert_eq!(membership.tick(Instant(63_000)).len(), 1);
}

#[test]
fn a_lost_agent_affects_only_the_entries_that_selected_it() {
    let agents: Vec<DaemonName> = (0..100)
        .map(|i| format!("agent-{i}").parse().expect("a plain name"))
        .collect();
    let pool: PoolName = "drafts".parse().expect("a plain name");
    let mut uses = vec![0; agents.len()];
    for i in 0..40 {
        let entry: DaemonName = format!("entry-{i}").parse().expect("a plain name");
        let before = select_agents(&entry, &pool, &agents, 12);
        let after = select_agents(&entry, &pool, &agents[1..], 12);
        let kept = before.iter().filter(|a| after.contains(a)).count();
        let expected = if before.contains(&&agents[0]) { 11 } else { 12 };
        assert_eq!(kept, expected);
        for agent in before {
            uses[agents.iter().position(|a| a == agent).expect("listed")] += 1;
        }
    }
    let most = uses.iter().max().copied();
    let least = uses.iter().min().copied();
    println!("entries of an agent: {least:?} to {most:?}, 4.8 on average");
    assert!(
        most < Some(16),
        "one agent is used by {most:?} of 40 entries"
    );
}
