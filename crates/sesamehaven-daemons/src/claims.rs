//! Durable claims of keys, which an agent stores at the platform before it
//! dispatches.

use std::collections::HashMap;

use bytes::Bytes;
use metrics::counter;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::claim::{Call, Outcome, Progress, Reply, Shard, Table, Verdict};
use sesamehaven::id::{KeyDigest, RequestId};
use sesamehaven::key::WallTime;

use crate::clock;
use crate::platform::{Condition, Platform, Version};

/// Number of platform objects over which claims are distributed.
const SHARD_COUNT: u32 = 64;

/// The index of a claim shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShardId(u32);

impl ShardId {
    fn of(key: KeyDigest) -> Self {
        ShardId((key.0 >> 64) as u32 % SHARD_COUNT)
    }

    fn path(self) -> SmolStr {
        format_smolstr!("claims/{}/table", self.0)
    }
}

/// A platform call requested by a shard.
#[derive(Debug)]
pub struct PendingCall(ShardId, Call);

/// Claims that were decided, and the platform calls to make.
pub type ClaimUpdate = (Vec<(RequestId, Verdict)>, Vec<PendingCall>);

/// The claims of an agent, by shard.
#[derive(Debug, Default)]
pub struct Claims {
    shards: HashMap<ShardId, Shard>,
}

impl Claims {
    /// Claims a key for a request that is about to be dispatched.
    pub fn claim(&mut self, key: KeyDigest, id: RequestId) -> ClaimUpdate {
        counter!("agent_claims_total").increment(1);
        self.update(ShardId::of(key), |s| {
            s.claim(key, id, None, clock::now(), wall_now())
        })
    }

    /// Records the outcome of a claimed request.
    pub fn record(&mut self, key: KeyDigest, id: RequestId, outcome: Outcome) -> ClaimUpdate {
        self.update(ShardId::of(key), |s| {
            s.record(key, id, outcome, clock::now(), wall_now())
        })
    }

    /// Releases the claim of a request that was not dispatched and never will be.
    pub fn void(&mut self, key: KeyDigest, id: RequestId) -> ClaimUpdate {
        self.update(ShardId::of(key), |s| {
            s.void(key, id, clock::now(), wall_now())
        })
    }

    /// Handles the result of a platform call.
    pub fn on_reply(&mut self, shard: ShardId, reply: Reply) -> ClaimUpdate {
        if reply == Reply::Failed {
            counter!("agent_claim_failures_total").increment(1);
        }
        self.update(shard, |s| s.on_reply(reply, clock::now(), wall_now()))
    }

    /// Rejects claims that have timed out, and retries failed calls.
    pub fn tick(&mut self) -> ClaimUpdate {
        let mut all = ClaimUpdate::default();
        let busy = self.shards.iter().filter(|(_, s)| !s.is_idle());
        let busy: Vec<ShardId> = busy.map(|(id, _)| *id).collect();
        for shard in busy {
            let (verdicts, calls) = self.update(shard, |s| s.tick(clock::now(), wall_now()));
            all.0.extend(verdicts);
            all.1.extend(calls);
        }
        all
    }

    fn update(&mut self, id: ShardId, f: impl FnOnce(&mut Shard) -> Progress) -> ClaimUpdate {
        let progress = f(self.shards.entry(id).or_default());
        let call = progress.call.map(|call| PendingCall(id, call));
        (progress.verdicts, call.into_iter().collect())
    }
}

/// Performs a platform call for a shard.
pub async fn call(platform: &Platform, PendingCall(shard, call): PendingCall) -> (ShardId, Reply) {
    let path = shard.path();
    let reply = match call {
        Call::Read => read(platform, &path).await,
        Call::Write(version, table) => write(platform, &path, version, &table).await,
    };
    (shard, reply)
}

async fn read(platform: &Platform, path: &str) -> Reply {
    match platform.get(path).await {
        Ok(None) => Reply::Value(0, Table::default()),
        Ok(Some(object)) => match serde_json::from_slice(&object.value) {
            Ok(table) => Reply::Value(object.version.0, table),
            Err(_) => Reply::Failed,
        },
        Err(_) => Reply::Failed,
    }
}

async fn write(platform: &Platform, path: &str, version: u64, table: &Table) -> Reply {
    let Ok(value) = serde_json::to_vec(table) else {
        return Reply::Failed;
    };
    let condition = Condition::Version(Version(version));
    match platform.put(path, Bytes::from(value), condition).await {
        Ok(Version(version)) => Reply::Written(version),
        Err(err) if err.is_conflict() => Reply::Conflict,
        Err(_) => Reply::Failed,
    }
}

fn wall_now() -> WallTime {
    WallTime(clock::wall_ms())
}
