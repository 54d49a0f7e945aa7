//! Flow control of many streams on one link, one of which is read slowly or not at all.
#![allow(clippy::unwrap_used)] // The helpers run only in tests.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::timeout;

use sesamehaven::id::RequestId;
use sesamehaven_wire::message::{Frame, ToAgent, ToEntry};
use sesamehaven_wire::{Link, Sender};

use common::{agent_config, chunk, entry_config, link_pair};

const STREAMS: u128 = 50;
const CHUNKS_PER_STREAM: u64 = 200;
const WINDOW_CHUNKS: u64 = 16;
const SLOW_STREAM: RequestId = RequestId(0);

/// Sends the chunks that the credit permits, as an agent does.
async fn serve_streams(link: Link) {
    let mut next = HashMap::new();
    let mut rx = link.rx;
    while let Some(frame) = rx.recv().await {
        let Frame::Request(request, ToAgent::Credit { window_end, .. }) = frame else {
            panic!("unexpected {frame:?}");
        };
        let next = next.entry(request).or_insert(0);
        while *next < window_end.min(CHUNKS_PER_STREAM) {
            link.tx.send(chunk(request.0, *next, 1_000)).await.unwrap();
            *next += 1;
        }
    }
}

async fn grant_credit(tx: &Sender, request: RequestId, acked: u64) {
    let window_end = acked + WINDOW_CHUNKS;
    let credit = ToAgent::Credit { acked, window_end };
    tx.send(Frame::Request(request, credit)).await.unwrap();
}

/// A reader that stops granting credit must not block the other streams of the link.
#[tokio::test]
async fn a_slow_reader_blocks_only_its_own_stream() {
    let (mut entry, agent) = link_pair(&entry_config(Some(1)), &agent_config(Some(1))).await;
    tokio::spawn(serve_streams(agent));
    for request in 0..STREAMS {
        grant_credit(&entry.tx, RequestId(request), 0).await;
    }
    let mut received = HashMap::new();
    let mut complete = 0;
    while complete < STREAMS - 1 || received.get(&SLOW_STREAM) != Some(&WINDOW_CHUNKS) {
        let frame = timeout(Duration::from_secs(20), entry.rx.recv())
            .await
            .unwrap();
        let Some(Frame::Reply(request, ToEntry::Chunk { seq, .. })) = frame else {
            panic!("unexpected {frame:?}");
        };
        let count = received.entry(request).or_insert(0);
        assert_eq!(seq, *count);
        *count += 1;
        complete += u128::from(*count == CHUNKS_PER_STREAM);
        if request != SLOW_STREAM {
            grant_credit(&entry.tx, request, *count).await;
        }
    }
    // The slow stream delivers the rest once it is granted credit.
    for seq in WINDOW_CHUNKS..CHUNKS_PER_STREAM {
        grant_credit(&entry.tx, SLOW_STREAM, seq).await;
        assert_eq!(entry.rx.recv().await, Some(chunk(0, seq, 1_000)));
    }
    assert!(entry.closed.reason().is_none());
}

/// The link of a process that consumes no frames is closed rather than buffered without bound.
#[tokio::test]
async fn an_unread_link_closes() {
    let mut cfg = entry_config(None);
    cfg.queue_frames = 4;
    let (mut entry, agent) = link_pair(&cfg, &agent_config(None)).await;
    let flood = tokio::spawn(async move {
        for seq in 0.. {
            if agent.tx.send(chunk(1, seq, 1_000)).await.is_err() {
                return;
            }
        }
    });
    let reason = timeout(Duration::from_secs(10), entry.closed.wait());
    assert!(["unread", "silent"].contains(&reason.await.unwrap().reason()));
    flood.await.unwrap();
}
