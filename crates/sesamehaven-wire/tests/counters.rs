//! Links, failed handshakes and dropped reports are counted under the right labels.
#![allow(clippy::unwrap_used)] // The helpers run only in tests.

mod common;

use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use sesamehaven_wire::message::Frame;
use sesamehaven_wire::{LinkConfig, ReportReceiver, accept};

use common::{agent_config, chunk, connect_both, entry_config, link_pair, listener};

/// Sends `bytes` to an accepting agent and expects the handshake to fail.
async fn fail_handshake(bytes: &[u8]) {
    let (listener, addr) = listener().await;
    let mut peer = TcpStream::connect(addr).await.unwrap();
    peer.write_all(bytes).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    accept(stream, &agent_config(Some(1))).await.unwrap_err();
}

// There is only one test because the counters are global to the process.
#[tokio::test]
async fn counts_link_events_and_dropped_reports() {
    let metrics = PrometheusBuilder::new().install_recorder().unwrap();
    fail_handshake(&[255; 64]).await;
    fail_handshake(&[4, 0, 0, 0, 200, 200, 200, 200]).await;
    fail_handshake(&[3, 0, 0, 0, 0, 9, 9]).await;

    let (listener, addr) = listener().await;
    let (opened, _) = connect_both(
        &listener,
        addr,
        &entry_config(Some(1)),
        &agent_config(Some(2)),
    )
    .await;
    opened.unwrap_err();

    let small_frames = LinkConfig {
        max_frame_bytes: 1_000,
        ..agent_config(Some(1))
    };
    let (entry, mut agent) = link_pair(&entry_config(Some(1)), &small_frames).await;
    agent.tx.try_send(chunk(1, 0, 2_000)).unwrap_err();
    entry.tx.send(Frame::Leaving).await.unwrap();
    assert_eq!(agent.rx.recv().await, Some(Frame::Leaving));
    drop(entry);
    agent.closed.wait().await;

    let mut reports = ReportReceiver::bind("127.0.0.1:0".parse().unwrap(), None)
        .await
        .unwrap();
    let noise = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    noise
        .send_to(&[1; 40], reports.local_addr().unwrap())
        .await
        .unwrap();
    let dropped = "reports_dropped_total{reason=\"forged\"} 1";
    let wait_for_count = async {
        while !metrics.render().contains(dropped) {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = wait_for_count => {}
        report = reports.recv() => panic!("noise was decoded as {report:?}"),
    }

    let text = metrics.render();
    for line in [
        "link_handshakes_failed_total{reason=\"oversized\"} 1",
        "link_handshakes_failed_total{reason=\"malformed\"} 1",
        "link_handshakes_failed_total{reason=\"version\"} 1",
        "links_opened_total{side=\"dialler\"} 1",
        "link_frames_oversized_total 1",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    assert!(text.contains("link_handshakes_failed_total{reason=\"unproved\"}"));
    assert!(text.contains("links_closed_total"));
}
