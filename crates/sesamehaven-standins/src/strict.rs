//! An HTTP client that notices when an answer breaks off.
//!
//! `awc` takes the end of a connection for the end of a body, also when chunks
//! or bytes of it are missing. Here the end of a connection that is being read
//! is an error. Bodies that end with their connection, as HTTP/1.0 has them,
//! are not supported in return.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectInfo, Connector as TcpConnector};
use awc::http::Uri;
use awc::{Client, Connector};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Builds a client that waits for the head of an answer for `timeout`.
pub fn client(timeout: Duration) -> Client {
    let tcp = TcpConnector::default().service();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = tcp.call(info);
        async move {
            let (io, connection) = connecting.await?.replace_io(());
            Ok(connection.replace_io(Strict(io)).1)
        }
    });
    let connector = Connector::new()
        .connector(connect)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(0);
    Client::builder()
        .connector(connector)
        .timeout(timeout)
        .disable_redirects()
        .finish()
}

/// A connection whose end is an error.
#[derive(Debug)]
struct Strict(TcpStream);

impl AsyncRead for Strict {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Strict {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for Strict {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
