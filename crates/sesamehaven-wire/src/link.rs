//! Links between processes: authenticated TCP connections with heartbeats.
//!
//! A [`Link`] multiplexes many requests and handles heartbeats internally. When
//! the connection fails silently, in one direction or both, the link closes with
//! [`Error::TimedOut`]; its owner then opens a new link and resumes the streams.
//! See [`docs/LINK.md`](../../../docs/LINK.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::sync::mpsc::error::TrySendError as QueueError;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use sesamehaven::id::{DaemonName, DataCentreName, Generation, Incarnation};

use crate::auth::{Psk, Side};
use crate::codec::{self, FrameCodec};
use crate::counter;
use crate::driver::{self, Codecs, LinkState};
use crate::error::{Error, Result};
use crate::handshake;
use crate::message::{Frame, Hello, Role, VERSION};

/// The identity of a process, which it presents to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The role of the process.
    pub role: Role,
    /// The daemon's name.
    pub name: DaemonName,
    /// The daemon's data centre.
    pub data_centre: DataCentreName,
    /// The incarnation of the daemon, which identifies one run of its process.
    pub incarnation: Incarnation,
}

/// The configuration of a process's links.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// The identity of this process.
    pub identity: Identity,
    /// The pre-shared key; without one, every peer without a key is accepted.
    pub psk: Option<Psk>,
    /// The maximum length of a sent or received frame, in bytes.
    pub max_frame_bytes: usize,
    /// The interval between pings.
    pub heartbeat_interval: Duration,
    /// The time without a pong after which the link closes.
    ///
    /// It also limits a write to the peer and the delivery of a received frame.
    pub heartbeat_timeout: Duration,
    /// The timeout for connecting and for the handshake together.
    pub handshake_timeout: Duration,
    /// The capacity of the sending queue and of the receiving queue of a link, in frames.
    pub queue_frames: usize,
    /// The generation of the configuration in force, which is sent in hellos and heartbeats.
    pub generation: Arc<AtomicU64>,
    /// The bit set of optional features that this process supports.
    pub features: u32,
}

impl LinkConfig {
    /// Creates the default configuration for a process.
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
/// Dropping `rx` closes the link at once. Dropping every [`Sender`] closes both
/// directions once all queued frames have been written. A draining process keeps
/// `rx` and a sender until its last request has ended.
#[derive(Debug)]
pub struct Link {
    /// The peer's hello.
    pub peer: Hello,
    /// The bit set of features that both sides support.
    pub features: u32,
    /// Sends frames to the peer.
    pub tx: Sender,
    /// Receives the peer's frames, except those that the link handles internally.
    ///
    /// The owner must consume frames within the heartbeat timeout, whatever the state
    /// of individual requests; the credit of the requests bounds the buffered data.
    pub rx: mpsc::Receiver<Frame>,
    /// The generation that the peer has in force, from its hello or its latest heartbeat.
    pub generation: watch::Receiver<Generation>,
    /// Waits for the link to close and returns the reason.
    pub closed: Closed,
}

/// Sends frames to the peer of a link.
#[derive(Debug, Clone)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
    max_frame_bytes: usize,
}

/// An error of [`Sender::try_send`], which returns the frame.
#[derive(Debug, Clone, PartialEq)]
pub enum TrySendError {
    /// The queue is full.
    Full(Frame),
    /// The link is closed.
    Closed(Frame),
    /// The frame exceeds the maximum length; the link stays open.
    Oversized(Frame),
}

impl Sender {
    /// Sends a frame, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ClosedLocally`] when the link is closed, whatever the reason
    /// (see [`Closed::wait`]), and [`Error::Oversized`] when the frame exceeds the
    /// maximum length.
    pub async fn send(&self, frame: Frame) -> Result<()> {
        self.check_len(&frame)?;
        self.queue
            .send(frame)
            .await
            .map_err(|_| Error::ClosedLocally)
    }

