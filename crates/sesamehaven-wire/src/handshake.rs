//! The handshake that opens a link: an exchange of hellos and proofs.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::auth::{Psk, Side, Transcript};
use crate::codec::{FrameCodec, PREFIX_BYTES};
use crate::error::{Error, Result};
use crate::message::{Frame, Hello, VERSION};

/// The maximum length of a frame from an unauthenticated peer, in bytes.
const HANDSHAKE_MAX_BYTES: usize = 1_024;

/// The variant index of `Hello` in [`Frame`], which is the same in every protocol version.
const HELLO_VARIANT: u32 = 0;

/// Performs the handshake and returns the peer's hello and the transcript.
///
/// Each side sends its hello without waiting for the other's, so a peer with
/// another protocol version receives the hello before it is refused. On return,
/// `buf` holds any bytes that the peer sent after its proof.
pub(crate) async fn exchange(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    side: Side,
    local: &Hello,
    psk: &Psk,
) -> Result<(Hello, Transcript)> {
    send(stream, &Frame::Hello(local.clone())).await?;
    let hello = read_hello(stream, buf).await?;
    let transcript = Transcript::new(psk, side, local, &hello)?;
    send(stream, &Frame::Proof(transcript.prove())).await?;
    let Frame::Proof(proof) = read(stream, buf).await? else {
        return Err(Error::UnexpectedFrame);
    };
    transcript.verify(proof)?;
    Ok((hello, transcript))
}

async fn send(stream: &mut TcpStream, frame: &Frame) -> Result<()> {
    let mut buf = BytesMut::new();
    FrameCodec::new(HANDSHAKE_MAX_BYTES).encode(frame, &mut buf)?;
    stream.write_all(&buf).await?;
    Ok(())
}

async fn read(stream: &mut TcpStream, buf: &mut BytesMut) -> Result<Frame> {
    let mut codec = FrameCodec::new(HANDSHAKE_MAX_BYTES);
    loop {
        if let Some(frame) = codec.decode(buf)? {
            return Ok(frame);
        }
        fill(stream, buf).await?;
    }
}

async fn read_hello(stream: &mut TcpStream, buf: &mut BytesMut) -> Result<Hello> {
    loop {
        check_version(buf)?;
        if let Some(frame) = FrameCodec::new(HANDSHAKE_MAX_BYTES).decode(buf)? {
            let Frame::Hello(hello) = frame else {
                return Err(Error::UnexpectedFrame);
            };
            return Ok(hello);
        }
        fill(stream, buf).await?;
    }
}

/// Checks the protocol version once the body of the hello has arrived.
///
/// The rest of the hello is decoded only afterwards, since its layout may differ
/// between versions.
fn check_version(buf: &[u8]) -> Result<()> {
    let Some(mut prefix) = buf.get(..PREFIX_BYTES) else {
        return Ok(());
    };
    let len = prefix.get_u32_le() as usize;
    let Some(body) = buf.get(PREFIX_BYTES..PREFIX_BYTES + len.min(HANDSHAKE_MAX_BYTES)) else {
        return Ok(());
    };
    let Ok(((variant, theirs), _)) = postcard::take_from_bytes::<(u32, u16)>(body) else {
        return Ok(());
    };
    if variant == HELLO_VARIANT && theirs != VERSION {
        return Err(Error::UnsupportedVersion { theirs });
    }
    Ok(())
}

async fn fill(stream: &mut TcpStream, buf: &mut BytesMut) -> Result<()> {
    match stream.read_buf(buf).await? {
        0 => Err(Error::ClosedByPeer),
        _ => Ok(()),
    }
}
