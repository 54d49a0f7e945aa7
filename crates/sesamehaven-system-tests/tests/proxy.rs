//! The fault-injecting proxy between a test and an engine, and between sockets.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use sesamehaven_system_tests::proxy::{Proxy, Transport};
use sesamehaven_system_tests::{Fleet, Http, Result};

/// How long a silence has to last to be believed.
const SILENCE: Duration = Duration::from_millis(150);

async fn engine_behind_proxy(fleet: &mut Fleet) -> Result<(Proxy, SocketAddr)> {
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await?;
    let proxy = Proxy::start(fleet, "proxy").await?;
    let route = proxy.add_route("engine", Transport::Tcp, None).await?;
    proxy.set_target("engine", engine).await?;
    Ok((proxy, route))
}

fn url(route: SocketAddr) -> String {
    format!("http://{route}/v1/completions")
}

fn body() -> String {
    json!({ "prompt": "a", "max_tokens": 20, "stream": true }).to_string()
}

#[actix_rt::test]
async fn existing_connections_go_silent_while_new_ones_work() {
    let mut fleet = Fleet::new().await.unwrap();
    let (proxy, route) = engine_behind_proxy(&mut fleet).await.unwrap();
    let mut stream = fleet
        .http
        .open("POST", &url(route), &[], body())
        .await
        .unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());

    let silence = json!({ "scope": "existing", "silent": "to_caller" });
    proxy.set_faults(&silence).await.unwrap();
    let rest = timeout(SILENCE, async {
        while stream.next_chunk().await.unwrap().is_some() {}
    });
    assert!(rest.await.is_err(), "a silent connection delivered its end");

    let other = Http::new();
    let whole = other.send("POST", &url(route), &[], body()).await.unwrap();
    assert!(whole.text().ends_with("data: [DONE]\n\n"));

    let lift = json!({ "scope": "existing", "silent": "none" });
    proxy.set_faults(&lift).await.unwrap();
    let late = stream.rest().await.unwrap();
    assert!(
        late.ends_with(b"data: [DONE]\n\n"),
        "held bytes arrive late, whole"
    );
}

#[actix_rt::test]
async fn cut_connections_break_off() {
    let mut fleet = Fleet::new().await.unwrap();
    let (proxy, route) = engine_behind_proxy(&mut fleet).await.unwrap();
    let mut stream = fleet
        .http
        .open("POST", &url(route), &[], body())
        .await
        .unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());
    proxy
        .set_faults(&json!({ "route": "engine", "cut": true }))
        .await
        .unwrap();
    assert!(stream.rest().await.is_err());
}

#[actix_rt::test]
async fn datagrams_are_lost_in_one_direction_only() {
    let mut fleet = Fleet::new().await.unwrap();
    let proxy = Proxy::start(&mut fleet, "proxy").await.unwrap();
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let caller = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = target.local_addr().unwrap();
    let route = proxy
        .add_route("udp", Transport::Udp, Some(address))
        .await
        .unwrap();
    caller.connect(route).await.unwrap();

    let mut buf = [0; 16];
    caller.send(b"ping").await.unwrap();
    let (len, flow) = target.recv_from(&mut buf).await.unwrap();
    assert_eq!(&buf[..len], b"ping");

    proxy
        .set_faults(&json!({ "silent": "to_target" }))
        .await
        .unwrap();
    caller.send(b"lost").await.unwrap();
    target.send_to(b"pong", flow).await.unwrap();
    let len = caller.recv(&mut buf).await.unwrap();
    assert_eq!(&buf[..len], b"pong");
    assert!(timeout(SILENCE, target.recv_from(&mut buf)).await.is_err());

    let twice = json!({ "silent": "none", "duplicate_percent": 100.0 });
    proxy.set_faults(&twice).await.unwrap();
    caller.send(b"twice").await.unwrap();
    for _ in 0..2 {
        let (len, _) = target.recv_from(&mut buf).await.unwrap();
        assert_eq!(&buf[..len], b"twice");
    }
}
