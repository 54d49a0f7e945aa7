//! How requests wait, are turned away and are placed, on the load patterns that the parts answer.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::backlog::{Rank, Ticket};
use sesamehaven::dispatcher::{Dispatcher, Refusal, Step, Steps, Work};
use sesamehaven::placement::{DispatchOutcome, ListedEndpoint};
use sesamehaven::unit::{Instant, Millis};

use common::listed;

fn tier(rank: u8) -> Tier {
    Tier::new(rank).unwrap()
}

/// The rank of a route inside an organisation's rank, which is the same for all.
fn rank(route: u8) -> Rank {
    Rank {
        tier: tier(1),
        route: tier(route),
    }
}

fn work(class: &str, route: u8, slot_ms: f64, now: Instant) -> Work {
    Work {
        rank: rank(route),
        slot_ms,
        ..Work::new(class, tier(1), Millis(500), now)
    }
}

/// A pool that is driven in steps of time, with work that ends when its time is over.
struct Pool {
    dispatcher: Dispatcher,
    now: Instant,
    next: u64,
    running: Vec<(Instant, Ticket)>,
    classes: Vec<(Ticket, String, f64)>,
    started: Vec<String>,
    started_tickets: Vec<Ticket>,
    refused: Vec<(String, Refusal, Millis)>,
}

