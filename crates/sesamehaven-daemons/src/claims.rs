//! Durable claims at the agent, made right before a dispatch.

use std::collections::HashMap;

use bytes::Bytes;
use metrics::counter;
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::claim::{Call, Outcome, Progress, Reply, Shard, Table, Verdict};
use sesamehaven::id::{KeyDigest, RequestId};
use sesamehaven::key::WallTime;

use crate::clock;
use crate::platform::{Condition, Platform, Version};

/// The number of objects that claims are spread over.
const SHARDS: u32 = 64;

/// The number of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShardId(u32);

impl ShardId {
    fn of(key: KeyDigest) -> Self {
        ShardId((key.0 >> 64) as u32 % SHARDS)
    }

    fn path(self) -> SmolStr {
        format_smolstr!("claims/{}/table", self.0)
    }
}

/// A call of the platform that a shard asks for.
#[derive(Debug)]
pub struct Due(ShardId, Call);

/// Decided claims and the calls to make.
pub type Decided = (Vec<(RequestId, Verdict)>, Vec<Due>);

/// The claims that an agent makes.
#[derive(Debug, Default)]
pub struct Claims {
    shards: HashMap<ShardId, Shard>,
}

impl Claims {
    /// Claims a key for a request that is about to be dispatched.
    pub fn claim(&mut self, key: KeyDigest, id: RequestId) -> Decided {
        counter!("agent_claims_total").increment(1);
        self.with(ShardId::of(key), |s| {
            s.claim(key, id, None, clock::now(), wall())
        })
    }

    /// Records what became of a claimed request.
    pub fn record(&mut self, key: KeyDigest, id: RequestId, outcome: Outcome) -> Decided {
        self.with(ShardId::of(key), |s| {
            s.record(key, id, outcome, clock::now(), wall())
        })
    }

    /// Gives up the claim of a request that was not dispatched and never will be.
    pub fn void(&mut self, key: KeyDigest, id: RequestId) -> Decided {
        self.with(ShardId::of(key), |s| s.void(key, id, clock::now(), wall()))
    }

    /// Takes what came of a call.
    pub fn on_reply(&mut self, shard: ShardId, reply: Reply) -> Decided {
        if reply == Reply::Failed {
            counter!("agent_claim_failures_total").increment(1);
        }
        self.with(shard, |s| s.on_reply(reply, clock::now(), wall()))
    }

    /// Refuses claims that waited too long, and goes on after failures.
    pub fn tick(&mut self) -> Decided {
        let mut all = Decided::default();
        let busy = self.shards.iter().filter(|(_, s)| !s.is_idle());
        let busy: Vec<ShardId> = busy.map(|(id, _)| *id).collect();
        for shard in busy {
            let (verdicts, due) = self.with(shard, |s| s.tick(clock::now(), wall()));
            all.0.extend(verdicts);
            all.1.extend(due);
        }
        all
    }

    fn with(&mut self, id: ShardId, f: impl FnOnce(&mut Shard) -> Progress) -> Decided {
        let progress = f(self.shards.entry(id).or_default());
        let due = progress.call.map(|call| Due(id, call));
        (progress.verdicts, due.into_iter().collect())
    }
}

/// Makes a call of the platform.
pub async fn call(platform: &Platform, Due(shard, call): Due) -> (ShardId, Reply) {
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

fn wall() -> WallTime {
    WallTime(clock::wall_ms())
}
