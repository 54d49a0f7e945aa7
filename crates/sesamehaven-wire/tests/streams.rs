//! Many streams on one link, one of which is read slowly or not at all.
#![allow(clippy::unwrap_used)] // The helpers run in tests only.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::timeout;

use sesamehaven::id::RequestId;
use sesamehaven_wire::message::{Frame, ToAgent, ToEntry};
use sesamehaven_wire::{Link, Sender};

use common::{agent, chunk, entry, pair};

const STREAMS: u128 = 50;
const CHUNKS: u64 = 200;
const WINDOW: u64 = 16;
const SLOW: RequestId = RequestId(0);

/// Sends the chunks that credit allows, as an agent does.
async fn serve(link: Link) {
    let mut next = HashMap::new();
    let mut rx = link.rx;
    while let Some(frame) = rx.recv().await {
        let Frame::Request(request, ToAgent::Credit { window_end, .. }) = frame else {
            panic!("unexpected {frame:?}");
        };
        let next = next.entry(request).or_insert(0);
        while *next < window_end.min(CHUNKS) {
            link.tx.send(chunk(request.0, *next, 1_000)).await.unwrap();
            *next += 1;
        }
    }
}

async fn allow(tx: &Sender, request: RequestId, acked: u64) {
    let window_end = acked + WINDOW;
    let credit = ToAgent::Credit { acked, window_end };
    tx.send(Frame::Request(request, credit)).await.unwrap();
}

/// Whoever takes in nothing more gives no credit, and so holds up nobody else.
#[tokio::test]
async fn a_slow_reader_stops_only_its_own_stream() {
    let (mut near, far) = pair(&entry(Some(1)), &agent(Some(1))).await;
    tokio::spawn(serve(far));
    for request in 0..STREAMS {
        allow(&near.tx, RequestId(request), 0).await;
    }
    let mut received = HashMap::new();
    let mut whole = 0;
    while whole < STREAMS - 1 || received.get(&SLOW) != Some(&WINDOW) {
        let frame = timeout(Duration::from_secs(20), near.rx.recv())
            .await
            .unwrap();
        let Some(Frame::Reply(request, ToEntry::Chunk { seq, .. })) = frame else {
            panic!("unexpected {frame:?}");
        };
        let count = received.entry(request).or_insert(0);
        assert_eq!(seq, *count);
        *count += 1;
        whole += u128::from(*count == CHUNKS);
        if request != SLOW {
            allow(&near.tx, request, *count).await;
        }
    }
    // Later on the slow one gets the rest.
    for seq in WINDOW..CHUNKS {
        allow(&near.tx, SLOW, seq).await;
        assert_eq!(near.rx.recv().await, Some(chunk(0, seq, 1_000)));
    }
    assert!(near.closed.reason().is_none());
}

/// A process that does not read the link at all is cut off, not buffered for.
#[tokio::test]
async fn an_unread_link_closes() {
    let mut cfg = entry(None);
    cfg.queue_frames = 4;
    let (mut near, far) = pair(&cfg, &agent(None)).await;
    let flood = tokio::spawn(async move {
        for seq in 0.. {
            if far.tx.send(chunk(1, seq, 1_000)).await.is_err() {
                return;
            }
        }
    });
    let reason = timeout(Duration::from_secs(10), near.closed.wait());
    assert!(["unread", "silent"].contains(&reason.await.unwrap().reason()));
    flood.await.unwrap();
}
