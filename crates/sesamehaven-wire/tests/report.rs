//! Reports over UDP: ordering, splitting, loss and noise.
#![allow(clippy::unwrap_used)] // The helpers run only in tests.

use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

use sesamehaven::Tier;
use sesamehaven::id::{Generation, Incarnation};
use sesamehaven_wire::message::{Load, Report};
use sesamehaven_wire::report::{DropReason, ReportDecoder, ReportEncoder};
use sesamehaven_wire::{Psk, ReportReceiver, ReportSender};

fn load(index: usize, prefix_bytes: usize) -> Load {
    Load {
        endpoint: format!("endpoint-{index}").parse().unwrap(),
        pool: "drafting".parse().unwrap(),
        healthy: true,
        running: 3,
        queued: [7; Tier::COUNT],
        admits: None,
        prefill_rate: 4_000.0,
        decode_rate: 30.0,
        limit: 16,
        prefixes: vec![9; prefix_bytes].into(),
    }
}

fn report(incarnation: u64, seq: u64, endpoints: usize) -> Report {
    Report {
        agent: "agent-1".parse().unwrap(),
        data_centre: "hobro".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        seq,
        address: "127.0.0.1:4000".parse().unwrap(),
        generation: Generation(4),
        leaving: false,
        endpoints: (0..endpoints).map(|n| load(n, 100)).collect(),
    }
}

fn codecs() -> (ReportEncoder, ReportDecoder) {
    let psk = Psk::new([3; 32]);
    (
        ReportEncoder::new(Some(&psk)),
        ReportDecoder::new(Some(&psk)),
    )
}

#[test]
fn accepts_only_newer_reports() {
    let (encoder, mut decoder) = codecs();
    let mut decode = |incarnation, seq| {
        let datagrams = encoder.encode(&report(incarnation, seq, 2)).unwrap();
        assert_eq!(datagrams.len(), 1);
        decoder.decode(&datagrams[0]).map(|r| r.unwrap().seq)
    };
    assert_eq!(decode(5, 1), Ok(1));
    assert_eq!(decode(5, 3), Ok(3));
    assert_eq!(decode(5, 2), Err(DropReason::Stale));
    assert_eq!(decode(5, 3), Err(DropReason::Stale));
    assert_eq!(decode(6, 1), Ok(1));
    assert_eq!(decode(5, 4), Err(DropReason::OldIncarnation));
    assert_eq!(decode(6, 2), Ok(2));
}

#[test]
fn splits_a_long_report_and_reassembles_it() {
    let (encoder, mut decoder) = codecs();
    let first = encoder.encode(&report(1, 1, 40)).unwrap();
    assert!(first.len() > 1);
    assert!(first.iter().all(|datagram| datagram.len() <= 1_200));
    // The first part of the first report is late; the parts of the second arrive in reverse order.
    for datagram in &first[1..] {
        assert_eq!(decoder.decode(datagram), Ok(None));
    }
    let second = encoder.encode(&report(1, 2, 40)).unwrap();
    for datagram in second[1..].iter().rev() {
        assert_eq!(decoder.decode(datagram), Ok(None));
    }
    assert_eq!(decoder.decode(&first[0]), Err(DropReason::Stale));
    assert_eq!(decoder.decode(&second[1]), Err(DropReason::Stale));
    assert_eq!(decoder.decode(&second[0]), Ok(Some(report(1, 2, 40))));
}

#[rstest]
#[case::load_too_long(1, 40_000)]
#[case::too_many_endpoints(2_000, 100)]
fn rejects_reports_that_exceed_the_limits(#[case] endpoints: usize, #[case] prefix_bytes: usize) {
    let mut report = report(1, 1, 0);
    report.endpoints = (0..endpoints).map(|n| load(n, prefix_bytes)).collect();
    let err = codecs().0.encode(&report).unwrap_err();
    assert_eq!(err.reason(), "oversized");
}

#[tokio::test]
async fn receives_over_loopback_and_ignores_another_key() {
    let psk = Psk::new([3; 32]);
    let local = "127.0.0.1:0".parse().unwrap();
    let mut rx = ReportReceiver::bind(local, Some(&psk)).await.unwrap();
    let peers = [rx.local_addr().unwrap()];
    let mut tx = ReportSender::bind(local, Some(&psk)).await.unwrap();
    let mut unkeyed = ReportSender::bind(local, None).await.unwrap();
    unkeyed.send(&mut report(9, 0, 1), &peers).await.unwrap();
    let mut sent = report(1, 0, 3);
    tx.send(&mut sent, &peers).await.unwrap();
    assert_eq!(rx.recv().await.unwrap(), sent);
    assert_eq!(sent.seq, 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn noise_and_damaged_datagrams_are_dropped(bytes in vec(any::<u8>(), 0..1_500), at: prop::sample::Index, bit in 0..8_u32) {
        let (encoder, mut decoder) = codecs();
        prop_assert_eq!(decoder.decode(&bytes), Err(DropReason::InvalidTag));
        let mut datagram = encoder.encode(&report(1, 1, 2)).unwrap().remove(0);
        let position = at.index(datagram.len());
        datagram[position] ^= 1 << bit;
        prop_assert_eq!(decoder.decode(&datagram), Err(DropReason::InvalidTag));
    }
}
