//! The callers' HTTP interface of the entry.

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

use crate::caller::{Body, Caller, Job, Submit, ToCaller};
use crate::entry::Entry;
use crate::intake;
use crate::reply::{self, BadRequest};
use crate::settings::EntryLimits;
use crate::trace;

/// The longest answer that is held until it is known to be whole, in bytes.
const HELD_BYTES: usize = 256 << 10;
/// When to come back to an entry that has no configuration yet.
const UNREADY_RETRY_AFTER: Millis = Millis(1_000);

/// What the threads that speak HTTP share.
pub struct Front {
    /// The actor that holds the requests.
    pub entry: Addr<Entry>,
    /// The configuration in force.
    pub index: watch::Receiver<Option<Arc<Index>>>,
    /// Bounds on callers.
    pub limits: EntryLimits,
    /// The run of this entry.
    pub incarnation: Incarnation,
    /// Separates the requests of entries that started at once.
    pub salt: u32,
    /// The requests that were numbered.
    pub count: AtomicU32,
}

impl Front {
    fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        RequestId::new(self.incarnation, self.salt, count)
    }

    fn index(&self) -> Option<Arc<Index>> {
        self.index.borrow().clone()
    }
}

/// Serves callers on a bound address; a stop waits `longest` for what is in flight.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub fn serve(listener: TcpListener, front: Arc<Front>, longest: Millis) -> io::Result<Server> {
    let limits = front.limits.clone();
    let front = Data::from(front);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(front.clone())
            .route("/v1/chat/completions", web::post().to(completions))
            .route("/v1/completions", web::post().to(completions))
            .route("/v1/models", web::get().to(models))
            .route("/services/{name}", web::to(service))
            .route("/services/{name}/{tail:.*}", web::to(service))
            .default_service(web::to(not_found))
    })
    .workers(limits.threads)
    // A token must not wait until the one before it is acknowledged.
    .tcp_nodelay(true)
    .max_connections(limits.connections)
    .client_request_timeout(limits.header_timeout.duration())
    .keep_alive(limits.idle_timeout.duration())
    // A caller that has closed its end is gone, and its request with it.
    .h1_allow_half_closed(false)
    .disable_signals()
    .shutdown_timeout(longest.whole_secs())
    .listen(listener)?;
    Ok(server.run())
}

async fn completions(req: HttpRequest, payload: Payload, front: Data<Front>) -> HttpResponse {
    handle(&req, payload, &front, intake::completion).await
}

async fn service(req: HttpRequest, payload: Payload, front: Data<Front>) -> HttpResponse {
    let name = req.match_info().query("name").to_owned();
    let tail = req.match_info().query("tail").to_owned();
    let read =
        |index: &Index, req: &HttpRequest, body| intake::service(index, req, &name, &tail, body);
    handle(&req, payload, &front, read).await
}

async fn models(req: HttpRequest, front: Data<Front>) -> HttpResponse {
    let Some(index) = front.index() else {
        return unready();
    };
    match intake::models(&index, &req) {
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

/// Reads a request, has it run and passes the answer on.
async fn handle<F>(req: &HttpRequest, payload: Payload, front: &Front, read: F) -> HttpResponse
where
    F: FnOnce(&Index, &HttpRequest, Bytes) -> intake::Result<Job>,
{
    let Some(index) = front.index() else {
        return unready();
    };
    let limits = &front.limits;
    let body =
        intake::read_body(payload, limits.body.len(), limits.header_timeout.duration()).await;
    let job = body.and_then(|body| read(&index, req, body));
    let mut job = match job {
        Ok(job) => job,
        Err(err) => return refuse(&err),
    };
    let traceparent = trace::ensure(&mut job.headers);
    let (mut caller, tx) = Caller::new(front.next_id(), front.entry.clone(), limits.window_chunks);
    let id = caller.id();
    let job = Box::new(job);
    front.entry.do_send(Submit { id, job, tx });
    let mut res = match caller.next().await {
        ToCaller::Head(head) => answer(caller, &head).await,
        ToCaller::NotRun(refused) => reply::not_run(refused),
        ToCaller::Unknown(doubt) => reply::unknown(doubt),
        ToCaller::Chunk(_) | ToCaller::Whole => {
            reply::unknown(sesamehaven::lifecycle::UnknownReason::NoReply)
        }
    };
    trace::mark(res.headers_mut(), &traceparent, id);
    res
}

/// Passes an answer on: a stream as it arrives, all else when it is whole.
async fn answer(mut caller: Caller, head: &Head) -> HttpResponse {
    let events = is_event_stream(head);
    if events {
        return respond(head).streaming(Body::new(caller, events));
    }
    let mut held = BytesMut::new();
    loop {
        match caller.next().await {
            ToCaller::Head(_) => {}
            ToCaller::Chunk(chunk) => held.extend_from_slice(&chunk),
            ToCaller::Whole => return respond(head).body(held.freeze()),
            ToCaller::NotRun(refused) => return reply::not_run(refused),
            ToCaller::Unknown(doubt) => return reply::unknown(doubt),
        }
        if held.len() > HELD_BYTES {
            let begun = futures_util::stream::iter([Ok(held.freeze())]);
            let rest = Body::new(caller, events);
            return respond(head).streaming(futures_util::StreamExt::chain(begun, rest));
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

fn unready() -> HttpResponse {
    reply::not_run(Refused {
        reason: Refusal::Unavailable,
        retry_after: UNREADY_RETRY_AFTER,
        admits: None,
    })
}
