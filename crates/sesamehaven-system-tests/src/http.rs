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

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers, by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// An HTTP response whose body is read in chunks.
pub struct ResponseStream {
    /// The status code.
    pub status: u16,
    /// The headers, by name in lower case.
    pub headers: BTreeMap<String, String>,
    chunks: LocalBoxStream<'static, std::result::Result<Bytes, String>>,
    url: String,
}

impl ResponseStream {
    /// Waits for the next chunk of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        match self.chunks.next().await {
            Some(Ok(chunk)) => Ok(Some(chunk)),
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
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// An HTTP client with its own connection pool.
#[derive(Clone)]
pub struct Http(Client);

impl Default for Http {
    fn default() -> Self {
        Http::new()
    }
}

impl Http {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Http(client(wait::DEFAULT_TIMEOUT))
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails when no head arrives within [`wait::DEFAULT_TIMEOUT`].
    pub async fn open(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<ResponseStream> {
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
        let response = sent.map_err(|e| failed(e.to_string()))?;
        let headers = response.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        Ok(ResponseStream {
            status: response.status().as_u16(),
            headers: headers.collect(),
            url: url.into(),
            chunks: response
                .map(|chunk| chunk.map_err(|e| e.to_string()))
                .boxed_local(),
        })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when there is no response, or the connection breaks before its end.
    pub async fn send(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response> {
        let mut stream = self.open(method, url, headers, body).await?;
        let body = stream.rest().await?;
        Ok(Response {
            status: stream.status,
            headers: stream.headers,
            body,
        })
    }

    /// Sends a GET request to a path of a server.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn get(&self, server: SocketAddr, path: &str) -> Result<Response> {
        let url = format!("http://{server}{path}");
        self.send("GET", &url, &[], Bytes::new()).await
    }

    /// Sends a GET request to a path of a server and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the response is not 200 with JSON of this type.
    pub async fn get_json<T: DeserializeOwned>(&self, server: SocketAddr, path: &str) -> Result<T> {
        let response = self.get(server, path).await?;
        expect_ok(&format!("GET {path}"), &response)?;
        response.json()
    }

    /// Reads a metric of a daemon, summed over all its label values.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn metric(&self, admin: SocketAddr, name: &str) -> Result<f64> {
        let text = self.get(admin, "/metrics").await?.text();
        let values = text.lines().filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let series = series.split('{').next()?;
            (series == name).then(|| value.parse::<f64>().ok())?
        });
        Ok(values.sum())
    }

    /// Sends JSON in a POST request to a path of a server, such as a control path of
    /// a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the response is not 200.
    pub async fn post_json(
        &self,
        server: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response> {
        let url = format!("http://{server}{path}");
        let body = serde_json::to_vec(body)?;
        let headers = [("content-type", "application/json")];
        let response = self.send("POST", &url, &headers, body).await?;
        expect_ok(&format!("POST {path}"), &response)?;
        Ok(response)
    }
}

/// Checks that the status of a response is 200.
///
/// # Errors
///
/// Returns [`Error::Unexpected`] with the status and body of any other response.
pub fn expect_ok(what: &str, response: &Response) -> Result<()> {
    if response.status == 200 {
        return Ok(());
    }
    Err(Error::Unexpected {
        what: format!("{what} returned {}: {}", response.status, response.text()),
    })
}
