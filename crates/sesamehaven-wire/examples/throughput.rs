//! Measures frames a second, and processor time for each, on one link over loopback.
//!
//! `cargo run --release -p sesamehaven-wire --example throughput`
//!
//! Three rates are measured: as fast as possible, 50,000 and 3,000 frames a
//! second. At low rates a frame costs more, since fewer share a system call.

use std::error::Error;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::oneshot;

use sesamehaven::id::{Incarnation, RequestId};
use sesamehaven_wire::message::{Frame, Role, ToEntry};
use sesamehaven_wire::{Identity, LinkConfig, Psk, accept, connect};

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

const CHUNK_BYTES: usize = 16;
const STREAMS: u64 = 200;
const TICK: Duration = Duration::from_millis(1);

/// How many frames are sent, and how many in each millisecond at the most.
#[derive(Clone, Copy)]
struct Load {
    frames: u64,
    frames_per_tick: u64,
}

const LOADS: [Load; 3] = [
    Load {
        frames: 1_000_000,
        frames_per_tick: u64::MAX,
    },
    Load {
        frames: 150_000,
        frames_per_tick: 50,
    },
    Load {
        frames: 9_000,
        frames_per_tick: 3,
    },
];

fn config(role: Role, psk: Option<Psk>) -> Outcome<LinkConfig> {
    let me = Identity {
        role,
        name: "bench".parse()?,
        data_centre: "loopback".parse()?,
        incarnation: Incarnation(1),
    };
    Ok(LinkConfig {
        psk,
        ..LinkConfig::new(me, Default::default())
    })
}

/// Returns the processor time of this thread in nanoseconds.
fn processor_ns() -> Outcome<u64> {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = stat.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

fn runtime() -> Outcome<runtime::Runtime> {
    Ok(runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}

/// Sends chunks of many streams and returns the processor time that it took.
async fn send(cfg: LinkConfig, load: Load, addr: oneshot::Sender<SocketAddr>) -> Outcome<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let local = listener.local_addr()?;
    addr.send(local).map_err(|_| "the receiver is gone")?;
    let link = accept(listener.accept().await?.0, &cfg).await?;
    let data = Bytes::from_static(&[b'x'; CHUNK_BYTES]);
    let started = processor_ns()?;
    let mut ticks = tokio::time::interval(TICK);
    for count in 0..load.frames {
        if count % load.frames_per_tick == 0 {
            ticks.tick().await;
        }
        let request = RequestId::new(Incarnation(1), 0, u32::try_from(count % STREAMS)?);
        let chunk = ToEntry::Chunk {
            seq: count / STREAMS,
            data: data.clone(),
        };
        link.tx.send(Frame::Reply(request, chunk)).await?;
    }
    let mut link = link;
    // The receiver closes when it has counted all.
    link.closed.wait().await;
    Ok(processor_ns()? - started)
}

/// Counts frames and returns the time and the processor time that it took.
async fn receive(cfg: LinkConfig, frames: u64, addr: SocketAddr) -> Outcome<(f64, u64)> {
    let mut link = connect(addr, &cfg).await?;
    let started = Instant::now();
    let processor = processor_ns()?;
    for _ in 0..frames {
        link.rx.recv().await.ok_or("the link closed early")?;
    }
    Ok((started.elapsed().as_secs_f64(), processor_ns()? - processor))
}

fn measure(psk: Option<Psk>, load: Load) -> Outcome<()> {
    let frames = load.frames;
    let label = if psk.is_some() { "sealed" } else { "open" };
    let (addr_tx, addr_rx) = oneshot::channel();
    let agent = config(Role::Agent, psk.clone())?;
    let entry = config(Role::Entry, psk)?;
    let sender = thread::spawn(move || runtime()?.block_on(send(agent, load, addr_tx)));
    let (secs, received_ns) = runtime()?.block_on(async {
        let addr = addr_rx.await?;
        receive(entry, frames, addr).await
    })?;
    let sent_ns = sender.join().map_err(|_| "the sender panicked")??;
    println!(
        "{label}: {:.0} frames/s; processor time for each frame: sender {} ns, receiver {} ns",
        frames as f64 / secs,
        sent_ns / frames,
        received_ns / frames,
    );
    Ok(())
}

fn main() -> Outcome<()> {
    println!("chunks of {CHUNK_BYTES} B on {STREAMS} streams of one link");
    for load in LOADS {
        measure(None, load)?;
        measure(Some(Psk::new([1; 32])), load)?;
    }
    Ok(())
}
