//! What processes tell each other over links besides requests.
//!
//! Generations and configurations pass between the links and the [`Feed`],
//! which decides what to do about them.
//!
//! [`Feed`]: crate::feed::Feed

use std::time::Duration;

use metrics::counter;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use sesamehaven::id::{DaemonName, Generation};
use sesamehaven_wire::message::Frame;

use crate::feed::{FromPeer, PeerChannels, ToPeer};

/// How often the feed is sent again what a peer serves, since it forgets.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The messages that may wait on their way to or from the feed.
const QUEUE_CAPACITY: usize = 256;

/// The links' ends of what joins them to the feed.
#[derive(Debug)]
pub struct FeedChannels {
    /// What the links tell the feed.
    pub tx: mpsc::Sender<FromPeer>,
    /// What the feed asks the links to send.
    pub rx: mpsc::Receiver<ToPeer>,
}

/// Builds both ends.
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

/// Translates a frame about the configuration; [`None`] when it is about something else.
pub fn from_frame(peer: DaemonName, frame: Frame) -> Option<FromPeer> {
    match frame {
        Frame::FetchConfig { generation } => Some(FromPeer::FetchConfig { peer, generation }),
        Frame::Config { head, parts } => Some(FromPeer::Config { peer, head, parts }),
        _ => None,
    }
}

/// Translates what the feed wants sent, and to whom.
pub fn to_frame(msg: ToPeer) -> (DaemonName, Frame) {
    match msg {
        ToPeer::FetchConfig { peer, generation } => (peer, Frame::FetchConfig { generation }),
        ToPeer::Config { peer, head, parts } => (peer, Frame::Config { head, parts }),
    }
}

/// Tells the feed something, if there is something to tell.
pub fn notify(feed: &mpsc::Sender<FromPeer>, msg: Option<FromPeer>) {
    let Some(msg) = msg else {
        return;
    };
    if feed.try_send(msg).is_err() {
        counter!("feed_messages_lost_total").increment(1);
    }
}

/// Builds the frame that brings a peer along at once after a change.
///
/// It is a ping whose answer nobody counts.
pub fn generation_ping(generation: Generation) -> Frame {
    Frame::Ping {
        count: u64::MAX,
        generation,
    }
}

/// Passes the generations of a link's peer on to the feed until the link closes.
pub async fn follow(
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
