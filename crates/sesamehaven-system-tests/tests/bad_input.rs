//! Invalid requests, slow or disconnecting callers, and random bytes on the ports: none may run
//! by mistake, hold resources or harm other requests.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Instant, sleep};

use sesamehaven_system_tests::http::{Response, expect_ok};
use sesamehaven_system_tests::{Fleet, Result, wait};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");
const SEED: u64 = 11;

/// Limits that a test reaches quickly. The HTTP library checks the header timeout
/// in steps of 500 ms.
const LIMITS: &str = "limits: { body: 4 KiB, header_timeout: 1500 ms, idle_timeout: 60 s }";

/// Starts an entry and an agent with one engine and one plain service.
async fn start_fleet(engine_args: &[&str]) -> Result<Fleet> {
    let mut fleet = Fleet::new().await?;
    fleet
        .add_engine("engine-1", "model-a", "agent-1", engine_args)
        .await?;
    fleet
        .add_service("service-1", "booking", "agent-1", &[])
        .await?;
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await?;
    fleet.start_entry("entry-1", LIMITS).await?;
    fleet.start_agent("agent-1", "").await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_endpoints("entry-1", 2).await?;
    Ok(fleet)
}

/// The description, headers, body and expected status of an invalid request.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16);

fn entry_address(fleet: &Fleet) -> SocketAddr {
    fleet.daemon("entry-1").address()
}

async fn records(fleet: &Fleet) -> Result<Vec<Value>> {
    let engine = fleet.standin("engine-1").address();
    fleet.http.get_json(engine, "/control/records").await
}

async fn complete(fleet: &Fleet, headers: &[(&str, &str)], body: &str) -> Result<Response> {
    let url = format!("http://{}/v1/completions", entry_address(fleet));
    fleet
        .http
        .send("POST", &url, headers, body.to_owned())
        .await
}

/// Sends a valid request to check that the system still serves.
async fn check_serving(fleet: &Fleet) -> Result<()> {
    let body = json!({ "model": "model-a", "prompt": "a", "max_tokens": 1 }).to_string();
    let response = complete(fleet, &[AUTHORIZATION], &body).await?;
    expect_ok("a valid request", &response)
}

