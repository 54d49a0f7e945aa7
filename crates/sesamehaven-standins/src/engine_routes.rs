//! The HTTP interface of the engine's stand-in.

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use serde_json::json;
use smol_str::SmolStr;

use crate::abort::abort;
use crate::completion::{Completion, Style};
use crate::engine::{Engine, Parts};

/// Registers the routes of an engine.
pub fn configure(engine: &Engine, cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::Data::new(engine.clone()))
        .route("/v1/completions", web::post().to(text))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(models))
        .route("/health", web::get().to(HttpResponse::Ok))
        .route("/cancel/{id}", web::post().to(cancel))
        .route("/load", web::get().to(load))
        .route("/control/records", web::get().to(records));
}

/// Returns a header's text, if it is there and readable.
pub fn header(req: &HttpRequest, name: &str) -> Option<SmolStr> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(SmolStr::from)
}

async fn text(engine: web::Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    complete(&engine, &req, &body, Style::Text).await
}

async fn chat(engine: web::Data<Engine>, req: HttpRequest, body: Bytes) -> HttpResponse {
    complete(&engine, &req, &body, Style::Chat).await
}

async fn complete(engine: &Engine, req: &HttpRequest, body: &Bytes, style: Style) -> HttpResponse {
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(e) => {
            let error = json!({ "error": { "code": "bad_request", "message": e.to_string() } });
            return HttpResponse::BadRequest().json(error);
        }
    };
    let request_id = header(req, "Request-Id");
    let key = header(req, "Idempotency-Key");
    let parts = engine.submit(&completion, style, request_id, key);
    if completion.stream {
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(events(parts));
    }
    whole(parts).await
}

fn events(parts: Parts) -> impl futures_util::Stream<Item = std::io::Result<Bytes>> {
    stream::unfold(parts, async |mut parts| Some((parts.recv().await?, parts)))
}

/// Waits for the one part that is the whole answer; without one the run was
/// cut off, and so is the connection.
async fn whole(mut parts: Parts) -> HttpResponse {
    match parts.recv().await {
        Some(Ok(body)) => HttpResponse::Ok()
            .content_type("application/json")
            .body(body),
        Some(Err(_)) | None => abort(),
    }
}

async fn models() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "object": "list", "data": [] }))
}

async fn cancel(engine: web::Data<Engine>, id: web::Path<SmolStr>) -> HttpResponse {
    if engine.cancel(&id) {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::NotFound().finish()
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.load())
}

async fn records(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.records())
}
