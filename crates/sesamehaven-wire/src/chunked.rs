//! The chunked transfer coding of HTTP/1.1, as a receiver reads it.

use bytes::{Buf, Bytes, BytesMut};

use crate::http1::{Error, Result};

/// The longest line between chunks, in bytes.
const LINE_MAX_BYTES: usize = 4 << 10;

/// Where the reader stands between and inside of chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Takes the chunks of a body apart.
#[derive(Debug, Default)]
pub(crate) struct Chunked {
    state: State,
}

impl Chunked {
    /// Returns whether the last chunk and the trailer were read.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next piece of data out of `buf`; [`None`] when it holds none yet.
    ///
    /// # Errors
    ///
    /// Fails when the coding is broken.
    pub(crate) fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = line(buf)? else {
                        return Ok(None);
                    };
                    self.state = match size(&line)? {
                        0 => State::Trailer,
                        n => State::Data(n),
                    };
                }
                State::Data(left) => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let here = usize::try_from(left).unwrap_or(usize::MAX);
                    let part = buf.split_to(here.min(buf.len())).freeze();
                    self.state = match left - part.len() as u64 {
                        0 => State::DataEnd,
                        n => State::Data(n),
                    };
                    return Ok(Some(part));
                }
                State::DataEnd => match line(buf)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Size,
                    Some(_) => return Err(Error::Malformed("a chunk is longer than its size")),
                },
                State::Trailer => match line(buf)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) => {}
                },
                State::Done => return Ok(None),
            }
        }
    }
}

/// Takes a line without its end out of the buffer.
fn line(buf: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        if buf.len() > LINE_MAX_BYTES {
            return Err(Error::Malformed("a line between chunks is too long"));
        }
        return Ok(None);
    };
    if end == 0 || buf[end - 1] != b'\r' {
        return Err(Error::Malformed("a line between chunks ends wrongly"));
    }
    let line = buf.split_to(end - 1).freeze();
    buf.advance(2);
    Ok(Some(line))
}

fn size(line: &[u8]) -> Result<u64> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(n) if plain => Ok(n),
        _ => Err(Error::Malformed("the size of a chunk is no number")),
    }
}
