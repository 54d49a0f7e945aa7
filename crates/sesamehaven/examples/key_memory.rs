//! Prints the memory cost of recorded keys: as full grants first, then as fingerprints.

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
    let mut history = GrantHistory::default();
    for i in 0..KEYS {
        let grant = Grant {
            key: KeyDigest(i * 0x9e37_79b9_7f4a_7c15),
            req: RequestId(i),
            place: place.clone(),
            step: 0,
            seq: GrantSeq::default(),
        };
        history.insert(grant, Instant(0));
    }
    let grant_bytes = history.bytes() as f64 / KEYS as f64;
    history.expire(Instant(GRANT_RETENTION.0));
    let fingerprint_bytes = history.bytes() as f64 / KEYS as f64;
    println!(
        "bytes per full grant: {grant_bytes:.0}, per fingerprint with its table: {fingerprint_bytes:.1}"
    );
    let grant_secs = GRANT_RETENTION.0 as f64 / 1_000.0;
    let fingerprint_secs = FINGERPRINT_RETENTION.0 as f64 / 1_000.0;
    println!("keyed requests per second, homes, entries: MB in a home, MB in an entry");
    for (rate, homes, entries) in [(5.0, 12.0, 3.0), (50.0, 12.0, 3.0), (4_800.0, 300.0, 40.0)] {
        // A fingerprint has four bytes; its table is not counted.
        let all = rate * (grant_secs * grant_bytes + fingerprint_secs * 4.0) / 1e6;
        println!(
            "{rate}, {homes}, {entries}: {:.1}, {:.1}",
            all / homes,
            all / entries
        );
    }
    Ok(())
}
