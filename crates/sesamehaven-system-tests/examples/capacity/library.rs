//! What structures of the library take, measured in this process.

use sesamehaven::config::Index;
use sesamehaven::grant_history::{GRANT_RETENTION, GrantHistory};
use sesamehaven::guard::{Grant, GrantSeq, Run};
use sesamehaven::id::{Generation, Incarnation, KeyDigest, RequestId};
use sesamehaven::unit::Instant;
use sesamehaven_system_tests::sample;
use sesamehaven_wire::message::{Load, Report};
use sesamehaven_wire::report::ReportEncoder;

use crate::Result;
use crate::processes::resident_bytes;

pub(crate) type Points = Vec<(f64, f64)>;

/// Points of (quantity, bytes).
pub(crate) struct Library {
    pub(crate) organisations: Points,
    pub(crate) configuration: Points,
    pub(crate) whole_keys: Points,
    pub(crate) old_keys: Points,
    pub(crate) report: Points,
}

pub(crate) fn measure() -> Result<Library> {
    let mut library = Library {
        organisations: Vec::new(),
        configuration: Vec::new(),
        whole_keys: Vec::new(),
        old_keys: Vec::new(),
        report: Vec::new(),
    };
    let mut kept = Vec::new();
    for count in [1_000, 10_000, 42_000] {
        let mut configuration = sample::configuration();
        let names = (0..count).map(|i| format!("organisation-{i}"));
        let organisations = names.map(|name| sample::organisation(&name, &name));
        configuration.organisations.extend(organisations);
        let json = serde_json::to_vec(&configuration)?.len() as f64;
        let before = resident_bytes("self")?;
        // The index takes the configuration; its copy here stands for it.
        kept.push(Index::new(Generation(1), configuration.clone()));
        let bytes = resident_bytes("self")? - before;
        library.organisations.push((f64::from(count), bytes));
        library.configuration.push((f64::from(count), json));
    }
    drop(kept);
    for count in [10_000, 50_000, 100_000] {
        let (whole, old) = keys(count)?;
        library.whole_keys.push((count as f64, whole));
        library.old_keys.push((count as f64, old));
    }
    for endpoints in [1, 2, 4, 8] {
        let bytes = report(endpoints)?;
        library.report.push((endpoints as f64, bytes));
    }
    Ok(library)
}

fn keys(count: u128) -> Result<(f64, f64)> {
    let place = Run {
        name: "agent-1".parse()?,
        incarnation: Incarnation(1),
    };
    let mut memory = GrantHistory::default();
    for i in 0..count {
        let grant = Grant {
            key: KeyDigest(i * 0x9e37_79b9_7f4a_7c15),
            req: RequestId(i),
            place: place.clone(),
            step: 0,
            seq: GrantSeq::default(),
        };
        memory.insert(grant, Instant(0));
    }
    let whole = memory.bytes() as f64;
    memory.expire(Instant(GRANT_RETENTION.0));
    Ok((whole, memory.bytes() as f64))
}

/// Returns the bytes of an agent's report without summaries of caches.
fn report(endpoints: usize) -> Result<f64> {
    let loads = (0..endpoints).map(|i| -> Result<Load> {
        Ok(Load {
            endpoint: format!("engine-{i}").parse()?,
            pool: "model-a".parse()?,
            healthy: true,
            running: 8,
            queued: [10; 8],
            admits: None,
            prefill_rate: 8_000.0,
            decode_rate: 1_000.0,
            limit: 64,
            prefixes: bytes::Bytes::new(),
        })
    });
    let report = Report {
        agent: "agent-1".parse()?,
        data_centre: sample::DATA_CENTRE.parse()?,
        incarnation: Incarnation(1_764_800_000_000_000),
        seq: 100_000,
        address: ([127, 0, 0, 1], 9_000).into(),
        generation: Generation(400),
        leaving: false,
        endpoints: loads.collect::<Result<_>>()?,
    };
    let psk = sesamehaven_wire::Psk::new([7; 32]);
    let parts = ReportEncoder::new(Some(&psk)).encode(&report)?;
    Ok(parts.iter().map(Vec::len).sum::<usize>() as f64)
}
