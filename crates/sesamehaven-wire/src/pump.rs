//! Moves the frames of an open link and watches over its heartbeat.

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
use crate::counter::Traffic;
use crate::error::{Error, Result};
use crate::link::LinkConfig;
use crate::message::Frame;

/// The most frames that are encoded into one write.
const BATCH_FRAMES: usize = 256;

/// The size from which on an encoded batch is written before more is added, in bytes.
const BATCH_BYTES: usize = 64 << 10;

/// The room that is made for each read, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The shortest time between two looks at the heartbeat.
const TICK_MIN: Duration = Duration::from_millis(1);

/// The codecs of the two directions of a link.
pub(crate) struct Codecs {
    pub(crate) sending: FrameCodec,
    pub(crate) receiving: FrameCodec,
}

/// What the reading and the writing half of a link share.
pub(crate) struct Pump {
    heartbeat_interval: Duration,
    heartbeat_timeout: Duration,
    generation: Arc<AtomicU64>,
    peer_generation: watch::Sender<Generation>,
    traffic: Traffic,
    started: Instant,
    /// When the peer last answered a ping, in milliseconds since the start.
    answered_ms: AtomicU64,
    /// The latest ping that awaits its pong, zero for none.
    unanswered: AtomicU64,
    answer: Notify,
}

impl Pump {
    /// Builds the state of a link that has just been opened.
    pub(crate) fn new(cfg: &LinkConfig, peer_generation: watch::Sender<Generation>) -> Self {
        Pump {
            heartbeat_interval: cfg.heartbeat_interval,
            heartbeat_timeout: cfg.heartbeat_timeout,
            generation: cfg.generation.clone(),
            peer_generation,
            traffic: Traffic::new(),
            started: Instant::now(),
            answered_ms: AtomicU64::new(0),
            unanswered: AtomicU64::new(0),
            answer: Notify::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn generation(&self) -> Generation {
        Generation(self.generation.load(Ordering::Relaxed))
    }

    /// Notes the generation that the peer serves and wakes those who wait for a new one.
    fn heard_generation(&self, generation: Generation) {
        self.peer_generation.send_if_modified(|known| {
            let newer = generation > *known;
            *known = generation.max(*known);
            newer
        });
    }

    /// Returns whether pings have been left unanswered for too long.
    ///
    /// A pong needs both directions, so this finds silence in either.
    fn is_silent(&self) -> bool {
        let answered = self.answered_ms.load(Ordering::Relaxed);
        let silence = self.now_ms().saturating_sub(answered);
        u128::from(silence) >= self.heartbeat_timeout.as_millis()
    }
}

/// Moves frames until the link ends and returns why it did.
pub(crate) async fn run(
    pump: Pump,
    stream: TcpStream,
    buf: BytesMut,
    codecs: Codecs,
    outgoing: mpsc::Receiver<Frame>,
    incoming: mpsc::Sender<Frame>,
) -> Error {
    let (reader, writer) = stream.into_split();
    let ended = tokio::select! {
        ended = read(&pump, reader, buf, codecs.receiving, &incoming) => ended,
        ended = write(&pump, writer, codecs.sending, outgoing) => ended,
        ended = watch_silence(&pump) => ended,
        () = incoming.closed() => Ok(()),
    };
    ended.err().unwrap_or(Error::Dropped)
}

async fn watch_silence(pump: &Pump) -> Result<()> {
    let mut ticks = interval((pump.heartbeat_timeout / 8).max(TICK_MIN));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !pump.is_silent() {
        ticks.tick().await;
    }
    Err(Error::Silent)
}

async fn read(
    pump: &Pump,
    mut reader: OwnedReadHalf,
    mut buf: BytesMut,
    mut codec: FrameCodec,
    incoming: &mpsc::Sender<Frame>,
) -> Result<()> {
    loop {
        let mut frames = 0;
        while let Some(frame) = codec.decode(&mut buf)? {
            frames += 1;
            receive(pump, frame, incoming).await?;
        }
        pump.traffic.frames_received.increment(frames);
        buf.reserve(READ_BYTES);
        let len = reader.read_buf(&mut buf).await?;
        if len == 0 {
            return Err(Error::Closed);
        }
        pump.traffic.bytes_received.increment(len as u64);
    }
}

async fn receive(pump: &Pump, frame: Frame, incoming: &mpsc::Sender<Frame>) -> Result<()> {
    match frame {
        Frame::Ping { count, generation } => {
            pump.heard_generation(generation);
            pump.unanswered.store(count, Ordering::Relaxed);
            pump.answer.notify_one();
            Ok(())
        }
        Frame::Pong { generation, .. } => {
            pump.heard_generation(generation);
            pump.answered_ms.store(pump.now_ms(), Ordering::Relaxed);
            Ok(())
        }
        Frame::Hello(_) | Frame::Proof(_) => Err(Error::Unexpected),
        frame => deliver(pump, frame, incoming).await,
    }
}

async fn deliver(pump: &Pump, frame: Frame, incoming: &mpsc::Sender<Frame>) -> Result<()> {
    let Err(full) = incoming.try_send(frame) else {
        return Ok(());
    };
    let sent = timeout(pump.heartbeat_timeout, incoming.send(full.into_inner())).await;
    match sent {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Error::Dropped),
        Err(_) => Err(Error::Unread),
    }
}

async fn write(
    pump: &Pump,
    mut writer: OwnedWriteHalf,
    mut codec: FrameCodec,
    mut outgoing: mpsc::Receiver<Frame>,
) -> Result<()> {
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    let mut buf = BytesMut::with_capacity(BATCH_BYTES);
    let mut pings = interval(pump.heartbeat_interval.max(TICK_MIN));
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pings_sent = 0;
    loop {
        tokio::select! {
            _ = pings.tick() => {
                pings_sent += 1;
                let ping = Frame::Ping { count: pings_sent, generation: pump.generation() };
                batch.push(ping);
            }
            () = pump.answer.notified() => {}
            received = outgoing.recv_many(&mut batch, BATCH_FRAMES) => {
                if received == 0 {
                    return finish(writer).await;
                }
            }
        }
        let count = pump.unanswered.swap(0, Ordering::Relaxed);
        if count != 0 {
            let generation = pump.generation();
            batch.push(Frame::Pong { count, generation });
        }
        pump.traffic.frames_sent.increment(batch.len() as u64);
        for frame in batch.drain(..) {
            codec.encode(&frame, &mut buf)?;
            if buf.len() >= BATCH_BYTES {
                flush(pump, &mut writer, &mut buf).await?;
            }
        }
        flush(pump, &mut writer, &mut buf).await?;
    }
}

/// Writes the buffer; a peer that takes no bytes counts as silent.
async fn flush(pump: &Pump, writer: &mut OwnedWriteHalf, buf: &mut BytesMut) -> Result<()> {
    while !buf.is_empty() {
        let written = timeout(pump.heartbeat_timeout, writer.write_buf(buf)).await;
        let len = written.map_err(|_| Error::Silent)??;
        if len == 0 {
            return Err(Error::Closed);
        }
        pump.traffic.writes.increment(1);
        pump.traffic.bytes_sent.increment(len as u64);
    }
    Ok(())
}

/// Tells the peer that nothing follows, and leaves it to the peer to close.
async fn finish(mut writer: OwnedWriteHalf) -> Result<()> {
    writer.shutdown().await?;
    pending().await
}
