//! What the tests of links share: identities, settings, a pair of links, a relay.
#![allow(dead_code)] // Each test file uses its own part of this.
#![allow(clippy::unwrap_used)] // These helpers run in tests only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use sesamehaven::id::{Incarnation, RequestId};
use sesamehaven_wire::message::{Frame, Role, ToEntry};
use sesamehaven_wire::{Identity, Link, LinkConfig, Psk, accept, connect};

pub(crate) fn config(role: Role, name: &str, psk: Option<u8>) -> LinkConfig {
    let me = Identity {
        role,
        name: name.parse().unwrap(),
        data_centre: "hobro".parse().unwrap(),
        incarnation: Incarnation(7),
    };
    LinkConfig {
        psk: psk.map(|byte| Psk::new([byte; 32])),
        heartbeat_interval: Duration::from_millis(50),
        heartbeat_timeout: Duration::from_secs(1),
        handshake_timeout: Duration::from_secs(5),
        ..LinkConfig::new(me, Arc::default())
    }
}

pub(crate) fn entry(psk: Option<u8>) -> LinkConfig {
    config(Role::Entry, "entry-1", psk)
}

pub(crate) fn agent(psk: Option<u8>) -> LinkConfig {
    config(Role::Agent, "agent-1", psk)
}

pub(crate) async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

type Outcome = sesamehaven_wire::Result<Link>;

/// Dials `via`, which leads to the listener, and returns the ends of entry and agent.
pub(crate) async fn dial(
    listener: &TcpListener,
    via: SocketAddr,
    entry: &LinkConfig,
    agent: &LinkConfig,
) -> (Outcome, Outcome) {
    let accepted = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, agent).await
    };
    tokio::join!(connect(via, entry), accepted)
}

pub(crate) async fn pair(entry: &LinkConfig, agent: &LinkConfig) -> (Link, Link) {
    let (listener, addr) = listener().await;
    let (entry, agent) = dial(&listener, addr, entry, agent).await;
    (entry.unwrap(), agent.unwrap())
}

pub(crate) fn chunk(request: u128, seq: u64, len: usize) -> Frame {
    let data = vec![b'x'; len].into();
    Frame::Reply(RequestId(request), ToEntry::Chunk { seq, data })
}

/// Passes bytes between two sockets until told to swallow them, by direction.
#[derive(Default)]
pub(crate) struct Relay {
    pub(crate) swallow_up: AtomicBool,
    pub(crate) swallow_down: AtomicBool,
}

impl Relay {
    pub(crate) async fn start(to: SocketAddr) -> (Arc<Relay>, SocketAddr) {
        let relay = Arc::new(Relay::default());
        let (listener, addr) = listener().await;
        let shared = relay.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(to).await.unwrap();
                let (near_rx, near_tx) = near.into_split();
                let (far_rx, far_tx) = far.into_split();
                let (up, down) = (shared.clone(), shared.clone());
                tokio::spawn(async move { up.pass(near_rx, far_tx, &up.swallow_up).await });
                tokio::spawn(async move { down.pass(far_rx, near_tx, &down.swallow_down).await });
            }
        });
        (relay, addr)
    }
}

impl Relay {
    async fn pass(&self, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, swallow: &AtomicBool) {
        let mut buf = vec![0; 16 << 10];
        while let Ok(len) = rx.read(&mut buf).await {
            // The end of a connection is lost in both directions, so that
            // either side has to find the silence by itself.
            let lost = len == 0 && self.is_swallowing();
            if lost || swallow.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
    }

    fn is_swallowing(&self) -> bool {
        self.swallow_up.load(Ordering::SeqCst) || self.swallow_down.load(Ordering::SeqCst)
    }
}
