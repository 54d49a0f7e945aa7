//! Prints what remembered keys cost: whole for some minutes, then as fingerprints.

use sesamehaven::grant_history::{FINGERPRINT_RETENTION, GRANT_RETENTION, GrantHistory};
use sesamehaven::guard::{Grant, GrantSeq, Run};
use sesamehaven::id::{Incarnation, KeyDigest, RequestId};
use sesamehaven::unit::Instant;

const KEYS: u128 = 100_000;

fn main() -> sesamehaven::Result<()> {
    let place = Run {
        name: "agent-1".parse()?,
        incarnation: Incarnation(1),
    };
    let mut memory = GrantHistory::default();
    for i in 0..KEYS {
        let grant = Grant {
            key: KeyDigest(i * 0x9e37_79b9_7f4a_7c15),
            req: RequestId(i),
            place: place.clone(),
            step: 0,
            seq: GrantSeq::default(),
        };
        memory.insert(grant, Instant(0));
    }
    let whole = memory.bytes() as f64 / KEYS as f64;
    memory.expire(Instant(GRANT_RETENTION.0));
    let print = memory.bytes() as f64 / KEYS as f64;
    println!("bytes for a whole key: {whole:.0}, for a fingerprint and its table: {print:.1}");
    let whole_secs = GRANT_RETENTION.0 as f64 / 1_000.0;
    let print_secs = FINGERPRINT_RETENTION.0 as f64 / 1_000.0;
    println!("keyed requests a second, homes, entries: MB in a home, MB in an entry");
    for (rate, homes, entries) in [(5.0, 12.0, 3.0), (50.0, 12.0, 3.0), (4_800.0, 300.0, 40.0)] {
        let all = rate * (whole_secs * whole + print_secs * 4.0) / 1e6;
        println!(
            "{rate}, {homes}, {entries}: {:.1}, {:.1}",
            all / homes,
            all / entries
        );
    }
    Ok(())
}
