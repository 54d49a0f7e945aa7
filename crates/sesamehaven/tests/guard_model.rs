//! Model test of the dispatch guard under random faults.
//!
//! A tape of random numbers drives entries, agents and callers. Messages are
//! delayed, reordered, duplicated and lost; processes are paused, resumed, killed
//! and restarted. The checker counts dispatches per key and asserts that no key is
//! dispatched twice. It also asserts that a request whose caller received "not run"
//! never runs, and that its key had not been dispatched when the home released it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};

use sesamehaven::guard::{Claim, FromHome, Run, Slot, ToHome};
use sesamehaven::home::{Bootstrap, Home, Now};
use sesamehaven::id::{DaemonName, Incarnation, KeyDigest, RequestId};
use sesamehaven::key::WallTime;
use sesamehaven::ledger::{Action, Decision, Ledger};
use sesamehaven::offer_history::{OfferCheck, OfferHistory, OfferStatus};
use sesamehaven::unit::Instant;

const ENTRIES: usize = 3;
const AGENTS: usize = 3;
const KEYS: u128 = 4;
const MAX_BACKLOG: usize = 24;
const MAX_REQUESTS: usize = 6;
const SLOT: Slot = Slot(0);

#[derive(Debug, Clone)]
enum Msg {
    ToHome(ToHome),
    FromHome(FromHome),
    Offer(RequestId, KeyDigest),
    Refused(RequestId),
    Answer(RequestId),
    Resume(RequestId),
    NeverReceived(RequestId),
    Forgotten(RequestId),
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Claiming,
    Offered(Run),
    Attached(RequestId, Run),
    Releasing,
}

struct Request {
    key: KeyDigest,
    time: Option<WallTime>,
    place: Run,
    state: State,
}

struct Entry {
    run: Run,
    ledger: Ledger,
    requests: BTreeMap<RequestId, Request>,
    paused: bool,
}

struct Agent {
    run: Run,
    home: Home,
    offers: OfferHistory,
    queue: Vec<(Run, RequestId, KeyDigest)>,
    paused: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Stats {
    dispatched: usize,
    attached: usize,
    superseded: usize,
    moved: usize,
    not_run: usize,
    unknown: usize,
    views: u64,
    lost: usize,
}

struct World {
    tape: std::vec::IntoIter<u32>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    net: Vec<(Run, Run, Msg)>,
    now: Now,
    runs: u64,
    count: u32,
    has_bootstrapped: bool,
    dispatched: HashMap<KeyDigest, Vec<RequestId>>,
    not_run: BTreeSet<RequestId>,
    released: BTreeSet<RequestId>,
    stats: Stats,
    fault_interval: usize,
    trace: bool,
}

fn run(kind: &str, i: usize, incarnation: u64) -> Run {
    Run {
        name: format!("{kind}-{i}").parse().expect("a plain name"),
        incarnation: Incarnation(incarnation),
    }
}

fn expected() -> BTreeSet<DaemonName> {
    (0..ENTRIES).map(|i| run("entry", i, 0).name).collect()
}

impl World {
    fn new(tape: Vec<u32>) -> Self {
        let mut world = World {
            tape: tape.into_iter(),
            entries: Vec::new(),
            agents: Vec::new(),
            net: Vec::new(),
            now: Now {
                instant: Instant(0),
                wall: WallTime(1_000_000_000),
            },
            runs: 1,
            count: 0,
            has_bootstrapped: false,
            dispatched: HashMap::new(),
            not_run: BTreeSet::new(),
            released: BTreeSet::new(),
            stats: Stats::default(),
            fault_interval: 1,
            trace: false,
        };
        // Some cases have many concurrent faults, others only occasional ones.
        world.fault_interval = [1, 4, 16, 64][world.draw(4).unwrap_or_default()];
        for i in 0..ENTRIES {
            let entry = world.new_entry(i);
            world.entries.push(entry);
        }
        for i in 0..AGENTS {
            let agent = world.new_agent(i);
            world.agents.push(agent);
        }
        for a in 0..AGENTS {
            (0..ENTRIES).for_each(|e| world.link(e, a));
        }
        world
    }

