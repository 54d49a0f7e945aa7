//! The control interface of the proxy.

use std::net::SocketAddr;

use actix_web::error::ErrorBadRequest;
use actix_web::{HttpResponse, Result, web};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::{TcpListener, UdpSocket};

use crate::proxy::{FaultChange, Proxy, Route, Transport};
use crate::server::check_loopback;
use crate::{proxy_tcp, proxy_udp};

/// A request to add a route.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewRoute {
    /// The name.
    pub name: SmolStr,
    /// The transport.
    pub transport: Transport,
    /// The address to forward to; it can be set later.
    #[serde(default)]
    pub target: Option<SocketAddr>,
}

/// A request to set the target of a route.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewTarget {
    /// The address to forward to.
    pub target: SocketAddr,
}

#[derive(Debug, Clone, Copy)]
struct Seed(u64);

/// Registers the control interface.
pub fn configure(proxy: &Proxy, seed: u64, cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::Data::new(proxy.clone()))
        .app_data(web::Data::new(Seed(seed)))
        .route("/control/routes", web::get().to(views))
        .route("/control/routes", web::post().to(add))
        .route("/control/routes/{name}", web::put().to(set_target))
        .route("/control/faults", web::post().to(change));
}

async fn views(proxy: web::Data<Proxy>) -> HttpResponse {
    HttpResponse::Ok().json(proxy.views())
}

async fn add(
    proxy: web::Data<Proxy>,
    seed: web::Data<Seed>,
    new: web::Json<NewRoute>,
) -> Result<HttpResponse> {
    if let Some(target) = new.target {
        check_loopback(target).map_err(|e| ErrorBadRequest(e.to_string()))?;
    }
    let new = new.into_inner();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listen, route) = match new.transport {
        Transport::Tcp => {
            let listener = TcpListener::bind(any_port).await?;
            let listen = listener.local_addr()?;
            let route = Route::new(Transport::Tcp, listen, new.target, seed.0);
            actix_rt::spawn(proxy_tcp::accept(route.clone(), listener));
            (listen, route)
        }
        Transport::Udp => {
            let socket = UdpSocket::bind(any_port).await?;
            let listen = socket.local_addr()?;
            let route = Route::new(Transport::Udp, listen, new.target, seed.0);
            actix_rt::spawn(proxy_udp::relay(route.clone(), socket));
            (listen, route)
        }
    };
    proxy.add(new.name, route);
    Ok(HttpResponse::Ok().json(json!({ "listen": listen })))
}

async fn set_target(
    proxy: web::Data<Proxy>,
    name: web::Path<SmolStr>,
    new: web::Json<NewTarget>,
) -> Result<HttpResponse> {
    check_loopback(new.target).map_err(|e| ErrorBadRequest(e.to_string()))?;
    let Some(route) = proxy.route(&name) else {
        return Ok(HttpResponse::NotFound().finish());
    };
    route.set_target(new.target);
    Ok(HttpResponse::Ok().finish())
}

async fn change(proxy: web::Data<Proxy>, change: web::Json<FaultChange>) -> HttpResponse {
    if proxy.change(&change) {
        return HttpResponse::Ok().json(proxy.views());
    }
    HttpResponse::NotFound().finish()
}