impl Pool {
    fn new(endpoints: &[&str], slots: u32) -> Self {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_endpoints(endpoints.iter().map(|id| listed(id, slots)));
        Pool {
            dispatcher,
            now: Instant(0),
            next: 0,
            running: Vec::new(),
            classes: Vec::new(),
            started: Vec::new(),
            started_tickets: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn ask(&mut self, class: &str, route: u8, slot_ms: f64) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.classes.push((ticket, class.to_owned(), slot_ms));
        let work = work(class, route, slot_ms, self.now);
        let steps = self.dispatcher.on_arrival(ticket, work, self.now);
        self.carry_out(steps);
        ticket
    }

    fn carry_out(&mut self, steps: Steps) {
        for step in steps {
            let ticket = match &step {
                Step::Start { ticket, .. } | Step::Refuse { ticket, .. } => *ticket,
            };
            let (_, class, slot_ms) = self.classes.iter().find(|(t, _, _)| *t == ticket).unwrap();
            match step {
                Step::Start { .. } => {
                    let end = self.now.after(Millis(*slot_ms as u64));
                    self.running.push((end, ticket));
                    self.started.push(class.clone());
                    self.started_tickets.push(ticket);
                }
                Step::Refuse {
                    reason,
                    retry_after,
                    ..
                } => self.refused.push((class.clone(), reason, retry_after)),
            }
        }
    }

    fn advance(&mut self, span: u64) {
        self.now = self.now.after(Millis(span));
        let now = self.now;
        let (over, still) = self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = still;
        let over: Vec<(Instant, Ticket)> = over;
        for (_, ticket) in over {
            let steps = self
                .dispatcher
                .on_end(ticket, DispatchOutcome::Success, now);
            self.carry_out(steps);
        }
        let steps = self.dispatcher.on_tick(now);
        self.carry_out(steps);
    }

    fn has_started(&self, ticket: Ticket) -> bool {
        self.started_tickets.contains(&ticket)
    }

    /// Returns the place of a request in the order of starts, the last for one that has not started.
    fn turn(&self, ticket: Ticket) -> usize {
        let turn = self.started_tickets.iter().position(|t| *t == ticket);
        turn.unwrap_or(usize::MAX)
    }

    fn count(&self, class: &str) -> usize {
        self.started.iter().filter(|c| *c == class).count()
    }
}

#[test]
fn ranks_of_routes_decide_inside_one_rank_of_organisations() {
    let mut pool = Pool::new(&["engine"], 1);
    while pool.started.len() == pool.next as usize {
        pool.ask("filler", 3, 200.0);
    }
    pool.started.clear();
    pool.ask("guidance", 2, 100.0);
    pool.ask("roundup", 1, 100.0);
    pool.ask("brief", 0, 100.0);
    pool.advance(200);
    assert_eq!(pool.started.first().map(String::as_str), Some("brief"));
}

/// A pool of the size of the first users', at 2.2 times the rates of their busy hours.
#[test]
fn a_burst_sheds_the_lowest_rank_first_and_starves_none() {
    const IDS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    const SPAN_MS: u64 = 5_000;
    let classes = [
        ("brief", 0, 112, 340.0),
        ("roundup", 1, 136, 250.0),
        ("guidance", 2, 44, 1_500.0),
    ];
    let mut pool = Pool::new(&IDS, 6);
    for now in 0..SPAN_MS {
        for (class, route, per_s, slot_ms) in classes {
            let due = |ms: u64| ms * per_s / 1_000;
            if due(now + 1) > due(now) {
                pool.ask(class, route, slot_ms);
            }
        }
        pool.advance(1);
    }
    let asked = |per_s: u64| (per_s * SPAN_MS / 1_000) as f64;
    let share = |n: usize| {
        let (class, _, per_s, _) = classes[n];
        pool.count(class) as f64 / asked(per_s)
    };
    let (brief, roundup, guidance) = (share(0), share(1), share(2));
    let all = pool.started.len() as f64 / (asked(112) + asked(136) + asked(44));
    assert!(brief > 0.9, "briefs served: {brief}");
    assert!(brief > roundup, "briefs {brief}, roundups {roundup}");
    // The users' rule: each kind is served at least a quarter as often as all requests.
    assert!(guidance > all / 4.0, "guidance {guidance}, all {all}");
}

/// More short and long streams of one class are asked for than the pool can run.
#[rstest]
#[case::long(1_500.0)]
#[case::longest(3_000.0)]
fn the_long_requests_of_a_class_are_served_half_as_often_as_all_at_least(#[case] long_ms: f64) {
    const SPAN_MS: u64 = 20_000;
    let mut pool = Pool::new(&["a", "b", "c"], 6);
    let mut asked = (0, 0);
    let mut long = Vec::new();
    for now in 0..SPAN_MS {
        if now % 20 == 0 {
            pool.ask("roundup", 1, 250.0);
        }
        if now % 25 == 0 {
            let is_long = now % 125 == 0;
            let ticket = pool.ask("guidance", 2, if is_long { long_ms } else { 500.0 });
            asked.0 += 1;
            if is_long {
                asked.1 += 1;
                long.push(ticket);
            }
        }
        pool.advance(1);
    }
    let all = pool.count("guidance") as f64 / f64::from(asked.0);
    let started = long.iter().filter(|t| pool.has_started(**t)).count();
    let long = started as f64 / f64::from(asked.1);
    assert!(long >= all / 2.0, "of the long ones {long}, of all {all}");
}

/// Fills a pool of one place, so that what is asked from then on waits.
fn full_pool() -> Pool {
    let mut pool = Pool::new(&["engine"], 1);
    while pool.started.len() == pool.next as usize {
        pool.ask("filler", 0, 400.0);
    }
    pool.dispatcher.on_caller_gone(Ticket(pool.next - 1));
    pool
}

#[test]
fn the_youngest_that_can_be_on_time_goes_first() {
    let mut pool = full_pool();
    let old = pool.ask("brief", 0, 100.0);
    pool.advance(200);
    let young = pool.ask("brief", 0, 100.0);
    pool.advance(200);
    assert!(pool.turn(young) < pool.turn(old));
}

#[test]
fn a_request_that_comes_back_late_goes_after_new_ones() {
    let mut pool = full_pool();
    let (new, returned) = (Ticket(100), Ticket(101));
    for (ticket, first_sent) in [(new, Instant(2_000)), (returned, Instant(1_000))] {
        pool.now = Instant(2_000);
        pool.classes.push((ticket, "brief".to_owned(), 100.0));
        let work = Work {
            first_sent,
            ..work("brief", 0, 100.0, pool.now)
        };
        let steps = pool.dispatcher.on_arrival(ticket, work, pool.now);
        pool.carry_out(steps);
    }
    pool.advance(100);
    assert!(pool.turn(new) < pool.turn(returned));
}

/// Requests wait at nine processes, which count each other's work every 60 ms.
#[test]
fn processes_that_see_the_same_free_places_do_not_all_take_them() {
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    const PLACES: u32 = 6;
    const PROCESSES: u64 = 9;
    const COUNT_MS: u64 = 60;
    let new = |seed| {
        let mut dispatcher = Dispatcher::new(seed);
        dispatcher.set_endpoints(IDS.map(|id| listed(id, PLACES)));
        dispatcher
    };
    let mut all: Vec<Dispatcher> = (0..PROCESSES).map(new).collect();
    let mut running: Vec<(Instant, usize, Ticket, String)> = Vec::new();
    let mut most = 0;
    for ms in 0..4_000 {
        let now = Instant(ms);
        let mut steps = Vec::new();
        for (at, dispatcher) in all.iter_mut().enumerate() {
            // Half as much again as the pool can run.
            if (ms + at as u64).is_multiple_of(60) {
                let ticket = Ticket(ms * PROCESSES + at as u64);
                let arrived = dispatcher.on_arrival(ticket, work("brief", 0, 360.0, now), now);
                steps.extend(arrived.into_iter().map(|s| (at, s)));
            }
        }
        let (over, still) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = still;
        let over: Vec<(Instant, usize, Ticket, String)> = over;
        for (_, at, ticket, _) in over {
            let ended = all[at].on_end(ticket, DispatchOutcome::Success, now);
            steps.extend(ended.into_iter().map(|s| (at, s)));
        }
        if ms.is_multiple_of(COUNT_MS) {
            let counts: Vec<Vec<(u64, u32)>> = all.iter().map(|d| d.running().collect()).collect();
            let waits: Vec<u32> = all.iter().map(|d| d.waiting() as u32).collect();
            for (at, dispatcher) in all.iter_mut().enumerate() {
                let others = |n: &usize| *n != at;
                let waiting = (0..waits.len()).filter(others).map(|n| waits[n]).sum();
                let others: Vec<_> = (0..counts.len()).filter(others).collect();
                dispatcher.set_peers(others.len(), waiting, now, |hash| {
                    let of = others.iter().flat_map(|n| &counts[*n]);
                    of.filter(|(h, _)| *h == hash).map(|(_, n)| n).sum()
                });
                let filled = dispatcher.on_tick(now);
                steps.extend(filled.into_iter().map(|s| (at, s)));
            }
        }
        for (at, step) in steps {
            if let Step::Start { ticket, endpoint } = step {
                let took = Millis(200 + ticket.0 * 97 % 320);
                running.push((now.after(took), at, ticket, endpoint.to_string()));
            }
        }
        // The pace of requests is learned from the first ones.
        if ms > 1_000 {
            for id in IDS {
                most = most.max(running.iter().filter(|r| r.3 == id).count());
            }
        }
    }
    // Little waits at an endpoint: fewer than it runs.
    assert!(most < 2 * PLACES as usize, "held at one endpoint: {most}");
}

#[test]
fn a_batch_is_kept_full_by_requests_held_ahead() {
    let mut pool = Pool::new(&["engine"], 6);
    for _ in 0..20 {
        pool.ask("brief", 0, 300.0);
    }
    assert!(pool.running.len() > 6, "held: {}", pool.running.len());
    assert!(pool.running.len() <= 7, "held: {}", pool.running.len());
}

#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let mut pool = Pool::new(&["engine"], 2);
    for _ in 0..40 {
        pool.ask("brief", 0, 800.0);
    }
    let (_, reason, retry_after) = pool.refused.first().expect("an overload refuses");
    assert_eq!(*reason, Refusal::Overload);
    assert!(*retry_after >= Millis(150), "come back after {retry_after}");
}

