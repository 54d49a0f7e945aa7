//! TCP forwarding of the proxy.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::proxy::{ConnectionControl, Direction, Route};

const READ_BYTES: usize = 16 << 10;
/// The maximum number of delayed chunks per direction; reading pauses beyond it.
const DELAYED_CHUNKS_MAX: usize = 256;

/// Accepts the connections of a route; never returns.
pub async fn accept(route: Arc<Route>, listener: TcpListener) {
    loop {
        if let Ok((caller, _)) = listener.accept().await {
            actix_rt::spawn(forward(route.clone(), caller));
        }
    }
}

/// Forwards one connection until it ends or is cut.
async fn forward(route: Arc<Route>, caller: TcpStream) -> io::Result<()> {
    let (Some(mut control), Some(address)) = (route.admit(), route.target()) else {
        return Ok(());
    };
    let target = TcpStream::connect(address).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let forth = pump(from_caller, to_target, control.clone(), Direction::ToTarget);
    let back = pump(from_target, to_caller, control.clone(), Direction::ToCaller);
    tokio::select! {
        ended = async { tokio::try_join!(forth, back) } => ended.map(|_| ()),
        _ = control.wait_for(|control| control.cut) => Ok(()),
    }
}

/// Forwards one direction in chunks, each delayed by the delay in force when its read began.
async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    control: watch::Receiver<ConnectionControl>,
    direction: Direction,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(DELAYED_CHUNKS_MAX);
    let reader = read(from, tx, control.clone(), direction);
    let writer = write(to, rx, control, direction);
    tokio::try_join!(reader, writer).map(|_| ())
}

async fn read(
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Bytes)>,
    mut control: watch::Receiver<ConnectionControl>,
    direction: Direction,
) -> io::Result<()> {
    loop {
        let delay = wait_until_unblocked(&mut control, direction)
            .await
            .faults
            .delay();
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        if from.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
        if tx
            .send((Instant::now() + delay, buf.freeze()))
            .await
            .is_err()
        {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    mut control: watch::Receiver<ConnectionControl>,
    direction: Direction,
) -> io::Result<()> {
    while let Some((due, chunk)) = rx.recv().await {
        sleep_until(due).await;
        wait_until_unblocked(&mut control, direction).await;
        to.write_all(&chunk).await?;
    }
    wait_until_unblocked(&mut control, direction).await;
    to.shutdown().await
}

/// Waits until a direction is not blocked and returns the control then in force;
/// waits forever if the sender of control changes is gone.
async fn wait_until_unblocked(
    control: &mut watch::Receiver<ConnectionControl>,
    direction: Direction,
) -> ConnectionControl {
    let unblocked = control
        .wait_for(|control| !control.faults.silent.contains(direction))
        .await;
    match unblocked {
        Ok(control) => *control,
        Err(_) => std::future::pending().await,
    }
}
