//! The proxy's way with datagrams.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::proxy::{ConnectionControl, Direction, Route};

const DATAGRAM_MAX_BYTES: usize = 65_536;

/// The datagrams of one caller, which reach the target from a port of their own.
struct Flow {
    socket: Arc<UdpSocket>,
    control: watch::Receiver<ConnectionControl>,
}

/// Passes datagrams of a route on for ever.
pub async fn relay(route: Arc<Route>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut flows: HashMap<SocketAddr, Flow> = HashMap::new();
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((len, caller)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        if flows.get(&caller).is_some_and(|f| f.control.borrow().cut) {
            flows.remove(&caller);
        }
        if let Entry::Vacant(vacant) = flows.entry(caller) {
            let Ok(Some(flow)) = open(&route, &socket, caller).await else {
                continue;
            };
            vacant.insert(flow);
        }
        let (Some(flow), Some(target)) = (flows.get(&caller), route.target()) else {
            continue;
        };
        let datagram = Bytes::copy_from_slice(&buf[..len]);
        let path = (flow.socket.clone(), target);
        send(&route, &flow.control, Direction::ToTarget, path, datagram);
    }
}

async fn open(
    route: &Arc<Route>,
    socket: &Arc<UdpSocket>,
    caller: SocketAddr,
) -> io::Result<Option<Flow>> {
    let Some(control) = route.admit() else {
        return Ok(None);
    };
    let own = Arc::new(UdpSocket::bind((caller.ip(), 0)).await?);
    actix_rt::spawn(relay_back(
        route.clone(),
        own.clone(),
        control.clone(),
        (socket.clone(), caller),
    ));
    Ok(Some(Flow {
        socket: own,
        control,
    }))
}

async fn relay_back(
    route: Arc<Route>,
    own: Arc<UdpSocket>,
    mut control: watch::Receiver<ConnectionControl>,
    path: (Arc<UdpSocket>, SocketAddr),
) {
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let received = tokio::select! {
            received = own.recv(&mut buf) => received,
            _ = control.wait_for(|control| control.cut) => return,
        };
        if let Ok(len) = received {
            let datagram = Bytes::copy_from_slice(&buf[..len]);
            send(
                &route,
                &control,
                Direction::ToCaller,
                path.clone(),
                datagram,
            );
        }
    }
}

/// Sends a datagram on, by the faults of its flow; a silent flow loses it.
fn send(
    route: &Arc<Route>,
    control: &watch::Receiver<ConnectionControl>,
    direction: Direction,
    (socket, address): (Arc<UdpSocket>, SocketAddr),
    datagram: Bytes,
) {
    let faults = control.borrow().faults;
    if faults.silent.contains(direction) {
        return;
    }
    let delivery = route.delivery(&faults);
    actix_rt::spawn(async move {
        if !delivery.delay.is_zero() {
            sleep(delivery.delay).await;
        }
        for _ in 0..delivery.copies {
            let _ = socket.send_to(&datagram, address).await;
        }
    });
}