#[test]
fn no_request_is_refused_while_half_of_the_places_are_free() {
    let mut pool = Pool::new(&["a", "b"], 6);
    for _ in 0..6 {
        pool.ask("guidance", 2, 3_000.0);
    }
    assert!(pool.refused.is_empty(), "{:?}", pool.refused);
}

#[rstest]
#[case::overdue(true, Refusal::Overdue)]
#[case::no_endpoint(false, Refusal::NoEndpoint)]
fn refusals_name_their_cause(#[case] has_endpoint: bool, #[case] cause: Refusal) {
    let endpoints: &[&str] = if has_endpoint { &["engine"] } else { &[] };
    let mut pool = Pool::new(endpoints, 1);
    for _ in 0..3 {
        pool.ask("brief", 0, 600.0);
    }
    // What runs takes far longer than was expected.
    pool.running.clear();
    pool.ask("brief", 0, 100.0);
    for _ in 0..10 {
        pool.advance(500);
    }
    assert!(
        pool.refused.iter().any(|(_, reason, _)| *reason == cause),
        "{:?}",
        pool.refused
    );
}

#[test]
fn a_caller_that_leaves_frees_its_turn() {
    let mut pool = Pool::new(&["engine"], 1);
    while pool.started.len() == pool.next as usize {
        pool.ask("filler", 0, 100.0);
    }
    let waiting = Ticket(pool.next - 1);
    pool.dispatcher.on_caller_gone(waiting);
    assert_eq!(pool.dispatcher.waiting(), 0);
}

#[test]
fn an_endpoint_that_leaves_gets_no_new_work() {
    let mut pool = Pool::new(&["a", "b"], 6);
    pool.ask("brief", 0, 300.0);
    let draining = ListedEndpoint {
        is_ready: false,
        ..listed("a", 6)
    };
    pool.dispatcher.set_endpoints([draining, listed("b", 6)]);
    for _ in 0..8 {
        let ticket = Ticket(1_000 + pool.next);
        pool.next += 1;
        let now = pool.now;
        for step in pool
            .dispatcher
            .on_arrival(ticket, work("brief", 0, 300.0, now), now)
        {
            let Step::Start { endpoint, .. } = step else {
                continue;
            };
            assert_eq!(endpoint, "b");
        }
    }
}
