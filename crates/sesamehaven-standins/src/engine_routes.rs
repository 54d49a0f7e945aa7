//! The HTTP interface of the stand-in engine.

use std::time::Duration;

use actix_web::body::BoxBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::middleware::{Next, from_fn};
use actix_web::{Error, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::abort::aborted_response;
use crate::completion::{ApiKind, Completion};
use crate::engine::Engine;
use crate::engine_faults::FaultChange;
use crate::engine_state::{AnswerReceiver, Request};
use crate::orders::{Order, OrderKind};
use crate::prefix_cache::BlockId;

/// Registers the routes of an engine.
pub fn configure(engine: &Engine, cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::Data::new(engine.clone()))
        .service(
            web::scope("/control")
                .route("/faults", web::post().to(change_faults))
                .route("/records", web::get().to(records))
                .route("/orders", web::get().to(order_records)),
        )
        .service(
            web::scope("")
                .wrap(from_fn(abort_while_down))
                .route("/v1/completions", web::post().to(text_completion))
                .route("/v1/chat/completions", web::post().to(chat_completion))
                .route("/v1/models", web::get().to(models))
                .route("/health", web::get().to(HttpResponse::Ok))
                .route("/streams/{id}", web::get().to(resume))
                .route("/cancel/{id}", web::post().to(cancel))
                .route("/load", web::get().to(load))
                .route("/cache/events", web::get().to(events))
                .route("/kv/{prefix}", web::get().to(export))
                .route("/kv/{prefix}", web::put().to(import))
                .route("/orders", web::post().to(order)),
        );
}

/// Returns the value of a header, if it is present and visible ASCII.
pub fn header(req: &HttpRequest, name: &str) -> Option<SmolStr> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(SmolStr::from)
}

/// Closes connections without a response while the engine is down.
async fn abort_while_down(
    req: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let engine = req.app_data::<web::Data<Engine>>();
    if engine.is_some_and(|engine| engine.state().is_down()) {
        return Ok(req.into_response(aborted_response()));
    }
    next.call(req).await
}

async fn text_completion(engine: web::Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    complete(&engine, &req, &body, ApiKind::Text).await
}

async fn chat_completion(engine: web::Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    complete(&engine, &req, &body, ApiKind::Chat).await
}

async fn complete(engine: &Engine, req: &HttpRequest, body: &Bytes, api: ApiKind) -> HttpResponse {
    let faults = engine.state().faults;
    if faults.refuse {
        return refusal(faults.retry_after_ms);
    }
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(e) => {
            let error = json!({ "error": { "code": "bad_request", "message": e.to_string() } });
            return HttpResponse::BadRequest().json(error);
        }
    };
    let streamed = completion.stream;
    let answer = engine.submit(&Request {
        completion,
        api,
        request_id: header(req, "Request-Id"),
        key: header(req, "Idempotency-Key"),
        crashes: contains_mark(body, &engine.options().crash.mark),
    });
    let mut res = match streamed {
        true => event_stream(answer),
        false => unstreamed(answer).await,
    };
    let limit = engine.state().faults.rate_limit;
    if limit > 0.0
        && let Ok(limit) = HeaderValue::from_str(&limit.to_string())
    {
        let name = HeaderName::from_static("request-rate-limit");
        res.headers_mut().insert(name, limit);
    }
    res
}

fn refusal(retry_after_ms: u64) -> HttpResponse {
    let mut res = HttpResponse::ServiceUnavailable();
    if retry_after_ms > 0 {
        let secs = Duration::from_millis(retry_after_ms).as_secs_f64();
        res.insert_header(("retry-after", secs.to_string()));
    }
    res.finish()
}

/// Returns whether a body contains the mark; an empty mark never matches.
pub fn contains_mark(body: &[u8], mark: &str) -> bool {
    let mark = mark.as_bytes();
    !mark.is_empty() && body.windows(mark.len()).any(|window| window == mark)
}

fn event_stream(answer: AnswerReceiver) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(byte_stream(answer))
}

fn byte_stream(answer: AnswerReceiver) -> impl Stream<Item = std::io::Result<Bytes>> {
    stream::unfold(answer, async |mut answer| {
        Some((answer.recv().await?, answer))
    })
}

/// Waits for the answer, which arrives in one message; if the run ends
/// without one, the connection is closed.
async fn unstreamed(mut answer: AnswerReceiver) -> HttpResponse {
    match answer.recv().await {
        Some(Ok(body)) => HttpResponse::Ok()
            .content_type("application/json")
            .body(body),
        Some(Err(_)) | None => aborted_response(),
    }
}

async fn models(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.state();
    let data = state
        .orders
        .loaded()
        .iter()
        .map(|name| json!({ "id": name }));
    let data: Vec<_> = data.collect();
    HttpResponse::Ok().json(json!({ "object": "list", "data": data }))
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn resume(
    engine: web::Data<Engine>,
    id: web::Path<SmolStr>,
    query: web::Query<After>,
) -> HttpResponse {
    match engine.state().resume(&id, query.after) {
        Some(answer) => event_stream(answer),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(engine: web::Data<Engine>, id: web::Path<SmolStr>) -> HttpResponse {
    if engine.state().cancel(&id) {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::NotFound().finish()
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.load())
}

async fn events(engine: web::Data<Engine>, query: web::Query<After>) -> HttpResponse {
    let events = engine.events(query.after);
    let next = events.last().map_or(query.after, |event| event.seq);
    HttpResponse::Ok().json(json!({ "next": next, "events": events }))
}

/// A cached prefix in transfer between engines.
#[derive(Debug, Serialize, Deserialize)]
struct ExportedPrefix {
    prefix: BlockId,
    blocks: Vec<BlockId>,
}

/// Simulates the transfer time of a number of blocks.
async fn simulate_transfer(engine: &Engine, blocks: usize) {
    let tokens = blocks * engine.options().block_tokens;
    let time_s = tokens as f64 / engine.options().kv_per_s.max(1.0);
    sleep(Duration::from_secs_f64(time_s)).await;
}

async fn export(engine: web::Data<Engine>, prefix: web::Path<BlockId>) -> HttpResponse {
    let prefix = prefix.into_inner();
    let chain = engine.state().cache.chain(prefix);
    let Some(blocks) = chain else {
        return HttpResponse::NotFound().finish();
    };
    simulate_transfer(&engine, blocks.len()).await;
    HttpResponse::Ok().json(ExportedPrefix { prefix, blocks })
}

async fn import(
    engine: web::Data<Engine>,
    prefix: web::Path<BlockId>,
    exported: web::Json<ExportedPrefix>,
) -> HttpResponse {
    if exported.blocks.last() != Some(&prefix.into_inner()) {
        return HttpResponse::BadRequest().finish();
    }
    simulate_transfer(&engine, exported.blocks.len()).await;
    let mut state = engine.state();
    state
        .cache
        .insert(&exported.blocks, std::time::Instant::now());
    HttpResponse::Ok().finish()
}

async fn order(engine: web::Data<Engine>, order: web::Json<Order>) -> HttpResponse {
    let order = order.into_inner();
    let is_load = order.kind == OrderKind::Load;
    let accepted = engine.state().orders.receive(order);
    if !accepted {
        return HttpResponse::Conflict().finish();
    }
    if is_load {
        sleep(engine.options().load_time).await;
    }
    HttpResponse::Ok().finish()
}

async fn change_faults(engine: web::Data<Engine>, change: web::Json<FaultChange>) -> HttpResponse {
    HttpResponse::Ok().json(engine.change(&change))
}

async fn records(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.state().records())
}

async fn order_records(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.state().orders.records())
}
