//! Measures the frame rate and the CPU time per frame of one link over loopback.
//!
//! `cargo run --release -p sesamehaven-wire --example throughput`
//!
//! Three rates are measured: the maximum, 50,000 and 3,000 frames per second. At
//! low rates a frame costs more CPU time, since fewer frames share a system call.

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

type BoxResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

const CHUNK_BYTES: usize = 16;
const STREAMS: u64 = 200;

/// The period in which a rate-limited sender sends its share of frames.
const TICK: Duration = Duration::from_millis(1);

/// The total number of frames to send and the maximum per [`TICK`].
#[derive(Clone, Copy)]
struct Workload {
    frames: u64,
    frames_per_tick: u64,
}

const WORKLOADS: [Workload; 3] = [
    Workload {
        frames: 1_000_000,
        frames_per_tick: u64::MAX,
    },
    Workload {
        frames: 150_000,
        frames_per_tick: 50,
    },
    Workload {
        frames: 9_000,
        frames_per_tick: 3,
    },
];

fn config(role: Role, psk: Option<Psk>) -> BoxResult<LinkConfig> {
    let identity = Identity {
        role,
        name: "bench".parse()?,
        data_centre: "loopback".parse()?,
        incarnation: Incarnation(1),
    };
    Ok(LinkConfig {
        psk,
        ..LinkConfig::new(identity, Default::default())
    })
}

/// Returns the CPU time of this thread in nanoseconds.
fn cpu_time_ns() -> BoxResult<u64> {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = stat.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

fn runtime() -> BoxResult<runtime::Runtime> {
    Ok(runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}

/// Sends chunks of many streams and returns the CPU time in nanoseconds.
async fn send(
    cfg: LinkConfig,
    workload: Workload,
    addr: oneshot::Sender<SocketAddr>,
) -> BoxResult<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let local = listener.local_addr()?;
    addr.send(local).map_err(|_| "the receiver is gone")?;
    let link = accept(listener.accept().await?.0, &cfg).await?;
    let data = Bytes::from_static(&[b'x'; CHUNK_BYTES]);
    let started = cpu_time_ns()?;
    let mut ticks = tokio::time::interval(TICK);
    for count in 0..workload.frames {
        if count % workload.frames_per_tick == 0 {
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
    // The receiver closes the link once it has received all frames.
    link.closed.wait().await;
    Ok(cpu_time_ns()? - started)
}

/// Receives frames and returns the elapsed seconds and the CPU time in nanoseconds.
async fn receive(cfg: LinkConfig, frames: u64, addr: SocketAddr) -> BoxResult<(f64, u64)> {
    let mut link = connect(addr, &cfg).await?;
    let started = Instant::now();
    let cpu_started_ns = cpu_time_ns()?;
    for _ in 0..frames {
        link.rx.recv().await.ok_or("the link closed early")?;
    }
    Ok((
        started.elapsed().as_secs_f64(),
        cpu_time_ns()? - cpu_started_ns,
    ))
}

fn measure(psk: Option<Psk>, workload: Workload) -> BoxResult<()> {
    let frames = workload.frames;
    let label = if psk.is_some() { "sealed" } else { "open" };
    let (addr_tx, addr_rx) = oneshot::channel();
    let agent = config(Role::Agent, psk.clone())?;
    let entry = config(Role::Entry, psk)?;
    let sender = thread::spawn(move || runtime()?.block_on(send(agent, workload, addr_tx)));
    let (secs, received_ns) = runtime()?.block_on(async {
        let addr = addr_rx.await?;
        receive(entry, frames, addr).await
    })?;
    let sent_ns = sender.join().map_err(|_| "the sender panicked")??;
    println!(
        "{label}: {:.0} frames/s; CPU time per frame: sender {} ns, receiver {} ns",
        frames as f64 / secs,
        sent_ns / frames,
        received_ns / frames,
    );
    Ok(())
}

fn main() -> BoxResult<()> {
    println!("chunks of {CHUNK_BYTES} B on {STREAMS} streams of one link");
    for workload in WORKLOADS {
        measure(None, workload)?;
        measure(Some(Psk::new([1; 32])), workload)?;
    }
    Ok(())
}
