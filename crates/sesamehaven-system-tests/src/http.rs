//! A small HTTP client for tests.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use awc::Client;
use awc::http::Method;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use sesamehaven_standins::client::client;

use crate::error::{Error, Result};
use crate::wait;

/// The status, headers and body of an answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers; names are in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when it is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// An answer whose body is read part by part.
pub struct Stream {
    /// The status.
    pub status: u16,
    /// The headers; names are in lower case.
    pub headers: BTreeMap<String, String>,
    parts: LocalBoxStream<'static, std::result::Result<Bytes, String>>,
    url: String,
}

impl Stream {
    /// Waits for the next part of the body; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn part(&mut self) -> Result<Option<Bytes>> {
        match self.parts.next().await {
            Some(Ok(part)) => Ok(Some(part)),
            Some(Err(reason)) => Err(Error::Http {
                url: self.url.clone(),
                reason,
            }),
            None => Ok(None),
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn rest(&mut self) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(part) = self.part().await? {
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}

/// A client with connections of its own.
#[derive(Clone)]
pub struct Http(Client);

impl Default for Http {
    fn default() -> Self {
        Http::new()
    }
}

impl Http {
    /// Builds a client without connections.
    pub fn new() -> Self {
        Http(client(wait::LONGEST))
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is none within [`wait::LONGEST`].
    pub async fn open(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Stream> {
        let failed = |reason: String| Error::Http {
            url: url.into(),
            reason,
        };
        let method = Method::from_bytes(method.as_bytes()).map_err(|e| failed(e.to_string()))?;
        let mut req = self.0.request(method, url);
        for (name, value) in headers {
            req = req.append_header((*name, *value));
        }
        let sent = req.send_body(body.into()).await;
        let answer = sent.map_err(|e| failed(e.to_string()))?;
        let headers = answer.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        Ok(Stream {
            status: answer.status().as_u16(),
            headers: headers.collect(),
            url: url.into(),
            parts: answer
                .map(|part| part.map_err(|e| e.to_string()))
                .boxed_local(),
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer, or it breaks off.
    pub async fn send(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        let mut stream = self.open(method, url, headers, body).await?;
        let body = stream.rest().await?;
        Ok(Reply {
            status: stream.status,
            headers: stream.headers,
            body,
        })
    }

    /// Gets a path of a server.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn get(&self, server: SocketAddr, path: &str) -> Result<Reply> {
        let url = format!("http://{server}{path}");
        self.send("GET", &url, &[], Bytes::new()).await
    }

    /// Gets a path of a server as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not 200 with JSON of this type.
    pub async fn get_json<T: DeserializeOwned>(&self, server: SocketAddr, path: &str) -> Result<T> {
        let reply = self.get(server, path).await?;
        expect_ok(&format!("GET {path}"), &reply)?;
        reply.json()
    }

    /// Reads a counter from the metrics of a daemon, summed over its labels.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn metric(&self, admin: SocketAddr, name: &str) -> Result<f64> {
        let text = self.get(admin, "/metrics").await?.text();
        let values = text.lines().filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let series = series.split('{').next()?;
            (series == name).then(|| value.parse::<f64>().ok())?
        });
        Ok(values.sum())
    }

    /// Posts JSON to a path of a server, such as a control of a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not 200.
    pub async fn post_json(
        &self,
        server: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply> {
        let url = format!("http://{server}{path}");
        let body = serde_json::to_vec(body)?;
        let headers = [("content-type", "application/json")];
        let reply = self.send("POST", &url, &headers, body).await?;
        expect_ok(&format!("POST {path}"), &reply)?;
        Ok(reply)
    }
}

/// Fails unless the status of an answer is 200.
///
/// # Errors
///
/// Fails with the status and body of the answer.
pub fn expect_ok(what: &str, reply: &Reply) -> Result<()> {
    if reply.status == 200 {
        return Ok(());
    }
    Err(Error::Unexpected {
        what: format!("{what} gave {}: {}", reply.status, reply.text()),
    })
}
