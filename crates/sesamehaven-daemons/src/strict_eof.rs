//! HTTP client connections that detect truncated responses.
//!
//! `awc` treats the end of a connection as the end of a body, even if chunks or
//! bytes of it are missing. Here, the end of a connection that is being read is an
//! error. In return, bodies that are delimited by the end of the connection, as in
//! HTTP/1.0, are not supported; the platform sends none.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{
    ConnectError, ConnectInfo, Connection, Connector as TcpConnector, ConnectorService,
};
use awc::Connector;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Builds a connector whose connections detect truncated responses.
pub fn connector() -> Connector<StrictEofConnector> {
    let tcp = TcpConnector::default().service();
    Connector::new().connector(StrictEofConnector(tcp))
}

/// Opens connections whose end is a read error.
#[derive(Clone)]
pub struct StrictEofConnector(ConnectorService);

impl Service<ConnectInfo<Uri>> for StrictEofConnector {
    type Response = Connection<Uri, StrictEofStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, ConnectError>>;

    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.0, cx)
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.0.call(info);
        Box::pin(async move {
            let (io, connection) = connecting.await?.replace_io(());
            // Nagle's algorithm would delay the body of a request until its head is
            // acknowledged.
            io.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(connection.replace_io(StrictEofStream(io)).1)
        })
    }
}

/// A connection whose end is a read error.
#[derive(Debug)]
pub struct StrictEofStream(TcpStream);

impl AsyncRead for StrictEofStream {
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

impl AsyncWrite for StrictEofStream {
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

impl ActixStream for StrictEofStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
