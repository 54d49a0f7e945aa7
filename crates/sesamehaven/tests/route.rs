//! The route beside one that works everything out from the log of events.

use proptest::prelude::*;
use rstest::rstest;
use smallvec::SmallVec;

use sesamehaven::Tier;
use sesamehaven::gate::{Ended, LoadView, PROMISE};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::route::{Choice, Job, Route};
use sesamehaven::unit::{Instant, Millis, TokenRate, Tokens};

const ENDPOINTS: usize = 4;

fn name(i: usize) -> EndpointName {
    format!("e{i}").parse().expect("a valid name")
}

fn full() -> Refused {
    Refused {
        reason: Refusal::Full,
        retry_after: Millis(2_000),
        admits: None,
    }
}

#[derive(Debug, Clone)]
enum Event {
    Report(usize, LoadView),
    Offer(Offer),
    Accepted(usize, Millis),
    Full(usize),
    Dispatched(usize),
    Ended(usize),
}

#[derive(Debug, Clone)]
struct Offer {
    endpoint: usize,
    tier: Tier,
    prompt: f64,
}

/// All that happened, with its time; offers are known by their place in the log.
#[derive(Default)]
struct Naive {
    log: Vec<(Instant, Event)>,
}

impl Naive {
    fn offer(&self, place: usize) -> &Offer {
        match &self.log[place].1 {
            Event::Offer(offer) => offer,
            other => panic!("not an offer: {other:?}"),
        }
    }

    /// Prompt tokens of own offers that were queued at an endpoint when the
    /// log was `len` long.
    fn own(&self, endpoint: usize, tier: Tier, len: usize) -> f64 {
        let offers = self.log[..len].iter().enumerate();
        let queued = offers.filter_map(|(place, (_, event))| match event {
            Event::Offer(o) if o.endpoint == endpoint && o.tier <= tier => {
                let left = self.log[..len].iter().any(|(_, e)| match e {
                    Event::Full(p) | Event::Dispatched(p) | Event::Ended(p) => *p == place,
                    _ => false,
                });
                (!left).then_some(o.prompt)
            }
            _ => None,
        });
        queued.sum()
    }

    fn own_running(&self, endpoint: usize, len: usize) -> f64 {
        let count = |(_, event): &(Instant, Event)| match event {
            Event::Dispatched(p) if self.offer(*p).endpoint == endpoint => 1.0,
            Event::Ended(p) if self.offer(*p).endpoint == endpoint => -1.0,
            _ => 0.0,
        };
        self.log[..len].iter().map(count).sum()
    }

    fn report(&self, endpoint: usize, len: usize) -> Option<(usize, Instant, LoadView)> {
        let mut log = self.log[..len].iter().enumerate().rev();
        log.find_map(|(i, (at, event))| match event {
            Event::Report(e, view) if *e == endpoint => Some((i, *at, *view)),
            _ => None,
        })
    }

    fn closed(&self, endpoint: usize, tier: Tier, now: Instant) -> bool {
        self.log.iter().any(|(_, event)| match event {
            Event::Full(p) => {
                let offer = self.offer(*p);
                let sent = self.log[*p].0;
                offer.endpoint == endpoint && offer.tier <= tier && sent.after(PROMISE) > now
            }
            _ => false,
        })
    }

    fn wait(&self, endpoint: usize, tier: Tier, now: Instant) -> f64 {
        let len = self.log.len();
        let (reported, at, view) = self.report(endpoint, len).expect("a report");
        let rate = view.prefill_rate;
        let own = self.own(endpoint, tier, len);
        let reply = self
            .log
            .iter()
            .enumerate()
            .rev()
            .find_map(|(i, (at, e))| match e {
                Event::Accepted(p, first) => {
                    let offer = self.offer(*p);
                    let fits = offer.endpoint == endpoint && offer.tier == tier;
                    fits.then_some((i, *at, *p, *first))
                }
                _ => None,
            });
        if let Some((i, replied, place, first)) = reply
            && replied >= at
            && now.since(replied) < Millis(1_000)
        {
            let prompt = self.offer(place).prompt;
            let (_, _, then) = self.report(endpoint, i).expect("a report");
            let wait = (first.0 as f64 - then.prefill_rate.millis_for(prompt)).max(0.0);
            let before = self.own(endpoint, tier, i) - prompt;
            let left = (wait - now.since(replied).0 as f64).max(0.0);
            return left + rate.millis_for((own - before).max(0.0));
        }
        let queued: f64 = view.queued[..=tier.index()]
            .iter()
            .map(|n| f64::from(*n))
            .sum();
        let queued = (queued + own - self.own(endpoint, tier, reported)).max(0.0);
        let since = self.own_running(endpoint, len) - self.own_running(endpoint, reported);
        let limit = f64::from(view.limit);
        let over = (f64::from(view.running) + since + 1.0 - limit) / limit;
        rate.millis_for(queued) + over.clamp(0.0, 1.0) * 400.0
    }

