//! Embeds the dispatch guard: one home, two entries and two requests with one key.
//!
//! Messages are passed directly here; a real program sends them over its own links.

use std::collections::{BTreeSet, VecDeque};

use sesamehaven::guard::{Claim, FromHome, Run, Slot, ToHome};
use sesamehaven::home::{Bootstrap, Home, Now};
use sesamehaven::id::{Incarnation, KeyDigest, RequestId};
use sesamehaven::key::{Key, WallTime};
use sesamehaven::ledger::{Action, Ledger};
use sesamehaven::unit::Instant;

fn run(name: &str) -> sesamehaven::Result<Run> {
    Ok(Run {
        name: name.parse()?,
        incarnation: Incarnation(1),
    })
}

fn claim(key: KeyDigest, req: u128, place: &Run) -> Claim {
    Claim {
        key,
        time: None,
        req: RequestId(req),
        place: place.clone(),
        instead_of: None,
    }
}

fn main() -> sesamehaven::Result<()> {
    let now = Now {
        instant: Instant(0),
        wall: WallTime(1_764_800_000_000),
    };
    let agent = run("agent-1")?;
    let runs = [run("entry-1")?, run("entry-2")?];
    let expected: BTreeSet<_> = runs.iter().map(|r| r.name.clone()).collect();
    let mut home = Home::new(agent.clone(), expected);
    let mut ledgers = [Ledger::new(runs[0].clone()), Ledger::new(runs[1].clone())];

    let organisation = "roegvagt".parse()?;
    let key = "brief-4711".parse::<Key>()?.digest(&organisation);
    let slot = Slot::of(key);

    let mut to_entries: VecDeque<(Run, FromHome)> = VecDeque::new();
    let mut to_home: VecDeque<(Run, ToHome)> = VecDeque::new();
    for entry in &runs {
        to_entries.extend(home.entry_linked(entry, now));
    }
    to_home.push_back((runs[0].clone(), ledgers[0].invite(slot)));
    let first = ledgers[0].claim(claim(key, 1, &agent));
    let second = ledgers[1].claim(claim(key, 2, &agent));
    assert!(first.is_none() && second.is_none(), "no home serves yet");

    loop {
        if let Some((from, message)) = to_home.pop_front() {
            to_entries.extend(home.on_message(&from, message, now));
            let awaiting: Vec<Slot> = home.awaiting_bootstrap().collect();
            for slot in awaiting {
                // A real program asks the platform whether the slot had a home before.
                to_entries.extend(home.bootstrap(slot, Bootstrap::First, now));
            }
            continue;
        }
        let Some((to, message)) = to_entries.pop_front() else {
            return Ok(());
        };
        let i = usize::from(to == runs[1]);
        for action in ledgers[i].on_message(message, now.instant) {
            match action {
                Action::Send(_, message) => to_home.push_back((to.clone(), message)),
                Action::Decide(req, decision) => {
                    println!("{}: request {req}: {decision:?}", to.name)
                }
            }
        }
    }
}
