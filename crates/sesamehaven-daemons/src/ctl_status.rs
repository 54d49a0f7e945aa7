//! `sesamectl status`: readiness and generations of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::Serialize;
use serde_json::{Value, json};

use sesamehaven::id::Generation;

use crate::ctl::{Exit, Output, Result};
use crate::ctl_options::StoreOptions;

const HTTP_TIMEOUT: Duration = Duration::from_secs(3);

/// The status of a daemon.
#[derive(Debug, Serialize)]
struct DaemonStatus {
    daemon: SocketAddr,
    name: Option<String>,
    ready: bool,
    generation: Option<u64>,
    trouble: Option<String>,
    status: Value,
}

/// Queries daemons and, if it is given, the platform.
pub(crate) async fn run(store: Option<StoreOptions>, daemons: &[SocketAddr]) -> Result<Output> {
    let head = match store {
        Some(store) => store.open().head().await?.map(|f| f.head.generation),
        None => None,
    };
    let client = Client::builder().timeout(HTTP_TIMEOUT).finish();
    let requests = daemons.iter().map(|daemon| ask(&client, *daemon));
    let statuses = futures_util::future::join_all(requests).await;
    let highest = statuses.iter().filter_map(|s| s.generation).max();
    let expected = head.map(|g| g.0).or(highest);
    let behind = |s: &DaemonStatus| !s.ready || s.generation != expected;
    let exit = match statuses.iter().any(behind) {
        true => Exit::Difference,
        false => Exit::Done,
    };
    let backward = head.zip(highest).is_some_and(|(head, h)| head.0 < h);
    Ok(Output {
        text: text(head, &statuses, backward.then_some(highest).flatten()),
        json: json!({ "in_force": head, "highest": highest, "daemons": statuses }),
        exit,
    })
}

fn text(head: Option<Generation>, statuses: &[DaemonStatus], above: Option<u64>) -> String {
    let mut text = match head {
        Some(head) => format!("generation {head} is in force in the platform\n"),
        None => String::new(),
    };
    for s in statuses {
        let name = s.name.as_deref().unwrap_or("?");
        let generation = match s.generation {
            Some(generation) => format!("generation {generation}"),
            None => "no configuration".into(),
        };
        let state = if s.ready { "ready" } else { "not ready" };
        text += &format!("{}  {name}  {state}  {generation}", s.daemon);
        if let Some(trouble) = &s.trouble {
            text += &format!("  ({trouble})");
        }
        text.push('\n');
    }
    if let Some(above) = above {
        text += &format!(
            "The platform is behind the daemons, as if it was restored from an old copy.\n\
             The daemons keep what they serve. Apply with --above {above} to go on.\n"
        );
    }
    text
}

async fn ask(client: &Client, daemon: SocketAddr) -> DaemonStatus {
    let mut result = DaemonStatus {
        daemon,
        name: None,
        ready: false,
        generation: None,
        trouble: None,
        status: Value::Null,
    };
    match get(client, daemon, "/readyz").await {
        Ok((ready, answer)) => {
            result.ready = ready;
            result.trouble = answer.get("why").and_then(Value::as_str).map(Into::into);
        }
        Err(trouble) => {
            result.trouble = Some(trouble);
            return result;
        }
    }
    if let Ok((_, status)) = get(client, daemon, "/status").await {
        result.name = status.get("name").and_then(Value::as_str).map(Into::into);
        let generation = status.get("generation").and_then(Value::as_u64);
        result.generation = generation.filter(|g| *g > 0);
        result.status = status;
    }
    result
}

async fn get(
    client: &Client,
    daemon: SocketAddr,
    path: &str,
) -> std::result::Result<(bool, Value), String> {
    let sent = client.get(format!("http://{daemon}{path}")).send().await;
    let mut res = sent.map_err(|err| err.to_string())?;
    let body = res.body().await.map_err(|err| err.to_string())?;
    let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok((res.status() == StatusCode::OK, value))
}
