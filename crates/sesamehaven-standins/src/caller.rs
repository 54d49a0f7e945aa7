//! One caller: it sends a request, reads the answer and notes what it was told.

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

/// How often the baselines try again.
const RETRIES_MAX: u32 = 3;
/// How much longer than its deadline a caller waits to be told.
const PATIENCE: Duration = Duration::from_secs(2);
/// Lateness below this is that of the timer, not of the load tool.
const TIMER_GRANULARITY: Duration = Duration::from_millis(3);
const BODY_MAX_BYTES: usize = 64 << 20;

/// What callers of one thread share.
pub struct Caller {
    /// The client.
    pub client: Client,
    /// The mix.
    pub plan: Arc<Plan>,
    /// Where requests go.
    pub targets: Arc<Targets>,
    /// The start of the run.
    pub start: Instant,
    /// The start of the run in milliseconds since 1970.
    pub start_ms: u64,
}

/// A request that is over, with its times.
#[derive(Debug)]
pub struct CompletedRequest {
    /// What the caller was told.
    pub told: RequestRecord,
    /// How late it was sent.
    pub lateness: Duration,
    /// The time to the first token of a streamed answer.
    pub first_token: Option<Duration>,
    /// The time to the end.
    pub total: Duration,
    /// The times between tokens, in microseconds.
    pub gaps_us: Vec<u32>,
}

/// One try of a request.
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

    /// Returns the answer tokens that came.
    fn tokens(&self, plan: &StreamPlan, content: &Content) -> u64 {
        let at_once = plan.call != Call::Service && !plan.streamed;
        if at_once && self.is_answer() {
            return content.output_tokens;
        }
        self.gaps_us.len() as u64 + u64::from(self.first_token.is_some())
    }

    fn is_answer(&self) -> bool {
        self.outcome == Outcome::Answered && self.verdict == Verdict::Whole
    }
}

