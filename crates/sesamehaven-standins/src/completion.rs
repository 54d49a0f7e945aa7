//! Requests and answers of the completions API, as an engine handles them.

use std::fmt::Write;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

/// The first character of the echo word: the prompt word that each answer token repeats.
pub const ECHO_MARK: char = '#';

const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// The completions API that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// The fields of a completions request that the engine uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Completion {
    /// The model.
    #[serde(default)]
    pub model: SmolStr,
    /// The prompt of a text completion.
    #[serde(default)]
    pub prompt: String,
    /// The messages of a chat completion.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// The requested length of the answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A message of a chat completion.
#[derive(Debug, Clone, Deserialize)]
pub struct Message {
    /// The text.
    #[serde(default)]
    pub content: String,
}

impl Completion {
    /// Lists the words of the prompt, each of which counts as a token.
    pub fn words(&self) -> impl Iterator<Item = &str> {
        let messages = self.messages.iter().map(|m| m.content.as_str());
        std::iter::once(self.prompt.as_str())
            .chain(messages)
            .flat_map(str::split_ascii_whitespace)
    }

    /// Returns the requested length of the answer, or the default.
    pub fn output_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1)
    }

    /// Returns the echo word of the prompt, or an empty string.
    ///
    /// The answer repeats it, which makes an answer to another request detectable.
    pub fn echo(&self) -> SmolStr {
        let found = self.words().find(|word| word.starts_with(ECHO_MARK));
        found.unwrap_or_default().into()
    }
}

/// Returns the text of an answer token, with a leading space except for the first.
pub fn answer_token(number: u64, echo: &str) -> String {
    let space = if number == 0 { "" } else { " " };
    format!("{space}t{number}{echo}")
}

/// What is needed to render an answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The API that was called.
    pub api: ApiKind,
    /// The id of the run.
    pub id: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The software version that each event names; empty for none.
    pub release: SmolStr,
    /// The echo word.
    pub echo: SmolStr,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The part of the prompt found in the prefix cache.
    pub cached_tokens: u64,
    /// The length of the answer.
    pub output_tokens: u64,
}

impl Answer {
    /// Renders the events of tokens `from..to`, followed by the end marker after the last token.
    pub fn events(&self, from: u64, to: u64) -> Bytes {
        let mut buf = String::new();
        for number in from..to {
            let last = number + 1 == self.output_tokens;
            let mut event = json!({
                "id": self.id,
                "object": self.chunk_object(),
                "model": self.model,
                "choices": [self.chunk(number, last)],
            });
            if !self.release.is_empty() {
                event["system_fingerprint"] = self.release.as_str().into();
            }
            if last {
                event["usage"] = self.usage();
            }
            let _ = write!(buf, "data: {event}\n\n");
            if last {
                buf.push_str("data: [DONE]\n\n");
            }
        }
        buf.into()
    }

    /// Renders the body of an unstreamed answer.
    pub fn full_body(&self) -> Bytes {
        let text: String = (0..self.output_tokens)
            .map(|number| answer_token(number, &self.echo))
            .collect();
        let choice = match self.api {
            ApiKind::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }),
            ApiKind::Text => json!({ "index": 0, "text": text, "finish_reason": "stop" }),
        };
        let object = match self.api {
            ApiKind::Chat => "chat.completion",
            ApiKind::Text => "text_completion",
        };
        let answer = json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        answer.to_string().into()
    }

    fn chunk_object(&self) -> &'static str {
        match self.api {
            ApiKind::Chat => "chat.completion.chunk",
            ApiKind::Text => "text_completion",
        }
    }

    fn chunk(&self, number: u64, last: bool) -> serde_json::Value {
        let text = answer_token(number, &self.echo);
        let finish_reason = last.then_some("stop");
        match self.api {
            ApiKind::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason })
            }
            ApiKind::Text => json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        }
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}