    fn new_entry(&mut self, i: usize) -> Entry {
        self.runs += 1;
        let run = run("entry", i, self.runs);
        Entry {
            ledger: Ledger::new(run.clone()),
            run,
            requests: BTreeMap::new(),
            paused: false,
        }
    }

    fn new_agent(&mut self, i: usize) -> Agent {
        self.runs += 1;
        let run = run("agent", i, self.runs);
        Agent {
            home: Home::new(run.clone(), expected()),
            run,
            offers: OfferHistory::default(),
            queue: Vec::new(),
            paused: false,
        }
    }

    fn draw(&mut self, below: usize) -> Option<usize> {
        let number = self.tape.next()?;
        Some(number as usize % below)
    }

    fn step(&mut self) -> Option<()> {
        self.now.instant.0 += 1;
        self.now.wall.0 += 1;
        // Operations below 124 deliver or drop a message, those from 186 are faults.
        let op = self.draw(200)?;
        if op >= 186 && self.draw(self.fault_interval)? != 0 {
            return Some(());
        }
        // A large backlog restricts the operations to message delivery; otherwise
        // messages would rarely reach their recipients.
        let op = if self.net.len() > MAX_BACKLOG {
            op % 124
        } else {
            op
        };
        match op {
            0..120 => self.deliver(false)?,
            120..122 => self.deliver(true)?,
            122..124 => self.drop_message()?,
            124..132 => self.send()?,
            132..160 => self.dispatch()?,
            160..162 => self.refuse_queued()?,
            162..170 => self.invite()?,
            170..173 => self.resend()?,
            173..179 => {
                let a = self.draw(AGENTS)?;
                let sends = self.agents[a].home.tick(self.now);
                self.send_from(a, sends);
            }
            179..186 => {
                let (e, a) = (self.draw(ENTRIES)?, self.draw(AGENTS)?);
                if self.draw(4)? == 0 {
                    self.entries[e].paused = false;
                    self.agents[a].paused = false;
                }
                self.link(e, a);
            }
            186..188 => self.unlink()?,
            188..190 => self.abandon()?,
            190..193 => {
                let e = self.draw(ENTRIES)?;
                self.entries[e] = self.new_entry(e);
                self.drop_undeliverable();
            }
            193..195 => {
                let a = self.draw(AGENTS)?;
                self.agents[a] = self.new_agent(a);
                self.drop_undeliverable();
            }
            195..197 => {
                let e = self.draw(ENTRIES)?;
                self.entries[e].paused ^= true;
            }
            197..199 => {
                let a = self.draw(AGENTS)?;
                self.agents[a].paused ^= true;
            }
            _ => {
                let leap = [1_000, 40_000, 16 * 60_000][self.draw(3)?];
                self.now.instant.0 += leap;
                self.now.wall.0 += leap;
            }
        }
        Some(())
    }

    fn drop_undeliverable(&mut self) {
        let entries = self.entries.iter().map(|e| e.run.clone());
        let agents = self.agents.iter().map(|a| a.run.clone());
        let alive: BTreeSet<Run> = entries.chain(agents).collect();
        self.net.retain(|(_, to, _)| alive.contains(to));
    }

    fn link(&mut self, e: usize, a: usize) {
        if self.entries[e].paused || self.agents[a].paused {
            return;
        }
        let run = self.entries[e].run.clone();
        let sends = self.agents[a].home.entry_linked(&run, self.now);
        self.send_from(a, sends);
    }

    fn unlink(&mut self) -> Option<()> {
        let (e, a) = (self.draw(ENTRIES)?, self.draw(AGENTS)?);
        let run = self.entries[e].run.clone();
        let sends = self.agents[a].home.entry_unlinked(&run, self.now);
        self.send_from(a, sends);
        Some(())
    }

    fn send_from(&mut self, a: usize, sends: Vec<(Run, FromHome)>) {
        let from = self.agents[a].run.clone();
        for (to, message) in sends {
            if let FromHome::Serve(_, view) = &message {
                self.stats.views = self.stats.views.max(view.id.round);
                self.stats.lost += usize::from(view.gap.is_some());
            }
            // Another request with the key may run before this reply arrives, so
            // the checker records the state at the time the home sent it.
            if let FromHome::Released(_, key, req) = &message
                && !self.dispatched.contains_key(key)
            {
                self.released.insert(*req);
            }
            self.net.push((from.clone(), to, Msg::FromHome(message)));
        }
        self.bootstrap(a);
    }

