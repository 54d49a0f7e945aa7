//! The client side of the load tool: sends a request, reads the answer and records the outcome.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::http::header::HeaderMap;
use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::json;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::time::{Instant, timeout_at};

use crate::answer_check;
use crate::arrival::{Arrival, Content};
use crate::load_plan::{Call, Plan, StreamPlan};
use crate::record::unix_ms;
use crate::request_record::{Outcome, RequestRecord, Verdict};
use crate::sse::{Event, EventReader};
use crate::target::{Policy, SelectedTarget, Targets};

/// The maximum number of retries of the baseline policies.
const RETRIES_MAX: u32 = 3;
/// How long after its deadline a caller still waits for the outcome.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Lateness up to this is attributed to the timer, not to the load tool.
const TIMER_GRANULARITY: Duration = Duration::from_millis(3);
const BODY_MAX_BYTES: usize = 64 << 20;

/// Sends the requests of one thread.
pub struct Caller {
    /// The HTTP client.
    pub client: Client,
    /// The load plan.
    pub plan: Arc<Plan>,
    /// The addresses that requests are sent to.
    pub targets: Arc<Targets>,
    /// The start of the run.
    pub start: Instant,
    /// The start of the run in milliseconds since 1970.
    pub start_ms: u64,
}

/// A completed request with its latencies.
#[derive(Debug)]
pub struct CompletedRequest {
    /// The outcome as the caller observed it.
    pub record: RequestRecord,
    /// The delay between the scheduled and the actual time of sending.
    pub lateness: Duration,
    /// The time to the first token of a streamed answer.
    pub first_token: Option<Duration>,
    /// The total latency.
    pub total: Duration,
    /// The intervals between tokens, in microseconds.
    pub gaps_us: Vec<u32>,
}

/// The result of one attempt to send a request.
#[derive(Debug, Default)]
struct Attempt {
    outcome: Outcome,
    code: SmolStr,
    status: u16,
    retry_after_s: Option<u64>,
    verdict: Verdict,
    text: String,
    first_token: Option<Instant>,
    gaps_us: Vec<u32>,
}

impl Attempt {
    fn unknown(code: &'static str) -> Self {
        Attempt {
            code: SmolStr::new_static(code),
            ..Attempt::default()
        }
    }

    /// Returns the number of answer tokens received.
    ///
    /// An unstreamed completion counts all of its tokens if it is complete.
    fn tokens(&self, plan: &StreamPlan, content: &Content) -> u64 {
        let unstreamed = plan.call != Call::Service && !plan.streamed;
        if unstreamed && self.is_complete() {
            return content.output_tokens;
        }
        self.gaps_us.len() as u64 + u64::from(self.first_token.is_some())
    }

    fn is_complete(&self) -> bool {
        self.outcome == Outcome::Answered && self.verdict == Verdict::Whole
    }
}

impl Caller {
    /// Sends a scheduled request and waits for its outcome.
    ///
    /// Latencies count from the scheduled time if the tool sent the request
    /// late, so that a slow tool does not improve the figures.
    pub async fn call(self: Rc<Self>, arrival: Arrival) -> CompletedRequest {
        let plan = &self.plan.streams[arrival.stream];
        let content = Content::new(plan, &arrival, self.start_ms);
        let body = request_body(plan, &content);
        let due = self.start + arrival.at;
        let sent = Instant::now();
        let lateness = sent.saturating_duration_since(due);
        let measured_from = if lateness > TIMER_GRANULARITY {
            due
        } else {
            sent
        };
        let sent_ms = unix_ms();
        let mut record = RequestRecord {
            stream: plan.name.clone(),
            tier: plan.tier,
            pool: plan.pool.clone(),
            echo: content.echo.clone(),
            key: content.key.clone(),
            prefix: content.prefix.clone(),
            repeatable: plan.repeatable,
            resend: arrival.is_resend(),
            due_ms: self.start_ms as f64 + arrival.at.as_secs_f64() * 1e3,
            sent_ms,
            ..RequestRecord::default()
        };
        let attempt = self
            .call_with_retries(plan, &content, &body, measured_from, &mut record)
            .await;
        let total = measured_from.elapsed();
        let first_token = attempt
            .first_token
            .map(|at| at.saturating_duration_since(measured_from));
        let since_sent = |at: Instant| at.saturating_duration_since(sent).as_secs_f64() * 1e3;
        record.first_token_ms = attempt.first_token.map(|at| sent_ms + since_sent(at));
        record.ended_ms = sent_ms + since_sent(Instant::now());
        record.good = attempt.is_complete() && total <= plan.deadline.duration();
        record.tokens = attempt.tokens(plan, &content);
        record.outcome = attempt.outcome;
        record.code = attempt.code;
        record.status = attempt.status;
        record.retry_after_s = attempt.retry_after_s;
        record.verdict = attempt.verdict;
        record.hash = answer_check::hash(attempt.text.as_bytes());
        CompletedRequest {
            record,
            lateness,
            first_token,
            total,
            gaps_us: attempt.gaps_us,
        }
    }

