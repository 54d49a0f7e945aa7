//! Framing of messages: a length of four bytes, postcard, and a keyed hash if there is a key.

use bytes::{Buf, BufMut, BytesMut};
use postcard::ser_flavors::{Flavor, Size};
use tokio_util::codec::{Decoder, Encoder};

use crate::auth::{Psk, TAG_BYTES};
use crate::error::{Error, Result};
use crate::message::{Frame, ToEntry};

/// The length of the prefix that gives a frame's length, in bytes.
pub(crate) const PREFIX_BYTES: usize = 4;

/// The most that a chunk's frame adds to its data, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 48;

/// Encodes, or decodes, the frames of one direction of a link.
#[derive(Debug)]
pub struct FrameCodec {
    max_bytes: usize,
    seal: Option<Seal>,
}

impl FrameCodec {
    /// Builds a codec that refuses frames longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        FrameCodec {
            max_bytes,
            seal: None,
        }
    }

    /// Adds a keyed hash to each frame and asks for one on each.
    ///
    /// The key has to be of this direction of this link alone, since the hash
    /// covers the place of the frame in the sequence.
    pub fn sealed(mut self, key: Psk) -> Self {
        self.seal = Some(Seal { key, frames: 0 });
        self
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

    fn tag_bytes(&self) -> usize {
        self.seal.as_ref().map_or(0, |_| TAG_BYTES)
    }
}

/// The key of one direction of a link and the place in its sequence.
#[derive(Debug)]
struct Seal {
    key: Psk,
    frames: u64,
}

impl Seal {
    fn next_tag(&mut self, body: &[u8]) -> [u8; TAG_BYTES] {
        let place = self.frames.to_le_bytes();
        self.frames += 1;
        self.key.tag(&place, body)
    }

    fn next_fits(&mut self, body: &[u8], tag: &[u8]) -> bool {
        let place = self.frames.to_le_bytes();
        self.frames += 1;
        self.key.fits(&place, body, tag)
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, buf: &mut BytesMut) -> Result<()> {
        let start = buf.len() + PREFIX_BYTES;
        buf.put_u32_le(0);
        postcard::serialize_with_flavor(frame, Appender(&mut *buf))?;
        let len = buf.len() - start;
        self.check(len)?;
        let prefix = u32::try_from(len).unwrap_or(u32::MAX).to_le_bytes();
        buf[start - PREFIX_BYTES..start].copy_from_slice(&prefix);
        if let Some(seal) = &mut self.seal {
            let tag = seal.next_tag(&buf[start..]);
            buf.extend_from_slice(&tag);
        }
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
        let whole = PREFIX_BYTES + len + self.tag_bytes();
        if buf.len() < whole {
            buf.reserve(whole - buf.len());
            return Ok(None);
        }
        let (body, tag) = buf[PREFIX_BYTES..whole].split_at(len);
        if let Some(seal) = &mut self.seal
            && !seal.next_fits(body, tag)
        {
            return Err(Error::Forged);
        }
        let frame = decode_body(body)?;
        buf.advance(whole);
        Ok(Some(frame))
    }
}

/// Reads a frame that has to fill the body whole.
fn decode_body(body: &[u8]) -> Result<Frame> {
    match postcard::take_from_bytes(body)? {
        (frame, []) => Ok(frame),
        _ => Err(Error::Malformed(postcard::Error::DeserializeBadEncoding)),
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
