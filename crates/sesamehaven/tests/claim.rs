//! Durable claims against a platform with lost responses, delayed writes and outages.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::claim::{CLAIM_TIMEOUT, Call, Outcome, Progress, Reply, Shard, Table, Verdict};
use sesamehaven::id::{KeyDigest, RequestId};
use sesamehaven::key::WallTime;
use sesamehaven::unit::Instant;

/// The platform object of one shard.
#[derive(Default)]
struct Object {
    version: u64,
    table: Table,
    calls: usize,
}

impl Object {
    fn call(&mut self, call: Call) -> Reply {
        self.calls += 1;
        match call {
            Call::Read => Reply::Value(self.version, self.table.clone()),
            Call::Write(version, table) if version == self.version => {
                self.version += 1;
                self.table = table;
                Reply::Written(self.version)
            }
            Call::Write(..) => Reply::Conflict,
        }
    }
}

#[derive(Default)]
struct World {
    object: Object,
    writers: Vec<Shard>,
    calls: Vec<(usize, Call)>,
    replies: Vec<(usize, Reply)>,
    late: Vec<Call>,
    now: u64,
    count: u128,
    claimed: BTreeMap<KeyDigest, BTreeSet<RequestId>>,
    refused: BTreeSet<RequestId>,
    keys: BTreeMap<RequestId, KeyDigest>,
}

impl World {
    fn time(&self) -> (Instant, WallTime) {
        (Instant(self.now), WallTime(self.now))
    }

    fn take(&mut self, writer: usize, progress: Progress) {
        self.calls.extend(progress.call.map(|c| (writer, c)));
        for (nonce, verdict) in progress.verdicts {
            let key = self.keys[&nonce];
            match verdict {
                Verdict::Claimed => {
                    assert!(!self.refused.contains(&nonce), "claimed after not run");
                    let holders = self.claimed.entry(key).or_default();
                    holders.insert(nonce);
                    assert!(holders.len() == 1, "{key} was claimed by {holders:?}");
                }
                Verdict::Taken(record) => assert_ne!(record.nonce, nonce),
                Verdict::PlatformDown => {
                    assert!(!self.claimed.get(&key).is_some_and(|h| h.contains(&nonce)));
                    self.refused.insert(nonce);
                }
            }
        }
    }

    fn step(&mut self, op: u32) {
        let (now, wall) = self.time();
        let pick = (op / 16) as usize;
        let writer = pick % self.writers.len();
        match op % 16 {
            0..=3 => {
                self.count += 1;
                let (key, nonce) = (KeyDigest(u128::from(op / 64) % 6), RequestId(self.count));
                self.keys.insert(nonce, key);
                let progress = self.writers[writer].claim(key, nonce, None, now, wall);
                self.take(writer, progress);
            }
            4..=7 if !self.calls.is_empty() => {
                let (writer, call) = self.calls.remove(pick % self.calls.len());
                let reply = self.object.call(call);
                self.replies.push((writer, reply));
            }
            8..=11 if !self.replies.is_empty() => {
                let (writer, reply) = self.replies.remove(pick % self.replies.len());
                let progress = self.writers[writer].on_reply(reply, now, wall);
                self.take(writer, progress);
            }
            // The call is lost, takes effect without a response, or takes effect late.
            12 if !self.calls.is_empty() => {
                let (writer, call) = self.calls.remove(pick % self.calls.len());
                match pick % 3 {
                    0 => drop(self.object.call(call)),
                    1 => self.late.push(call),
                    _ => {}
                }
                self.replies.push((writer, Reply::Failed));
            }
            13 if !self.late.is_empty() => {
                let call = self.late.remove(pick % self.late.len());
                self.object.call(call);
            }
            14 => self.now += [1, 300, CLAIM_TIMEOUT.0][pick % 3],
            _ => {
                let progress = self.writers[writer].tick(now, wall);
                self.take(writer, progress);
            }
        }
    }

