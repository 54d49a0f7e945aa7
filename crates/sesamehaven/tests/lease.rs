//! Leases and orders under lost responses, late writes, pauses and skewed clocks.

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::config::Fencing;
use sesamehaven::guard::Run;
use sesamehaven::id::Incarnation;
use sesamehaven::lease::{Call, Fence, LEASE_DURATION, Lease, Record, Reply};
use sesamehaven::order::{Next, ORDER_TIMEOUT, Order, OrderResult, Orders};
use sesamehaven::unit::{Instant, Millis};

#[derive(Default)]
struct Store {
    version: u64,
    record: Option<Record>,
}

impl Store {
    fn call(&mut self, call: Call) -> Reply {
        match call {
            Call::Read => Reply::Value(self.version, self.record.clone()),
            Call::Write(version, record) if version == self.version => {
                self.version += 1;
                self.record = Some(record);
                Reply::Written(self.version)
            }
            Call::Write(..) => Reply::Conflict,
        }
    }
}

struct Contender {
    lease: Lease,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    /// The offset of its monotonic clock from the true time, in milliseconds.
    clock_offset_ms: u64,
    paused: bool,
}

struct World {
    store: Store,
    contenders: Vec<Contender>,
    delayed: Vec<Call>,
    now: u64,
    steps_held: usize,
    takeovers: usize,
    last: Fence,
}

impl World {
    fn new() -> Self {
        let contender = |i: u64| Contender {
            lease: Lease::new(Run {
                name: format!("agent-{i}").parse().expect("a plain name"),
                incarnation: Incarnation(i),
            }),
            calls: Vec::new(),
            replies: Vec::new(),
            clock_offset_ms: i * 77_777,
            paused: false,
        };
        World {
            store: Store::default(),
            contenders: (0..3).map(contender).collect(),
            delayed: Vec::new(),
            now: 0,
            steps_held: 0,
            takeovers: 0,
            last: Fence(0),
        }
    }

    fn step(&mut self, op: u32) {
        let pick = (op / 32) as usize;
        let i = pick % self.contenders.len();
        let c = &mut self.contenders[i];
        let now = Instant(self.now + c.clock_offset_ms);
        match op % 32 {
            0..=9 if !c.paused => c.calls.extend(c.lease.tick(now)),
            10..=17 if !c.calls.is_empty() => {
                let call = c.calls.remove(0);
                c.replies.push(self.store.call(call));
            }
            18..=24 if !c.paused && !c.replies.is_empty() => {
                let reply = c.replies.remove(0);
                c.calls.extend(c.lease.on_reply(reply, now));
            }
            25 if !c.calls.is_empty() => {
                let call = c.calls.remove(0);
                if pick.is_multiple_of(2) {
                    self.delayed.push(call);
                }
                c.replies.push(Reply::Failed);
            }
            26 if !self.delayed.is_empty() => {
                let call = self.delayed.remove(0);
                self.store.call(call);
            }
            27 => c.paused ^= true,
            28 => c.paused = false,
            29 if pick.is_multiple_of(16) && !c.paused => c.calls.extend(c.lease.release(now)),
            _ => self.now += [1, 40, 700, 3_000, 13_000][pick % 5],
        }
        self.check();
    }

    fn check(&mut self) {
        let fences = self.contenders.iter().filter_map(|c| {
            let now = Instant(self.now + c.clock_offset_ms);
            c.lease.fence(now)
        });
        let fences: Vec<Fence> = fences.collect();
        assert!(fences.len() <= 1, "{fences:?} are held at once");
        if let Some(fence) = fences.first() {
            assert!(*fence >= self.last, "{fence} after {}", self.last);
            self.steps_held += 1;
            self.takeovers += usize::from(*fence > self.last);
            self.last = *fence;
        }
    }
}

