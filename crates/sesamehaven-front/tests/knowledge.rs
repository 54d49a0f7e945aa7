//! What a front knows, as of when, and whom it asks.

use std::net::SocketAddr;

use actix_http::RequestHead;
use bytes::{Bytes, BytesMut};
use rstest::rstest;

use sesamehaven::unit::{Instant, Millis};
use sesamehaven_front::dialect::{Call, Dialect, Entry, Listing, Onward, Verdict};
use sesamehaven_front::knowledge::{Knowledge, Listed, reads_directory};
use sesamehaven_front::peers::{Known, Peers};
use sesamehaven_front::table::Table;
use sesamehaven_front::{Error, Result};
use sesamehaven_wire::http1::Head;

/// A dialect whose configurations are just their version.
#[derive(Debug)]
struct Plain;

impl Dialect for Plain {
    fn call(_: &RequestHead) -> Result<Call> {
        Ok(Call::default())
    }

    fn passes(_: &str) -> bool {
        true
    }

    fn write_fields(_: &Onward<'_>, _: &mut BytesMut) {}

    fn judge(_: &str, _: &str, _: &Head) -> Verdict {
        Verdict::Answer
    }

    fn table(config: &[u8]) -> Result<Table> {
        let version = std::str::from_utf8(config)
            .ok()
            .and_then(|v| v.parse().ok());
        let version = version.ok_or_else(|| Error::field("version", "write a number"))?;
        Ok(Table::new(version, Vec::new(), Vec::new()))
    }
}

fn take(knowledge: &Knowledge, config: &'static str, as_of: u64) -> Result<bool> {
    knowledge.take::<Plain>(Bytes::from_static(config.as_bytes()), Instant(as_of))
}

#[test]
fn a_configuration_never_goes_back() {
    let knowledge = Knowledge::default();
    assert!(take(&knowledge, "7", 100).is_ok_and(|is_new| is_new));
    assert!(take(&knowledge, "5", 900).is_ok_and(|is_new| !is_new));
    assert_eq!(knowledge.version(), 7);
    // An older version vouches for nothing.
    assert_eq!(knowledge.age(Instant(1_000)), Millis(900));
}

#[test]
fn the_same_configuration_is_confirmed_as_of_its_read() {
    let knowledge = Knowledge::default();
    assert!(take(&knowledge, "7", 100).is_ok());
    assert!(take(&knowledge, "7", 600).is_ok_and(|is_new| !is_new));
    assert!(take(&knowledge, "7", 300).is_ok());
    assert_eq!(knowledge.age(Instant(1_000)), Millis(400));
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_one_in_force() {
    let knowledge = Knowledge::default();
    assert!(take(&knowledge, "7", 100).is_ok());
    assert!(take(&knowledge, "nonsense", 900).is_err());
    assert_eq!(knowledge.version(), 7);
    assert_eq!(knowledge.age(Instant(1_000)), Millis(900));
}

fn listing(ids: &[&str]) -> Listing {
    let entries = ids.iter().map(|id| Entry {
        id: (*id).into(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap_or_else(|_| unreachable!()),
        data_centre: "a".into(),
        places: 6,
        is_ready: true,
    });
    Listing {
        entries: entries.collect(),
        unreadable: Vec::new(),
    }
}

#[test]
fn endpoints_of_an_earlier_read_do_not_come_back() {
    let listed = Listed::default();
    assert!(listed.take(listing(&["a", "b"]), Instant(100)).is_some());
    assert!(listed.take(listing(&["b"]), Instant(500)).is_some());
    assert!(listed.take(listing(&["a", "b"]), Instant(300)).is_none());
    assert_eq!(listed.listing(), listing(&["b"]));
    assert!(listed.take(listing(&["b"]), Instant(900)).is_none());
    assert_eq!(listed.age(Instant(1_000)), Millis(100));
}

#[rstest]
#[case::first(0, 0, true)]
#[case::second(1, 0, true)]
#[case::others(2, 1_000, false)]
#[case::others_left_alone(2, 1_400, true)]
fn only_the_first_fronts_read_while_they_inform_the_others(
    #[case] rank: usize,
    #[case] age: u64,
    #[case] reads: bool,
) {
    assert_eq!(reads_directory(rank, Millis(age), Millis(660)), reads);
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_600))
}

/// A front at 10.0.0.2 that has heard of the one at 10.0.0.1.
fn peers(config: u64, config_age: u64, now: Instant) -> Peers {
    let mut other = Peers::new(address(1), 1, Vec::new());
    let mut digest = other.digest(now);
    digest.config = config;
    digest.config_age = config_age;
    digest.listing = 5;
    digest.listing_age = config_age;
    let mut peers = Peers::new(address(2), 1, Vec::new());
    assert!(peers.on_digest(address(1), &digest, now));
    peers
}

#[rstest]
#[case::newer(8, 900, Some(address(1)))]
#[case::fresher(7, 100, Some(address(1)))]
#[case::hardly_fresher(7, 800, None)]
#[case::older_though_fresher(6, 0, None)]
fn whoever_knows_better_is_asked(
    #[case] config: u64,
    #[case] age: u64,
    #[case] asked: Option<SocketAddr>,
) {
    let now = Instant(10_000);
    let known = Known {
        config: 7,
        config_age: Millis(1_000),
        listing: 5,
        listing_age: Millis(1_000),
    };
    assert_eq!(peers(config, age, now).better_informed(&known, now), asked);
}

#[test]
fn ranks_follow_addresses_of_fronts_in_touch() {
    let now = Instant(10_000);
    let peers = peers(7, 0, now);
    assert_eq!(peers.rank(now), 1);
    assert_eq!(peers.rank(now.after(Millis(2_000))), 0);
}

#[test]
fn a_late_digest_changes_nothing() {
    let now = Instant(10_000);
    let mut other = Peers::new(address(1), 1, Vec::new());
    let (early, late) = (other.digest(now), other.digest(now));
    let mut peers = Peers::new(address(2), 1, Vec::new());
    assert!(peers.on_digest(address(1), &late, now));
    assert!(!peers.on_digest(address(1), &early, now));
}