    /// Lets the platform answer all calls for 200 rounds.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.now += 300;
            for call in std::mem::take(&mut self.late) {
                self.object.call(call);
            }
            for (writer, call) in std::mem::take(&mut self.calls) {
                let reply = self.object.call(call);
                self.replies.push((writer, reply));
            }
            let (now, wall) = self.time();
            for (writer, reply) in std::mem::take(&mut self.replies) {
                let progress = self.writers[writer].on_reply(reply, now, wall);
                self.take(writer, progress);
            }
            for writer in 0..self.writers.len() {
                let progress = self.writers[writer].tick(now, wall);
                self.take(writer, progress);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_is_claimed_once_and_refused_claims_stay_refused(ops in prop::collection::vec(any::<u32>(), 1..400)) {
        let mut world = World {
            writers: (0..3).map(|_| Shard::default()).collect(),
            ..World::default()
        };
        ops.into_iter().for_each(|op| world.step(op));
        world.settle();
        assert!(world.writers.iter().all(Shard::is_idle));
        // No claim remains of a request whose caller received "not run".
        for record in world.object.table.0.values() {
            assert!(!world.refused.contains(&record.nonce), "{record:?} was not voided");
        }
    }
}

/// Guards against a void that is dropped when its write is lost and the delayed write
/// of the claim has not taken effect yet: the claim would then stay open although its
/// caller received "not run".
#[rstest]
fn a_void_is_retried_while_the_write_of_its_claim_may_take_effect(
    #[values(true, false)] is_claim_first: bool,
) {
    let (id, wall) = (RequestId(1), WallTime(0));
    let mut object = Object::default();
    let mut shard = Shard::default();
    let read = shard.claim(KeyDigest(1), id, None, Instant(0), wall);
    let write = shard.on_reply(object.call(read.call.unwrap()), Instant(0), wall);
    let delayed_claim = write.call.unwrap();
    assert!(matches!(delayed_claim, Call::Write(0, _)));
    shard.on_reply(Reply::Failed, Instant(0), wall);
    let mut now = CLAIM_TIMEOUT.0;
    let refused = shard.tick(Instant(now), wall);
    assert_eq!(refused.verdicts, [(id, Verdict::PlatformDown)]);
    // The write of the void is lost repeatedly, and never takes effect.
    let mut call = refused.call;
    for _ in 0..3 {
        assert_eq!(call, Some(Call::Read));
        let void = shard.on_reply(object.call(Call::Read), Instant(now), wall);
        assert_eq!(void.call, Some(Call::Write(0, Table::default())));
        shard.on_reply(Reply::Failed, Instant(now), wall);
        now += CLAIM_TIMEOUT.0;
        call = shard.tick(Instant(now), wall).call;
    }
    let mut void = shard.on_reply(object.call(call.unwrap()), Instant(now), wall);
    if is_claim_first {
        assert_eq!(object.call(delayed_claim), Reply::Written(1));
    } else {
        void = shard.on_reply(object.call(void.call.unwrap()), Instant(now), wall);
        assert_eq!(object.call(delayed_claim), Reply::Conflict);
    }
    while let Some(call) = void.call {
        void = shard.on_reply(object.call(call), Instant(now), wall);
        assert_eq!(void.verdicts, []);
    }
    assert!(shard.is_idle());
    assert_eq!(object.table, Table::default());
}

#[test]
fn claims_are_refused_immediately_while_the_platform_is_down() {
    let wall = WallTime(0);
    let mut shard = Shard::default();
    let first = shard.claim(KeyDigest(1), RequestId(1), None, Instant(0), wall);
    assert_eq!(first.call, Some(Call::Read));
    let failed = shard.on_reply(Reply::Failed, Instant(100), wall);
    assert_eq!(failed.verdicts, [(RequestId(1), Verdict::PlatformDown)]);
    let second = shard.claim(KeyDigest(2), RequestId(2), None, Instant(101), wall);
    assert_eq!(second.verdicts, [(RequestId(2), Verdict::PlatformDown)]);
    // The first claim after the retry delay calls the platform again.
    let third = shard.claim(KeyDigest(3), RequestId(3), None, Instant(400), wall);
    assert!(third.verdicts.is_empty() && third.call.is_some());
    // A call without a response times out.
    let late = shard.tick(Instant(400 + CLAIM_TIMEOUT.0), wall);
    assert_eq!(late.verdicts, [(RequestId(3), Verdict::PlatformDown)]);
}

#[test]
fn a_holder_is_replaced_only_if_the_claim_names_it() {
    let (now, wall) = (Instant(0), WallTime(0));
    let mut object = Object::default();
    let mut shard = Shard::default();
    let mut run = |progress: Progress, shard: &mut Shard| {
        let mut verdicts = progress.verdicts;
        let mut call = progress.call;
        while let Some(next) = call {
            let progress = shard.on_reply(object.call(next), now, wall);
            verdicts.extend(progress.verdicts);
            call = progress.call;
        }
        verdicts
    };
    let key = KeyDigest(1);
    let progress = shard.claim(key, RequestId(1), None, now, wall);
    assert_eq!(
        run(progress, &mut shard),
        [(RequestId(1), Verdict::Claimed)]
    );
    let progress = shard.claim(key, RequestId(2), None, now, wall);
    let verdicts = run(progress, &mut shard);
    assert!(matches!(verdicts[..], [(RequestId(2), Verdict::Taken(r))] if r.nonce == RequestId(1)));
    let progress = shard.claim(key, RequestId(3), Some(RequestId(1)), now, wall);
    assert_eq!(
        run(progress, &mut shard),
        [(RequestId(3), Verdict::Claimed)]
    );
    let progress = shard.record(key, RequestId(3), Outcome::Answered, now, wall);
    run(progress, &mut shard);
    let progress = shard.claim(key, RequestId(4), None, now, wall);
    let verdicts = run(progress, &mut shard);
    let [(_, Verdict::Taken(record))] = verdicts[..] else {
        panic!("{verdicts:?}");
    };
    assert_eq!(record.outcome, Outcome::Answered);
}

/// Returns the number of platform calls for 1,000 claims, including the recording
/// of their outcomes.
fn calls_for_claims(shards: usize, per_second: u64, latency: u64) -> usize {
    let mut objects: Vec<Object> = (0..shards).map(|_| Object::default()).collect();
    let mut writers: Vec<Shard> = (0..shards).map(|_| Shard::default()).collect();
    let mut due: BTreeMap<u64, Vec<(usize, Call)>> = BTreeMap::new();
    let mut outcomes: BTreeMap<u64, Vec<RequestId>> = BTreeMap::new();
    let mut claimed = 0;
    for now in 0..(1_000 * 1_000 / per_second + 60_000) {
        let (at, wall) = (Instant(now), WallTime(now));
        let mut steps = Vec::new();
        for n in (now * per_second / 1_000)..((now + 1) * per_second / 1_000) {
            if n < 1_000 {
                // Distributes the keys over the shards pseudo-randomly, like digests.
                let key = KeyDigest(u128::from(n * 7_919 % 1_009));
                let writer = &mut writers[key.0 as usize % shards];
                let progress = writer.claim(key, RequestId(key.0), None, at, wall);
                steps.push((key.0 as usize % shards, progress));
            }
        }
        for nonce in outcomes.remove(&now).into_iter().flatten() {
            let i = nonce.0 as usize % shards;
            let outcome = Outcome::Answered;
            let progress = writers[i].record(KeyDigest(nonce.0), nonce, outcome, at, wall);
            steps.push((i, progress));
        }
        for (i, call) in due.remove(&now).into_iter().flatten() {
            let reply = objects[i].call(call);
            steps.push((i, writers[i].on_reply(reply, at, wall)));
        }
        for (i, progress) in steps {
            due.entry(now + latency)
                .or_default()
                .extend(progress.call.map(|c| (i, c)));
            for (nonce, verdict) in progress.verdicts {
                assert_eq!(verdict, Verdict::Claimed);
                claimed += 1;
                outcomes.entry(now + 400).or_default().push(nonce);
            }
        }
    }
    assert_eq!(claimed, 1_000);
    objects.iter().map(|o| o.calls).sum()
}

#[test]
fn batching_limits_the_calls_for_a_thousand_claims() {
    println!("shards, claims per second, latency in ms: calls for 1,000 claims");
    for (shards, per_second, latency) in [
        (1_024, 10, 5),
        (64, 10, 5),
        (64, 200, 5),
        (64, 1_000, 20),
        (64, 1_000, 500),
    ] {
        let calls = calls_for_claims(shards, per_second, latency);
        println!("{shards}, {per_second}, {latency}: {calls}");
        assert!(
            calls <= 3_010,
            "a claim costs at most three calls: a first read, its write and that of its outcome"
        );
    }
    assert!(calls_for_claims(64, 1_000, 500) < 400);
}
