//! The driver task of an open link, which reads and writes frames and monitors the heartbeat.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_util::codec::{Decoder, Encoder};

use sesamehaven::id::Generation;

use crate::codec::FrameCodec;
use crate::counter::TrafficCounters;
use crate::error::{Error, Result};
use crate::link::LinkConfig;
use crate::message::Frame;

/// The maximum number of queued frames that are taken in one batch.
const BATCH_FRAMES: usize = 256;

/// The size at which an encoded batch is written before more frames are added, in bytes.
const BATCH_BYTES: usize = 64 << 10;

/// The buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The minimum period of the timers that send pings and check the heartbeat timeout.
const TICK_MIN: Duration = Duration::from_millis(1);

/// The codecs of the two directions of a link.
pub(crate) struct Codecs {
    pub(crate) sending: FrameCodec,
    pub(crate) receiving: FrameCodec,
}

/// The state shared by the reading and the writing half of a link.
pub(crate) struct LinkState {
    heartbeat_interval: Duration,
    heartbeat_timeout: Duration,
    generation: Arc<AtomicU64>,
    peer_generation: watch::Sender<Generation>,
    traffic: TrafficCounters,
    started: Instant,
    /// The time of the last pong, in milliseconds since `started`.
    last_pong_ms: AtomicU64,
    /// The sequence number of the peer's latest ping that awaits a pong, or zero if there is none.
    pending_ping: AtomicU64,
    ping_received: Notify,
}