    /// Simulates the platform: a slot is reported as new only once.
    fn bootstrap(&mut self, a: usize) {
        if self.agents[a].home.awaiting_bootstrap().next().is_none() {
            return;
        }
        let bootstrap = match std::mem::replace(&mut self.has_bootstrapped, true) {
            false => Bootstrap::First,
            true => Bootstrap::Lost,
        };
        let sends = self.agents[a].home.bootstrap(SLOT, bootstrap, self.now);
        self.send_from(a, sends);
    }

    fn deliver(&mut self, duplicate: bool) -> Option<()> {
        let n = self.net.len();
        if n == 0 {
            return Some(());
        }
        // Older messages are slightly preferred, so that most requests progress.
        let number = self.tape.next()? as usize;
        let i = (number % n).min((number >> 12) % n);
        let (from, to, msg) = match duplicate {
            true => self.net[i].clone(),
            false => self.net.remove(i),
        };
        if self.trace {
            let at = self.now.instant.0;
            println!(
                "{at}: {}#{} -> {}#{} {msg:?}",
                from.name, from.incarnation, to.name, to.incarnation
            );
        }
        if let Some(e) = self.entries.iter().position(|e| e.run == to) {
            if self.entries[e].paused {
                self.net.push((from, to, msg));
            } else {
                self.entry_receives(e, from, msg)?;
            }
        } else if let Some(a) = self.agents.iter().position(|a| a.run == to) {
            if self.agents[a].paused {
                self.net.push((from, to, msg));
            } else {
                self.agent_receives(a, from, msg)?;
            }
        }
        Some(())
    }

    fn drop_message(&mut self) -> Option<()> {
        if !self.net.is_empty() {
            let i = self.draw(self.net.len())?;
            self.net.remove(i);
        }
        Some(())
    }

    /// Sends a request with a key, possibly a duplicate, through a random entry.
    fn send(&mut self) -> Option<()> {
        let (e, a) = (self.draw(ENTRIES)?, self.draw(AGENTS)?);
        let number = self.draw(KEYS as usize * 8)? as u128;
        if self.entries[e].paused {
            return Some(());
        }
        // The keys in use change every 300 ms. Half of them carry a timestamp: the
        // start of these 300 ms, one hour after it, or 3.6 s before it.
        let epoch = u128::from(self.now.wall.0 / 300);
        let key = KeyDigest(epoch * KEYS + number % KEYS);
        let born = (epoch * 300) as u64;
        let time = match key.0 % 4 {
            0 | 1 => None,
            2 => Some(WallTime(born)),
            _ if epoch % 2 == 0 => Some(WallTime(born + 3_600_000)),
            _ => Some(WallTime(born - 3_600)),
        };
        self.count += 1;
        let entry = &mut self.entries[e];
        if entry.requests.len() >= MAX_REQUESTS
            && let Some((oldest, _)) = entry.requests.pop_first()
        {
            entry.ledger.abandon(oldest);
            self.stats.unknown += 1;
        }
        let req = RequestId::new(entry.run.incarnation, e as u32, self.count);
        let place = self.agents[a].run.clone();
        let claim = Claim {
            key,
            time,
            req,
            place: place.clone(),
            instead_of: None,
        };
        let request = Request {
            key,
            time,
            place,
            state: State::Claiming,
        };
        entry.requests.insert(req, request);
        let action = entry.ledger.claim(claim);
        self.apply_actions(e, action.into_iter().collect())
    }

