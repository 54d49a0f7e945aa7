//! The fault-injecting proxy, for HTTP to an engine and for datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use sesamehaven_system_tests::proxy::{Proxy, Transport};
use sesamehaven_system_tests::{Fleet, Http, Result};

/// The time without data after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

async fn start_engine_behind_proxy(fleet: &mut Fleet) -> Result<(Proxy, SocketAddr)> {
    let engine = fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await?;
    let proxy = Proxy::start(fleet, "proxy").await?;
    let route = proxy.add_route("engine", Transport::Tcp, None).await?;
    proxy.set_target("engine", engine).await?;
    Ok((proxy, route))
}

fn completions_url(route: SocketAddr) -> String {
    format!("http://{route}/v1/completions")
}

fn streamed_request() -> String {
    json!({ "prompt": "a", "max_tokens": 20, "stream": true }).to_string()
}

#[actix_rt::test]
async fn existing_connections_can_be_silenced_while_new_ones_work() {
    let mut fleet = Fleet::new().await.unwrap();
    let (proxy, route) = start_engine_behind_proxy(&mut fleet).await.unwrap();
    let mut stream = fleet
        .http
        .open("POST", &completions_url(route), &[], streamed_request())
        .await
        .unwrap();
    assert!(stream.next_chunk().await.unwrap().is_some());

    let silence = json!({ "scope": "existing", "silent": "to_caller" });
    proxy.set_faults(&silence).await.unwrap();
    let rest = timeout(SILENCE_TIMEOUT, async {
        while stream.next_chunk().await.unwrap().is_some() {}
    });
    assert!(
        rest.await.is_err(),
        "a silent connection delivered the rest of the answer"
    );

    let new_client = Http::new();
    let response = new_client
        .send("POST", &completions_url(route), &[], streamed_request())
        .await
        .unwrap();
    assert!(response.text().ends_with("data: [DONE]\n\n"));

    let restore = json!({ "scope": "existing", "silent": "none" });
    proxy.set_faults(&restore).await.unwrap();
    let rest = stream.rest().await.unwrap();
    assert!(
        rest.ends_with(b"data: [DONE]\n\n"),
        "the delayed answer is incomplete"
    );
}

#[actix_rt::test]
async fn cut_connections_fail() {
    let mut fleet = Fleet::new().await.unwrap();
    let (proxy, route) = start_engine_behind_proxy(&mut fleet).await.unwrap();
    let mut stream = fleet
        .http
        .open("POST", &completions_url(route), &[], streamed_request())
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
async fn datagrams_can_be_dropped_in_one_direction_and_duplicated() {
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
    let (len, source) = target.recv_from(&mut buf).await.unwrap();
    assert_eq!(&buf[..len], b"ping");

    proxy
        .set_faults(&json!({ "silent": "to_target" }))
        .await
        .unwrap();
    caller.send(b"lost").await.unwrap();
    target.send_to(b"pong", source).await.unwrap();
    let len = caller.recv(&mut buf).await.unwrap();
    assert_eq!(&buf[..len], b"pong");
    assert!(
        timeout(SILENCE_TIMEOUT, target.recv_from(&mut buf))
            .await
            .is_err()
    );

    let duplicate = json!({ "silent": "none", "duplicate_percent": 100.0 });
    proxy.set_faults(&duplicate).await.unwrap();
    caller.send(b"twice").await.unwrap();
    for _ in 0..2 {
        let (len, _) = target.recv_from(&mut buf).await.unwrap();
        assert_eq!(&buf[..len], b"twice");
    }
}
