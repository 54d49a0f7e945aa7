//! A decoder for the chunked transfer coding of HTTP/1.1.

use bytes::{Buf, Bytes, BytesMut};

use crate::http1::{Error, Result};

/// The maximum number of buffered bytes without a line feed where a line is expected.
const LINE_MAX_BYTES: usize = 4 << 10;
/// The maximum length of the trailer, in bytes.
const TRAILER_MAX_BYTES: usize = 32 << 10;

/// The position of the decoder within the coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    #[default]
    Size,
    /// Inside a chunk, with the number of bytes left.
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes a chunked body.
#[derive(Debug, Default)]
pub(crate) struct ChunkedDecoder {
    state: State,
    trailer_bytes: usize,
}

impl ChunkedDecoder {
    /// Returns whether the last chunk and the trailer have been read.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Removes the next piece of data from `buf`; returns [`None`] when `buf` holds none.
    ///
    /// # Errors
    ///
    /// Returns an error when the coding is malformed.
    pub(crate) fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    self.state = match parse_size(&line)? {
                        0 => State::Trailer,
                        n => State::Data(n),
                    };
                }
                State::Data(remaining) => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let wanted = usize::try_from(remaining).unwrap_or(usize::MAX);
                    let part = buf.split_to(wanted.min(buf.len())).freeze();
                    self.state = match remaining - part.len() as u64 {
                        0 => State::DataEnd,
                        n => State::Data(n),
                    };
                    return Ok(Some(part));
                }
                State::DataEnd => match take_line(buf)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Size,
                    Some(_) => return Err(Error::Malformed("chunk data exceeds its size")),
                },
                State::Trailer => match take_line(buf)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) => {
                        self.trailer_bytes += line.len();
                        if self.trailer_bytes > TRAILER_MAX_BYTES {
                            return Err(Error::Malformed("trailer is too long"));
                        }
                    }
                },
                State::Done => return Ok(None),
            }
        }
    }
}

/// Removes a line that ends with CRLF from the buffer and returns it without the CRLF.
fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        if buf.len() > LINE_MAX_BYTES {
            return Err(Error::Malformed("line in chunked body is too long"));
        }
        return Ok(None);
    };
    if end == 0 || buf[end - 1] != b'\r' {
        return Err(Error::Malformed(
            "line in chunked body does not end with CRLF",
        ));
    }
    let line = buf.split_to(end - 1).freeze();
    buf.advance(2);
    Ok(Some(line))
}

/// Parses a chunk-size line and ignores chunk extensions.
fn parse_size(line: &[u8]) -> Result<u64> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let only_digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(n) if only_digits => Ok(n),
        _ => Err(Error::Malformed("invalid chunk size")),
    }
}
