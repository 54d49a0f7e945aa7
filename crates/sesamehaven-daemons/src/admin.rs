//! The operators' address of a daemon: metrics, health, readiness and status.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::{Value, json};

use sesamehaven::burn::SloCounters;

use crate::clock;
use crate::fields::Value as _;
use crate::logs;
use crate::settings::LogLevel;

/// How often histograms are folded, so that they do not grow without bound.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The bounds of latency histograms, in seconds.
const LATENCY_BUCKETS_SECS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.010, 0.020, 0.050, 0.066, 0.100, 0.200, 0.500, 1.0, 2.0, 5.0, 30.0,
];

/// What a daemon tells operators about itself.
#[derive(Debug, Clone, Default)]
pub struct Status(Arc<Mutex<Facts>>);

#[derive(Debug, Default)]
struct Facts {
    ready: bool,
    why_not: &'static str,
    report: Value,
    burn: Option<SloCounters>,
}

impl Status {
    /// Builds the status of a daemon that is not ready yet.
    pub fn new(why_not: &'static str) -> Self {
        let status = Status::default();
        status.set_unready(why_not);
        status
    }

    /// Says that the daemon can do its work.
    pub fn set_ready(&self) {
        self.update(|facts| facts.ready = true);
    }

    /// Says that the daemon cannot do its work, and why.
    pub fn set_unready(&self, why_not: &'static str) {
        self.update(|facts| {
            facts.ready = false;
            facts.why_not = why_not;
        });
    }

    /// Replaces what `/status` shows.
    pub fn set_report(&self, report: Value) {
        self.update(|facts| facts.report = report);
    }

    /// Changes the counts for the service-level objectives, which `/burn` shows.
    pub fn burn(&self, change: impl FnOnce(&mut SloCounters)) {
        self.update(|facts| change(facts.burn.get_or_insert_default()));
    }

    fn update<T>(&self, change: impl FnOnce(&mut Facts) -> T) -> T {
        let mut facts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut facts)
    }
}

/// Installs the recorder of metrics and keeps its histograms small.
///
/// # Errors
///
/// Fails when a recorder is installed already.
pub fn install_recorder() -> io::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets(&LATENCY_BUCKETS_SECS)
        .map_err(io::Error::other)?;
    let handle = builder.install_recorder().map_err(io::Error::other)?;
    let upkeep = handle.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    Ok(handle)
}

/// Serves operators and returns the address in use.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve(
    addr: SocketAddr,
    status: Status,
    recorder: PrometheusHandle,
) -> io::Result<(SocketAddr, Server)> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(status.clone()))
            .app_data(web::Data::new(recorder.clone()))
            .route("/metrics", web::get().to(metrics_text))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/readyz", web::get().to(readiness))
            .route("/status", web::get().to(report))
            .route("/burn", web::get().to(burn))
            .route("/log-level", web::get().to(log_level))
            .route("/log-level", web::put().to(set_log_level))
    })
    .workers(1)
    .disable_signals()
    .bind(addr)?;
    let addr = server.addrs().first().copied().unwrap_or(addr);
    Ok((addr, server.run()))
}

async fn metrics_text(recorder: web::Data<PrometheusHandle>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(recorder.render())
}

async fn readiness(status: web::Data<Status>) -> HttpResponse {
    let (ready, why_not) = status.update(|facts| (facts.ready, facts.why_not));
    if ready {
        return HttpResponse::Ok().json(json!({ "ready": true }));
    }
    HttpResponse::ServiceUnavailable().json(json!({ "ready": false, "why": why_not }))
}

async fn report(status: web::Data<Status>) -> HttpResponse {
    HttpResponse::Ok().json(status.update(|facts| facts.report.clone()))
}

/// Shows counts over the past, an empty list of tiers where no request came out yet.
async fn burn(status: web::Data<Status>) -> HttpResponse {
    let snapshot = status.update(|facts| facts.burn.as_ref().map(|b| b.snapshot(clock::now())));
    HttpResponse::Ok().json(snapshot.unwrap_or_default())
}

async fn log_level() -> HttpResponse {
    HttpResponse::Ok().json(logs::level().map(LogLevel::as_str))
}

/// Takes the level as a word or as a JSON string.
async fn set_log_level(body: String) -> HttpResponse {
    match LogLevel::parse(body.trim().trim_matches('"')) {
        Ok(level) => {
            logs::set_level(level);
            HttpResponse::NoContent().finish()
        }
        Err(message) => HttpResponse::BadRequest().json(json!({
            "error": { "code": "malformed_level", "message": message }
        })),
    }
}
