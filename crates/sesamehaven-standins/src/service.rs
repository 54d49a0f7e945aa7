//! The stand-in plain service, which echoes and records each call.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::abort::{aborted_response, connection_aborted};
use crate::engine_routes::{contains_mark, header};
use crate::record::{CallRecord, unix_ms};

/// A change of the injected faults; absent fields remain unchanged.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// The duration of each call.
    pub delay_ms: Option<u64>,
    /// Whether calls take effect but are not answered while this is set.
    pub stall: Option<bool>,
    /// The number of subsequent calls that take effect but lose their response.
    pub lose_answers: Option<u32>,
    /// The number of subsequent calls that take effect but lose half of their response body.
    pub cut_answers: Option<u32>,
    /// Whether responses have a `Content-Length` header instead of chunked encoding.
    pub tell_length: Option<bool>,
    /// Whether every call is answered with 503 and takes no effect.
    pub refuse: Option<bool>,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Faults {
    delay_ms: u64,
    stall: bool,
    lose_answers: u32,
    cut_answers: u32,
    tell_length: bool,
    refuse: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    records: Vec<CallRecord>,
}

/// A plain service, shared by its handlers.
#[derive(Debug, Clone)]
pub struct Service {
    state: Arc<Mutex<State>>,
    crash_mark: SmolStr,
}

impl Service {
    /// Builds a service whose calls take `delay` and whose process exits when a
    /// body contains `crash_mark`.
    pub fn new(delay: Duration, crash_mark: SmolStr) -> Self {
        let faults = Faults {
            delay_ms: delay.as_millis() as u64,
            tell_length: true,
            ..Faults::default()
        };
        let state = State {
            faults,
            records: Vec::new(),
        };
        Service {
            state: Arc::new(Mutex::new(state)),
            crash_mark,
        }
    }

    /// Registers the routes.
    pub fn configure(&self, cfg: &mut web::ServiceConfig) {
        cfg.app_data(web::Data::new(self.clone()))
            .route("/control/records", web::get().to(records))
            .route("/control/faults", web::post().to(change_faults))
            .default_service(web::to(call));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records the effect of a call and returns the index of its record and the
    /// faults that apply to it; counts down the faults that affect a number of calls.
    fn record_call(&self, req: &HttpRequest, body: &[u8]) -> (usize, Faults) {
        let mut state = self.state();
        state.records.push(CallRecord {
            method: req.method().as_str().into(),
            path: req.uri().to_string().into(),
            key: header(req, "Idempotency-Key"),
            request_id: header(req, "Request-Id"),
            body_bytes: body.len() as u64,
            effect_ms: unix_ms(),
            answered_ms: None,
        });
        let faults = state.faults;
        state.faults.lose_answers = faults.lose_answers.saturating_sub(1);
        state.faults.cut_answers = faults.cut_answers.saturating_sub(1);
        (state.records.len() - 1, faults)
    }
}

async fn call(service: web::Data<Service>, req: HttpRequest, body: Bytes) -> HttpResponse {
    if service.state().faults.refuse {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let (record_index, faults) = service.record_call(&req, &body);
    if contains_mark(&body, &service.crash_mark) {
        std::process::exit(CRASH_STATUS);
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    while service.state().faults.stall {
        sleep(STALL_POLL_INTERVAL).await;
    }
    if faults.lose_answers > 0 {
        return aborted_response();
    }
    let echo = json!({
        "method": req.method().as_str(),
        "path": req.uri().to_string(),
        "body": String::from_utf8_lossy(&body),
        "idempotency_key": header(&req, "Idempotency-Key"),
    });
    let echo = Bytes::from(echo.to_string());
    if faults.cut_answers == 0 {
        service.state().records[record_index].answered_ms = Some(unix_ms());
    }
    respond(echo, &faults)
}

/// Builds the response; a cut one breaks the connection after half of its body.
fn respond(echo: Bytes, faults: &Faults) -> HttpResponse {
    let cut = faults.cut_answers > 0;
    let len = if cut { echo.len() / 2 } else { echo.len() };
    let mut chunks = vec![Ok(echo.slice(..len))];
    if cut {
        chunks.push(Err(connection_aborted()));
    }
    let chunks = stream::iter(chunks).then(async |chunk| {
        // The pause lets the preceding bytes reach the connection before it breaks.
        sleep(CHUNK_PAUSE).await;
        chunk
    });
    let mut res = HttpResponse::Ok();
    res.content_type("application/json");
    if faults.tell_length {
        return res.body(SizedStream::new(echo.len() as u64, Box::pin(chunks)));
    }
    res.streaming(Box::pin(chunks))
}

/// The exit status of a stand-in that crashes on request or on a marked body.
pub const CRASH_STATUS: i32 = 70;

const CHUNK_PAUSE: Duration = Duration::from_millis(1);
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn records(service: web::Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(&service.state().records)
}

async fn change_faults(
    service: web::Data<Service>,
    change: web::Json<FaultChange>,
) -> HttpResponse {
    let faults = &mut service.state().faults;
    faults.delay_ms = change.delay_ms.unwrap_or(faults.delay_ms);
    faults.stall = change.stall.unwrap_or(faults.stall);
    faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
    faults.cut_answers = change.cut_answers.unwrap_or(faults.cut_answers);
    faults.tell_length = change.tell_length.unwrap_or(faults.tell_length);
    faults.refuse = change.refuse.unwrap_or(faults.refuse);
    HttpResponse::Ok().json(*faults)
}
