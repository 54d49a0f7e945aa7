//! Configuration delivery: a process never serves a lower generation than before, and
//! starts with the highest one that its peers report.

#![allow(clippy::unwrap_used)] // Panicking is the intended failure mode of tests.

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::delivery::{ConfigVersion, Delivery, Policy, Read, Step, Verdict};
use sesamehaven::election::watchers;
use sesamehaven::id::{DaemonName, Digest, Generation};
use sesamehaven::unit::Instant;

fn version(generation: u64) -> ConfigVersion {
    ConfigVersion {
        generation: Generation(generation),
        digest: Digest::of(&generation.to_be_bytes()),
    }
}

fn name(i: usize) -> DaemonName {
    format!("daemon-{i}").parse().unwrap()
}

fn serving(generation: u64) -> Delivery {
    let mut delivery = Delivery::new(name(0), Policy::default(), Instant(0));
    let verdict = delivery.offer(version(generation), Instant(1_000));
    assert_eq!(verdict, Verdict::Serve);
    delivery
}

#[rstest]
#[case::same(version(5), Verdict::InForce)]
#[case::newer(version(6), Verdict::Serve)]
#[case::restored_platform(version(4), Verdict::Backward)]
#[case::fork(ConfigVersion { digest: Digest::of(b"other"), ..version(5) }, Verdict::Forked)]
fn offers_are_evaluated_against_the_active_version(
    #[case] offered: ConfigVersion,
    #[case] verdict: Verdict,
) {
    let mut delivery = serving(5);
    assert_eq!(delivery.offer(offered, Instant(2_000)), verdict);
    let served = delivery.in_force().unwrap().generation;
    assert_eq!(
        served,
        Generation(5).max(match verdict {
            Verdict::Serve => offered.generation,
            _ => Generation(0),
        })
    );
}

#[test]
fn a_start_during_an_outage_uses_the_highest_generation_of_the_peers() {
    let mut delivery = Delivery::new(name(0), Policy::default(), Instant(0));
    assert_eq!(delivery.next(Instant(0)), Step::ReadPlatform(Read::Get));
    delivery.platform_failed(Instant(10));
    delivery.hint(name(1), Generation(7), Instant(20));
    delivery.hint(name(2), Generation(9), Instant(30));
    let step = delivery.next(Instant(40));
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    assert_eq!(delivery.in_force(), None);

    assert_eq!(delivery.next(Instant(300)), Step::Fetch(name(2)));
    // An older generation is not served at startup while a peer has a newer one.
    assert_eq!(delivery.offer(version(7), Instant(310)), Verdict::Defer);
    assert_eq!(delivery.offer(version(9), Instant(320)), Verdict::Serve);
}

#[test]
fn a_deferred_configuration_is_served_once_no_peer_has_a_newer_one() {
    let mut delivery = Delivery::new(name(0), Policy::default(), Instant(0));
    delivery.hint(name(1), Generation(9), Instant(100));
    assert_eq!(delivery.offer(version(7), Instant(300)), Verdict::Defer);
    assert_eq!(delivery.next(Instant(300)), Step::Fetch(name(1)));
    delivery.peer_gone(&name(1), Instant(400));
    assert_eq!(delivery.next(Instant(400)), Step::OfferDeferred);
    assert_eq!(delivery.offer(version(7), Instant(400)), Verdict::Serve);
}

#[test]
fn an_agent_watches_while_too_few_entries_send_messages() {
    let daemons = |names: std::ops::Range<usize>| {
        let daemon = |i| serde_json::json!({"name": name(i), "data_centre": "aarhus"});
        names.map(daemon).collect::<Vec<_>>()
    };
    let configuration = serde_json::from_value(serde_json::json!({
        "data_centres": ["aarhus"], "entries": daemons(0..3), "agents": daemons(3..9),
        "pools": [], "endpoints": [], "classes": [], "contracts": [], "organisations": [],
    }));
    let index = sesamehaven::config::Index::new(Generation(5), configuration.unwrap());
    let mut entry = serving(5);
    entry.set_watchers(watchers(&index), Instant(1_000));
    assert!(entry.is_watcher());

    let mut agent = Delivery::new(name(4), Policy::default(), Instant(0));
    assert_eq!(agent.offer(version(5), Instant(1_000)), Verdict::Serve);
    agent.set_watchers(watchers(&index), Instant(1_000));
    let receive_hint = |agent: &mut Delivery, from: usize, at| {
        agent.hint(name(from), Generation(5), Instant(at));
        agent.next(Instant(at));
        agent.is_watcher()
    };
    assert!(receive_hint(&mut agent, 0, 1_100));
    assert!(receive_hint(&mut agent, 5, 1_100), "agents do not count");
    assert!(!receive_hint(&mut agent, 1, 1_200));
    agent.peer_gone(&name(0), Instant(1_300));
    agent.next(Instant(1_300));
    assert!(agent.is_watcher());
    assert!(!receive_hint(&mut agent, 2, 1_400));
    // Entries whose hints have expired do not count either.
    agent.next(Instant(9_000));
    assert!(agent.is_watcher());
}

#[test]
fn a_peer_with_an_unusable_response_is_not_queried_again_immediately() {
    let mut delivery = serving(5);
    delivery.hint(name(1), Generation(6), Instant(1_000));
    assert_eq!(delivery.next(Instant(1_000)), Step::Fetch(name(1)));
    // This build cannot parse the parts of the response, so it offers nothing.
    delivery.peer_answered(&name(1), Instant(1_010));
    assert!(!matches!(delivery.next(Instant(1_010)), Step::Fetch(_)));
    delivery.hint(name(1), Generation(6), Instant(1_500));
    assert!(!matches!(delivery.next(Instant(1_500)), Step::Fetch(_)));
    assert_eq!(delivery.next(Instant(2_100)), Step::Fetch(name(1)));
}

