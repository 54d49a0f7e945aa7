//! The stand-in platform: objects, watches, VMs and the weight store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_web::error::{ErrorBadRequest, ErrorServiceUnavailable};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, Result, web};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};

use crate::abort::aborted_response;
use crate::objects::{Object, Objects, WriteError};
use crate::vm::Vm;
use crate::weight_store::WeightStore;

const OBJECT_VERSION: &str = "Object-Version";
const IF_VERSION: &str = "If-Version";

/// A change of the injected faults; absent fields remain unchanged.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// Whether every call is answered with 503.
    pub down: Option<bool>,
    /// Whether calls receive no response at all.
    pub silent: Option<bool>,
    /// The delay before each call takes effect.
    pub slow_ms: Option<u64>,
    /// The number of subsequent writes that take effect but lose their response.
    pub lose_answers: Option<u32>,
    /// The delay until the list of VMs shows a change.
    pub vm_lag_ms: Option<u64>,
    /// The number of weight fetches granted per second.
    pub weights_per_second: Option<f64>,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Faults {
    down: bool,
    silent: bool,
    slow_ms: u64,
    lose_answers: u32,
    vm_lag_ms: u64,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    faults: Faults,
    counts: BTreeMap<SmolStr, u64>,
    watchers: HashMap<String, Arc<Notify>>,
    vms: Vec<Vm>,
    pending_vms: VecDeque<(Instant, Vec<Vm>)>,
    weights: WeightStore,
}

impl State {
    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(SmolStr::new_static(kind)).or_default() += 1;
    }

    fn notify(&self, path: &str) {
        if let Some(watcher) = self.watchers.get(path) {
            watcher.notify_waiters();
        }
    }

    fn notify_all(&self) {
        self.watchers.values().for_each(|w| w.notify_waiters());
    }

    /// Returns whether the response to this write is lost, and decrements the number
    /// of responses still to be lost.
    fn take_lost_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }

    fn change(&mut self, change: &FaultChange, now: Instant) {
        let faults = &mut self.faults;
        faults.down = change.down.unwrap_or(faults.down);
        faults.silent = change.silent.unwrap_or(faults.silent);
        faults.slow_ms = change.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
        faults.vm_lag_ms = change.vm_lag_ms.unwrap_or(faults.vm_lag_ms);
        if let Some(per_second) = change.weights_per_second {
            self.weights = WeightStore::new(per_second, now);
        }
        self.notify_all();
    }

    /// Applies the VM changes that are due and returns the list of VMs.
    fn listed_vms(&mut self, now: Instant) -> &[Vm] {
        while self.pending_vms.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, vms)) = self.pending_vms.pop_front() {
                self.vms = vms;
            }
        }
        &self.vms
    }
}

/// The platform's state, shared by its handlers.
#[derive(Debug, Clone)]
pub struct Platform(Arc<Mutex<State>>);

impl Platform {
    /// Builds an empty platform whose weight store grants `weights_per_second` fetches per second.
    pub fn new(weights_per_second: f64) -> Self {
        Platform(Arc::new(Mutex::new(State {
            objects: Objects::default(),
            faults: Faults::default(),
            counts: BTreeMap::new(),
            watchers: HashMap::new(),
            vms: Vec::new(),
            pending_vms: VecDeque::new(),
            weights: WeightStore::new(weights_per_second, Instant::now()),
        })))
    }

    /// Registers the routes.
    pub fn configure(&self, cfg: &mut web::ServiceConfig) {
        cfg.app_data(web::Data::new(self.clone()))
            .route("/objects", web::get().to(list))
            .route("/objects/{path:.+}", web::get().to(get))
            .route("/objects/{path:.+}", web::put().to(put))
            .route("/objects/{path:.+}", web::delete().to(delete))
            .route("/watch/{path:.+}", web::get().to(watch))
            .route("/vms", web::get().to(vms))
            .route("/weights/{name:.+}", web::post().to(weights))
            .route("/control/faults", web::post().to(change_faults))
            .route("/control/vms", web::put().to(change_vms))
            .route("/control/counts", web::get().to(counts))
            .route("/control/clear", web::post().to(clear));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts a call and applies the current faults.
    ///
    /// # Errors
    ///
    /// Fails with 503 while the platform is down.
    async fn apply_faults(&self, kind: &'static str) -> Result<()> {
        let faults = {
            let mut state = self.state();
            state.count(kind);
            state.faults
        };
        if faults.silent {
            pending::<()>().await;
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if self.state().faults.down {
            return Err(ErrorServiceUnavailable("down"));
        }
        Ok(())
    }

    fn watcher(&self, path: &str) -> Arc<Notify> {
        let mut state = self.state();
        state.watchers.entry(path.to_owned()).or_default().clone()
    }
}

fn object_response(object: &Object) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((OBJECT_VERSION, object.version.to_string()))
        .content_type("application/json")
        .body(object.value.clone())
}

fn write_error_response(error: WriteError) -> HttpResponse {
    match error {
        WriteError::Conflict(version) => HttpResponse::Conflict()
            .insert_header((OBJECT_VERSION, version.to_string()))
            .finish(),
        WriteError::TooLarge => HttpResponse::PayloadTooLarge().finish(),
        WriteError::Absent => HttpResponse::NotFound().finish(),
    }
}

/// Parses the `If-Version` header of a write.
///
/// # Errors
///
/// Fails with 400 when the header is not a whole number.
fn expected_version(req: &HttpRequest) -> Result<Option<u64>> {
    let Some(value) = req.headers().get(IF_VERSION) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|s| s.parse().ok());
    match number {
        Some(number) => Ok(Some(number)),
        None => Err(ErrorBadRequest("If-Version must be a whole number")),
    }
}