    /// Sends a frame unless the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the frame when it was not queued.
    #[allow(clippy::result_large_err)] // The lint sums the variants; a frame has 96 bytes.
    pub fn try_send(&self, frame: Frame) -> std::result::Result<(), TrySendError> {
        if self.check_len(&frame).is_err() {
            return Err(TrySendError::Oversized(frame));
        }
        self.queue.try_send(frame).map_err(|err| match err {
            QueueError::Full(frame) => TrySendError::Full(frame),
            QueueError::Closed(frame) => TrySendError::Closed(frame),
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

    /// Returns the remaining capacity of the queue, in frames.
    pub fn capacity(&self) -> usize {
        self.queue.capacity()
    }

    /// Rejects an oversized frame before it is queued.
    ///
    /// The codec or the peer would otherwise close the link and with it all requests.
    fn check_len(&self, frame: &Frame) -> Result<()> {
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

/// A handle that waits for a link to close and returns the reason.
#[derive(Debug, Clone)]
pub struct Closed(watch::Receiver<Option<Arc<Error>>>);

impl Closed {
    /// Waits until the link closes and returns the reason.
    pub async fn wait(&mut self) -> Arc<Error> {
        match self.0.wait_for(Option::is_some).await {
            Ok(reason) => reason
                .clone()
                .unwrap_or_else(|| Arc::new(Error::ClosedLocally)),
            Err(_) => Arc::new(Error::ClosedLocally),
        }
    }

    /// Returns the reason if the link has closed.
    pub fn reason(&self) -> Option<Arc<Error>> {
        self.0.borrow().clone()
    }
}

/// Opens a link to the process that listens on `addr`.
///
/// # Errors
///
/// Returns an error when the connection or the handshake fails or times out, when
/// the peer uses another protocol version, or when it fails to authenticate.
pub async fn connect(addr: SocketAddr, cfg: &LinkConfig) -> Result<Link> {
    let opening = async {
        let stream = TcpStream::connect(addr).await?;
        open(stream, Side::Dialler, cfg).await
    };
    count_failure(timeout(cfg.handshake_timeout, opening).await)
}

/// Opens a link on a connection that a listener has accepted.
///
/// # Errors
///
/// Returns an error in the same cases as [`connect`].
pub async fn accept(stream: TcpStream, cfg: &LinkConfig) -> Result<Link> {
    let opening = open(stream, Side::Acceptor, cfg);
    count_failure(timeout(cfg.handshake_timeout, opening).await)
}

/// Counts a failed attempt to open a link and turns an elapsed timeout into [`Error::TimedOut`].
fn count_failure(
    opened: std::result::Result<Result<Link>, tokio::time::error::Elapsed>,
) -> Result<Link> {
    let link = opened.unwrap_or(Err(Error::TimedOut));
    if let Err(err) = &link {
        counter::handshake_failed(err);
    }
    link
}

/// Performs the handshake and starts the driver of the link.
async fn open(mut stream: TcpStream, side: Side, cfg: &LinkConfig) -> Result<Link> {
    stream.set_nodelay(true)?;
    let hello = cfg.hello();
    let psk = cfg.psk.clone().unwrap_or_else(Psk::insecure);
    let mut buf = BytesMut::new();
    let exchange = handshake::exchange(&mut stream, &mut buf, side, &hello, &psk);
    let (peer, transcript) = exchange.await?;
    counter!(counter::LINKS_OPENED, "side" => side.as_str()).increment(1);
    let mut codecs = Codecs {
        sending: FrameCodec::new(cfg.max_frame_bytes),
        receiving: FrameCodec::new(cfg.max_frame_bytes),
    };
    if cfg.psk.is_some() {
        codecs.sending = codecs.sending.authenticated(transcript.sending_key());
        codecs.receiving = codecs.receiving.authenticated(transcript.receiving_key());
    }
    Ok(start(stream, buf, codecs, peer, cfg))
}

/// Spawns the driver task of an open link.
fn start(stream: TcpStream, buf: BytesMut, codecs: Codecs, peer: Hello, cfg: &LinkConfig) -> Link {
    let (tx, outgoing) = mpsc::channel(cfg.queue_frames);
    let (incoming, rx) = mpsc::channel(cfg.queue_frames);
    let (generation_tx, generation) = watch::channel(peer.generation);
    let (closed_tx, closed) = watch::channel(None);
    let state = LinkState::new(cfg, generation_tx);
    tokio::spawn(async move {
        let reason = driver::run(state, stream, buf, codecs, outgoing, incoming).await;
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