    fn apply_actions(&mut self, e: usize, actions: Vec<Action>) -> Option<()> {
        let from = self.entries[e].run.clone();
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    self.net.push((from.clone(), to, Msg::ToHome(message)));
                }
                Action::Decide(req, decision) => self.on_decision(e, req, decision)?,
            }
        }
        Some(())
    }

    fn on_decision(&mut self, e: usize, req: RequestId, decision: Decision) -> Option<()> {
        let from = self.entries[e].run.clone();
        let Some(request) = self.entries[e].requests.get_mut(&req) else {
            return Some(());
        };
        match decision {
            Decision::Granted(place) => {
                request.state = State::Offered(place.clone());
                let offer = Msg::Offer(req, request.key);
                self.net.push((from, place, offer));
            }
            Decision::Held { by, place } => {
                self.stats.attached += 1;
                request.state = State::Attached(by, place.clone());
                self.net.push((from, place, Msg::Resume(by)));
            }
            Decision::Undecided(_) => {
                self.stats.unknown += 1;
                self.entries[e].requests.remove(&req);
            }
            Decision::Released => {
                let key = request.key;
                self.entries[e].requests.remove(&req);
                self.stats.not_run += 1;
                self.not_run.insert(req);
                let ran = self.dispatched.get(&key);
                let was_free = self.released.contains(&req);
                assert!(
                    was_free,
                    "the caller of {req} received \"not run\", but {key} was dispatched for {ran:?}"
                );
            }
        }
        Some(())
    }

    fn entry_receives(&mut self, e: usize, from: Run, msg: Msg) -> Option<()> {
        let now = self.now.instant;
        if let Msg::FromHome(message) = msg {
            let actions = self.entries[e].ledger.on_message(message, now);
            return self.apply_actions(e, actions);
        }
        let number = self.draw(3 * AGENTS)?;
        let (choice, other) = (number / AGENTS, number % AGENTS);
        let other = self.agents[other].run.clone();
        let Entry {
            requests, ledger, ..
        } = &mut self.entries[e];
        let mut actions = Vec::new();
        match msg {
            Msg::Refused(req) => {
                let Some(request) = requests.get_mut(&req) else {
                    return Some(());
                };
                if request.state != State::Offered(from) {
                    return Some(());
                }
                if choice == 0 {
                    request.state = State::Releasing;
                    actions.extend(ledger.release(request.key, req));
                } else {
                    self.stats.moved += 1;
                    request.state = State::Claiming;
                    actions.extend(ledger.move_to(request.key, req, other));
                }
            }
            Msg::NeverReceived(by) => {
                let waits = |r: &Request| r.state == State::Attached(by, from.clone());
                let waiting = requests.iter_mut().filter(|(_, r)| waits(r));
                for (req, request) in waiting {
                    self.stats.superseded += 1;
                    request.state = State::Claiming;
                    request.place = other.clone();
                    let claim = Claim {
                        key: request.key,
                        time: request.time,
                        req: *req,
                        place: other.clone(),
                        instead_of: Some((by, from.clone())),
                    };
                    actions.extend(ledger.claim(claim));
                }
            }
            Msg::Answer(by) | Msg::Forgotten(by) => {
                requests.retain(|req, r| {
                    *req != by && !matches!(&r.state, State::Attached(b, _) if *b == by)
                });
            }
            _ => {}
        }
        self.apply_actions(e, actions)
    }

    fn agent_receives(&mut self, a: usize, from: Run, msg: Msg) -> Option<()> {
        let now = self.now.instant;
        let choice = self.draw(4)?;
        let agent = &mut self.agents[a];
        let me = agent.run.clone();
        let reply = match msg {
            Msg::ToHome(message) => {
                let sends = agent.home.on_message(&from, message, self.now);
                self.send_from(a, sends);
                return Some(());
            }
            Msg::Offer(req, key) => match agent.offers.try_accept(req, now) {
                OfferCheck::New if choice == 0 => {
                    agent.offers.refuse(req, now);
                    Msg::Refused(req)
                }
                OfferCheck::New => {
                    agent.queue.push((from, req, key));
                    return Some(());
                }
                OfferCheck::Duplicate => return Some(()),
                OfferCheck::Refused => Msg::Refused(req),
            },
            Msg::Resume(req) => match agent.offers.resolve(req, now) {
                OfferStatus::Accepted => Msg::Answer(req),
                OfferStatus::NeverDispatched => Msg::NeverReceived(req),
                OfferStatus::Forgotten => Msg::Forgotten(req),
            },
            _ => return Some(()),
        };
        self.net.push((me, from, reply));
        Some(())
    }

    fn dispatch(&mut self) -> Option<()> {
        let a = self.draw(AGENTS)?;
        let agent = &mut self.agents[a];
        if agent.paused || agent.queue.is_empty() {
            return Some(());
        }
        let (to, req, key) = agent.queue.remove(0);
        let me = agent.run.clone();
        assert!(
            !self.not_run.contains(&req),
            "{req} is dispatched after its caller received \"not run\""
        );
        let runs = self.dispatched.entry(key).or_default();
        runs.push(req);
        assert!(runs.len() == 1, "{key} dispatched twice, by {runs:?}");
        self.stats.dispatched += 1;
        self.net.push((me, to, Msg::Answer(req)));
        Some(())
    }

    fn refuse_queued(&mut self) -> Option<()> {
        let a = self.draw(AGENTS)?;
        let now = self.now.instant;
        let agent = &mut self.agents[a];
        if agent.paused {
            return Some(());
        }
        if let Some((to, req, _)) = agent.queue.pop() {
            agent.offers.refuse(req, now);
            self.net.push((agent.run.clone(), to, Msg::Refused(req)));
        }
        let queue = &agent.queue;
        agent
            .offers
            .evict_expired(now, |req| queue.iter().any(|(_, r, _)| *r == req));
        Some(())
    }

    fn invite(&mut self) -> Option<()> {
        let e = self.draw(ENTRIES)?;
        let a = self.draw(AGENTS * 4)?.saturating_sub(AGENTS * 3);
        let entry = &self.entries[e];
        // Occasionally, an entry invites another home although it has one.
        if !entry.paused && (entry.ledger.home(SLOT).is_none() || self.draw(16)? == 0) {
            let invite = Msg::ToHome(self.entries[e].ledger.invite(SLOT));
            let (from, to) = (self.entries[e].run.clone(), self.agents[a].run.clone());
            self.net.push((from, to, invite));
        }
        Some(())
    }

    fn resend(&mut self) -> Option<()> {
        let e = self.draw(ENTRIES)?;
        if self.entries[e].paused {
            return Some(());
        }
        self.entries[e].ledger.expire(self.now.instant);
        let actions = self.entries[e].ledger.resend();
        self.apply_actions(e, actions)
    }

    fn abandon(&mut self) -> Option<()> {
        let e = self.draw(ENTRIES)?;
        let entry = &mut self.entries[e];
        let asking = entry.requests.iter();
        let mut asking = asking.filter(|(_, r)| !matches!(r.state, State::Offered(_)));
        if let Some(req) = asking.next().map(|(req, _)| *req) {
            entry.requests.remove(&req);
            entry.ledger.abandon(req);
            self.stats.unknown += 1;
        }
        Some(())
    }
}

