//! The HTTP interface of the engine's stand-in.

use std::time::Duration;

use actix_web::body::BoxBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
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
                .wrap(from_fn(closed_while_down))
                .route("/v1/completions", web::post().to(text))
                .route("/v1/chat/completions", web::post().to(chat))
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

/// Returns a header's text, if it is there and readable.
pub fn header(req: &HttpRequest, name: &str) -> Option<SmolStr> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(SmolStr::from)
}

/// Closes connections without an answer while the engine is down.
async fn closed_while_down(
    req: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let engine = req.app_data::<web::Data<Engine>>();
    if engine.is_some_and(|engine| engine.state().is_down()) {
        return Ok(req.into_response(aborted_response()));
    }
    next.call(req).await
}

async fn text(engine: web::Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    complete(&engine, &req, &body, ApiKind::Text).await
}

async fn chat(engine: web::Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    complete(&engine, &req, &body, ApiKind::Chat).await
}

async fn complete(
    engine: &Engine,
    req: &HttpRequest,
    body: &Bytes,
    style: ApiKind,
) -> HttpResponse {
    if engine.state().faults.refuse {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(e) => {
            let error = json!({ "error": { "code": "bad_request", "message": e.to_string() } });
            return HttpResponse::BadRequest().json(error);
        }
    };
    let streamed = completion.stream;
    let parts = engine.submit(&Request {
        completion,
        style,
        request_id: header(req, "Request-Id"),
        key: header(req, "Idempotency-Key"),
        crashes: contains_mark(body, &engine.options().crash.mark),
    });
    if streamed {
        return event_stream(parts);
    }
    whole(parts).await
}

/// Returns whether a body holds a mark that is not empty.
pub fn contains_mark(body: &[u8], mark: &str) -> bool {
    let mark = mark.as_bytes();
    !mark.is_empty() && body.windows(mark.len()).any(|window| window == mark)
}

fn event_stream(parts: AnswerReceiver) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(received(parts))
}

fn received(parts: AnswerReceiver) -> impl Stream<Item = std::io::Result<Bytes>> {
    stream::unfold(parts, async |mut parts| Some((parts.recv().await?, parts)))
}

/// Waits for the one part that is the whole answer; without one the run was
/// cut off, and so is the connection.
async fn whole(mut parts: AnswerReceiver) -> HttpResponse {
    match parts.recv().await {
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
        Some(parts) => event_stream(parts),
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

/// A prefix as it is moved between engines.
#[derive(Debug, Serialize, Deserialize)]
struct Exported {
    prefix: BlockId,
    blocks: Vec<BlockId>,
}

/// Waits as long as the transfer of some blocks takes.
async fn transfer(engine: &Engine, blocks: usize) {
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
    transfer(&engine, blocks.len()).await;
    HttpResponse::Ok().json(Exported { prefix, blocks })
}

async fn import(
    engine: web::Data<Engine>,
    prefix: web::Path<BlockId>,
    exported: web::Json<Exported>,
) -> HttpResponse {
    if exported.blocks.last() != Some(&prefix.into_inner()) {
        return HttpResponse::BadRequest().finish();
    }
    transfer(&engine, exported.blocks.len()).await;
    let mut state = engine.state();
    state
        .cache
        .insert(&exported.blocks, std::time::Instant::now());
    HttpResponse::Ok().finish()
}

async fn order(engine: web::Data<Engine>, order: web::Json<Order>) -> HttpResponse {
    let order = order.into_inner();
    let takes_time = order.kind == OrderKind::Load;
    let accepted = engine.state().orders.take(order);
    if !accepted {
        return HttpResponse::Conflict().finish();
    }
    if takes_time {
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
