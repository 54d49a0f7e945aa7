//! Peers that break the protocol, by mistake or on purpose.
#![allow(clippy::unwrap_used)] // The helpers run in tests only.

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

use common::{agent, chunk, entry, listener};

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

/// Accepts a peer that says `bytes`, closes its half, and reads to the end.
async fn accept_raw(cfg: &LinkConfig, bytes: &[u8]) -> (Result<Link, Error>, Vec<u8>) {
    let (listener, addr) = listener().await;
    let peer = async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut heard = Vec::new();
        // A refusal may end in a reset, since not all bytes were read.
        stream.read_to_end(&mut heard).await.ok();
        heard
    };
    let accepted = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, cfg).await
    };
    tokio::join!(accepted, peer)
}

fn newer_layout() -> Vec<u8> {
    // A frame of eight bytes: a hello of version 9 with a body of another layout.
    vec![8, 0, 0, 0, 0, 9, 255, 255, 255, 255, 255, 255]
}

#[rstest]
#[case::version(encoded(&Frame::Hello(hello(VERSION + 1, 1))), "version")]
#[case::layout_of_another_version(newer_layout(), "version")]
#[case::oversized(vec![255; 64], "oversized")]
#[case::no_hello(encoded(&Frame::Leaving), "unexpected")]
#[case::no_proof([encoded(&Frame::Hello(hello(VERSION, 1))), encoded(&Frame::Leaving)].concat(), "unexpected")]
#[case::noise(vec![4, 0, 0, 0, 200, 200, 200, 200], "malformed")]
#[tokio::test]
async fn refuses_with_a_reason(#[case] bytes: Vec<u8>, #[case] reason: &str) {
    let (accepted, heard) = accept_raw(&agent(Some(1)), &bytes).await;
    assert_eq!(accepted.unwrap_err().reason(), reason);
    // The peer can read which version this side speaks.
    let mut heard = BytesMut::from(&heard[..]);
    let first = FrameCodec::new(MAX_BYTES).decode(&mut heard).unwrap();
    assert!(matches!(first, Some(Frame::Hello(hello)) if hello.version == VERSION));
}

#[tokio::test]
async fn gives_up_a_peer_that_says_nothing() {
    let cfg = LinkConfig {
        handshake_timeout: std::time::Duration::from_millis(20),
        ..agent(None)
    };
    let (accepted, _) = accept_raw(&cfg, &[]).await;
    assert_eq!(accepted.unwrap_err().reason(), "silent");
}

/// A peer that only sends back what it hears has neither key nor proof.
#[tokio::test]
async fn refuses_its_own_reflection() {
    let (listener, addr) = listener().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (mut rx, mut tx) = stream.split();
        tokio::io::copy(&mut rx, &mut tx).await.ok();
    });
    let opened = sesamehaven_wire::connect(addr, &entry(Some(1))).await;
    assert_eq!(opened.unwrap_err().reason(), "unproved");
}

fn some_frame() -> impl Strategy<Value = Frame> {
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

fn codec(sealed: bool) -> FrameCodec {
    let codec = FrameCodec::new(MAX_BYTES);
    if sealed {
        return codec.authenticated(Psk::new([5; 32]));
    }
    codec
}

/// Keeps no file of failures; the seed is that of the environment.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases(200))]

    #[test]
    fn frames_survive_any_split(
        frames in vec(some_frame(), 1..20),
        pieces in 1..500_usize,
        sealed: bool,
    ) {
        let (mut sending, mut receiving) = (codec(sealed), codec(sealed));
        let mut wire = BytesMut::new();
        for frame in &frames {
            sending.encode(frame, &mut wire).unwrap();
        }
        let (mut buf, mut heard) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(pieces) {
            buf.extend_from_slice(piece);
            while let Some(frame) = receiving.decode(&mut buf).unwrap() {
                heard.push(frame);
            }
        }
        prop_assert_eq!(heard, frames);
    }

    #[test]
    fn random_bytes_never_pass_for_sealed_frames(bytes in vec(any::<u8>(), 0..2_000)) {
        let decoded = codec(true).decode(&mut BytesMut::from(&bytes[..]));
        prop_assert!(!matches!(decoded, Ok(Some(_))));
        // Without a key they may pass, but must not panic.
        codec(false).decode(&mut BytesMut::from(&bytes[..])).ok();
    }

    #[test]
    fn a_changed_repeated_or_lost_frame_is_found(
        first in some_frame(),
        second in some_frame(),
        at: prop::sample::Index,
        bit in 0..8_u32,
    ) {
        let mut sending = codec(true);
        let (mut one, mut two) = (BytesMut::new(), BytesMut::new());
        sending.encode(&first, &mut one).unwrap();
        sending.encode(&second, &mut two).unwrap();
        let mut changed = one.clone();
        // The prefix is left whole: a changed length shows when the bytes run out.
        let place = 4 + at.index(changed.len() - 4);
        changed[place] ^= 1 << bit;
        for mut bytes in [changed, two, [&one[..], &one[..]].concat()[..].into()] {
            let mut receiving = codec(true);
            let refused = std::iter::repeat_with(|| receiving.decode(&mut bytes)).find(|d| !matches!(d, Ok(Some(_))));
            prop_assert!(matches!(refused, Some(Err(Error::InvalidTag))), "{refused:?}");
        }
    }
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn random_bytes_on_the_port_are_refused(bytes in vec(any::<u8>(), 1..3_000)) {
        let mut cfg = agent(Some(1));
        cfg.handshake_timeout = std::time::Duration::from_millis(50);
        let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (accepted, _) = runtime.block_on(accept_raw(&cfg, &bytes));
        prop_assert!(accepted.is_err());
    }
}
