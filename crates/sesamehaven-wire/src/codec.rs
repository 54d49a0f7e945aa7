//! Framing of messages: a four-byte length prefix, a postcard body and an optional tag.

use bytes::{Buf, BufMut, BytesMut};
use postcard::ser_flavors::{Flavor, Size};
use tokio_util::codec::{Decoder, Encoder};

use crate::auth::{Psk, TAG_BYTES};
use crate::error::{Error, Result};
use crate::message::{Frame, ToEntry};

/// The size of the length prefix of a frame, in bytes.
pub(crate) const PREFIX_BYTES: usize = 4;

/// An upper bound on the encoding overhead of a chunk frame, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 48;

/// Encodes or decodes the frames of one direction of a link.
#[derive(Debug)]
pub struct FrameCodec {
    max_bytes: usize,
    authenticator: Option<Authenticator>,
}

impl FrameCodec {
    /// Creates a codec that rejects frames whose body is longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        FrameCodec {
            max_bytes,
            authenticator: None,
        }
    }

    /// Appends an authentication tag to each encoded frame and requires one on each decoded frame.
    ///
    /// The tag covers the sequence number of the frame, which starts at zero. The key must
    /// be unique to this direction of this link; otherwise frames could be replayed.
    pub fn authenticated(mut self, key: Psk) -> Self {
        self.authenticator = Some(Authenticator {
            key,
            next_sequence: 0,
        });
        self
    }

    fn check_len(&self, len: usize) -> Result<()> {
        if len <= self.max_bytes {
            return Ok(());
        }
        Err(Error::Oversized {
            len,
            max: self.max_bytes,
        })
    }

    fn tag_bytes(&self) -> usize {
        self.authenticator.as_ref().map_or(0, |_| TAG_BYTES)
    }
}

/// The key of one direction of a link and the sequence number of its next frame.
#[derive(Debug)]
struct Authenticator {
    key: Psk,
    next_sequence: u64,
}

impl Authenticator {
    fn next_tag(&mut self, body: &[u8]) -> [u8; TAG_BYTES] {
        let sequence = self.next_sequence.to_le_bytes();
        self.next_sequence += 1;
        self.key.tag(&sequence, body)
    }

    fn verify_next(&mut self, body: &[u8], tag: &[u8]) -> bool {
        let sequence = self.next_sequence.to_le_bytes();
        self.next_sequence += 1;
        self.key.verify_tag(&sequence, body, tag)
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, buf: &mut BytesMut) -> Result<()> {
        let start = buf.len() + PREFIX_BYTES;
        buf.put_u32_le(0);
        postcard::serialize_with_flavor(frame, Appender(&mut *buf))?;
        let len = buf.len() - start;
        self.check_len(len)?;
        let prefix = u32::try_from(len).unwrap_or(u32::MAX).to_le_bytes();
        buf[start - PREFIX_BYTES..start].copy_from_slice(&prefix);
        if let Some(authenticator) = &mut self.authenticator {
            let tag = authenticator.next_tag(&buf[start..]);
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
        self.check_len(len)?;
        let frame_len = PREFIX_BYTES + len + self.tag_bytes();
        if buf.len() < frame_len {
            buf.reserve(frame_len - buf.len());
            return Ok(None);
        }
        let (body, tag) = buf[PREFIX_BYTES..frame_len].split_at(len);
        if let Some(authenticator) = &mut self.authenticator
            && !authenticator.verify_next(body, tag)
        {
            return Err(Error::InvalidTag);
        }
        let frame = decode_body(body)?;
        buf.advance(frame_len);
        Ok(Some(frame))
    }
}

/// Decodes a frame that must span the entire body.
fn decode_body(body: &[u8]) -> Result<Frame> {
    match postcard::take_from_bytes(body)? {
        (frame, []) => Ok(frame),
        _ => Err(Error::Malformed(postcard::Error::DeserializeBadEncoding)),
    }
}

/// Returns the encoded length of a frame's body.
///
/// For a chunk, this is an upper bound that is computed without encoding it.
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

/// A postcard flavour that appends to a buffer without an intermediate copy.
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