    fn choose(&self, job: &Job, weight: f64, draw: u64, now: Instant) -> Result<usize, Refusal> {
        let len = self.log.len();
        let present = |e: &usize| {
            let report = self.report(*e, len);
            report.is_some_and(|(_, at, view)| view.healthy && now.since(at) < Millis(5_000))
        };
        let present: Vec<usize> = (0..ENDPOINTS).filter(present).collect();
        let remaining = job.deadline.since(now).0 as f64;
        let mut rated = Vec::new();
        for e in &present {
            if self.closed(*e, job.tier, now) || job.excluded.contains(&name(*e)) {
                continue;
            }
            let (_, _, view) = self.report(*e, len).expect("a report");
            let prefill = view.prefill_rate.millis_for(job.prompt.0 as f64);
            let first = self.wait(*e, job.tier, now) + prefill;
            let decode = view.decode_rate.millis_for(job.output.0 as f64);
            let overdue = (first + decode - remaining).max(0.0);
            rated.push((
                weight * (first + 0.1 * decode + 4.0 * overdue),
                *e,
                first + decode,
            ));
        }
        rated.sort_by(|a, b| a.partial_cmp(b).expect("finite scores"));
        let hopeful = rated.iter().any(|r| r.2 <= remaining * 2.0);
        if hopeful || job.refused.is_some() {
            rated.retain(|r| r.2 <= remaining * 2.0);
        } else {
            rated.truncate(1);
        }
        let Some(best) = rated.first().map(|r| r.0) else {
            let covered = present.iter().all(|e| self.closed(*e, job.tier, now));
            return Err(match job.refused {
                Some(_) if covered => Refusal::Full,
                Some(_) => Refusal::DeadlineUnreachable,
                None if present.is_empty() => Refusal::Unavailable,
                None if covered => Refusal::Full,
                None => Refusal::DeadlineUnreachable,
            });
        };
        rated.retain(|r| r.0 <= best * 1.25 + 25.0);
        rated.truncate(3);
        Ok(rated[draw as usize % rated.len()].1)
    }
}

fn view() -> impl Strategy<Value = LoadView> {
    let queued = prop::array::uniform8(prop_oneof![Just(0u32), 0u32..5_000]);
    (
        queued,
        0u32..12,
        1u32..12,
        1u32..8,
        1u32..8,
        prop::bool::weighted(0.9),
    )
        .prop_map(
            |(queued, running, limit, prefill, decode, healthy)| LoadView {
                healthy,
                running,
                queued,
                admits: None,
                prefill_rate: TokenRate(f64::from(prefill) * 500.0),
                decode_rate: TokenRate(f64::from(decode) * 10.0),
                limit,
            },
        )
}

#[derive(Debug, Clone)]
enum Op {
    Report(usize, LoadView),
    Choose(u8, u64, u64, u64),
    Accept(usize, u64),
    Refuse(usize),
    Dispatch(usize),
    End(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0..ENDPOINTS, view()).prop_map(|(e, v)| Op::Report(e, v)),
        6 => (0u8..4, 1u64..2_000, 100u64..20_000, any::<u64>())
            .prop_map(|(t, p, d, r)| Op::Choose(t, p, d, r)),
        3 => (any::<usize>(), 0u64..3_000).prop_map(|(i, f)| Op::Accept(i, f)),
        1 => any::<usize>().prop_map(Op::Refuse),
        2 => any::<usize>().prop_map(Op::Dispatch),
        1 => any::<usize>().prop_map(Op::End),
    ]
}

