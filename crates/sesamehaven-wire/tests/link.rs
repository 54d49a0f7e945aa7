//! Opening, keeping and losing links.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::time::timeout;

use sesamehaven::id::{Generation, RequestId};
use sesamehaven_wire::link::TrySendError;
use sesamehaven_wire::message::{Frame, Role, ToAgent};
use sesamehaven_wire::{Error, Link, LinkConfig};

use common::{Relay, agent, chunk, dial, entry, listener, pair};

const LONGEST_WAIT: Duration = Duration::from_secs(10);

async fn reason(link: &mut Link) -> &'static str {
    let reason = timeout(LONGEST_WAIT, link.closed.wait()).await.unwrap();
    reason.reason()
}

#[rstest]
#[case::keyed(Some(1))]
#[case::open(None)]
#[tokio::test]
async fn carries_frames_both_ways(#[case] psk: Option<u8>) {
    let (mut near, mut far) = pair(&entry(psk), &agent(psk)).await;
    assert_eq!(near.peer.role, Role::Agent);
    assert_eq!(far.peer.name.as_str(), "entry-1");
    let ask = Frame::Request(RequestId(1), ToAgent::Withdraw);
    near.tx.send(ask.clone()).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(ask));
    for seq in 0..10_000 {
        far.tx.send(chunk(1, seq, 16)).await.unwrap();
        if seq >= 1_000 {
            assert_eq!(near.rx.recv().await, Some(chunk(1, seq - 1_000, 16)));
        }
    }
}

#[rstest]
#[case::other_key(Some(1), Some(2))]
#[case::key_and_none(Some(1), None)]
#[tokio::test]
async fn refuses_a_peer_without_the_key(#[case] near: Option<u8>, #[case] far: Option<u8>) {
    let (listener, addr) = listener().await;
    let (near, far) = dial(&listener, addr, &entry(near), &agent(far)).await;
    assert_eq!(near.unwrap_err().reason(), "unproved");
    let far = far.unwrap_err();
    // The other end may see the refusal before it has read the proof.
    assert!(
        matches!(far, Error::Unauthenticated | Error::Io(_)),
        "{far}"
    );
}

/// Takes the heartbeat that the daemons have unless their settings say otherwise.
fn by_default(cfg: LinkConfig) -> LinkConfig {
    let usual = LinkConfig::new(cfg.identity.clone(), cfg.generation.clone());
    LinkConfig {
        psk: cfg.psk,
        ..usual
    }
}

#[rstest]
#[case::both_ways(true, true)]
#[case::towards_the_agent(true, false)]
#[case::towards_the_entry(false, true)]
#[tokio::test]
async fn finds_silence_in_either_direction(#[case] up: bool, #[case] down: bool) {
    let (listener, addr) = listener().await;
    let (relay, via) = Relay::start(addr).await;
    let (entry, agent) = (by_default(entry(Some(1))), by_default(agent(Some(1))));
    let (near, far) = dial(&listener, via, &entry, &agent).await;
    let (mut near, mut far) = (near.unwrap(), far.unwrap());
    near.tx.send(Frame::Leaving).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
    relay.swallow_up.store(up, Ordering::SeqCst);
    relay.swallow_down.store(down, Ordering::SeqCst);
    let started = Instant::now();
    assert_eq!(reason(&mut near).await, "silent");
    assert_eq!(reason(&mut far).await, "silent");
    assert!(started.elapsed() < Duration::from_secs(3));
    // New connections work while the old one is silent.
    relay.swallow_up.store(false, Ordering::SeqCst);
    relay.swallow_down.store(false, Ordering::SeqCst);
    let (near, far) = dial(&listener, via, &entry, &agent).await;
    let (near, mut far) = (near.unwrap(), far.unwrap());
    near.tx.send(Frame::Leaving).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
}

#[tokio::test]
async fn stays_open_while_idle_and_while_loaded() {
    let (mut near, far) = pair(&entry(Some(1)), &agent(Some(1))).await;
    let started = Instant::now();
    let mut seq = 0;
    // Three times the limit of silence, half of it without any frame but heartbeats.
    while started.elapsed() < Duration::from_secs(3) {
        let loaded = started.elapsed() < Duration::from_millis(1_500);
        if loaded {
            far.tx.send(chunk(1, seq, 16 << 10)).await.unwrap();
            assert_eq!(near.rx.recv().await, Some(chunk(1, seq, 16 << 10)));
            seq += 1;
        } else {
            tokio::task::yield_now().await;
        }
        assert!(near.closed.reason().is_none() && far.closed.reason().is_none());
    }
}

#[tokio::test]
async fn heartbeats_carry_the_generation() {
    let cfg = agent(Some(1));
    cfg.generation.store(3, Ordering::SeqCst);
    let (mut near, _far) = pair(&entry(Some(1)), &cfg).await;
    assert_eq!(near.peer.generation, Generation(3));
    cfg.generation.store(4, Ordering::SeqCst);
    let newer = near.generation.wait_for(|g| *g == Generation(4));
    timeout(LONGEST_WAIT, newer).await.unwrap().unwrap();
}

#[tokio::test]
async fn refuses_an_oversized_frame_and_goes_on() {
    let cfg = LinkConfig {
        max_frame_bytes: 4_096,
        ..agent(None)
    };
    let (mut near, far) = pair(&entry(None), &cfg).await;
    let refused = far.tx.try_send(chunk(1, 0, 5_000));
    assert!(matches!(refused, Err(TrySendError::Oversized(_))));
    far.tx.send(chunk(1, 0, 4_000)).await.unwrap();
    assert_eq!(near.rx.recv().await, Some(chunk(1, 0, 4_000)));
    // The peer's limit is wider, so what it sends is refused by the reader.
    let mut far = far;
    near.tx.send(chunk(1, 0, 5_000)).await.unwrap();
    assert_eq!(reason(&mut far).await, "oversized");
    assert_ne!(reason(&mut near).await, "dropped");
}

#[tokio::test]
async fn ends_when_either_side_lets_go() {
    let (near, mut far) = pair(&entry(None), &agent(None)).await;
    near.tx.send(Frame::Leaving).await.unwrap();
    let Link { tx, mut closed, .. } = near;
    // What was sent before the last sender went arrives whole.
    drop(tx);
    closed.wait().await;
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
    assert_ne!(reason(&mut far).await, "silent");
    assert!(far.rx.recv().await.is_none());
    far.tx.closed().await;
}
