//! The HTTP/1.1 client side towards endpoints and towards the platform.
//!
//! A scheduler that must tell "not run" from "may have run" has to know whether
//! a byte of a request has left, has to read an answer that comes before the
//! request's body is out, and has to recognise an answer that belongs to another
//! request. General clients hide all three; see
//! [`docs/FRONT.md`](../../../docs/FRONT.md#the-client-towards-endpoints).

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Version};
use quick_error::quick_error;
use smallvec::SmallVec;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::chunked::Chunked;

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;

/// The longest head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The most header fields of an answer.
const FIELDS_MAX: usize = 64;
/// What one read asks for, in bytes; events of a stream are far smaller.
const READ_BYTES: usize = 8 << 10;
/// How long a connection that answers no probe is kept.
const SILENCE: Duration = Duration::from_secs(4);
/// How long a connection is idle before it is probed, and the pause between probes.
const PROBE: Duration = Duration::from_secs(1);

quick_error! {
    /// Why an exchange gave no whole answer.
    #[derive(Debug)]
    pub enum Error {
        /// The connection broke off.
        Io(err: io::Error) {
            from()
            source(err)
            display("connection failed: {err}")
        }
        /// The connection ended before the answer did.
        Truncated {
            display("connection ended before the answer was whole")
        }
        /// What came is not an answer in the protocol.
        Malformed(what: &'static str) {
            display("answer is malformed: {what}")
        }
    }
}

impl Error {
    /// Returns whether the peer sent something that is no answer in the protocol.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Error::Malformed(_))
    }
}

/// The status and the header fields of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The header fields, in the order of the answer.
    pub headers: HeaderMap,
    version: Version,
}

