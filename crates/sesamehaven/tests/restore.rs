//! What is believed of a directory that comes back from older copies of itself.

use std::collections::{BTreeMap, HashMap};

use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use sesamehaven::restore::{Era, EraChange, Report, RestoreGuard, Verdict};

#[rstest]
#[case::first(None, Some(1), EraChange::Same)]
#[case::none_ever(None, None, EraChange::Same)]
#[case::same(Some(1), Some(1), EraChange::Same)]
#[case::risen(Some(1), Some(2), EraChange::Risen(Era(1)))]
#[case::twice_at_once(Some(1), Some(3), EraChange::Risen(Era(1)))]
#[case::late_answer(Some(2), Some(1), EraChange::Stale)]
#[case::no_longer_told(Some(2), None, EraChange::Stale)]
fn eras_only_rise(
    #[case] known: Option<u64>,
    #[case] era: Option<u64>,
    #[case] expected: EraChange,
) {
    let mut guard = RestoreGuard::default();
    guard.on_era(known.map(Era));
    assert_eq!(guard.on_era(era.map(Era)), expected);
    assert_eq!(guard.era(), known.max(era).map(Era));
}

/// An endpoint as it is.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Endpoint {
    report: Report,
    is_ready: bool,
}

/// What happens to the endpoint, the directory or the reader.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The endpoint starts, with a new start time.
    Start(u8),
    /// The endpoint reports to the directory.
    Report(u8),
    /// The endpoint reports that it drains.
    Drain(u8),
    /// The endpoint leaves and its entry is removed.
    Leave(u8),
    /// The platform copies the directory.
    Copy,
    /// The directory comes back from its last copy.
    Restore,
    /// The reader reads the list.
    Read,
    /// The reader gets a list that was read before, late.
    ReadLate,
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0..4_u8;
    prop_oneof![
        2 => id.clone().prop_map(Event::Start),
        4 => id.clone().prop_map(Event::Report),
        2 => id.clone().prop_map(Event::Drain),
        2 => id.prop_map(Event::Leave),
        2 => Just(Event::Copy),
        2 => Just(Event::Restore),
        6 => Just(Event::Read),
        1 => Just(Event::ReadLate),
    ]
}

type Entries = BTreeMap<SmolStr, Endpoint>;

/// A directory with its copy, and the endpoints as they really are.
#[derive(Debug, Default)]
struct World {
    alive: Entries,
    directory: Entries,
    copy: Entries,
    era: u64,
    starts: u64,
}

impl World {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Start(id) => {
                self.starts += 1;
                let report = Report {
                    started_at: self.starts,
                    sequence: 0,
                };
                let endpoint = Endpoint {
                    report,
                    is_ready: true,
                };
                self.alive.insert(name(id), endpoint);
                self.report(id);
            }
            Event::Report(id) => self.report(id),
            Event::Drain(id) => {
                if let Some(endpoint) = self.alive.get_mut(&name(id)) {
                    endpoint.is_ready = false;
                }
                self.report(id);
            }
            Event::Leave(id) => {
                self.alive.remove(&name(id));
                self.directory.remove(&name(id));
            }
            Event::Copy => self.copy = self.directory.clone(),
            Event::Restore => {
                self.directory = self.copy.clone();
                self.era += 1;
            }
            Event::Read | Event::ReadLate => {}
        }
    }

    fn report(&mut self, id: u8) {
        if let Some(endpoint) = self.alive.get_mut(&name(id)) {
            endpoint.report.sequence += 1;
            self.directory.insert(name(id), *endpoint);
        }
    }
}

fn name(id: u8) -> SmolStr {
    SmolStr::new(format!("e{id}"))
}

/// A reader of the directory, as a front is one.
#[derive(Debug, Default)]
struct Reader {
    guard: RestoreGuard,
    known: Entries,
}

impl Reader {
    fn read(&mut self, entries: &Entries, era: u64) {
        let change = self.guard.on_era(Some(Era(era)));
        if change == EraChange::Stale {
            return;
        }
        let reports: HashMap<SmolStr, Report> = entries
            .iter()
            .map(|(id, e)| (id.clone(), e.report))
            .collect();
        if matches!(change, EraChange::Risen(_)) {
            let known = self.known.clone();
            self.guard
                .suspect(&reports, |id| known.get(id).map(|e| e.report));
        }
        self.guard.retain(|id| reports.contains_key(id));
        let mut believed = Entries::new();
        for (id, endpoint) in entries {
            let endpoint = match self.guard.judge(id, endpoint.report) {
                Verdict::AsListed => *endpoint,
                Verdict::AsKnown => self.known[id],
                Verdict::Unproven => continue,
            };
            believed.insert(id.clone(), endpoint);
        }
        self.known = believed;
    }
}

proptest! {
    /// An endpoint that the reader knew to be draining or gone is not ready again, unless it has
    /// reported that since; and once all that live have reported twice, the reader knows the truth.
    #[test]
    fn what_was_acknowledged_holds_under_all_interleavings(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let mut world = World::default();
        let mut reader = Reader::default();
        let mut late = (Entries::new(), 0);
        // The report at which the reader learned of the end of each incarnation.
        let mut ended: BTreeMap<(SmolStr, u64), u64> = BTreeMap::new();
        for event in events {
            world.apply(event);
            let before = reader.known.clone();
            match event {
                Event::Read => {
                    late = (world.directory.clone(), world.era);
                    reader.read(&world.directory, world.era);
                }
                Event::ReadLate if late.1 < world.era => {
                    let newest = reader.guard.era();
                    if newest == Some(Era(world.era)) {
                        reader.read(&late.0, late.1);
                        prop_assert_eq!(&reader.known, &before);
                    }
                }
                _ => {}
            }
            for (id, endpoint) in &before {
                let is_usable = reader.known.get(id).is_some_and(|e| e.is_ready);
                if !is_usable {
                    let key = (id.clone(), endpoint.report.started_at);
                    ended.entry(key).or_insert(endpoint.report.sequence);
                }
            }
            for (id, endpoint) in reader.known.iter().filter(|(_, e)| e.is_ready) {
                let key = (id.clone(), endpoint.report.started_at);
                if let Some(at) = ended.get(&key) {
                    // Only an incarnation that lives on has reported since.
                    prop_assert!(endpoint.report.sequence > *at, "{id} is used again");
                }
            }
        }
        for _ in 0..2 {
            for id in 0..4 {
                world.report(id);
            }
            // Entries of endpoints that are gone expire.
            let alive: Vec<SmolStr> = world.alive.keys().cloned().collect();
            world.directory.retain(|id, _| alive.contains(id));
            reader.read(&world.directory, world.era);
        }
        prop_assert_eq!(&reader.known, &world.alive);
    }
}
