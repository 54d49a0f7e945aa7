//! Peers that violate the protocol, through faults or on purpose.
#![allow(clippy::unwrap_used)] // The helpers run only in tests.

mod common;

use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime;
use tokio_util::codec::{Decoder, Encoder};

use sesamehaven::id::{Generation, Incarnation, RequestId};
use sesamehaven_wire::codec::FrameCodec;
use sesamehaven_wire::message::{Frame, Hello, Role, ToAgent, VERSION};
use sesamehaven_wire::{Error, Link, LinkConfig, Psk, accept};

use common::{agent_config, chunk, entry_config, listener};

const MAX_BYTES: usize = 4_096;

fn hello(version: u16, nonce: u8) -> Hello {
    Hello {
        version,
        features: 0,
        role: Role::Entry,
        name: "entry-1".parse().unwrap(),
        data_centre: "hobro".parse().unwrap(),
        incarnation: Incarnation(1),
        generation: Generation(1),
        nonce: [nonce; 16],
    }
}

fn encoded(frame: &Frame) -> Vec<u8> {
    let mut buf = BytesMut::new();
    FrameCodec::new(MAX_BYTES).encode(frame, &mut buf).unwrap();
    buf.to_vec()
}

/// Accepts a peer that sends `bytes`; also returns what the peer receives until the close.
async fn accept_raw_peer(cfg: &LinkConfig, bytes: &[u8]) -> (Result<Link, Error>, Vec<u8>) {
    let (listener, addr) = listener().await;
    let peer = async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut received = Vec::new();
        // The close may be a reset, since not all of the peer's bytes are read.
        stream.read_to_end(&mut received).await.ok();
        received
    };
    let accepted = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, cfg).await
    };
    tokio::join!(accepted, peer)
}

/// Returns the hello of a newer protocol version with another layout.
fn newer_hello() -> Vec<u8> {
    // A length prefix of 8, the variant index of a hello, version 9 and unknown bytes.
    vec![8, 0, 0, 0, 0, 9, 255, 255, 255, 255, 255, 255]
}

#[rstest]
#[case::version(encoded(&Frame::Hello(hello(VERSION + 1, 1))), "version")]
#[case::layout_of_another_version(newer_hello(), "version")]
#[case::oversized(vec![255; 64], "oversized")]
#[case::no_hello(encoded(&Frame::Leaving), "unexpected")]
#[case::no_proof([encoded(&Frame::Hello(hello(VERSION, 1))), encoded(&Frame::Leaving)].concat(), "unexpected")]
#[case::noise(vec![4, 0, 0, 0, 200, 200, 200, 200], "malformed")]
#[tokio::test]
async fn rejects_an_invalid_handshake_with_its_reason(
    #[case] bytes: Vec<u8>,
    #[case] reason: &str,
) {
    let (accepted, received) = accept_raw_peer(&agent_config(Some(1)), &bytes).await;
    assert_eq!(accepted.unwrap_err().reason(), reason);
    // The peer receives a hello with the supported version before the connection closes.
    let mut received = BytesMut::from(&received[..]);
    let first = FrameCodec::new(MAX_BYTES).decode(&mut received).unwrap();
    assert!(matches!(first, Some(Frame::Hello(hello)) if hello.version == VERSION));
}

#[tokio::test]
async fn times_out_when_the_peer_sends_no_hello() {
    let cfg = LinkConfig {
        handshake_timeout: std::time::Duration::from_millis(20),
        ..agent_config(None)
    };
    let (accepted, _) = accept_raw_peer(&cfg, &[]).await;
    assert_eq!(accepted.unwrap_err().reason(), "silent");
}

/// An attacker without the key must not authenticate by echoing the frames it receives.
#[tokio::test]
async fn rejects_its_own_reflected_frames() {
    let (listener, addr) = listener().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (mut rx, mut tx) = stream.split();
        tokio::io::copy(&mut rx, &mut tx).await.ok();
    });
    let opened = sesamehaven_wire::connect(addr, &entry_config(Some(1))).await;
    assert_eq!(opened.unwrap_err().reason(), "unproved");
}

fn any_frame() -> impl Strategy<Value = Frame> {
    let id = any::<u128>().prop_map(RequestId);
    prop_oneof![
        Just(Frame::Leaving),
        Just(Frame::Hello(hello(VERSION, 3))),
        (any::<u128>(), any::<u64>(), 0..2_000_usize)
            .prop_map(|(id, seq, len)| chunk(id, seq, len)),
        (any::<u64>(), any::<u64>()).prop_map(|(count, g)| Frame::Ping {
            count,
            generation: Generation(g)
        }),
        (id, any::<u64>(), any::<u64>()).prop_map(|(id, acked, window_end)| Frame::Request(
            id,
            ToAgent::Credit { acked, window_end }
        )),
    ]
}

fn codec(authenticated: bool) -> FrameCodec {
    let codec = FrameCodec::new(MAX_BYTES);
    if authenticated {
        return codec.authenticated(Psk::new([5; 32]));
    }
    codec
}

/// Disables proptest's failure persistence file; the seed comes from the environment.
fn config_with_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config_with_cases(200))]

    #[test]
    fn frames_are_decoded_however_the_bytes_are_split(
        frames in vec(any_frame(), 1..20),
        piece_len in 1..500_usize,
        authenticated: bool,
    ) {
        let (mut sending, mut receiving) = (codec(authenticated), codec(authenticated));
        let mut wire = BytesMut::new();
        for frame in &frames {
            sending.encode(frame, &mut wire).unwrap();
        }
        let (mut buf, mut decoded) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(piece_len) {
            buf.extend_from_slice(piece);
            while let Some(frame) = receiving.decode(&mut buf).unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn random_bytes_never_decode_as_authenticated_frames(bytes in vec(any::<u8>(), 0..2_000)) {
        let decoded = codec(true).decode(&mut BytesMut::from(&bytes[..]));
        prop_assert!(!matches!(decoded, Ok(Some(_))));
        // Without a key, random bytes may decode as a frame, but must not cause a panic.
        codec(false).decode(&mut BytesMut::from(&bytes[..])).ok();
    }

    #[test]
    fn a_changed_repeated_or_lost_frame_is_detected(
        first in any_frame(),
        second in any_frame(),
        at: prop::sample::Index,
        bit in 0..8_u32,
    ) {
        let mut sending = codec(true);
        let (mut one, mut two) = (BytesMut::new(), BytesMut::new());
        sending.encode(&first, &mut one).unwrap();
        sending.encode(&second, &mut two).unwrap();
        let mut changed = one.clone();
        // The length prefix is left intact: a wrong length may make the decoder wait.
        let position = 4 + at.index(changed.len() - 4);
        changed[position] ^= 1 << bit;
        for mut bytes in [changed, two, [&one[..], &one[..]].concat()[..].into()] {
            let mut receiving = codec(true);
            let rejected = std::iter::repeat_with(|| receiving.decode(&mut bytes)).find(|d| !matches!(d, Ok(Some(_))));
            prop_assert!(matches!(rejected, Some(Err(Error::InvalidTag))), "{rejected:?}");
        }
    }
}

proptest! {
    #![proptest_config(config_with_cases(64))]

    #[test]
    fn random_bytes_fail_the_handshake(bytes in vec(any::<u8>(), 1..3_000)) {
        let mut cfg = agent_config(Some(1));
        cfg.handshake_timeout = std::time::Duration::from_millis(50);
        let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (accepted, _) = runtime.block_on(accept_raw_peer(&cfg, &bytes));
        prop_assert!(accepted.is_err());
    }
}
