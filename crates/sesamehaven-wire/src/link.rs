//! A link between two processes: a TCP connection with proof and heartbeat.
//!
//! A [`Link`] carries many requests at once. Heartbeats are handled inside;
//! a link whose peer goes silent, in one direction or both, closes with
//! [`Error::Silent`], and whoever owns it opens a new one and resumes the
//! streams. See [`docs/LINK.md`](../../../docs/LINK.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use sesamehaven::id::{DaemonName, DataCentreName, Generation, Incarnation};

use crate::auth::{Psk, Side};
use crate::codec::{self, FrameCodec};
use crate::counter;
use crate::error::{Error, Result};
use crate::handshake;
use crate::message::{Frame, Hello, Role, VERSION};
use crate::pump::{self, Codecs, Pump};

/// Who a process is towards its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// What kind of process this is.
    pub role: Role,
    /// The daemon's name.
    pub name: DaemonName,
    /// The daemon's data centre.
    pub data_centre: DataCentreName,
    /// The daemon's run.
    pub incarnation: Incarnation,
}

/// How a process opens and keeps its links.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// Who this process is.
    pub identity: Identity,
    /// The pre-shared key; without one, any peer without one is accepted.
    pub psk: Option<Psk>,
    /// The longest frame that is sent or read, in bytes.
    pub max_frame_bytes: usize,
    /// How often a ping is sent.
    pub heartbeat_interval: Duration,
    /// How long a peer may leave pings unanswered.
    pub heartbeat_timeout: Duration,
    /// How long the connection and its handshake may take.
    pub handshake_timeout: Duration,
    /// How many frames may wait to be sent, and to be read, on one link.
    pub queue_frames: usize,
    /// The generation that this process serves, sent in hellos and heartbeats.
    pub generation: Arc<AtomicU64>,
    /// The optional features that this process offers.
    pub features: u32,
}

impl LinkConfig {
    /// Builds the default settings for a process.
    pub fn new(identity: Identity, generation: Arc<AtomicU64>) -> Self {
        LinkConfig {
            identity,
            psk: None,
            max_frame_bytes: 8 << 20,
            heartbeat_interval: Duration::from_millis(500),
            heartbeat_timeout: Duration::from_secs(2),
            handshake_timeout: Duration::from_secs(2),
            queue_frames: 1_024,
            generation,
            features: 0,
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            version: VERSION,
            features: self.features,
            role: self.identity.role,
            name: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            incarnation: self.identity.incarnation,
            generation: Generation(self.generation.load(Ordering::Relaxed)),
            nonce: rand::random(),
        }
    }
}

/// An open link.
///
/// Dropping `rx` closes it at once; dropping every [`Sender`] closes it, in both
/// directions, when all that was sent has been written. A process that drains
/// keeps both until the last request is over.
#[derive(Debug)]
pub struct Link {
    /// What the peer said of itself.
    pub peer: Hello,
    /// The features that both sides offer.
    pub features: u32,
    /// Sends frames to the peer.
    pub tx: Sender,
    /// Receives the peer's frames, but for those that the link handles itself.
    ///
    /// It has to be read within the silence that the link allows, whatever the
    /// state of single requests; their credit bounds what may have to be held.
    pub rx: mpsc::Receiver<Frame>,
    /// The generation that the peer serves, from its latest message.
    pub generation: watch::Receiver<Generation>,
    /// Tells why the link closed.
    pub closed: Closed,
}

/// Sends frames to the peer of a link.
#[derive(Debug, Clone)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
    max_frame_bytes: usize,
}

/// A frame that was not taken for sending.
#[derive(Debug, Clone, PartialEq)]
pub enum Unsent {
    /// The queue is full.
    Full(Frame),
    /// The link is closed.
    Closed(Frame),
    /// The frame is longer than the link allows; the link itself goes on.
    Oversized(Frame),
}

impl Sender {
    /// Sends a frame, waiting for room in the queue.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Dropped`] when the link is closed and
    /// [`Error::Oversized`] when the frame is too long for it.
    pub async fn send(&self, frame: Frame) -> Result<()> {
        self.check(&frame)?;
        self.queue.send(frame).await.map_err(|_| Error::Dropped)
    }