impl Caller {
    /// Sends a request that is due and waits for its end.
    pub async fn call(self: Rc<Self>, arrival: Arrival) -> CompletedRequest {
        let plan = &self.plan.streams[arrival.stream];
        let content = Content::new(plan, &arrival, self.start_ms);
        let body = body(plan, &content);
        let due = self.start + arrival.at;
        let sent = Instant::now();
        let lateness = sent.saturating_duration_since(due);
        let from = if lateness > TIMER_GRANULARITY {
            due
        } else {
            sent
        };
        let sent_ms = unix_ms();
        let mut told = RequestRecord {
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
        let attempt = self.tries(plan, &content, &body, from, &mut told).await;
        let total = from.elapsed();
        let first_token = attempt
            .first_token
            .map(|at| at.saturating_duration_since(from));
        let since_sent = |at: Instant| at.saturating_duration_since(sent).as_secs_f64() * 1e3;
        told.first_token_ms = attempt.first_token.map(|at| sent_ms + since_sent(at));
        told.ended_ms = sent_ms + since_sent(Instant::now());
        told.good = attempt.is_answer() && total <= plan.deadline.duration();
        told.tokens = attempt.tokens(plan, &content);
        told.outcome = attempt.outcome;
        told.code = attempt.code;
        told.status = attempt.status;
        told.retry_after_s = attempt.retry_after_s;
        told.verdict = attempt.verdict;
        told.hash = answer_check::hash(attempt.text.as_bytes());
        CompletedRequest {
            told,
            lateness,
            first_token,
            total,
            gaps_us: attempt.gaps_us,
        }
    }

    /// Tries once through an entry, and several times by a baseline policy.
    async fn tries(
        &self,
        plan: &StreamPlan,
        content: &Content,
        body: &Bytes,
        from: Instant,
        told: &mut RequestRecord,
    ) -> Attempt {
        let deadline = plan.deadline.duration();
        let (last, per_try) = match self.targets.policy() {
            Policy::Entries => (from + deadline + PATIENCE, deadline + PATIENCE),
            Policy::Naive => (from + deadline, deadline / 2),
            Policy::LeastOutstanding => (from + deadline, deadline),
        };
        loop {
            told.attempts += 1;
            let Some(target) = self.targets.select(&plan.pool) else {
                return Attempt::unknown("no_target");
            };
            told.target = target.address().to_smolstr();
            let until = last.min(Instant::now() + per_try);
            let trying = self.attempt(plan, content, body, &target);
            let attempt = match timeout_at(until, trying).await {
                Ok(attempt) => attempt,
                Err(_) => Attempt::unknown("caller_timeout"),
            };
            let again = self.targets.policy() != Policy::Entries
                && !attempt.is_answer()
                && told.attempts <= RETRIES_MAX
                && Instant::now() < last;
            if !again {
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
            refused(&mut attempt, &headers, &body.unwrap_or_default());
            return attempt;
        }
        if plan.call != Call::Service && plan.streamed {
            read_events(&mut attempt, &mut answer, sent).await;
            if attempt.outcome == Outcome::Answered {
                attempt.verdict = verdict(plan, content, body, &attempt.text);
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
        attempt.verdict = verdict(plan, content, body, &attempt.text);
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
            .timeout(plan.deadline.duration() + PATIENCE)
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

fn body(plan: &StreamPlan, content: &Content) -> Bytes {
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

fn verdict(plan: &StreamPlan, content: &Content, body: &Bytes, text: &str) -> Verdict {
    let sent = String::from_utf8_lossy(body);
    match plan.call {
        Call::Service => answer_check::check_echo(text.as_bytes(), &sent, &content.echo),
        Call::Chat | Call::Text => {
            answer_check::check_completion(text, &content.echo, content.output_tokens)
        }
    }
}

#[derive(Debug, Default, Deserialize)]
struct Refusal {
    #[serde(default)]
    error: RefusalError,
}

#[derive(Debug, Default, Deserialize)]
struct RefusalError {
    #[serde(default)]
    code: SmolStr,
}

fn refused(attempt: &mut Attempt, headers: &HeaderMap, body: &[u8]) {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    attempt.outcome = match text("request-outcome") {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed,
    };
    attempt.retry_after_s = text("retry-after").and_then(|value| value.parse().ok());
    let refusal: Refusal = serde_json::from_slice(body).unwrap_or_default();
    attempt.code = match refusal.error.code.is_empty() {
        true => attempt.status.to_smolstr(),
        false => refusal.error.code,
    };
}

/// Reads a stream to its end; the times between events go to the attempt.
async fn read_events<S>(attempt: &mut Attempt, answer: &mut S, sent: Instant)
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut events = EventReader::default();
    let mut last = sent;
    while let Some(part) = answer.next().await {
        let Ok(part) = part else {
            attempt.code = SmolStr::new_static("broken_off");
            return;
        };
        events.push(&part);
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
        book_tokens(attempt, tokens, now, &mut last);
        if done {
            attempt.outcome = Outcome::Answered;
        }
    }
    if attempt.outcome != Outcome::Answered {
        // The body ended as if it were whole, so the caller takes it as such.
        attempt.outcome = Outcome::Answered;
        attempt.code = SmolStr::new_static("ended_without_done");
    }
}

/// Notes tokens that came together; the time since the last ones is shared.
fn book_tokens(attempt: &mut Attempt, mut tokens: u32, now: Instant, last: &mut Instant) {
    if tokens == 0 {
        return;
    }
    if attempt.first_token.is_none() {
        attempt.first_token = Some(now);
        *last = now;
        tokens -= 1;
    }
    if tokens > 0 {
        let each = now.saturating_duration_since(*last) / tokens;
        let each_us = u32::try_from(each.as_micros()).unwrap_or(u32::MAX);
        attempt.gaps_us.extend((0..tokens).map(|_| each_us));
    }
    *last = now;
}

fn completion_text(body: &[u8]) -> String {
    let answer: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let choice = &answer["choices"][0];
    let text = choice["message"]["content"].as_str();
    text.or(choice["text"].as_str()).unwrap_or_default().into()
}
