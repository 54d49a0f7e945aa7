//! Properties of reading responses that are split, truncated or damaged at any position.
//!
//! A truncated response must never look complete, and bytes after a response must
//! not become part of it.

#![allow(clippy::unwrap_used)] // The helpers run only in tests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use sesamehaven_wire::http1::{Connection, Error};

const TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum length of a body, in bytes.
const BODY_MAX_BYTES: usize = 1 << 16;

/// Starts an endpoint that answers the first request with `parts`, one write each, and closes.
fn endpoint_with(parts: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut io, _) = listener.accept().unwrap();
        io.set_nodelay(true).unwrap();
        let mut head = [0; 1024];
        let _ = loop {
            match io.read(&mut head) {
                Err(err) if err.kind() == std::io::ErrorKind::Interrupted => {}
                read => break read.unwrap(),
            }
        };
        for part in parts {
            // The client may close before the last part.
            if io.write_all(&part).is_err() {
                return;
            }
        }
    });
    address
}

/// Sends a request and returns the response body and whether the connection is reusable.
fn exchange(parts: Vec<Vec<u8>>) -> Result<(Bytes, bool), Error> {
    let address = endpoint_with(parts);
    actix_rt::System::new().block_on(async move {
        let mut conn = Connection::open(address, TIMEOUT).await.unwrap();
        let head = Bytes::from_static(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        conn.send(head, Bytes::new());
        let read = async {
            let head = conn.read_head(&http::Method::GET).await?;
            let body = conn.read_body(BODY_MAX_BYTES).await?;
            conn.finish(&head);
            Ok((body, conn.is_reusable()))
        };
        tokio::time::timeout(TIMEOUT, read)
            .await
            .expect("the exchange ends in time")
    })
}

/// Builds a response with a chunked body.
fn chunked_response(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for chunk in chunks {
        response.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        response.extend_from_slice(chunk);
        response.extend_from_slice(b"\r\n");
    }
    response.extend_from_slice(b"0\r\n\r\n");
    response
}

/// Builds a response with a content-length header.
fn sized_response(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Generates the non-empty chunks of a body.
fn body_chunks() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let chunk = prop::collection::vec(any::<u8>(), 1..40);
    prop::collection::vec(chunk, 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn a_response_is_read_completely_however_it_is_split(
        body in body_chunks(),
        is_chunked in any::<bool>(),
        part_len in 1_usize..30,
    ) {
        let complete_body = body.concat();
        let response = if is_chunked { chunked_response(&body) } else { sized_response(&complete_body) };
        let parts = response.chunks(part_len).map(<[u8]>::to_vec).collect();
        let (read, is_reusable) = exchange(parts).unwrap();
        prop_assert_eq!(&read[..], &complete_body[..]);
        prop_assert!(is_reusable);
    }

    #[test]
    fn a_truncated_response_is_never_complete(
        body in body_chunks(),
        is_chunked in any::<bool>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let response = if is_chunked { chunked_response(&body) } else { sized_response(&body.concat()) };
        let cut = cut.index(response.len());
        let read = exchange(vec![response[..cut].to_vec()]);
        prop_assert!(read.is_err(), "cut at {} of {}: {:?}", cut, response.len(), read);
    }

    #[test]
    fn bytes_after_a_response_are_not_part_of_its_body(
        body in body_chunks(),
        is_chunked in any::<bool>(),
        more in prop::collection::vec(any::<u8>(), 1..40),
    ) {
        let complete_body = body.concat();
        let mut response = if is_chunked { chunked_response(&body) } else { sized_response(&complete_body) };
        response.extend_from_slice(&more);
        let (read, _) = exchange(vec![response]).unwrap();
        prop_assert_eq!(&read[..], &complete_body[..]);
    }

    #[test]
    fn a_damaged_response_causes_no_panic_or_hang(
        body in body_chunks(),
        is_chunked in any::<bool>(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut response = if is_chunked { chunked_response(&body) } else { sized_response(&body.concat()) };
        let at = at.index(response.len());
        response[at] = byte;
        // Both success and an error are valid; a panic or a hang is not.
        let _ = exchange(vec![response]);
    }
}