    /// Sends a request once through an entry, or with retries under a baseline policy.
    async fn call_with_retries(
        &self,
        plan: &StreamPlan,
        content: &Content,
        body: &Bytes,
        measured_from: Instant,
        record: &mut RequestRecord,
    ) -> Attempt {
        let deadline = plan.deadline.duration();
        let (give_up_at, attempt_timeout) = match self.targets.policy() {
            Policy::Entries => (
                measured_from + deadline + RESPONSE_GRACE,
                deadline + RESPONSE_GRACE,
            ),
            // Half the deadline leaves time for a retry after a timeout.
            Policy::Naive => (measured_from + deadline, deadline / 2),
            Policy::LeastOutstanding => (measured_from + deadline, deadline),
        };
        loop {
            record.attempts += 1;
            let Some(target) = self.targets.select(&plan.pool) else {
                return Attempt::unknown("no_target");
            };
            record.target = target.address().to_smolstr();
            let until = give_up_at.min(Instant::now() + attempt_timeout);
            let sending = self.attempt(plan, content, body, &target);
            let attempt = match timeout_at(until, sending).await {
                Ok(attempt) => attempt,
                Err(_) => Attempt::unknown("caller_timeout"),
            };
            let retry = self.targets.policy() != Policy::Entries
                && !attempt.is_complete()
                && record.attempts <= RETRIES_MAX
                && Instant::now() < give_up_at;
            if !retry {
                return attempt;
            }
        }
    }

    async fn attempt(
        &self,
        plan: &StreamPlan,
        content: &Content,
        body: &Bytes,
        target: &SelectedTarget,
    ) -> Attempt {
        let req = self.request(plan, content, target);
        let sent = Instant::now();
        let Ok(mut answer) = req.send_body(body.clone()).await else {
            return Attempt::unknown("no_answer");
        };
        let mut attempt = Attempt {
            status: answer.status().as_u16(),
            ..Attempt::default()
        };
        if !answer.status().is_success() {
            let headers = answer.headers().clone();
            let body = answer.body().limit(BODY_MAX_BYTES).await;
            record_error_response(&mut attempt, &headers, &body.unwrap_or_default());
            return attempt;
        }
        if plan.call != Call::Service && plan.streamed {
            read_events(&mut attempt, &mut answer, sent).await;
            if attempt.outcome == Outcome::Answered {
                attempt.verdict = check_answer(plan, content, body, &attempt.text);
            }
            return attempt;
        }
        let Ok(received) = answer.body().limit(BODY_MAX_BYTES).await else {
            attempt.code = SmolStr::new_static("broken_off");
            return attempt;
        };
        attempt.outcome = Outcome::Answered;
        attempt.text = String::from_utf8_lossy(&received).into_owned();
        if plan.call != Call::Service {
            attempt.text = completion_text(&received);
        }
        attempt.verdict = check_answer(plan, content, body, &attempt.text);
        attempt
    }

    fn request(
        &self,
        plan: &StreamPlan,
        content: &Content,
        target: &SelectedTarget,
    ) -> ClientRequest {
        let through_entry = self.targets.policy() == Policy::Entries;
        let reference = content.echo.trim_start_matches('#');
        let path = match plan.call {
            Call::Chat => SmolStr::new_static("/v1/chat/completions"),
            Call::Text => SmolStr::new_static("/v1/completions"),
            Call::Service if through_entry => {
                format_smolstr!("/services/{}/calls?ref={reference}", plan.pool)
            }
            Call::Service => format_smolstr!("/calls?ref={reference}"),
        };
        let url = format!("http://{}{path}", target.address());
        let deadline_s = plan.deadline.duration().as_secs_f64();
        let mut req = self
            .client
            .post(url)
            .timeout(plan.deadline.duration() + RESPONSE_GRACE)
            .insert_header(("content-type", "application/json"))
            .insert_header(("authorization", format!("Bearer {}", plan.api_key)))
            .insert_header(("request-timeout", deadline_s.to_string()));
        if let Some(class) = &plan.class {
            req = req.insert_header(("work-class", class.as_str()));
        }
        if let Some(key) = &content.key {
            req = req.insert_header(("idempotency-key", key.as_str()));
        }
        req
    }
}

