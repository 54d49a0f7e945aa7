//! Connections of callers.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use metrics::counter;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// The time after which a caller that reads nothing of its stream or of a long response is disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Removes the limit on the number of unsent bytes that the system buffers.
const UNSENT_UNLIMITED: u32 = 0;
/// The maximum number of unsent bytes that the system buffers for the caller of a stream.
///
/// With more of them, a caller that reads slowly would make no room for so long that it looks like
/// one that reads nothing.
const UNSENT_MAX_BYTES: u32 = 16 << 10;

/// Whether the response on a connection is a stream, or holds memory until it is written.
#[derive(Debug, Clone, Default)]
pub struct StreamingFlag(Rc<Cell<bool>>);

impl StreamingFlag {
    /// Records whether the next response is one that the caller must go on reading.
    pub fn set(&self, is_stream: bool) {
        self.0.set(is_stream);
    }
}

/// A caller's connection, which fails if the caller reads nothing of a stream or of a long response for some
/// time.
#[derive(Debug)]
pub struct CallerStream {
    io: TcpStream,
    is_streaming: StreamingFlag,
    /// Whether the number of unsent bytes is limited, as it is in streams only.
    has_unsent_limit: bool,
    /// Ends when the caller has read nothing for too long.
    stall: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection has already failed.
    pub fn new(io: TcpStream) -> io::Result<Self> {
        io.set_nodelay(true)?;
        Ok(CallerStream {
            io,
            is_streaming: StreamingFlag::default(),
            has_unsent_limit: false,
            stall: None,
        })
    }

    /// Returns the flag that starts and ends the supervision of the caller.
    pub fn streaming_flag(&self) -> StreamingFlag {
        self.is_streaming.clone()
    }

    /// Limits the number of unsent bytes while the response is a stream.
    fn update_unsent_limit(&mut self) {
        let is_streaming = self.is_streaming.0.get();
        if self.has_unsent_limit == is_streaming {
            return;
        }
        self.has_unsent_limit = is_streaming;
        let max = match is_streaming {
            true => UNSENT_MAX_BYTES,
            false => UNSENT_UNLIMITED,
        };
        // Without the option, as on some systems, a caller that reads very slowly may be disconnected.
        let _ = SockRef::from(&self.io).set_tcp_notsent_lowat(max);
    }

    /// Fails when nothing could be written for too long.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if !self.is_streaming.0.get() {
            return Poll::Pending;
        }
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(CALLER_STALL_TIMEOUT)));
        if stall.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        counter!("front_callers_stalled_total").increment(1);
        // Otherwise, the system would keep the unread bytes after the connection is closed.
        SockRef::from(&self.io).set_linger(Some(Duration::ZERO))?;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_unsent_limit();
        match Pin::new(&mut self.io).poll_write(cx, buf) {
            Poll::Pending => self.poll_stall(cx),
            ready => {
                self.stall = None;
                ready
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