/// An event in a small fleet.
#[derive(Debug, Clone)]
enum Event {
    Apply,
    Restore(u64),
    Outage(bool),
    Restart(usize),
    Message(usize, usize),
    Pause(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Apply),
        1 => (1u64..20).prop_map(Event::Restore),
        2 => any::<bool>().prop_map(Event::Outage),
        2 => (0..FLEET).prop_map(Event::Restart),
        8 => (0..FLEET, 0..FLEET).prop_map(|(a, b)| Event::Message(a, b)),
        6 => (1u64..2_000).prop_map(Event::Pause),
    ]
}

const FLEET: usize = 4;

/// A fleet whose platform can fail or be restored from a backup, and whose messages
/// carry generations.
struct Fleet {
    now: Instant,
    down: bool,
    head: u64,
    applied: u64,
    daemons: Vec<Delivery>,
    deferred: Vec<Option<ConfigVersion>>,
}

impl Fleet {
    fn new() -> Self {
        let daemon = |i| Delivery::new(name(i), Policy::default(), Instant(0));
        Fleet {
            now: Instant(0),
            down: false,
            head: 1,
            applied: 1,
            daemons: (0..FLEET).map(daemon).collect(),
            deferred: vec![None; FLEET],
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Apply if !self.down && self.head == self.applied => {
                self.applied += 1;
                self.head = self.applied;
            }
            Event::Apply => {}
            Event::Restore(generation) => self.head = generation.min(self.head),
            Event::Outage(down) => self.down = down,
            Event::Restart(i) => {
                self.daemons[i] = Delivery::new(name(i), Policy::default(), self.now);
                self.deferred[i] = None;
            }
            Event::Message(from, to) => self.message(from, to),
            Event::Pause(millis) => self.now = Instant(self.now.0 + millis),
        }
        (0..FLEET).for_each(|i| self.step(i));
    }

    fn message(&mut self, from: usize, to: usize) {
        if let Some(served) = self.daemons[from].in_force() {
            self.daemons[to].hint(name(from), served.generation, self.now);
        }
    }

    fn step(&mut self, i: usize) {
        for _ in 0..64 {
            let now = self.now;
            match self.daemons[i].next(now) {
                Step::ReadPlatform(_) if self.down => self.daemons[i].platform_failed(now),
                // A watch returns when the version changes, here at the next step.
                Step::ReadPlatform(read) => {
                    self.daemons[i].platform_answered(read, now);
                    self.offer(i, version(self.head));
                    if read == Read::Watch {
                        return;
                    }
                }
                Step::Fetch(peer) => self.fetch(i, &peer),
                Step::OfferDeferred => {
                    let deferred = self.deferred[i].take().unwrap();
                    self.offer(i, deferred);
                }
                Step::Wait(until) => {
                    assert!(until > now, "waits for a time in the past");
                    return;
                }
            }
        }
        panic!("the steps do not terminate");
    }

    fn fetch(&mut self, i: usize, peer: &DaemonName) {
        let j = (0..FLEET).find(|j| name(*j) == *peer).unwrap();
        match self.daemons[j].in_force() {
            Some(served) if i != j => {
                self.daemons[i].peer_answered(peer, self.now);
                self.daemons[i].hint(peer.clone(), served.generation, self.now);
                self.offer(i, served);
            }
            _ => self.daemons[i].peer_gone(peer, self.now),
        }
    }

    fn offer(&mut self, i: usize, offered: ConfigVersion) {
        let before = self.daemons[i].in_force();
        let verdict = self.daemons[i].offer(offered, self.now);
        let after = self.daemons[i].in_force();
        assert!(
            after.map(|v| v.generation) >= before.map(|v| v.generation),
            "the generation decreased"
        );
        assert!(after != before || verdict != Verdict::Serve);
        if verdict == Verdict::Defer
            && self.deferred[i].is_none_or(|d| d.generation < offered.generation)
        {
            self.deferred[i] = Some(offered);
        }
    }

    /// Exchanges messages between all daemons for 20 rounds, with the platform down.
    fn settle(&mut self) {
        self.down = true;
        for _ in 0..20 {
            for from in 0..FLEET {
                (0..FLEET)
                    .filter(|to| *to != from)
                    .for_each(|to| self.message(from, to));
            }
            self.now = Instant(self.now.0 + 1_500);
            (0..FLEET).for_each(|i| self.step(i));
        }
    }
}

proptest! {
    #[test]
    fn generations_never_decrease_and_all_reach_the_highest(events in prop::collection::vec(event(), 1..120)) {
        let mut fleet = Fleet::new();
        events.iter().for_each(|e| fleet.apply(e));
        let highest = fleet.daemons.iter().filter_map(Delivery::in_force).map(|v| v.generation).max();
        fleet.settle();
        for daemon in &fleet.daemons {
            let served = daemon.in_force().map(|v| v.generation);
            prop_assert!(served >= highest);
            prop_assert!(served.is_none_or(|g| g.0 <= fleet.applied));
        }
        let served: Vec<_> = fleet.daemons.iter().map(Delivery::in_force).collect();
        prop_assert!(served.windows(2).all(|w| w[0] == w[1]), "{served:?}");
    }
}