fn request_body(plan: &StreamPlan, content: &Content) -> Bytes {
    let mut prompt = content.prompt.clone();
    if !plan.mark.is_empty() {
        prompt = format!("{} {prompt}", plan.mark);
    }
    let body = match plan.call {
        Call::Chat => json!({
            "model": plan.pool,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": content.output_tokens,
            "stream": plan.streamed,
        }),
        Call::Text => json!({
            "model": plan.pool,
            "prompt": prompt,
            "max_tokens": content.output_tokens,
            "stream": plan.streamed,
        }),
        Call::Service => json!({ "text": prompt }),
    };
    body.to_string().into()
}

fn check_answer(plan: &StreamPlan, content: &Content, body: &Bytes, text: &str) -> Verdict {
    let sent = String::from_utf8_lossy(body);
    match plan.call {
        Call::Service => answer_check::check_echo(text.as_bytes(), &sent, &content.echo),
        Call::Chat | Call::Text => {
            answer_check::check_completion(text, &content.echo, content.output_tokens)
        }
    }
}

#[derive(Debug, Default, Deserialize)]
struct ErrorResponse {
    #[serde(default)]
    error: ErrorBody,
}

#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    code: SmolStr,
}

fn record_error_response(attempt: &mut Attempt, headers: &HeaderMap, body: &[u8]) {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    attempt.outcome = match text("request-outcome") {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed,
    };
    attempt.retry_after_s = text("retry-after").and_then(|value| value.parse().ok());
    let response: ErrorResponse = serde_json::from_slice(body).unwrap_or_default();
    attempt.code = match response.error.code.is_empty() {
        true => attempt.status.to_smolstr(),
        false => response.error.code,
    };
}

/// Reads a stream to its end and records its text, token times, outcome and error
/// code in the attempt.
async fn read_events<S>(attempt: &mut Attempt, answer: &mut S, sent: Instant)
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut events = EventReader::default();
    let mut last_token_at = sent;
    while let Some(chunk) = answer.next().await {
        let Ok(chunk) = chunk else {
            attempt.code = SmolStr::new_static("broken_off");
            return;
        };
        events.push(&chunk);
        let now = Instant::now();
        let mut tokens: u32 = 0;
        let mut done = false;
        while let Some(event) = events.next_event() {
            match event {
                Event::Text(text) => {
                    attempt.text.push_str(&text);
                    tokens += 1;
                }
                Event::Done => done = true,
                Event::Error(code) => {
                    attempt.code = code.into();
                    return;
                }
                Event::Other => {}
            }
        }
        record_tokens(attempt, tokens, now, &mut last_token_at);
        if done {
            attempt.outcome = Outcome::Answered;
        }
    }
    if attempt.outcome != Outcome::Answered {
        // The body ended without a transport error, so a client would accept it as complete.
        attempt.outcome = Outcome::Answered;
        attempt.code = SmolStr::new_static("ended_without_done");
    }
}

/// Records tokens that arrived together; the interval since the previous ones
/// is divided evenly among them.
fn record_tokens(
    attempt: &mut Attempt,
    mut tokens: u32,
    now: Instant,
    last_token_at: &mut Instant,
) {
    if tokens == 0 {
        return;
    }
    if attempt.first_token.is_none() {
        attempt.first_token = Some(now);
        *last_token_at = now;
        tokens -= 1;
    }
    if tokens > 0 {
        let gap = now.saturating_duration_since(*last_token_at) / tokens;
        let gap_us = u32::try_from(gap.as_micros()).unwrap_or(u32::MAX);
        attempt.gaps_us.extend((0..tokens).map(|_| gap_us));
    }
    *last_token_at = now;
}

/// Returns the text of an unstreamed completion, or an empty text if the body
/// has another form.
fn completion_text(body: &[u8]) -> String {
    let answer: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let choice = &answer["choices"][0];
    let text = choice["message"]["content"].as_str();
    text.or(choice["text"].as_str()).unwrap_or_default().into()
}
