//! Helpers shared by the link tests: configurations, connected link pairs and a lossy proxy.
#![allow(dead_code)] // Each test file uses only some of the helpers.
#![allow(clippy::unwrap_used)] // The helpers run only in tests.

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
    let identity = Identity {
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
        ..LinkConfig::new(identity, Arc::default())
    }
}

pub(crate) fn entry_config(psk: Option<u8>) -> LinkConfig {
    config(Role::Entry, "entry-1", psk)
}

pub(crate) fn agent_config(psk: Option<u8>) -> LinkConfig {
    config(Role::Agent, "agent-1", psk)
}

pub(crate) async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

type LinkResult = sesamehaven_wire::Result<Link>;

/// Connects to `addr`, which leads to the listener, and returns the results of entry and agent.
pub(crate) async fn connect_both(
    listener: &TcpListener,
    addr: SocketAddr,
    entry: &LinkConfig,
    agent: &LinkConfig,
) -> (LinkResult, LinkResult) {
    let accepted = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, agent).await
    };
    tokio::join!(connect(addr, entry), accepted)
}

/// Returns the two ends of a new link, that of the entry first.
pub(crate) async fn link_pair(entry: &LinkConfig, agent: &LinkConfig) -> (Link, Link) {
    let (listener, addr) = listener().await;
    let (entry, agent) = connect_both(&listener, addr, entry, agent).await;
    (entry.unwrap(), agent.unwrap())
}

pub(crate) fn chunk(request: u128, seq: u64, len: usize) -> Frame {
    let data = vec![b'x'; len].into();
    Frame::Reply(RequestId(request), ToEntry::Chunk { seq, data })
}

/// A TCP proxy that can silently drop the bytes of either direction.
#[derive(Default)]
pub(crate) struct LossyProxy {
    pub(crate) drop_to_agent: AtomicBool,
    pub(crate) drop_to_entry: AtomicBool,
}

impl LossyProxy {
    pub(crate) async fn start(agent: SocketAddr) -> (Arc<LossyProxy>, SocketAddr) {
        let proxy = Arc::new(LossyProxy::default());
        let (listener, addr) = listener().await;
        let shared = proxy.clone();
        tokio::spawn(async move {
            while let Ok((entry_side, _)) = listener.accept().await {
                let agent_side = TcpStream::connect(agent).await.unwrap();
                let (entry_rx, entry_tx) = entry_side.into_split();
                let (agent_rx, agent_tx) = agent_side.into_split();
                let (to_agent, to_entry) = (shared.clone(), shared.clone());
                tokio::spawn(async move {
                    to_agent
                        .forward(entry_rx, agent_tx, &to_agent.drop_to_agent)
                        .await
                });
                tokio::spawn(async move {
                    to_entry
                        .forward(agent_rx, entry_tx, &to_entry.drop_to_entry)
                        .await
                });
            }
        });
        (proxy, addr)
    }
}

impl LossyProxy {
    async fn forward(
        &self,
        mut rx: OwnedReadHalf,
        mut tx: OwnedWriteHalf,
        drop_bytes: &AtomicBool,
    ) {
        let mut buf = vec![0; 16 << 10];
        while let Ok(len) = rx.read(&mut buf).await {
            // While either direction is dropped, the close of a connection is not forwarded,
            // so that each side has to detect the loss by its own heartbeat.
            let hide_close = len == 0 && self.is_dropping();
            if hide_close || drop_bytes.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
    }

    fn is_dropping(&self) -> bool {
        self.drop_to_agent.load(Ordering::SeqCst) || self.drop_to_entry.load(Ordering::SeqCst)
    }
}
