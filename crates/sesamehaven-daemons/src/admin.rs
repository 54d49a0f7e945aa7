//! The admin address of a daemon: metrics, health, readiness and status.

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

/// Interval at which histogram samples are aggregated, which bounds their memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Bucket bounds of latency histograms, in seconds.
const LATENCY_BUCKETS_SECS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.010, 0.020, 0.050, 0.066, 0.100, 0.200, 0.500, 1.0, 2.0, 5.0, 30.0,
];

/// The status of a daemon, as shown to operators.
#[derive(Debug, Clone, Default)]
pub struct Status(Arc<Mutex<StatusData>>);

#[derive(Debug, Default)]
struct StatusData {
    ready: bool,
    not_ready_reason: &'static str,
    report: Value,
    slo: Option<SloCounters>,
}

impl Status {
    /// Creates the status of a daemon that is not ready yet.
    pub fn new(not_ready_reason: &'static str) -> Self {
        let status = Status::default();
        status.set_unready(not_ready_reason);
        status
    }

    /// Marks the daemon as ready.
    pub fn set_ready(&self) {
        self.update(|data| data.ready = true);
    }

    /// Marks the daemon as not ready, with a reason.
    pub fn set_unready(&self, not_ready_reason: &'static str) {
        self.update(|data| {
            data.ready = false;
            data.not_ready_reason = not_ready_reason;
        });
    }

    /// Replaces the response of `/status`.
    pub fn set_report(&self, report: Value) {
        self.update(|data| data.report = report);
    }

    /// Updates the counts for the service-level objectives, which `/burn` returns.
    pub fn update_slo(&self, change: impl FnOnce(&mut SloCounters)) {
        self.update(|data| change(data.slo.get_or_insert_default()));
    }

    fn update<T>(&self, change: impl FnOnce(&mut StatusData) -> T) -> T {
        let mut data = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut data)
    }
}

/// Installs the metrics recorder, and aggregates its histograms regularly.
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

/// Starts the admin server and returns the bound address.
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
    let (ready, not_ready_reason) = status.update(|data| (data.ready, data.not_ready_reason));
    if ready {
        return HttpResponse::Ok().json(json!({ "ready": true }));
    }
    HttpResponse::ServiceUnavailable().json(json!({ "ready": false, "why": not_ready_reason }))
}

async fn report(status: web::Data<Status>) -> HttpResponse {
    HttpResponse::Ok().json(status.update(|data| data.report.clone()))
}

/// Returns the counts of recent windows, with an empty list of tiers before the
/// first outcome.
async fn burn(status: web::Data<Status>) -> HttpResponse {
    let snapshot = status.update(|data| data.slo.as_ref().map(|b| b.snapshot(clock::now())));
    HttpResponse::Ok().json(snapshot.unwrap_or_default())
}

async fn log_level() -> HttpResponse {
    HttpResponse::Ok().json(logs::level().map(LogLevel::as_str))
}

/// Accepts the level as plain text or as a JSON string.
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
