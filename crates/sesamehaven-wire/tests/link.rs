//! The life cycle of links: handshake, heartbeat, limits and close.

#![allow(clippy::unwrap_used)] // The helpers run only in tests.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::time::timeout;

use sesamehaven::id::{Generation, RequestId};
use sesamehaven_wire::link::TrySendError;
use sesamehaven_wire::message::{Frame, Role, ToAgent};
use sesamehaven_wire::{Error, Link, LinkConfig};

use common::{LossyProxy, agent_config, chunk, connect_both, entry_config, link_pair, listener};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for the link to close and returns the label of the reason.
async fn close_reason(link: &mut Link) -> &'static str {
    let reason = timeout(TIMEOUT, link.closed.wait()).await.unwrap();
    reason.reason()
}

#[rstest]
#[case::keyed(Some(1))]
#[case::open(None)]
#[tokio::test]
async fn carries_frames_both_ways(#[case] psk: Option<u8>) {
    let (mut near, mut far) = link_pair(&entry_config(psk), &agent_config(psk)).await;
    assert_eq!(near.peer.role, Role::Agent);
    assert_eq!(far.peer.name.as_str(), "entry-1");
    let request = Frame::Request(RequestId(1), ToAgent::Withdraw);
    near.tx.send(request.clone()).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(request));
    for seq in 0..10_000 {
        far.tx.send(chunk(1, seq, 16)).await.unwrap();
        if seq >= 1_000 {
            assert_eq!(near.rx.recv().await, Some(chunk(1, seq - 1_000, 16)));
        }
    }
}

#[rstest]
#[case::other_key(Some(1), Some(2))]
#[case::no_key(Some(1), None)]
#[tokio::test]
async fn rejects_a_peer_without_the_key(#[case] near: Option<u8>, #[case] far: Option<u8>) {
    let (listener, addr) = listener().await;
    let (near, far) = connect_both(&listener, addr, &entry_config(near), &agent_config(far)).await;
    assert_eq!(near.unwrap_err().reason(), "unproved");
    let far = far.unwrap_err();
    // The other end may see the connection close before it has read the proof.
    assert!(
        matches!(far, Error::Unauthenticated | Error::Io(_)),
        "{far}"
    );
}

/// Restores the default heartbeat, which daemons use unless it is configured.
fn with_default_heartbeat(cfg: LinkConfig) -> LinkConfig {
    let defaults = LinkConfig::new(cfg.identity.clone(), cfg.generation.clone());
    LinkConfig {
        psk: cfg.psk,
        ..defaults
    }
}

#[rstest]
#[case::both_ways(true, true)]
#[case::to_the_agent(true, false)]
#[case::to_the_entry(false, true)]
#[tokio::test]
async fn detects_the_loss_of_either_direction(#[case] to_agent: bool, #[case] to_entry: bool) {
    let (listener, addr) = listener().await;
    let (proxy, proxy_addr) = LossyProxy::start(addr).await;
    let (entry, agent) = (
        with_default_heartbeat(entry_config(Some(1))),
        with_default_heartbeat(agent_config(Some(1))),
    );
    let (near, far) = connect_both(&listener, proxy_addr, &entry, &agent).await;
    let (mut near, mut far) = (near.unwrap(), far.unwrap());
    near.tx.send(Frame::Leaving).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
    proxy.drop_to_agent.store(to_agent, Ordering::SeqCst);
    proxy.drop_to_entry.store(to_entry, Ordering::SeqCst);
    let started = Instant::now();
    assert_eq!(close_reason(&mut near).await, "silent");
    assert_eq!(close_reason(&mut far).await, "silent");
    assert!(started.elapsed() < Duration::from_secs(3));
    // A new connection through the proxy works while the old one is still dead.
    proxy.drop_to_agent.store(false, Ordering::SeqCst);
    proxy.drop_to_entry.store(false, Ordering::SeqCst);
    let (near, far) = connect_both(&listener, proxy_addr, &entry, &agent).await;
    let (near, mut far) = (near.unwrap(), far.unwrap());
    near.tx.send(Frame::Leaving).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
}

#[tokio::test]
async fn stays_open_while_idle_and_while_loaded() {
    let (mut near, far) = link_pair(&entry_config(Some(1)), &agent_config(Some(1))).await;
    let started = Instant::now();
    let mut seq = 0;
    // Three times the heartbeat timeout, the second half of it with no frames but heartbeats.
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
    let cfg = agent_config(Some(1));
    cfg.generation.store(3, Ordering::SeqCst);
    let (mut near, _far) = link_pair(&entry_config(Some(1)), &cfg).await;
    assert_eq!(near.peer.generation, Generation(3));
    cfg.generation.store(4, Ordering::SeqCst);
    let newer = near.generation.wait_for(|g| *g == Generation(4));
    timeout(TIMEOUT, newer).await.unwrap().unwrap();
}

#[tokio::test]
async fn sender_refuses_an_oversized_frame_and_receiver_closes_on_one() {
    let cfg = LinkConfig {
        max_frame_bytes: 4_096,
        ..agent_config(None)
    };
    let (mut near, far) = link_pair(&entry_config(None), &cfg).await;
    let refused = far.tx.try_send(chunk(1, 0, 5_000));
    assert!(matches!(refused, Err(TrySendError::Oversized(_))));
    far.tx.send(chunk(1, 0, 4_000)).await.unwrap();
    assert_eq!(near.rx.recv().await, Some(chunk(1, 0, 4_000)));
    // The peer has a higher limit, so the receiving codec rejects its frame and closes the link.
    let mut far = far;
    near.tx.send(chunk(1, 0, 5_000)).await.unwrap();
    assert_eq!(close_reason(&mut far).await, "oversized");
    assert_ne!(close_reason(&mut near).await, "dropped");
}

#[tokio::test]
async fn closes_on_both_sides_when_one_drops_its_senders() {
    let (near, mut far) = link_pair(&entry_config(None), &agent_config(None)).await;
    near.tx.send(Frame::Leaving).await.unwrap();
    let Link { tx, mut closed, .. } = near;
    // Frames that were queued before the last sender was dropped are still delivered.
    drop(tx);
    closed.wait().await;
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
    assert_ne!(close_reason(&mut far).await, "silent");
    assert!(far.rx.recv().await.is_none());
    far.tx.closed().await;
}
