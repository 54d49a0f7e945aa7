//! An HTTP/1.1 client for endpoints and the platform.
//!
//! To distinguish requests that did not run from those that may have run, a
//! scheduler has to observe whether any byte of a request was sent, read a
//! response that arrives before the request body has been sent, and detect a
//! response that belongs to another request. General-purpose clients hide all
//! three; see
//! [`docs/FRONT.md`](../../../docs/FRONT.md#the-client-towards-endpoints).

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Version};
use quick_error::quick_error;
use smallvec::SmallVec;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::chunked::ChunkedDecoder;

/// The result type of HTTP exchanges.
pub type Result<T> = std::result::Result<T, Error>;

/// The maximum length of a response head, in bytes.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The maximum number of header fields in a response.
const HEADERS_MAX: usize = 64;
/// The valid status codes, according to RFC 9110.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// The buffer space reserved for a read, in bytes; events of a stream are far smaller.
const READ_BYTES: usize = 8 << 10;
/// The time after which a connection with unacknowledged data or probes is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// The idle time before the first keep-alive probe and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// An error that prevented a complete response.
    #[derive(Debug)]
    pub enum Error {
        /// The connection returned an I/O error.
        Io(err: io::Error) {
            from()
            source(err)
            display("connection error: {err}")
        }
        /// The connection closed before the response was complete.
        Truncated {
            display("connection closed before the response was complete")
        }
        /// The received bytes are not a valid HTTP/1.1 response.
        Malformed(what: &'static str) {
            display("malformed response: {what}")
        }
    }
}

impl Error {
    /// Returns whether the peer sent bytes that are not a valid response.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Error::Malformed(_))
    }
}

/// The status and header fields of a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// The status code.
    pub status: StatusCode,
    /// The header fields, in the order received.
    pub headers: HeaderMap,
    version: Version,
}

impl Head {
    /// Returns the value of a header field if it is visible ASCII text.
    pub fn header_str(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns whether the peer will close the connection after this response.
    pub fn closes_connection(&self) -> bool {
        let close = |v: &HeaderValue| {
            let text = v.to_str().unwrap_or_default();
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        };
        self.version != Version::HTTP_11 || self.headers.get_all(CONNECTION).iter().any(close)
    }
}

/// The framing of a response body.
#[derive(Debug)]
enum Framing {
    Length(u64),
    Chunked(ChunkedDecoder),
    /// The body extends until the peer closes the connection in order.
    UntilClose,
    Done,
}

/// Is notified when bytes arrive on a connection.
pub trait ReceiveObserver {
    /// At least one byte has arrived.
    fn on_received(&self);
}

impl ReceiveObserver for () {
    fn on_received(&self) {}
}

/// A client connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection<O = ()> {
    io: TcpStream,
    observer: O,
    buf: BytesMut,
    outgoing: SmallVec<[Bytes; 2]>,
    framing: Framing,
    sent: bool,
    /// Whether a write has failed, so that the rest of the request is not sent.
    ///
    /// The system reports the loss of a connection once. After it was reported to a write, reads
    /// return the end of the stream, as if the peer had closed the connection in order.
    write_failed: bool,
    reusable: bool,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer refuses the connection or does not accept it in
    /// time; no request has been sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let opened = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let io = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        io.set_nodelay(true)?;
        let socket = SockRef::from(&io);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
        Ok(Connection {
            io,
            observer: (),
            buf: BytesMut::new(),
            outgoing: SmallVec::new(),
            framing: Framing::Done,
            sent: false,
            write_failed: false,
            reusable: true,
        })
    }

    /// Notifies an observer of all bytes that arrive from now on.
    pub fn with_observer<O: ReceiveObserver>(self, observer: O) -> Connection<O> {
        Connection {
            io: self.io,
            observer,
            buf: self.buf,
            outgoing: self.outgoing,
            framing: self.framing,
            sent: self.sent,
            write_failed: self.write_failed,
            reusable: self.reusable,
        }
    }
}

