//! Framing of messages: a length of four bytes, then postcard.

use bytes::{Buf, BufMut, BytesMut};
use postcard::ser_flavors::{Flavor, Size};
use tokio_util::codec::{Decoder, Encoder};

use crate::error::{Error, Result};
use crate::message::{Frame, ToEntry};

/// The length of the prefix that gives a frame's length, in bytes.
pub(crate) const PREFIX_BYTES: usize = 4;

/// The most that a chunk's frame adds to its data, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 48;

/// Encodes and decodes the frames of a link.
#[derive(Debug, Clone)]
pub struct FrameCodec {
    max_bytes: usize,
}

impl FrameCodec {
    /// Builds a codec that refuses frames longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        FrameCodec { max_bytes }
    }

    fn check(&self, len: usize) -> Result<()> {
        if len <= self.max_bytes {
            return Ok(());
        }
        Err(Error::Oversized {
            len,
            max: self.max_bytes,
        })
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, buf: &mut BytesMut) -> Result<()> {
        let start = buf.len();
        buf.put_u32_le(0);
        postcard::serialize_with_flavor(frame, Appender(&mut *buf))?;
        let len = buf.len() - start - PREFIX_BYTES;
        self.check(len)?;
        let prefix = u32::try_from(len).unwrap_or(u32::MAX).to_le_bytes();
        buf[start..start + PREFIX_BYTES].copy_from_slice(&prefix);
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>> {
        let Some(mut prefix) = buf.get(..PREFIX_BYTES) else {
            return Ok(None);
        };
        let len = prefix.get_u32_le() as usize;
        self.check(len)?;
        if buf.len() < PREFIX_BYTES + len {
            buf.reserve(PREFIX_BYTES + len - buf.len());
            return Ok(None);
        }
        buf.advance(PREFIX_BYTES);
        let body = buf.split_to(len);
        Ok(Some(postcard::from_bytes(&body)?))
    }
}

/// Returns the length of a frame's body, or a little more.
///
/// # Errors
///
/// Returns an error when the frame cannot be encoded.
pub fn encoded_len(frame: &Frame) -> Result<usize> {
    if let Frame::Reply(_, ToEntry::Chunk { data, .. }) = frame {
        return Ok(CHUNK_OVERHEAD_BYTES + data.len());
    }
    Ok(postcard::serialize_with_flavor(frame, Size::default())?)
}

/// Lets postcard append to a buffer without a copy in between.
struct Appender<'a>(&'a mut BytesMut);

impl Flavor for Appender<'_> {
    type Output = ();

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.0.put_u8(data);
        Ok(())
    }

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        self.0.extend_from_slice(data);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<()> {
        Ok(())
    }
}