fn assert_rejected(what: &str, response: &Response, status: u16) {
    assert_eq!(response.status, status, "{what}: {}", response.text());
    assert_eq!(
        response.header("request-outcome"),
        Some("not-run"),
        "{what}"
    );
    let error: Value = response.json().unwrap_or_default();
    let text = |field: &str| {
        error["error"][field]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    assert_eq!(text("outcome"), "not-run", "{what}: {error}");
    assert!(!text("code").is_empty(), "{what}: {error}");
    assert!(!text("message").is_empty(), "{what}: {error}");
}

#[actix_rt::test]
async fn malformed_requests_are_rejected_and_not_run() {
    let fleet = start_fleet(&[]).await.unwrap();
    let valid = json!({ "model": "model-a", "prompt": "a", "max_tokens": 1 }).to_string();
    let large = json!({ "model": "model-a", "prompt": "a ".repeat(8_192) }).to_string();
    let long_key = "k".repeat(256);
    let authorization = [AUTHORIZATION];
    let with = |name, value| [AUTHORIZATION, (name, value)];
    let wrong_key = [("authorization", "Bearer nobody")];
    let no_scheme = [("authorization", "key-of-org-1")];

    let resumed = with("last-event-id", "7");
    let cases: [Case<'_>; _] = [
        ("a stream taken up again", &resumed, &valid, 400),
        ("broken JSON", &authorization, "{\"model\":", 400),
        ("an empty body", &authorization, "", 400),
        ("a list", &authorization, "[]", 400),
        (
            "a number as model",
            &authorization,
            r#"{"model":1,"prompt":"a"}"#,
            400,
        ),
        (
            "a number as prompt",
            &authorization,
            r#"{"model":"model-a","prompt":1}"#,
            400,
        ),
        (
            "negative max_tokens",
            &authorization,
            r#"{"model":"model-a","prompt":"a","max_tokens":-1}"#,
            400,
        ),
        (
            "text as stream",
            &authorization,
            r#"{"model":"model-a","prompt":"a","stream":"yes"}"#,
            400,
        ),
        ("no prompt", &authorization, r#"{"model":"model-a"}"#, 400),
        (
            "an unknown model",
            &authorization,
            r#"{"model":"model-z","prompt":"a"}"#,
            404,
        ),
        (
            "a service as model",
            &authorization,
            r#"{"model":"booking","prompt":"a"}"#,
            404,
        ),
        ("no key", &[], &valid, 401),
        ("a wrong key", &wrong_key, &valid, 401),
        ("a key without scheme", &no_scheme, &valid, 401),
        (
            "a deadline of zero",
            &with("request-timeout", "0"),
            &valid,
            400,
        ),
        (
            "a negative deadline",
            &with("request-timeout", "-1"),
            &valid,
            400,
        ),
        (
            "a deadline of NaN",
            &with("request-timeout", "NaN"),
            &valid,
            400,
        ),
        (
            "a deadline in words",
            &with("request-timeout", "soon"),
            &valid,
            400,
        ),
        (
            "an unknown class",
            &with("work-class", "board"),
            &valid,
            400,
        ),
        (
            "an empty idempotency key",
            &with("idempotency-key", ""),
            &valid,
            400,
        ),
        (
            "a long idempotency key",
            &with("idempotency-key", &long_key),
            &valid,
            400,
        ),
        ("a body over the limit", &authorization, &large, 413),
    ];
    for (what, headers, body, status) in cases {
        let response = complete(&fleet, headers, body).await;
        assert_rejected(what, &response.unwrap(), status);
    }
    let paths = [
        ("GET", "/v1/unknown"),
        ("POST", "/services/unknown/a"),
        ("POST", "/services/model-a/a"),
        ("POST", "/services/..%2f..%2fcontrol/a"),
    ];
    for (method, path) in paths {
        let url = format!("http://{}{path}", entry_address(&fleet));
        let response = fleet.http.send(method, &url, &authorization, "").await;
        assert_rejected(path, &response.unwrap(), 404);
    }
    assert_eq!(records(&fleet).await.unwrap(), [] as [Value; 0]);
    check_serving(&fleet).await.unwrap();
}

#[actix_rt::test]
async fn very_long_deadlines_are_accepted() {
    let fleet = start_fleet(&[]).await.unwrap();
    let body = json!({ "model": "model-a", "prompt": "a", "max_tokens": 1 }).to_string();
    for seconds in ["31536000", "1e300"] {
        let headers = [AUTHORIZATION, ("request-timeout", seconds)];
        let response = complete(&fleet, &headers, &body).await.unwrap();
        assert_eq!(response.status, 200, "{seconds}: {}", response.text());
    }
}

/// Sends bytes one by one until the entry closes the connection or responds.
async fn send_slowly(entry: SocketAddr, bytes: &[u8]) -> Result<String> {
    const BYTE_INTERVAL: Duration = Duration::from_millis(100);
    let mut stream = TcpStream::connect(entry).await?;
    let mut answer = Vec::new();
    let end = Instant::now() + wait::DEFAULT_TIMEOUT;
    for byte in bytes.iter().cycle() {
        assert!(
            Instant::now() < end,
            "the entry did not close the connection"
        );
        if stream.write_all(&[*byte]).await.is_err() {
            break;
        }
        let mut buf = [0; 512];
        tokio::select! {
            read = stream.read(&mut buf) => match read {
                Ok(len) if len > 0 => {
                    answer.extend_from_slice(&buf[..len]);
                    break;
                }
                _ => break,
            },
            () = sleep(BYTE_INTERVAL) => {}
        }
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[actix_rt::test]
async fn slow_senders_time_out() {
    let fleet = start_fleet(&[]).await.unwrap();
    let head = send_slowly(
        entry_address(&fleet),
        b"POST /v1/completions HTTP/1.1\r\nx: ",
    )
    .await
    .unwrap();
    assert!(
        head.is_empty() || head.starts_with("HTTP/1.1 408"),
        "{head}"
    );

    let mut stream = TcpStream::connect(entry_address(&fleet)).await.unwrap();
    let request = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n\
        authorization: Bearer key-of-org-1\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let len = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..len]).to_lowercase();
    assert!(answer.contains("request-outcome: not-run"), "{answer}");
    assert_eq!(records(&fleet).await.unwrap(), [] as [Value; 0]);
    check_serving(&fleet).await.unwrap();
}

/// Waits until the entry has this number of open requests.
async fn wait_for_open_requests(fleet: &Fleet, count: usize) -> Result<()> {
    let admin = fleet.daemon("entry-1").admin();
    wait::until("the number of open requests at the entry", async || {
        let status: Value = fleet.http.get_json(admin, "/status").await.ok()?;
        (status["requests"] == count).then_some(())
    })
    .await
}

/// Opens a connection and sends a request for `tokens` tokens without reading the response.
async fn send_unread(fleet: &Fleet, tokens: u64, stream: bool) -> Result<TcpStream> {
    let body = json!({
        "model": "model-a", "prompt": "a", "max_tokens": tokens, "stream": stream,
    });
    let body = body.to_string();
    let mut connection = TcpStream::connect(entry_address(fleet)).await?;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\
         authorization: Bearer key-of-org-1\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(request.as_bytes()).await?;
    Ok(connection)
}

/// Waits until this number of runs has started on the engine.
async fn wait_for_started_runs(fleet: &Fleet, count: usize) -> Result<()> {
    wait::until("runs to start", async || {
        let runs = records(fleet).await.ok()?;
        let started = runs.iter().filter(|run| run["started_ms"].is_number());
        (started.count() == count).then_some(())
    })
    .await
}

#[actix_rt::test]
async fn requests_of_disconnected_callers_are_cancelled() {
    let mut fleet = start_fleet(&[]).await.unwrap();
    fleet.configuration.endpoints[0].concurrency = 1;
    fleet.apply().await.unwrap();

    // Disconnects while sending the body.
    let mut partial = TcpStream::connect(entry_address(&fleet)).await.unwrap();
    let request = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{";
    partial.write_all(request.as_bytes()).await.unwrap();
    drop(partial);

    // Disconnects while the answer is streamed, and while another request is queued.
    let mut streaming = send_unread(&fleet, 100_000, true).await.unwrap();
    wait_for_started_runs(&fleet, 1).await.unwrap();
    let mut buf = [0; 64];
    streaming.read_exact(&mut buf).await.unwrap();
    let queued = send_unread(&fleet, 1, false).await.unwrap();
    wait_for_open_requests(&fleet, 2).await.unwrap();
    drop(queued);
    wait_for_open_requests(&fleet, 1).await.unwrap();
    drop(streaming);
    wait_for_open_requests(&fleet, 0).await.unwrap();

    // Disconnects while an answer that is not streamed is computed.
    let whole = send_unread(&fleet, 100_000, false).await.unwrap();
    wait_for_started_runs(&fleet, 2).await.unwrap();
    drop(whole);
    wait_for_open_requests(&fleet, 0).await.unwrap();

    wait::until("the engine to be idle", async || {
        let runs = records(&fleet).await.ok()?;
        runs.iter().all(|run| run["end"] != "running").then_some(())
    })
    .await
    .unwrap();
    let runs = records(&fleet).await.unwrap();
    assert!(runs.iter().all(|run| run["end"] != "done"), "{runs:?}");
    check_serving(&fleet).await.unwrap();
}

#[actix_rt::test]
async fn random_bytes_on_every_port_are_rejected_without_harm() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let fleet = start_fleet(&[]).await.unwrap();
    let (entry, agent) = (fleet.daemon("entry-1"), fleet.daemon("agent-1"));
    let mut streams = Vec::new();
    for _ in 0..200 {
        for address in [
            entry.address(),
            agent.address(),
            entry.admin(),
            agent.admin(),
        ] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let mut noise = vec![0; rng.random_range(1..2_000)];
            rng.fill_bytes(&mut noise);
            // The daemon may close the connection before all bytes are sent.
            let _ = stream.write_all(&noise).await;
            if rng.random_bool(0.1) {
                streams.push(stream);
            }
        }
    }
    let reports = entry.ports().udp.unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for _ in 0..2_000 {
        let mut noise = vec![0; rng.random_range(0..1_400)];
        rng.fill_bytes(&mut noise);
        socket.send_to(&noise, reports).await.unwrap();
    }
    check_serving(&fleet).await.unwrap();
    fleet.wait_for_endpoints("entry-1", 2).await.unwrap();
    for (admin, counter) in [
        (entry.admin(), "reports_dropped_total"),
        (agent.admin(), "link_handshakes_failed_total"),
    ] {
        let count = fleet.http.metric(admin, counter).await.unwrap();
        assert!(count > 0.0, "{counter} is zero");
    }
}