impl<O: ReceiveObserver> Connection<O> {
    /// Returns the observer.
    pub fn observer(&self) -> &O {
        &self.observer
    }

    /// Returns whether an idle connection is open and has received no unsolicited bytes.
    pub fn is_clean(&mut self) -> bool {
        if !self.reusable || !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.io.try_read(&mut byte);
        matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Starts to send a request and returns whether any byte of it has been sent.
    pub fn send(&mut self, head: Bytes, body: Bytes) -> bool {
        self.outgoing.clear();
        self.outgoing.push(head);
        if !body.is_empty() {
            self.outgoing.push(body);
        }
        self.sent = false;
        self.write_failed = false;
        self.reusable = false;
        self.flush();
        self.sent
    }

    /// Returns whether any byte of the request has been sent.
    pub fn has_sent(&self) -> bool {
        self.sent
    }

    fn has_sent_all(&self) -> bool {
        self.outgoing.is_empty() && !self.write_failed
    }

    /// Reads the head of the final response and sends the rest of the request meanwhile.
    ///
    /// Informational responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection closes or the response is malformed.
    pub async fn read_head(&mut self, method: &http::Method) -> Result<Head> {
        let mut skipped = 0;
        loop {
            if let Some((head, len)) = parse(&self.buf)? {
                self.buf.advance(len);
                if head.status.is_informational() {
                    skipped += len;
                    if skipped > HEAD_MAX_BYTES {
                        return Err(Error::Malformed("too many informational responses"));
                    }
                    continue;
                }
                self.framing = framing(&head, method)?;
                return Ok(head);
            }
            if self.buf.len() > HEAD_MAX_BYTES {
                return Err(Error::Malformed("response head is too long"));
            }
            if self.fill().await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    /// Reads the next part of the body, or [`None`] at the end of the body.
    ///
    /// The end of the connection ends a body without length only after the whole request has been
    /// sent: a peer that has not read it may have failed, and the body may go on.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection closes early or the framing is malformed.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>> {
        loop {
            match &mut self.framing {
                Framing::Done | Framing::Length(0) => {
                    self.framing = Framing::Done;
                    return Ok(None);
                }
                Framing::Length(remaining) if !self.buf.is_empty() => {
                    let wanted = usize::try_from(*remaining).unwrap_or(usize::MAX);
                    let part = self.buf.split_to(wanted.min(self.buf.len())).freeze();
                    *remaining -= part.len() as u64;
                    return Ok(Some(part));
                }
                Framing::UntilClose if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                Framing::Chunked(decoder) => {
                    if let Some(part) = decoder.next(&mut self.buf)? {
                        return Ok(Some(part));
                    }
                    if decoder.is_done() {
                        self.framing = Framing::Done;
                        continue;
                    }
                }
                _ => {}
            }
            if self.fill().await? == 0 {
                return match self.framing {
                    Framing::UntilClose if self.has_sent_all() => {
                        self.framing = Framing::Done;
                        Ok(None)
                    }
                    _ => Err(Error::Truncated),
                };
            }
        }
    }

    /// Returns the number of bytes of the body that are still to be read, if the head told its length.
    pub fn remaining_len(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(remaining) => Some(remaining),
            Framing::Done => Some(0),
            Framing::Chunked(_) | Framing::UntilClose => None,
        }
    }

    /// Reads the rest of the body and drops it.
    ///
    /// # Errors
    ///
    /// Returns an error in the cases of [`Connection::read_part`], and when the body is longer than `limit`.
    pub async fn discard_body(&mut self, limit: usize) -> Result<()> {
        let mut len = 0;
        while let Some(part) = self.read_part().await? {
            len += part.len();
            if len > limit {
                return Err(Error::Malformed("response body is too long"));
            }
        }
        Ok(())
    }

    /// Reads the rest of the body.
    ///
    /// A body that arrives in several parts is limited to `limit` bytes; one that arrives
    /// as a single part is not checked against `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error in the cases of [`Connection::read_part`], and when a body of
    /// several parts is longer than `limit`.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes> {
        let Some(first) = self.read_part().await? else {
            return Ok(Bytes::new());
        };
        let mut rest: Option<BytesMut> = None;
        let len = self.remaining_len().unwrap_or_default();
        while let Some(part) = self.read_part().await? {
            let body = rest.get_or_insert_with(|| {
                let len = usize::try_from(len).unwrap_or(limit).min(limit);
                let mut body = BytesMut::with_capacity(first.len() + len);
                body.extend_from_slice(&first);
                body
            });
            if body.len() + part.len() > limit {
                return Err(Error::Malformed("response body is too long"));
            }
            body.extend_from_slice(&part);
        }
        Ok(rest.map_or(first, BytesMut::freeze))
    }

