//! The router, compared with a naive model that derives everything from the event log.

use proptest::prelude::*;
use rstest::rstest;
use smallvec::SmallVec;

use sesamehaven::Tier;
use sesamehaven::gate::{FULL_COOLDOWN, LoadView, RunOutcome};
use sesamehaven::id::{EndpointName, RequestId};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::router::{Choice, Job, Router};
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

/// The log of all events and their times; an offer is identified by its log index.
#[derive(Default)]
struct NaiveRouter {
    log: Vec<(Instant, Event)>,
}

impl NaiveRouter {
    fn offer(&self, index: usize) -> &Offer {
        match &self.log[index].1 {
            Event::Offer(offer) => offer,
            other => panic!("not an offer: {other:?}"),
        }
    }

    /// Returns the prompt tokens of this entry's offers that were queued at an endpoint when
    /// the log had `len` events.
    fn own_queued(&self, endpoint: usize, tier: Tier, len: usize) -> f64 {
        let offers = self.log[..len].iter().enumerate();
        let queued = offers.filter_map(|(index, (_, event))| match event {
            Event::Offer(o) if o.endpoint == endpoint && o.tier <= tier => {
                let left = self.log[..len].iter().any(|(_, e)| match e {
                    Event::Full(p) | Event::Dispatched(p) | Event::Ended(p) => *p == index,
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

    fn is_closed(&self, endpoint: usize, tier: Tier, now: Instant) -> bool {
        self.log.iter().any(|(_, event)| match event {
            Event::Full(p) => {
                let offer = self.offer(*p);
                let sent = self.log[*p].0;
                offer.endpoint == endpoint && offer.tier <= tier && sent.after(FULL_COOLDOWN) > now
            }
            _ => false,
        })
    }

    fn wait(&self, endpoint: usize, tier: Tier, now: Instant) -> f64 {
        let len = self.log.len();
        let (reported, at, view) = self.report(endpoint, len).expect("a report");
        let rate = view.prefill_rate;
        let own_queued = self.own_queued(endpoint, tier, len);
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
        if let Some((i, replied, index, first)) = reply
            && replied >= at
            && now.since(replied) < Millis(1_000)
        {
            let prompt = self.offer(index).prompt;
            let (_, _, then) = self.report(endpoint, i).expect("a report");
            let wait = (first.0 as f64 - then.prefill_rate.millis_for(prompt)).max(0.0);
            let before = self.own_queued(endpoint, tier, i) - prompt;
            let left = (wait - now.since(replied).0 as f64).max(0.0);
            return left + rate.millis_for((own_queued - before).max(0.0));
        }
        let queued: f64 = view.queued[..=tier.index()]
            .iter()
            .map(|n| f64::from(*n))
            .sum();
        let queued = (queued + own_queued - self.own_queued(endpoint, tier, reported)).max(0.0);
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
        let mut scored = Vec::new();
        for e in &present {
            if self.is_closed(*e, job.tier, now) || job.excluded.contains(&name(*e)) {
                continue;
            }
            let (_, _, view) = self.report(*e, len).expect("a report");
            let prefill = view.prefill_rate.millis_for(job.prompt.0 as f64);
            let first = self.wait(*e, job.tier, now) + prefill;
            let decode = view.decode_rate.millis_for(job.output.0 as f64);
            let overdue = (first + decode - remaining).max(0.0);
            scored.push((
                weight * (first + 0.1 * decode + 4.0 * overdue),
                *e,
                first + decode,
            ));
        }
        scored.sort_by(|a, b| a.partial_cmp(b).expect("finite scores"));
        let any_reachable = scored.iter().any(|r| r.2 <= remaining * 2.0);
        if any_reachable || job.refused.is_some() {
            scored.retain(|r| r.2 <= remaining * 2.0);
        } else {
            scored.truncate(1);
        }
        let Some(best) = scored.first().map(|r| r.0) else {
            let all_closed = present.iter().all(|e| self.is_closed(*e, job.tier, now));
            return Err(match job.refused {
                Some(_) if all_closed => Refusal::Full,
                Some(_) => Refusal::DeadlineUnreachable,
                None if present.is_empty() => Refusal::Unavailable,
                None if all_closed => Refusal::Full,
                None => Refusal::DeadlineUnreachable,
            });
        };
        scored.retain(|r| r.0 <= best * 1.25 + 25.0);
        scored.truncate(3);
        Ok(scored[draw as usize % scored.len()].1)
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
    fn the_router_behaves_like_the_naive_model(
        weight in prop_oneof![Just(1.0), Just(0.2)],
        ops in prop::collection::vec((op(), 0u64..400), 1..80),
    ) {
        let (mut router, mut naive) = (Router::new(weight), NaiveRouter::default());
        let mut now = Instant(1);
        let (mut queued, mut running): (Vec<usize>, Vec<usize>) = Default::default();
        let mut refused: Option<(Job, usize)> = None;
        let id = |index: usize| RequestId(index as u128);
        for (seq, (op, pause)) in (1u64..).zip(ops) {
            now = now.after(Millis(pause));
            let index = naive.log.len();
            match op {
                Op::Report(e, view) => {
                    router.on_report(&name(e), view, seq, now);
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
                    match router.choose(&job, draw, now) {
                        Choice::Offer(chosen) => {
                            prop_assert_eq!(Ok(chosen.clone()), expected.map(name));
                            let endpoint = (0..ENDPOINTS).position(|e| name(e) == chosen);
                            let endpoint = endpoint.expect("a known endpoint");
                            router.on_offer(&chosen, id(index), &job, now);
                            let (tier, prompt) = (job.tier, job.prompt.0 as f64);
                            let offer = Offer { endpoint, tier, prompt };
                            naive.log.push((now, Event::Offer(offer)));
                            queued.push(index);
                        }
                        Choice::Refuse(refused) => prop_assert_eq!(Err(refused.reason), expected),
                    }
                }
                Op::Accept(i, first) if !queued.is_empty() => {
                    let index = queued[i % queued.len()];
                    router.on_accepted(id(index), Millis(first), now);
                    naive.log.push((now, Event::Accepted(index, Millis(first))));
                }
                Op::Refuse(i) if !queued.is_empty() => {
                    let index = queued.remove(i % queued.len());
                    router.on_refused(id(index), &full(), now);
                    let offer = naive.offer(index).clone();
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
                    naive.log.push((now, Event::Full(index)));
                }
                Op::Dispatch(i) if !queued.is_empty() => {
                    let index = queued.remove(i % queued.len());
                    router.on_dispatched(id(index), now);
                    naive.log.push((now, Event::Dispatched(index)));
                    running.push(index);
                }
                Op::End(i) if !running.is_empty() => {
                    let index = running.remove(i % running.len());
                    router.on_end(id(index), RunOutcome::Completed, now);
                    naive.log.push((now, Event::Ended(index)));
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

fn offered(router: &mut Router, id: u128, now: Instant) -> EndpointName {
    match router.choose(&job(), id as u64, now) {
        Choice::Offer(endpoint) => {
            router.on_offer(&endpoint, RequestId(id), &job(), now);
            endpoint
        }
        Choice::Refuse(refused) => panic!("refused: {refused:?}"),
    }
}

#[rstest]
fn an_outlier_is_ejected_and_probed_again() {
    let mut router = Router::new(1.0);
    let now = Instant(1_000);
    for e in 0..3 {
        router.on_report(&name(e), idle(), 1, now);
    }
    // The prefix determines the preferred endpoint.
    let preferred = offered(&mut router, 1, now);
    for id in 2..5 {
        router.on_dispatched(RequestId(id - 1), now);
        router.on_end(RequestId(id - 1), RunOutcome::Failed, now);
        if id < 4 {
            assert_eq!(offered(&mut router, id, now), preferred);
        }
    }
    assert_ne!(
        offered(&mut router, 9, now),
        preferred,
        "three failures eject"
    );
    router.on_withdrawn(RequestId(9));
    let later = now.after(Millis(1_001));
    for e in 0..3 {
        router.on_report(&name(e), idle(), 2, later);
    }
    let probe = (10..40).find(|id| offered(&mut router, *id, later) == preferred);
    let probe = probe.expect("a probe of the ejected endpoint");
    for id in 40..60 {
        assert_ne!(
            offered(&mut router, id, later),
            preferred,
            "one probe at a time"
        );
    }
    router.on_dispatched(RequestId(probe), later);
    router.on_end(RequestId(probe), RunOutcome::Completed, later);
    let back = (60..90).any(|id| offered(&mut router, id, later) == preferred);
    assert!(back, "a success takes the endpoint back in");
}

#[rstest]
fn a_burst_between_two_reports_is_distributed() {
    let mut router = Router::new(1.0);
    let now = Instant(1_000);
    for e in 0..ENDPOINTS {
        router.on_report(&name(e), idle(), 1, now);
    }
    let mut offers = [0; ENDPOINTS];
    for id in 0..80 {
        let endpoint = offered(&mut router, id, now);
        let i = (0..ENDPOINTS).find(|e| name(*e) == endpoint);
        offers[i.expect("a known endpoint")] += 1;
    }
    assert!(offers.iter().all(|n| (10..=30).contains(n)), "{offers:?}");
}