impl LinkState {
    /// Creates the state of a link that has just been opened.
    pub(crate) fn new(cfg: &LinkConfig, peer_generation: watch::Sender<Generation>) -> Self {
        LinkState {
            heartbeat_interval: cfg.heartbeat_interval,
            heartbeat_timeout: cfg.heartbeat_timeout,
            generation: cfg.generation.clone(),
            peer_generation,
            traffic: TrafficCounters::new(),
            started: Instant::now(),
            last_pong_ms: AtomicU64::new(0),
            pending_ping: AtomicU64::new(0),
            ping_received: Notify::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn generation(&self) -> Generation {
        Generation(self.generation.load(Ordering::Relaxed))
    }

    /// Records the generation that the peer has in force and notifies watchers if it is newer.
    fn update_peer_generation(&self, generation: Generation) {
        self.peer_generation.send_if_modified(|known| {
            let newer = generation > *known;
            *known = generation.max(*known);
            newer
        });
    }

    /// Returns whether no pong has arrived within the heartbeat timeout.
    ///
    /// A pong requires both directions to work, so this detects the loss of either.
    fn is_timed_out(&self) -> bool {
        let last_pong_ms = self.last_pong_ms.load(Ordering::Relaxed);
        let elapsed_ms = self.now_ms().saturating_sub(last_pong_ms);
        u128::from(elapsed_ms) >= self.heartbeat_timeout.as_millis()
    }
}

/// Drives the link until it closes and returns the reason.
pub(crate) async fn run(
    state: LinkState,
    stream: TcpStream,
    buf: BytesMut,
    codecs: Codecs,
    outgoing: mpsc::Receiver<Frame>,
    incoming: mpsc::Sender<Frame>,
) -> Error {
    let (reader, writer) = stream.into_split();
    let result = tokio::select! {
        result = read(&state, reader, buf, codecs.receiving, &incoming) => result,
        result = write(&state, writer, codecs.sending, outgoing) => result,
        result = watch_heartbeat(&state) => result,
        () = incoming.closed() => Ok(()),
    };
    result.err().unwrap_or(Error::ClosedLocally)
}

/// Returns an error once the heartbeat times out.
async fn watch_heartbeat(state: &LinkState) -> Result<()> {
    let mut ticks = interval((state.heartbeat_timeout / 8).max(TICK_MIN));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !state.is_timed_out() {
        ticks.tick().await;
    }
    Err(Error::TimedOut)
}

/// Reads and handles frames until the connection closes.
async fn read(
    state: &LinkState,
    mut reader: OwnedReadHalf,
    mut buf: BytesMut,
    mut codec: FrameCodec,
    incoming: &mpsc::Sender<Frame>,
) -> Result<()> {
    loop {
        let mut frames = 0;
        while let Some(frame) = codec.decode(&mut buf)? {
            frames += 1;
            handle_frame(state, frame, incoming).await?;
        }
        state.traffic.frames_received.increment(frames);
        buf.reserve(READ_BYTES);
        let len = reader.read_buf(&mut buf).await?;
        if len == 0 {
            return Err(Error::ClosedByPeer);
        }
        state.traffic.bytes_received.increment(len as u64);
    }
}

/// Handles heartbeats and delivers all other frames.
async fn handle_frame(
    state: &LinkState,
    frame: Frame,
    incoming: &mpsc::Sender<Frame>,
) -> Result<()> {
    match frame {
        Frame::Ping { count, generation } => {
            state.update_peer_generation(generation);
            state.pending_ping.store(count, Ordering::Relaxed);
            state.ping_received.notify_one();
            Ok(())
        }
        Frame::Pong { generation, .. } => {
            state.update_peer_generation(generation);
            state.last_pong_ms.store(state.now_ms(), Ordering::Relaxed);
            Ok(())
        }
        Frame::Hello(_) | Frame::Proof(_) => Err(Error::UnexpectedFrame),
        frame => deliver(state, frame, incoming).await,
    }
}

/// Delivers a frame to the receiver of the link, waiting up to the heartbeat timeout for space.
async fn deliver(state: &LinkState, frame: Frame, incoming: &mpsc::Sender<Frame>) -> Result<()> {
    let Err(rejected) = incoming.try_send(frame) else {
        return Ok(());
    };
    let sent = timeout(
        state.heartbeat_timeout,
        incoming.send(rejected.into_inner()),
    )
    .await;
    match sent {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Error::ClosedLocally),
        Err(_) => Err(Error::ReceiverStalled),
    }
}

/// Writes queued frames, pings and pongs until all senders are dropped.
async fn write(
    state: &LinkState,
    mut writer: OwnedWriteHalf,
    mut codec: FrameCodec,
    mut outgoing: mpsc::Receiver<Frame>,
) -> Result<()> {
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    let mut buf = BytesMut::with_capacity(BATCH_BYTES);
    let mut pings = interval(state.heartbeat_interval.max(TICK_MIN));
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pings_sent = 0;
    loop {
        tokio::select! {
            _ = pings.tick() => {
                pings_sent += 1;
                let ping = Frame::Ping { count: pings_sent, generation: state.generation() };
                batch.push(ping);
            }
            () = state.ping_received.notified() => {}
            received = outgoing.recv_many(&mut batch, BATCH_FRAMES) => {
                if received == 0 {
                    return shut_down(writer).await;
                }
            }
        }
        let count = state.pending_ping.swap(0, Ordering::Relaxed);
        if count != 0 {
            let generation = state.generation();
            batch.push(Frame::Pong { count, generation });
        }
        state.traffic.frames_sent.increment(batch.len() as u64);
        for frame in batch.drain(..) {
            codec.encode(&frame, &mut buf)?;
            if buf.len() >= BATCH_BYTES {
                flush(state, &mut writer, &mut buf).await?;
            }
        }
        flush(state, &mut writer, &mut buf).await?;
    }
}

/// Writes the buffer; the link times out if the peer accepts no bytes within the heartbeat timeout.
async fn flush(state: &LinkState, writer: &mut OwnedWriteHalf, buf: &mut BytesMut) -> Result<()> {
    while !buf.is_empty() {
        let written = timeout(state.heartbeat_timeout, writer.write_buf(buf)).await;
        let len = written.map_err(|_| Error::TimedOut)??;
        if len == 0 {
            return Err(Error::ClosedByPeer);
        }
        state.traffic.writes.increment(1);
        state.traffic.bytes_sent.increment(len as u64);
    }
    Ok(())
}

/// Shuts down the writing direction and waits for the peer to close the connection.
async fn shut_down(mut writer: OwnedWriteHalf) -> Result<()> {
    writer.shutdown().await?;
    pending().await
}