    /// Ends the exchange and decides whether the connection is reusable.
    ///
    /// It is reusable when the request has been sent, the response is complete, no further
    /// bytes have arrived and the peer keeps the connection open.
    pub fn finish(&mut self, head: &Head) {
        let complete = matches!(self.framing, Framing::Done) && self.has_sent_all();
        self.reusable = complete && self.buf.is_empty() && !head.closes_connection();
    }

    /// Returns whether the connection may carry another request.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Waits for bytes from the peer and sends the rest of the request meanwhile.
    async fn fill(&mut self) -> io::Result<usize> {
        // A peer that always has bytes ready must not keep other tasks and timeouts from running.
        tokio::task::consume_budget().await;
        loop {
            let mut interest = Interest::READABLE;
            if !self.outgoing.is_empty() {
                interest |= Interest::WRITABLE;
            }
            let ready = self.io.ready(interest).await?;
            if ready.is_writable() {
                self.flush();
            }
            if ready.is_readable() {
                self.buf.reserve(READ_BYTES);
                match self.io.try_read_buf(&mut self.buf) {
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                    read => {
                        if matches!(read, Ok(1..)) {
                            self.observer.on_received();
                        }
                        return read;
                    }
                }
            }
        }
    }

    /// Sends as much of the request as the socket accepts without blocking.
    ///
    /// A failed write only stops sending, since a response may already have arrived.
    fn flush(&mut self) {
        while let Some(part) = self.outgoing.first_mut() {
            match self.io.try_write(part) {
                Ok(n) => {
                    self.sent |= n > 0;
                    part.advance(n);
                    if part.is_empty() {
                        self.outgoing.remove(0);
                    }
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.write_failed = true;
                    return self.outgoing.clear();
                }
            }
        }
    }
}

fn parse(buf: &[u8]) -> Result<Option<(Head, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut res = httparse::Response::new(&mut fields);
    let len = match res.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("invalid response head")),
    };
    let status = res.code.filter(|code| STATUS_CODES.contains(code));
    let status = status.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(Error::Malformed(
        "status code is not in the range from 100 to 599",
    ))?;
    let mut headers = HeaderMap::with_capacity(res.headers.len());
    for field in res.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Error::Malformed("invalid header field"));
        };
        headers.append(name, value);
    }
    let version = match res.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let head = Head {
        status,
        headers,
        version,
    };
    Ok(Some((head, len)))
}

fn framing(head: &Head, method: &http::Method) -> Result<Framing> {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if bodiless || method == http::Method::HEAD {
        return Ok(Framing::Done);
    }
    let lengths: SmallVec<[&HeaderValue; 1]> =
        head.headers.get_all(CONTENT_LENGTH).iter().collect();
    if let Some(coding) = head.headers.get(TRANSFER_ENCODING) {
        if !lengths.is_empty() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(Error::Malformed("ambiguous body length"));
        }
        return Ok(Framing::Chunked(ChunkedDecoder::default()));
    }
    let Some(first) = lengths.first() else {
        return Ok(Framing::UntilClose);
    };
    let digits = first.as_bytes();
    let only_digits = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let len = first
        .to_str()
        .ok()
        .filter(|_| only_digits)
        .and_then(|v| v.parse().ok());
    match len {
        Some(len) if lengths.iter().all(|v| v == first) => Ok(Framing::Length(len)),
        _ => Err(Error::Malformed("invalid content-length")),
    }
}
