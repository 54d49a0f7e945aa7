//! Answers cut, split and damaged at any place: nothing is joined, and nothing cut looks whole.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use sesamehaven_wire::http1::{Connection, Error};

const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest body that is read, in bytes.
const BODY_MAX: usize = 1 << 16;

/// Answers the first request with these parts, and closes.
fn answering(parts: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut io, _) = listener.accept().unwrap();
        io.set_nodelay(true).unwrap();
        let mut head = [0; 1024];
        let _ = io.read(&mut head).unwrap();
        for part in parts {
            // The client closes as soon as it has seen enough.
            if io.write_all(&part).is_err() {
                return;
            }
        }
    });
    address
}

/// Sends a request and reads the answer; returns its body, and whether the connection is kept.
fn exchange(parts: Vec<Vec<u8>>) -> Result<(Bytes, bool), Error> {
    let address = answering(parts);
    actix_rt::System::new().block_on(async move {
        let mut conn = Connection::open(address, TIMEOUT).await.unwrap();
        let head = Bytes::from_static(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        conn.send(head, Bytes::new());
        let read = async {
            let head = conn.read_head(&http::Method::GET).await?;
            let body = conn.read_body(BODY_MAX).await?;
            conn.finish(&head);
            Ok((body, conn.is_reusable()))
        };
        tokio::time::timeout(TIMEOUT, read).await.expect("an end")
    })
}

fn chunked(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for chunk in chunks {
        answer.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        answer.extend_from_slice(chunk);
        answer.extend_from_slice(b"\r\n");
    }
    answer.extend_from_slice(b"0\r\n\r\n");
    answer
}

fn with_length(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Draws the chunks of a body, none of them empty.
fn chunks() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let chunk = prop::collection::vec(any::<u8>(), 1..40);
    prop::collection::vec(chunk, 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn an_answer_reads_the_same_however_it_is_split(
        body in chunks(),
        is_chunked in any::<bool>(),
        size in 1_usize..30,
    ) {
        let whole = body.concat();
        let answer = if is_chunked { chunked(&body) } else { with_length(&whole) };
        let parts = answer.chunks(size).map(<[u8]>::to_vec).collect();
        let (read, is_kept) = exchange(parts).unwrap();
        prop_assert_eq!(&read[..], &whole[..]);
        prop_assert!(is_kept);
    }

    #[test]
    fn an_answer_that_is_cut_is_never_whole(
        body in chunks(),
        is_chunked in any::<bool>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let answer = if is_chunked { chunked(&body) } else { with_length(&body.concat()) };
        let cut = cut.index(answer.len());
        let read = exchange(vec![answer[..cut].to_vec()]);
        prop_assert!(read.is_err(), "cut at {} of {}: {:?}", cut, answer.len(), read);
    }

    #[test]
    fn what_follows_an_answer_belongs_to_no_request(
        body in chunks(),
        is_chunked in any::<bool>(),
        more in prop::collection::vec(any::<u8>(), 1..40),
    ) {
        let whole = body.concat();
        let mut answer = if is_chunked { chunked(&body) } else { with_length(&whole) };
        answer.extend_from_slice(&more);
        let (read, _) = exchange(vec![answer]).unwrap();
        prop_assert_eq!(&read[..], &whole[..]);
    }

    #[test]
    fn a_damaged_answer_ends_without_a_panic(
        body in chunks(),
        is_chunked in any::<bool>(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut answer = if is_chunked { chunked(&body) } else { with_length(&body.concat()) };
        let at = at.index(answer.len());
        answer[at] = byte;
        // Either outcome is right; a panic or a read without end is not.
        let _ = exchange(vec![answer]);
    }
}
