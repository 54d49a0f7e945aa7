//! The stand-in of a plain service: it echoes each call and records it.

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

/// How the service misbehaves; absent fields of a change stay as they are.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// How long each call takes.
    pub delay_ms: Option<u64>,
    /// Whether calls take effect and are then never answered.
    pub stall: Option<bool>,
    /// How many of the next calls take effect and lose their answer.
    pub lose_answers: Option<u32>,
    /// How many of the next calls take effect and lose half of their answer.
    pub cut_answers: Option<u32>,
    /// Whether the length of an answer is told before it.
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
    /// Builds a service whose calls take `delay`, and whose process ends when
    /// a body holds `crash_mark`.
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

    /// Records the effect of a call and returns its number and the faults.
    fn begin(&self, req: &HttpRequest, body: &[u8]) -> (usize, Faults) {
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
    let (number, faults) = service.begin(&req, &body);
    if contains_mark(&body, &service.crash_mark) {
        std::process::exit(CRASH_STATUS);
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    while service.state().faults.stall {
        sleep(STALL_POLL).await;
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
        service.state().records[number].answered_ms = Some(unix_ms());
    }
    answer(echo, &faults)
}

/// Sends an answer, or half of it before the connection breaks.
fn answer(echo: Bytes, faults: &Faults) -> HttpResponse {
    let cut = faults.cut_answers > 0;
    let len = if cut { echo.len() / 2 } else { echo.len() };
    let mut parts = vec![Ok(echo.slice(..len))];
    if cut {
        parts.push(Err(connection_aborted()));
    }
    let parts = stream::iter(parts).then(async |part| {
        // A pause lets what came before reach the connection.
        sleep(PART_PAUSE).await;
        part
    });
    let mut res = HttpResponse::Ok();
    res.content_type("application/json");
    if faults.tell_length {
        return res.body(SizedStream::new(echo.len() as u64, Box::pin(parts)));
    }
    res.streaming(Box::pin(parts))
}

/// The exit status of a process that crashed on a marked body.
pub const CRASH_STATUS: i32 = 70;

const PART_PAUSE: Duration = Duration::from_millis(1);
const STALL_POLL: Duration = Duration::from_millis(10);

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
