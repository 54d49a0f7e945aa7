//! The entry's HTTP interface for callers.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use actix::Addr;
use actix_web::dev::Server;
use actix_web::http::StatusCode;
use actix_web::web::{self, Data, Payload};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use bytes::{Bytes, BytesMut};
use metrics::counter;
use serde_json::json;
use tokio::sync::watch;

use sesamehaven::config::Index;
use sesamehaven::id::{Incarnation, RequestId};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::unit::Millis;
use sesamehaven_wire::message::Head;

use crate::caller::{AnswerBody, Caller, Job, Submit, ToCaller};
use crate::entry::Entry;
use crate::reply::{self, BadRequest};
use crate::request;
use crate::settings::EntryLimits;
use crate::trace;

/// Maximum size of an answer that is buffered until it is known to be complete.
const BUFFERED_ANSWER_MAX_BYTES: usize = 256 << 10;
/// Retry delay suggested by an entry that has no configuration yet.
const NOT_READY_RETRY_AFTER: Millis = Millis(1_000);

/// State shared by the HTTP threads.
pub struct EntryHttp {
    /// The actor that owns the requests.
    pub entry: Addr<Entry>,
    /// The configuration in force.
    pub index: watch::Receiver<Option<Arc<Index>>>,
    /// Limits on callers.
    pub limits: EntryLimits,
    /// The incarnation of this entry.
    pub incarnation: Incarnation,
    /// Distinguishes the requests of entries that started at the same time.
    pub salt: u32,
    /// The number of ids assigned so far.
    pub count: AtomicU32,
}

impl EntryHttp {
    fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        RequestId::new(self.incarnation, self.salt, count)
    }

    fn index(&self) -> Option<Arc<Index>> {
        self.index.borrow().clone()
    }
}

/// Serves callers on a bound listener; a graceful stop waits up to
/// `shutdown_timeout` for requests in flight.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub fn serve(
    listener: TcpListener,
    http: Arc<EntryHttp>,
    shutdown_timeout: Millis,
) -> io::Result<Server> {
    let limits = http.limits.clone();
    let http = Data::from(http);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(http.clone())
            .route("/v1/chat/completions", web::post().to(completions))
            .route("/v1/completions", web::post().to(completions))
            .route("/v1/models", web::get().to(models))
            .route("/services/{name}", web::to(service))
            .route("/services/{name}/{tail:.*}", web::to(service))
            .default_service(web::to(not_found))
    })
    .workers(limits.threads)
    // Nagle's algorithm would delay each token until the previous one is
    // acknowledged.
    .tcp_nodelay(true)
    .max_connections(limits.connections)
    .client_request_timeout(limits.header_timeout.duration())
    .keep_alive(limits.idle_timeout.duration())
    // A half-closed connection counts as a disconnect, which cancels the request.
    .h1_allow_half_closed(false)
    .disable_signals()
    .shutdown_timeout(shutdown_timeout.whole_secs())
    .listen(listener)?;
    Ok(server.run())
}

async fn completions(req: HttpRequest, payload: Payload, http: Data<EntryHttp>) -> HttpResponse {
    handle(&req, payload, &http, request::completion).await
}

async fn service(req: HttpRequest, payload: Payload, http: Data<EntryHttp>) -> HttpResponse {
    let name = req.match_info().query("name").to_owned();
    let tail = req.match_info().query("tail").to_owned();
    let parse =
        |index: &Index, req: &HttpRequest, body| request::service(index, req, &name, &tail, body);
    handle(&req, payload, &http, parse).await
}

async fn models(req: HttpRequest, http: Data<EntryHttp>) -> HttpResponse {
    let Some(index) = http.index() else {
        return not_ready();
    };
    match request::models(&index, &req) {
        Ok(models) => {
            let data = models
                .iter()
                .map(|name| json!({ "id": name, "object": "model" }));
            let data: Vec<_> = data.collect();
            HttpResponse::Ok().json(json!({ "object": "list", "data": data }))
        }
        Err(err) => refuse(&err),
    }
}

async fn not_found() -> HttpResponse {
    let message = "there is nothing here; use /v1/chat/completions, /v1/completions, /v1/models or /services/{name}/";
    refuse(&BadRequest::new("not_found", message).with_status(StatusCode::NOT_FOUND))
}

/// Parses a request, submits it and forwards the answer.
async fn handle<F>(req: &HttpRequest, payload: Payload, http: &EntryHttp, parse: F) -> HttpResponse
where
    F: FnOnce(&Index, &HttpRequest, Bytes) -> request::Result<Job>,
{
    let Some(index) = http.index() else {
        return not_ready();
    };
    let limits = &http.limits;
    let body =
        request::read_body(payload, limits.body.len(), limits.header_timeout.duration()).await;
    let job = body.and_then(|body| parse(&index, req, body));
    let mut job = match job {
        Ok(job) => job,
        Err(err) => return refuse(&err),
    };
    let traceparent = trace::ensure_traceparent(&mut job.headers);
    let (mut caller, tx) = Caller::new(http.next_id(), http.entry.clone(), limits.window_chunks);
    let id = caller.id();
    let job = Box::new(job);
    http.entry.do_send(Submit { id, job, tx });
    let mut res = match caller.next().await {
        ToCaller::Head(head) => forward_answer(caller, &head).await,
        ToCaller::NotRun(refused) => reply::not_run(refused),
        ToCaller::Unknown(reason) => reply::unknown(reason),
        ToCaller::Chunk(_) | ToCaller::Complete => {
            reply::unknown(sesamehaven::lifecycle::UnknownReason::NoReply)
        }
    };
    trace::set_response_headers(res.headers_mut(), &traceparent, id);
    res
}

/// Forwards an answer: event streams as they arrive, anything else once it is
/// complete or exceeds [`BUFFERED_ANSWER_MAX_BYTES`].
async fn forward_answer(mut caller: Caller, head: &Head) -> HttpResponse {
    let events = is_event_stream(head);
    if events {
        return respond(head).streaming(AnswerBody::new(caller, events));
    }
    let mut held = BytesMut::new();
    loop {
        match caller.next().await {
            ToCaller::Head(_) => {}
            ToCaller::Chunk(chunk) => held.extend_from_slice(&chunk),
            ToCaller::Complete => return respond(head).body(held.freeze()),
            ToCaller::NotRun(refused) => return reply::not_run(refused),
            ToCaller::Unknown(reason) => return reply::unknown(reason),
        }
        if held.len() > BUFFERED_ANSWER_MAX_BYTES {
            let received = futures_util::stream::iter([Ok(held.freeze())]);
            let rest = AnswerBody::new(caller, events);
            return respond(head).streaming(futures_util::StreamExt::chain(received, rest));
        }
    }
}

fn respond(head: &Head) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    for (name, value) in &head.headers {
        res.append_header((name.as_str(), value.as_ref()));
    }
    res
}

fn is_event_stream(head: &Head) -> bool {
    let mut headers = head.headers.iter();
    headers.any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"))
}

fn refuse(err: &BadRequest) -> HttpResponse {
    counter!("entry_bad_requests_total", "code" => err.code()).increment(1);
    err.response()
}

fn not_ready() -> HttpResponse {
    reply::not_run(Refused {
        reason: Refusal::Unavailable,
        retry_after: NOT_READY_RETRY_AFTER,
        admits: None,
    })
}