async fn get(platform: web::Data<Platform>, path: web::Path<String>) -> Result<HttpResponse> {
    platform.apply_faults("get").await?;
    Ok(match platform.state().objects.get(&path) {
        Some(object) => object_response(object),
        None => HttpResponse::NotFound().finish(),
    })
}

async fn put(
    platform: web::Data<Platform>,
    req: HttpRequest,
    path: web::Path<String>,
    body: Bytes,
) -> Result<HttpResponse> {
    platform.apply_faults("put").await?;
    let expected = expected_version(&req)?;
    let mut state = platform.state();
    let result = state.objects.put(&path, expected, body);
    state.notify(&path);
    if state.take_lost_answer() {
        return Ok(aborted_response());
    }
    Ok(match result {
        Ok(version) => HttpResponse::Ok()
            .insert_header((OBJECT_VERSION, version.to_string()))
            .finish(),
        Err(reason) => write_error_response(reason),
    })
}

async fn delete(
    platform: web::Data<Platform>,
    req: HttpRequest,
    path: web::Path<String>,
) -> Result<HttpResponse> {
    platform.apply_faults("delete").await?;
    let expected = expected_version(&req)?;
    let mut state = platform.state();
    let result = state.objects.delete(&path, expected);
    if state.take_lost_answer() {
        return Ok(aborted_response());
    }
    Ok(match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(reason) => write_error_response(reason),
    })
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list(platform: web::Data<Platform>, query: web::Query<ListQuery>) -> Result<HttpResponse> {
    platform.apply_faults("list").await?;
    Ok(HttpResponse::Ok().json(platform.state().objects.list(&query.prefix)))
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn watch(
    platform: web::Data<Platform>,
    path: web::Path<String>,
    query: web::Query<WatchQuery>,
) -> Result<HttpResponse> {
    platform.apply_faults("watch").await?;
    let until = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    let watcher = platform.watcher(&path);
    loop {
        let changed = watcher.notified();
        let (newer, faults) = {
            let state = platform.state();
            let object = state.objects.get(&path);
            let newer = object.filter(|o| o.version > query.after).cloned();
            (newer, state.faults)
        };
        if faults.silent {
            pending::<()>().await;
        }
        if faults.down {
            return Err(ErrorServiceUnavailable("down"));
        }
        if let Some(object) = newer {
            return Ok(object_response(&object));
        }
        if timeout_at(until, changed).await.is_err() {
            return Ok(HttpResponse::NoContent().finish());
        }
    }
}

async fn vms(platform: web::Data<Platform>) -> Result<HttpResponse> {
    platform.apply_faults("vms").await?;
    Ok(HttpResponse::Ok().json(platform.state().listed_vms(Instant::now())))
}

async fn weights(platform: web::Data<Platform>) -> Result<HttpResponse> {
    platform.apply_faults("weights").await?;
    let granted = platform.state().weights.try_acquire(Instant::now());
    Ok(match granted {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(wait) => HttpResponse::build(StatusCode::TOO_MANY_REQUESTS)
            .insert_header((
                "Retry-After",
                wait.as_secs_f64().ceil().max(1.0).to_string(),
            ))
            .finish(),
    })
}

async fn change_faults(
    platform: web::Data<Platform>,
    change: web::Json<FaultChange>,
) -> HttpResponse {
    let mut state = platform.state();
    state.change(&change, Instant::now());
    HttpResponse::Ok().json(state.faults)
}

async fn change_vms(platform: web::Data<Platform>, vms: web::Json<Vec<Vm>>) -> HttpResponse {
    let mut state = platform.state();
    let at = Instant::now() + Duration::from_millis(state.faults.vm_lag_ms);
    state.pending_vms.push_back((at, vms.into_inner()));
    HttpResponse::Ok().finish()
}

async fn counts(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.state().counts)
}

async fn clear(platform: web::Data<Platform>) -> HttpResponse {
    let mut state = platform.state();
    state.objects.clear();
    state.counts.clear();
    state.faults = Faults::default();
    state.vms.clear();
    state.pending_vms.clear();
    HttpResponse::Ok().finish()
}