#[test]
fn a_lease_has_one_holder_at_a_time_and_its_tokens_increase() {
    let config = ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let totals = std::cell::Cell::new((0, 0));
    proptest!(config, |(ops in prop::collection::vec(any::<u32>(), 100..1_500))| {
        let mut world = World::new();
        ops.into_iter().for_each(|op| world.step(op));
        let (steps_held, takeovers) = totals.get();
        totals.set((steps_held + world.steps_held, takeovers + world.takeovers));
    });
    println!("steps with a holder, changes of holder: {:?}", totals.get());
    assert!(totals.get().0 > 10_000 && totals.get().1 > 1_000);
}

#[test]
fn a_resumed_holder_finds_its_lease_expired() {
    let mut lease = World::new().contenders.remove(0).lease;
    lease.tick(Instant(0));
    lease.on_reply(Reply::Value(0, None), Instant(0));
    lease.on_reply(Reply::Written(1), Instant(4_000));
    // The lease duration starts at the request, not at the response.
    assert_eq!(lease.fence(Instant(7_999)), Some(Fence(1)));
    assert_eq!(lease.fence(Instant(8_000)), None);
    // When acquired again, the lease gets another token, since an order may still be
    // in flight.
    let call = lease.tick(Instant(60_000));
    let Some(Call::Write(1, record)) = call else {
        panic!("{call:?}");
    };
    assert_eq!((record.fence, record.duration), (Fence(2), LEASE_DURATION));
}

#[rstest]
#[case(Fencing::Checked, 0)]
#[case(Fencing::Ignored, ORDER_TIMEOUT.0)]
fn a_new_holder_waits_if_the_endpoint_ignores_tokens(#[case] fencing: Fencing, #[case] wait: u64) {
    let mut orders = Orders::new(fencing);
    orders.set_desired(["model-a".into()]);
    orders.on_fetch_granted("model-a".into());
    let start = Instant(1_000);
    let order = Order {
        fence: Fence(2),
        kind: sesamehaven::order::Kind::Load,
        name: "model-a".into(),
    };
    if wait > 0 {
        let next = orders.next(Some(Fence(2)), start);
        assert_eq!(next, Next::Wait(start.after(Millis(wait))));
        let early = Instant(start.0 + wait - 1);
        assert!(matches!(orders.next(Some(Fence(2)), early), Next::Wait(_)));
    }
    let next = orders.next(Some(Fence(2)), start.after(Millis(wait)));
    assert_eq!(next, Next::Send(order.clone()));
    orders.on_result(&order, OrderResult::Done, start.after(Millis(wait)));
    assert_eq!(orders.next(Some(Fence(2)), Instant(20_000)), Next::Idle);
    // Without the lease, no orders are sent.
    orders.set_desired([]);
    assert!(matches!(orders.next(None, Instant(20_001)), Next::Wait(_)));
}

#[test]
fn agents_share_the_weight_store_rate_without_coordination() {
    use rand::{Rng, SeedableRng};
    let seed = 20_261_203;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let (agents, per_second) = (40, 2.0);
    let mut all: Vec<Orders> = (0..agents).map(|_| Orders::new(Fencing::Checked)).collect();
    all.iter_mut()
        .for_each(|o| o.set_desired(["model-a".into()]));
    let (mut tokens, mut refused, mut done_at) = (per_second, 0, vec![0; agents]);
    for now in (0..120_000).step_by(10) {
        tokens = f64::min(tokens + per_second / 100.0, per_second);
        for (orders, done) in all.iter_mut().zip(&mut done_at) {
            match orders.next(Some(Fence(1)), Instant(now)) {
                Next::Fetch(name) if tokens >= 1.0 => {
                    tokens -= 1.0;
                    orders.on_fetch_granted(name);
                    *done = now;
                }
                Next::Fetch(_) => {
                    refused += 1;
                    orders.on_fetch_refused(Millis(500), rng.random(), Instant(now));
                }
                _ => {}
            }
        }
    }
    let last = done_at.iter().max().copied();
    println!("seed {seed}: 40 fetches at 2 a second end after {last:?} ms, {refused} refused");
    assert!(
        done_at
            .iter()
            .all(|at| *at > 0 || agents == 0 || done_at[0] == 0)
    );
    assert!(last < Some(60_000), "the rate was underused");
    assert!(refused < agents * 8, "the store refused {refused} requests");
}
