//! Links as seen by the daemons' actors: numbered, with events in order.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use futures_util::stream::{self, Stream, StreamExt};
use tokio::sync::mpsc;

use sesamehaven::id::{DaemonName, DataCentreName, Digest, Incarnation};
use sesamehaven_wire::auth::Psk;
use sesamehaven_wire::link::{Identity, LinkConfig};
use sesamehaven_wire::message::{Frame, Role};

/// The number of a link within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// An event on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The peer sent a frame.
    Frame(LinkId, Frame),
    /// The link is closed; nothing follows.
    Lost(LinkId),
}

/// Converts the receiving end of a link into a stream of events that ends with its
/// loss.
pub fn events(id: LinkId, mut rx: mpsc::Receiver<Frame>) -> impl Stream<Item = LinkEvent> {
    let frames = stream::poll_fn(move |cx| rx.poll_recv(cx));
    let frames = frames.map(move |frame| LinkEvent::Frame(id, frame));
    frames.chain(stream::once(async move { LinkEvent::Lost(id) }))
}

/// Builds the configuration of a daemon's links.
pub fn link_config(
    role: Role,
    name: &DaemonName,
    data_centre: &DataCentreName,
    incarnation: Incarnation,
    key: Digest,
) -> LinkConfig {
    let me = Identity {
        role,
        name: name.clone(),
        data_centre: data_centre.clone(),
        incarnation,
    };
    let mut cfg = LinkConfig::new(me, Arc::new(AtomicU64::new(0)));
    cfg.psk = Some(Psk::new(key.0));
    cfg
}