    /// Sends a frame if there is room in the queue.
    ///
    /// # Errors
    ///
    /// Returns the frame when it was not taken.
    #[allow(clippy::result_large_err)] // The lint adds up variants; a frame takes 96 bytes.
    pub fn try_send(&self, frame: Frame) -> std::result::Result<(), Unsent> {
        if self.check(&frame).is_err() {
            return Err(Unsent::Oversized(frame));
        }
        self.queue.try_send(frame).map_err(|err| match err {
            TrySendError::Full(frame) => Unsent::Full(frame),
            TrySendError::Closed(frame) => Unsent::Closed(frame),
        })
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Returns how many frames the queue has room for.
    pub fn capacity(&self) -> usize {
        self.queue.capacity()
    }

    /// Refuses a frame here that would otherwise end the link for all requests.
    fn check(&self, frame: &Frame) -> Result<()> {
        let len = codec::encoded_len(frame)?;
        if len <= self.max_frame_bytes {
            return Ok(());
        }
        counter!(counter::FRAMES_OVERSIZED).increment(1);
        Err(Error::Oversized {
            len,
            max: self.max_frame_bytes,
        })
    }
}

/// Tells why a link closed.
#[derive(Debug, Clone)]
pub struct Closed(watch::Receiver<Option<Arc<Error>>>);

impl Closed {
    /// Waits until the link is closed and returns the reason.
    pub async fn wait(&mut self) -> Arc<Error> {
        match self.0.wait_for(Option::is_some).await {
            Ok(reason) => reason.clone().unwrap_or_else(|| Arc::new(Error::Dropped)),
            Err(_) => Arc::new(Error::Dropped),
        }
    }

    /// Returns the reason if the link is closed.
    pub fn reason(&self) -> Option<Arc<Error>> {
        self.0.borrow().clone()
    }
}

/// Opens a link to the process that listens at `addr`.
///
/// # Errors
///
/// Returns an error when no connection comes about in time, or when the peer
/// speaks another version or does not prove that it holds the key.
pub async fn connect(addr: SocketAddr, cfg: &LinkConfig) -> Result<Link> {
    let opened = async {
        let stream = TcpStream::connect(addr).await?;
        open(stream, Side::Dialler, cfg).await
    };
    counted(timeout(cfg.handshake_timeout, opened).await)
}

/// Opens a link on a connection that a listener accepted.
///
/// # Errors
///
/// As [`connect`].
pub async fn accept(stream: TcpStream, cfg: &LinkConfig) -> Result<Link> {
    let opened = open(stream, Side::Acceptor, cfg);
    counted(timeout(cfg.handshake_timeout, opened).await)
}

fn counted(opened: std::result::Result<Result<Link>, tokio::time::error::Elapsed>) -> Result<Link> {
    let opened = opened.unwrap_or(Err(Error::Silent));
    if let Err(err) = &opened {
        counter::handshake_failed(err);
    }
    opened
}

async fn open(mut stream: TcpStream, side: Side, cfg: &LinkConfig) -> Result<Link> {
    stream.set_nodelay(true)?;
    let mine = cfg.hello();
    let psk = cfg.psk.clone().unwrap_or_else(Psk::public);
    let mut buf = BytesMut::new();
    let exchange = handshake::exchange(&mut stream, &mut buf, side, &mine, &psk);
    let (peer, transcript) = exchange.await?;
    counter!(counter::LINKS_OPENED, "side" => side.as_str()).increment(1);
    let mut codecs = Codecs {
        sending: FrameCodec::new(cfg.max_frame_bytes),
        receiving: FrameCodec::new(cfg.max_frame_bytes),
    };
    if cfg.psk.is_some() {
        codecs.sending = codecs.sending.sealed(transcript.sending_key());
        codecs.receiving = codecs.receiving.sealed(transcript.receiving_key());
    }
    Ok(start(stream, buf, codecs, peer, cfg))
}

/// Starts the task that moves the frames of an open link.
fn start(stream: TcpStream, buf: BytesMut, codecs: Codecs, peer: Hello, cfg: &LinkConfig) -> Link {
    let (tx, outgoing) = mpsc::channel(cfg.queue_frames);
    let (incoming, rx) = mpsc::channel(cfg.queue_frames);
    let (generation_tx, generation) = watch::channel(peer.generation);
    let (closed_tx, closed) = watch::channel(None);
    let pump = Pump::new(cfg, generation_tx);
    tokio::spawn(async move {
        let reason = pump::run(pump, stream, buf, codecs, outgoing, incoming).await;
        counter::link_closed(&reason);
        closed_tx.send_replace(Some(Arc::new(reason)));
    });
    Link {
        features: peer.features & cfg.features,
        peer,
        tx: Sender {
            queue: tx,
            max_frame_bytes: cfg.max_frame_bytes,
        },
        rx,
        generation,
        closed: Closed(closed),
    }
}
