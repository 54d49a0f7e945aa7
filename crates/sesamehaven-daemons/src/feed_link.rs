//! Configuration messages between links and the feed.
//!
//! Links pass peers' generations and configurations to the [`Feed`], which decides
//! what to request and to send.
//!
//! [`Feed`]: crate::feed::Feed

use std::time::Duration;

use metrics::counter;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use sesamehaven::id::{DaemonName, Generation};
use sesamehaven_wire::message::Frame;

use crate::feed::{FromPeer, PeerChannels, ToPeer};

/// Interval at which a peer's generation is repeated to the feed, whose hints
/// expire.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Capacity of the channels to and from the feed.
const QUEUE_CAPACITY: usize = 256;

/// The links' ends of the channels to the feed.
#[derive(Debug)]
pub struct FeedChannels {
    /// Messages and events from peers.
    pub tx: mpsc::Sender<FromPeer>,
    /// Messages to peers.
    pub rx: mpsc::Receiver<ToPeer>,
}

/// Creates the channels and returns both ends.
pub fn channel() -> (FeedChannels, PeerChannels) {
    let (from_tx, from_rx) = mpsc::channel(QUEUE_CAPACITY);
    let (to_tx, to_rx) = mpsc::channel(QUEUE_CAPACITY);
    let channels = FeedChannels {
        tx: from_tx,
        rx: to_rx,
    };
    let peers = PeerChannels {
        rx: from_rx,
        tx: to_tx,
    };
    (channels, peers)
}

/// Converts a frame about the configuration; returns [`None`] for any other frame.
pub fn from_frame(peer: DaemonName, frame: Frame) -> Option<FromPeer> {
    match frame {
        Frame::FetchConfig { generation } => Some(FromPeer::FetchConfig { peer, generation }),
        Frame::Config { head, parts } => Some(FromPeer::Config { peer, head, parts }),
        _ => None,
    }
}

/// Converts a message of the feed into its recipient and frame.
pub fn to_frame(msg: ToPeer) -> (DaemonName, Frame) {
    match msg {
        ToPeer::FetchConfig { peer, generation } => (peer, Frame::FetchConfig { generation }),
        ToPeer::Config { peer, head, parts } => (peer, Frame::Config { head, parts }),
    }
}

/// Sends a message, if any, to the feed; counts it as lost if the channel is full or
/// closed.
pub fn notify(feed: &mpsc::Sender<FromPeer>, msg: Option<FromPeer>) {
    let Some(msg) = msg else {
        return;
    };
    if feed.try_send(msg).is_err() {
        counter!("feed_messages_lost_total").increment(1);
    }
}

/// Builds a ping that announces a new generation to a peer immediately.
///
/// Its count is never matched against a pong.
pub fn generation_ping(generation: Generation) -> Frame {
    Frame::Ping {
        count: u64::MAX,
        generation,
    }
}

/// Forwards the generations of a link's peer to the feed until the link closes.
pub async fn forward_generations(
    peer: DaemonName,
    mut generations: watch::Receiver<Generation>,
    tx: mpsc::Sender<FromPeer>,
) {
    loop {
        let generation = *generations.borrow_and_update();
        let peer = peer.clone();
        let sent = tx.send(FromPeer::Generation { peer, generation }).await;
        if sent.is_err() {
            return;
        }
        let closed = timeout(REPEAT_INTERVAL, generations.changed()).await;
        if let Ok(Err(_)) = closed {
            return;
        }
    }
}
