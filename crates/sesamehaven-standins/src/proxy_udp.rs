//! UDP forwarding of the proxy.

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

/// The datagrams of one caller, which are forwarded from a dedicated port.
struct Flow {
    socket: Arc<UdpSocket>,
    control: watch::Receiver<ConnectionControl>,
}

/// Forwards the datagrams of a route; never returns.
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
            let Ok(Some(flow)) = open_flow(&route, &socket, caller).await else {
                continue;
            };
            vacant.insert(flow);
        }
        let (Some(flow), Some(target)) = (flows.get(&caller), route.target()) else {
            continue;
        };
        let datagram = Bytes::copy_from_slice(&buf[..len]);
        let peer = (flow.socket.clone(), target);
        send(&route, &flow.control, Direction::ToTarget, peer, datagram);
    }
}

/// Opens the flow of a caller, unless the route refuses new ones.
async fn open_flow(
    route: &Arc<Route>,
    socket: &Arc<UdpSocket>,
    caller: SocketAddr,
) -> io::Result<Option<Flow>> {
    let Some(control) = route.admit() else {
        return Ok(None);
    };
    let flow_socket = Arc::new(UdpSocket::bind((caller.ip(), 0)).await?);
    actix_rt::spawn(relay_back(
        route.clone(),
        flow_socket.clone(),
        control.clone(),
        (socket.clone(), caller),
    ));
    Ok(Some(Flow {
        socket: flow_socket,
        control,
    }))
}

/// Forwards the datagrams from the target to the caller until the flow is cut.
async fn relay_back(
    route: Arc<Route>,
    flow_socket: Arc<UdpSocket>,
    mut control: watch::Receiver<ConnectionControl>,
    peer: (Arc<UdpSocket>, SocketAddr),
) {
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let received = tokio::select! {
            received = flow_socket.recv(&mut buf) => received,
            _ = control.wait_for(|control| control.cut) => return,
        };
        if let Ok(len) = received {
            let datagram = Bytes::copy_from_slice(&buf[..len]);
            send(
                &route,
                &control,
                Direction::ToCaller,
                peer.clone(),
                datagram,
            );
        }
    }
}

/// Forwards a datagram according to the faults of its flow; a blocked direction loses it.
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
