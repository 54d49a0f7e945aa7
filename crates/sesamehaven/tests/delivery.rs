//! The rules of delivery: never back, and the highest known at a start.

#![allow(clippy::unwrap_used)] // A test stops at what it does not expect.

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::delivery::{ConfigVersion, Delivery, Policy, Read, Step, Verdict};
use sesamehaven::election::watchers;
use sesamehaven::id::{DaemonName, Digest, Generation};
use sesamehaven::unit::Instant;

fn mark(generation: u64) -> ConfigVersion {
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
    let verdict = delivery.offer(mark(generation), Instant(1_000));
    assert_eq!(verdict, Verdict::Serve);
    delivery
}

#[rstest]
#[case::same(mark(5), Verdict::InForce)]
#[case::newer(mark(6), Verdict::Serve)]
#[case::restored_platform(mark(4), Verdict::Backward)]
#[case::fork(ConfigVersion { digest: Digest::of(b"other"), ..mark(5) }, Verdict::Forked)]
fn judges_against_what_is_in_force(#[case] offered: ConfigVersion, #[case] verdict: Verdict) {
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
fn start_during_an_outage_takes_the_highest_of_the_peers() {
    let mut delivery = Delivery::new(name(0), Policy::default(), Instant(0));
    assert_eq!(delivery.next(Instant(0)), Step::ReadPlatform(Read::Get));
    delivery.platform_failed(Instant(10));
    delivery.hint(name(1), Generation(7), Instant(20));
    delivery.hint(name(2), Generation(9), Instant(30));
    let step = delivery.next(Instant(40));
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    assert_eq!(delivery.in_force(), None);

    assert_eq!(delivery.next(Instant(300)), Step::Fetch(name(2)));
    // A copy of an older generation does not begin while a peer is ahead of it.
    assert_eq!(delivery.offer(mark(7), Instant(310)), Verdict::Defer);
    assert_eq!(delivery.offer(mark(9), Instant(320)), Verdict::Serve);
}

#[test]
fn a_held_configuration_begins_when_no_peer_is_ahead_any_more() {
    let mut delivery = Delivery::new(name(0), Policy::default(), Instant(0));
    delivery.hint(name(1), Generation(9), Instant(100));
    assert_eq!(delivery.offer(mark(7), Instant(300)), Verdict::Defer);
    assert_eq!(delivery.next(Instant(300)), Step::Fetch(name(1)));
    delivery.peer_gone(&name(1), Instant(400));
    assert_eq!(delivery.next(Instant(400)), Step::OfferDeferred);
    assert_eq!(delivery.offer(mark(7), Instant(400)), Verdict::Serve);
}

#[test]
fn an_agent_watches_as_long_as_it_hears_from_too_few_entries() {
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
    assert_eq!(agent.offer(mark(5), Instant(1_000)), Verdict::Serve);
    agent.set_watchers(watchers(&index), Instant(1_000));
    let hear = |agent: &mut Delivery, from: usize, at| {
        agent.hint(name(from), Generation(5), Instant(at));
        agent.next(Instant(at));
        agent.is_watcher()
    };
    assert!(hear(&mut agent, 0, 1_100));
    assert!(hear(&mut agent, 5, 1_100), "agents do not count");
    assert!(!hear(&mut agent, 1, 1_200));
    agent.peer_gone(&name(0), Instant(1_300));
    agent.next(Instant(1_300));
    assert!(agent.is_watcher());
    assert!(!hear(&mut agent, 2, 1_400));
    // Entries that fall silent do not count either.
    agent.next(Instant(9_000));
    assert!(agent.is_watcher());
}

#[test]
fn a_peer_whose_answer_is_of_no_use_is_not_asked_again_at_once() {
    let mut delivery = serving(5);
    delivery.hint(name(1), Generation(6), Instant(1_000));
    assert_eq!(delivery.next(Instant(1_000)), Step::Fetch(name(1)));
    // Its parts cannot be read by this build, so nothing is offered.
    delivery.peer_answered(&name(1), Instant(1_010));
    assert!(!matches!(delivery.next(Instant(1_010)), Step::Fetch(_)));
    delivery.hint(name(1), Generation(6), Instant(1_500));
    assert!(!matches!(delivery.next(Instant(1_500)), Step::Fetch(_)));
    assert_eq!(delivery.next(Instant(2_100)), Step::Fetch(name(1)));
}

/// What may happen to a small fleet in any order.
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

/// A fleet whose platform can be down or restored, and whose messages carry generations.
struct Fleet {
    now: Instant,
    down: bool,
    head: u64,
    applied: u64,
    daemons: Vec<Delivery>,
    held: Vec<Option<ConfigVersion>>,
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
            held: vec![None; FLEET],
        }
    }

    fn happen(&mut self, event: &Event) {
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
                self.held[i] = None;
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
                // A watch is answered when something changes, here by the next poll.
                Step::ReadPlatform(read) => {
                    self.daemons[i].platform_answered(read, now);
                    self.offer(i, mark(self.head));
                    if read == Read::Watch {
                        return;
                    }
                }
                Step::Fetch(peer) => self.fetch(i, &peer),
                Step::OfferDeferred => {
                    let held = self.held[i].take().unwrap();
                    self.offer(i, held);
                }
                Step::Wait(until) => {
                    assert!(until > now, "waits for a time that has passed");
                    return;
                }
            }
        }
        panic!("steps without end");
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
            after.map(|m| m.generation) >= before.map(|m| m.generation),
            "went back"
        );
        assert!(after != before || verdict != Verdict::Serve);
        if verdict == Verdict::Defer
            && self.held[i].is_none_or(|h| h.generation < offered.generation)
        {
            self.held[i] = Some(offered);
        }
    }

    /// Lets everyone hear of everyone, with the platform down.
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
    fn nobody_goes_back_and_all_reach_the_highest(events in prop::collection::vec(event(), 1..120)) {
        let mut fleet = Fleet::new();
        events.iter().for_each(|e| fleet.happen(e));
        let highest = fleet.daemons.iter().filter_map(Delivery::in_force).map(|m| m.generation).max();
        fleet.settle();
        for daemon in &fleet.daemons {
            let served = daemon.in_force().map(|m| m.generation);
            prop_assert!(served >= highest);
            prop_assert!(served.is_none_or(|g| g.0 <= fleet.applied));
        }
        let served: Vec<_> = fleet.daemons.iter().map(Delivery::in_force).collect();
        prop_assert!(served.windows(2).all(|w| w[0] == w[1]), "{served:?}");
    }
}