impl Head {
    /// Returns a field's value as text.
    pub fn header_str(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns whether the peer will close the connection after this answer.
    pub fn closes(&self) -> bool {
        let close = |v: &HeaderValue| {
            let text = v.to_str().unwrap_or_default();
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        };
        self.version != Version::HTTP_11 || self.headers.get_all(CONNECTION).iter().any(close)
    }
}

/// How the end of a body is known.
#[derive(Debug)]
enum Framing {
    Length(u64),
    Chunked(Chunked),
    /// The body lasts until the peer closes the connection.
    UntilClose,
    Done,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    io: TcpStream,
    buf: BytesMut,
    out: SmallVec<[Bytes; 2]>,
    framing: Framing,
    sent: bool,
    reusable: bool,
}

impl Connection {
    /// Opens a connection, within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the peer refuses or does not answer in time; nothing was sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let opened = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let io = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        io.set_nodelay(true)?;
        let socket = SockRef::from(&io);
        socket.set_tcp_user_timeout(Some(SILENCE))?;
        let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE);
        socket.set_tcp_keepalive(&probes.with_retries(2))?;
        Ok(Connection {
            io,
            buf: BytesMut::new(),
            out: SmallVec::new(),
            framing: Framing::Done,
            sent: false,
            reusable: true,
        })
    }

    /// Returns whether an idle connection is open and nothing unasked has come on it.
    pub fn is_clean(&mut self) -> bool {
        if !self.reusable || !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.io.try_read(&mut byte);
        matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Begins to send a request, and returns whether a byte of it has left.
    pub fn send(&mut self, head: Bytes, body: Bytes) -> bool {
        self.out.clear();
        self.out.push(head);
        if !body.is_empty() {
            self.out.push(body);
        }
        self.sent = false;
        self.reusable = false;
        self.flush();
        self.sent
    }

    /// Returns whether a byte of the request has left.
    pub fn has_sent(&self) -> bool {
        self.sent
    }

    /// Reads the head of the next final answer, sending the rest of the request meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends or what comes is no answer.
    pub async fn read_head(&mut self, method: &http::Method) -> Result<Head> {
        loop {
            if let Some((head, len)) = parse(&self.buf)? {
                self.buf.advance(len);
                if head.status.is_informational() {
                    continue;
                }
                self.framing = framing(&head, method)?;
                return Ok(head);
            }
            if self.buf.len() > HEAD_MAX_BYTES {
                return Err(Error::Malformed("the head is too long"));
            }
            if self.fill().await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    /// Reads the next part of the body; [`None`] says that it is whole.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends first or the framing is broken.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>> {
        loop {
            match &mut self.framing {
                Framing::Done | Framing::Length(0) => {
                    self.framing = Framing::Done;
                    return Ok(None);
                }
                Framing::Length(left) if !self.buf.is_empty() => {
                    let here = usize::try_from(*left).unwrap_or(usize::MAX);
                    let part = self.buf.split_to(here.min(self.buf.len())).freeze();
                    *left -= part.len() as u64;
                    return Ok(Some(part));
                }
                Framing::UntilClose if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                Framing::Chunked(state) => {
                    if let Some(part) = state.next(&mut self.buf)? {
                        return Ok(Some(part));
                    }
                    if state.is_done() {
                        self.framing = Framing::Done;
                        continue;
                    }
                }
                _ => {}
            }
            if self.fill().await? == 0 {
                return match self.framing {
                    Framing::UntilClose => {
                        self.framing = Framing::Done;
                        Ok(None)
                    }
                    _ => Err(Error::Truncated),
                };
            }
        }
    }

    /// Reads the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`Connection::read_part`] does, and when the body is longer.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes> {
        let Some(first) = self.read_part().await? else {
            return Ok(Bytes::new());
        };
        let mut rest: Option<BytesMut> = None;
        while let Some(part) = self.read_part().await? {
            let whole = rest.get_or_insert_with(|| BytesMut::from(&first[..]));
            if whole.len() + part.len() > limit {
                return Err(Error::Malformed("the body is too long"));
            }
            whole.extend_from_slice(&part);
        }
        Ok(rest.map_or(first, BytesMut::freeze))
    }

    /// Marks the connection as fit for another request, when the exchange left nothing behind.
    pub fn finish(&mut self, head: &Head) {
        let whole = matches!(self.framing, Framing::Done) && self.out.is_empty();
        self.reusable = whole && self.buf.is_empty() && !head.closes();
    }

    /// Returns whether the connection may carry another request.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Reads what has come, and sends what is left of the request as the peer takes it.
    async fn fill(&mut self) -> io::Result<usize> {
        loop {
            let mut interest = Interest::READABLE;
            if !self.out.is_empty() {
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
                    read => return read,
                }
            }
        }
    }

    /// Sends as much as the peer takes now.
    ///
    /// A failed write ends the sending only: the answer may have come before.
    fn flush(&mut self) {
        while let Some(part) = self.out.first_mut() {
            match self.io.try_write(part) {
                Ok(n) => {
                    self.sent |= n > 0;
                    part.advance(n);
                    if part.is_empty() {
                        self.out.remove(0);
                    }
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.out.clear(),
            }
        }
    }
}

fn parse(buf: &[u8]) -> Result<Option<(Head, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut res = httparse::Response::new(&mut fields);
    let len = match res.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("the head cannot be read")),
    };
    let status = StatusCode::from_u16(res.code.unwrap_or_default())
        .map_err(|_| Error::Malformed("the status is no number from 100 to 999"))?;
    let mut headers = HeaderMap::with_capacity(res.headers.len());
    for field in res.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Error::Malformed("a header field cannot be read"));
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
            return Err(Error::Malformed("the length of the body is ambiguous"));
        }
        return Ok(Framing::Chunked(Chunked::default()));
    }
    let Some(first) = lengths.first() else {
        return Ok(Framing::UntilClose);
    };
    let digits = first.as_bytes();
    let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let len = first
        .to_str()
        .ok()
        .filter(|_| plain)
        .and_then(|v| v.parse().ok());
    match len {
        Some(len) if lengths.iter().all(|v| v == first) => Ok(Framing::Length(len)),
        _ => Err(Error::Malformed("the length of the body is no number")),
    }
}
