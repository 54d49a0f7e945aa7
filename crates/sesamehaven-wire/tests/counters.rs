//! Every refusal is counted under its reason.
#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use sesamehaven_wire::message::Frame;
use sesamehaven_wire::{LinkConfig, ReportReceiver, accept};

use common::{agent, chunk, dial, entry, listener, pair};

async fn refuse(bytes: &[u8]) {
    let (listener, addr) = listener().await;
    let mut peer = TcpStream::connect(addr).await.unwrap();
    peer.write_all(bytes).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    accept(stream, &agent(Some(1))).await.unwrap_err();
}

// One test only, since the counters are those of the whole process.
#[tokio::test]
async fn counts_what_happens_on_links() {
    let metrics = PrometheusBuilder::new().install_recorder().unwrap();
    refuse(&[255; 64]).await;
    refuse(&[4, 0, 0, 0, 200, 200, 200, 200]).await;
    refuse(&[3, 0, 0, 0, 0, 9, 9]).await;

    let (listener, addr) = listener().await;
    let (opened, _) = dial(&listener, addr, &entry(Some(1)), &agent(Some(2))).await;
    opened.unwrap_err();

    let narrow = LinkConfig {
        max_frame_bytes: 1_000,
        ..agent(Some(1))
    };
    let (near, mut far) = pair(&entry(Some(1)), &narrow).await;
    far.tx.try_send(chunk(1, 0, 2_000)).unwrap_err();
    near.tx.send(Frame::Leaving).await.unwrap();
    assert_eq!(far.rx.recv().await, Some(Frame::Leaving));
    drop(near);
    far.closed.wait().await;

    let mut reports = ReportReceiver::bind("127.0.0.1:0".parse().unwrap(), None)
        .await
        .unwrap();
    let noise = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    noise
        .send_to(&[1; 40], reports.local_addr().unwrap())
        .await
        .unwrap();
    let dropped = "reports_dropped_total{reason=\"forged\"} 1";
    let counted = async {
        while !metrics.render().contains(dropped) {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = counted => {}
        report = reports.recv() => panic!("noise was taken for {report:?}"),
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