thread_local! {
    static TOTAL: RefCell<Stats> = RefCell::default();
}

fn play(tape: Vec<u32>, trace: bool) {
    let mut world = World::new(tape);
    world.trace = trace;
    while world.step().is_some() {}
    TOTAL.with_borrow_mut(|t| {
        t.dispatched += world.stats.dispatched;
        t.attached += world.stats.attached;
        t.superseded += world.stats.superseded;
        t.moved += world.stats.moved;
        t.not_run += world.stats.not_run;
        t.unknown += world.stats.unknown;
        t.views += world.stats.views;
        t.lost += world.stats.lost;
    });
}

#[test]
fn no_key_is_dispatched_twice_and_not_run_requests_never_run() {
    let cases = std::env::var("GUARD_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let config = ProptestConfig {
        cases: cases.unwrap_or(400),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let tapes = prop::collection::vec(any::<u32>(), 200..8_000);
    let outcome = TestRunner::new(config).run(&tapes, |tape| {
        play(tape, false);
        Ok(())
    });
    if let Err(TestError::Fail(_, tape)) = outcome {
        println!("the minimal failing history:");
        play(tape, true);
    }
    let total = TOTAL.take();
    println!("{total:?}");
    // The test is only meaningful if requests were dispatched and faults occurred.
    assert!(total.dispatched > 1_000 && total.not_run > 100 && total.moved > 100);
    assert!(total.superseded > 50 && total.attached > 200 && total.lost > 50);
}