proptest! {
    #[test]
    fn the_route_does_as_the_naive_one(
        weight in prop_oneof![Just(1.0), Just(0.2)],
        ops in prop::collection::vec((op(), 0u64..400), 1..80),
    ) {
        let (mut route, mut naive) = (Route::new(weight), Naive::default());
        let mut now = Instant(1);
        let (mut queued, mut running): (Vec<usize>, Vec<usize>) = Default::default();
        let mut refused: Option<(Job, usize)> = None;
        let id = |place: usize| RequestId(place as u128);
        for (seq, (op, pause)) in (1u64..).zip(ops) {
            now = now.after(Millis(pause));
            let place = naive.log.len();
            match op {
                Op::Report(e, view) => {
                    route.on_report(&name(e), view, seq, now);
                    naive.log.push((now, Event::Report(e, view)));
                }
                Op::Choose(tier, prompt, span, draw) => {
                    let fresh = Job {
                        tier: Tier::new(tier).expect("a tier"),
                        prompt: Tokens(prompt),
                        output: Tokens(50),
                        prefixes: SmallVec::new(),
                        deadline: now.after(Millis(span)),
                        suspect: false,
                        excluded: SmallVec::new(),
                        refused: None,
                    };
                    let job = match refused.take() {
                        Some((mut job, endpoint)) => {
                            job.excluded.extend((draw % 3 == 0).then(|| name(endpoint)));
                            job.refused = Some(full());
                            job
                        }
                        None => fresh,
                    };
                    let expected = naive.choose(&job, weight, draw, now);
                    match route.choose(&job, draw, now) {
                        Choice::Offer(chosen) => {
                            prop_assert_eq!(Ok(chosen.clone()), expected.map(name));
                            let endpoint = (0..ENDPOINTS).position(|e| name(e) == chosen);
                            let endpoint = endpoint.expect("a known endpoint");
                            route.on_offer(&chosen, id(place), &job, now);
                            let (tier, prompt) = (job.tier, job.prompt.0 as f64);
                            let offer = Offer { endpoint, tier, prompt };
                            naive.log.push((now, Event::Offer(offer)));
                            queued.push(place);
                        }
                        Choice::Refuse(refused) => prop_assert_eq!(Err(refused.reason), expected),
                    }
                }
                Op::Accept(i, first) if !queued.is_empty() => {
                    let place = queued[i % queued.len()];
                    route.on_accepted(id(place), Millis(first), now);
                    naive.log.push((now, Event::Accepted(place, Millis(first))));
                }
                Op::Refuse(i) if !queued.is_empty() => {
                    let place = queued.remove(i % queued.len());
                    route.on_refused(id(place), &full(), now);
                    let offer = naive.offer(place).clone();
                    let job = Job {
                        tier: offer.tier,
                        prompt: Tokens(offer.prompt as u64),
                        output: Tokens(50),
                        prefixes: SmallVec::new(),
                        deadline: now.after(Millis(5_000)),
                        suspect: false,
                        excluded: SmallVec::new(),
                        refused: None,
                    };
                    refused = Some((job, offer.endpoint));
                    naive.log.push((now, Event::Full(place)));
                }
                Op::Dispatch(i) if !queued.is_empty() => {
                    let place = queued.remove(i % queued.len());
                    route.on_dispatched(id(place), now);
                    naive.log.push((now, Event::Dispatched(place)));
                    running.push(place);
                }
                Op::End(i) if !running.is_empty() => {
                    let place = running.remove(i % running.len());
                    route.on_end(id(place), Ended::Whole, now);
                    naive.log.push((now, Event::Ended(place)));
                }
                _ => {}
            }
        }
    }
}

fn idle() -> LoadView {
    LoadView {
        healthy: true,
        running: 0,
        queued: [0; Tier::COUNT],
        admits: Some(Tier::LEAST_URGENT),
        prefill_rate: TokenRate(1_000.0),
        decode_rate: TokenRate(50.0),
        limit: 8,
    }
}

fn job() -> Job {
    Job {
        tier: Tier::MOST_URGENT,
        prompt: Tokens(100),
        output: Tokens(10),
        prefixes: SmallVec::from_slice(&[1, 2, 3, 4]),
        deadline: Instant(1_000_000),
        suspect: false,
        excluded: SmallVec::new(),
        refused: None,
    }
}

fn offered(route: &mut Route, id: u128, now: Instant) -> EndpointName {
    match route.choose(&job(), id as u64, now) {
        Choice::Offer(endpoint) => {
            route.on_offer(&endpoint, RequestId(id), &job(), now);
            endpoint
        }
        Choice::Refuse(refused) => panic!("refused: {refused:?}"),
    }
}

#[rstest]
fn an_outlier_is_ejected_and_tried_again() {
    let mut route = Route::new(1.0);
    let now = Instant(1_000);
    for e in 0..3 {
        route.on_report(&name(e), idle(), 1, now);
    }
    // The prefix settles which endpoint is preferred.
    let preferred = offered(&mut route, 1, now);
    for id in 2..5 {
        route.on_dispatched(RequestId(id - 1), now);
        route.on_end(RequestId(id - 1), Ended::Broken, now);
        if id < 4 {
            assert_eq!(offered(&mut route, id, now), preferred);
        }
    }
    assert_ne!(
        offered(&mut route, 9, now),
        preferred,
        "three failures eject"
    );
    route.on_withdrawn(RequestId(9));
    let later = now.after(Millis(1_001));
    for e in 0..3 {
        route.on_report(&name(e), idle(), 2, later);
    }
    let trial = (10..40).find(|id| offered(&mut route, *id, later) == preferred);
    let trial = trial.expect("a trial of the ejected endpoint");
    for id in 40..60 {
        assert_ne!(
            offered(&mut route, id, later),
            preferred,
            "one trial at a time"
        );
    }
    route.on_dispatched(RequestId(trial), later);
    route.on_end(RequestId(trial), Ended::Whole, later);
    let back = (60..90).any(|id| offered(&mut route, id, later) == preferred);
    assert!(back, "a success takes the endpoint back in");
}

#[rstest]
fn a_burst_between_two_reports_is_spread() {
    let mut route = Route::new(1.0);
    let now = Instant(1_000);
    for e in 0..ENDPOINTS {
        route.on_report(&name(e), idle(), 1, now);
    }
    let mut offers = [0; ENDPOINTS];
    for id in 0..80 {
        let endpoint = offered(&mut route, id, now);
        let i = (0..ENDPOINTS).find(|e| name(*e) == endpoint);
        offers[i.expect("a known endpoint")] += 1;
    }
    assert!(offers.iter().all(|n| (10..=30).contains(n)), "{offers:?}");
}
