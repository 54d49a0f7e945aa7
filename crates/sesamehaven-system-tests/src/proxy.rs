//! Control of the fault-injecting proxy.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::Result;
use crate::fleet::Fleet;
use crate::http::{Http, expect_ok};

/// The transport of a route through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// TCP connections.
    Tcp,
    /// UDP datagrams.
    Udp,
}

/// A client of a running proxy, whose process belongs to the fleet.
#[derive(Clone)]
pub struct Proxy {
    http: Http,
    control: SocketAddr,
}

impl Proxy {
    /// Starts a proxy without routes.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn start(fleet: &mut Fleet, name: &str) -> Result<Self> {
        let control = fleet.start_standin("standin-proxy", name, &[]).await?;
        Ok(Proxy {
            http: fleet.http.clone(),
            control,
        })
    }

    /// Adds a route and returns its listening address; its target can be set later.
    ///
    /// # Errors
    ///
    /// Fails when the proxy rejects the route.
    pub async fn add_route(
        &self,
        name: &str,
        transport: Transport,
        target: Option<SocketAddr>,
    ) -> Result<SocketAddr> {
        #[derive(Deserialize)]
        struct Added {
            listen: SocketAddr,
        }
        let transport = match transport {
            Transport::Tcp => "tcp",
            Transport::Udp => "udp",
        };
        let new = json!({ "name": name, "transport": transport, "target": target });
        let added = self.http.post_json(self.control, "/control/routes", &new);
        let added: Added = added.await?.json()?;
        Ok(added.listen)
    }

    /// Sets the target of a route for new connections.
    ///
    /// # Errors
    ///
    /// Fails when there is no such route.
    pub async fn set_target(&self, name: &str, target: SocketAddr) -> Result<()> {
        let url = format!("http://{}/control/routes/{name}", self.control);
        let body = json!({ "target": target }).to_string();
        let headers = [("content-type", "application/json")];
        let response = self.http.send("PUT", &url, &headers, body).await?;
        expect_ok(&url, &response)
    }

    /// Changes the injected faults, as described in docs/STANDINS.md, for example
    /// `json!({"route": "link", "scope": "existing", "silent": "both"})`.
    ///
    /// # Errors
    ///
    /// Fails when the proxy rejects the change.
    pub async fn set_faults(&self, change: &Value) -> Result<()> {
        let changed = self.http.post_json(self.control, "/control/faults", change);
        changed.await.map(|_| ())
    }
}
