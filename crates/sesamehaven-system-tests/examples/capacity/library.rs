//! The sizes of data structures of the library, measured in this process.

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

/// The measured points of (quantity, bytes).
pub(crate) struct LibrarySizes {
    pub(crate) organisations: Points,
    pub(crate) configuration: Points,
    /// Keys with their whole grants.
    pub(crate) recent_keys: Points,
    /// Keys after [`GRANT_RETENTION`].
    pub(crate) expired_keys: Points,
    pub(crate) report: Points,
}

pub(crate) fn measure() -> Result<LibrarySizes> {
    let mut sizes = LibrarySizes {
        organisations: Vec::new(),
        configuration: Vec::new(),
        recent_keys: Vec::new(),
        expired_keys: Vec::new(),
        report: Vec::new(),
    };
    let mut indexes = Vec::new();
    for count in [1_000, 10_000, 42_000] {
        let mut configuration = sample::configuration();
        let names = (0..count).map(|i| format!("organisation-{i}"));
        let organisations = names.map(|name| sample::organisation(&name, &name));
        configuration.organisations.extend(organisations);
        let json = serde_json::to_vec(&configuration)?.len() as f64;
        let before = resident_bytes("self")?;
        // The index owns its configuration, so the resident memory grows by a copy of it.
        indexes.push(Index::new(Generation(1), configuration.clone()));
        let bytes = resident_bytes("self")? - before;
        sizes.organisations.push((f64::from(count), bytes));
        sizes.configuration.push((f64::from(count), json));
    }
    drop(indexes);
    for count in [10_000, 50_000, 100_000] {
        let (recent, expired) = measure_keys(count)?;
        sizes.recent_keys.push((count as f64, recent));
        sizes.expired_keys.push((count as f64, expired));
    }
    for endpoints in [1, 2, 4, 8] {
        let bytes = report_bytes(endpoints)?;
        sizes.report.push((endpoints as f64, bytes));
    }
    Ok(sizes)
}

/// Returns the bytes of a grant history before and after its grants expire.
fn measure_keys(count: u128) -> Result<(f64, f64)> {
    let place = Run {
        name: "agent-1".parse()?,
        incarnation: Incarnation(1),
    };
    let mut history = GrantHistory::default();
    for i in 0..count {
        let grant = Grant {
            key: KeyDigest(i * 0x9e37_79b9_7f4a_7c15),
            req: RequestId(i),
            place: place.clone(),
            step: 0,
            seq: GrantSeq::default(),
        };
        history.insert(grant, Instant(0));
    }
    let recent = history.bytes() as f64;
    history.expire(Instant(GRANT_RETENTION.0));
    Ok((recent, history.bytes() as f64))
}

/// Returns the encoded size of an agent's report without cache summaries.
fn report_bytes(endpoints: usize) -> Result<f64> {
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
