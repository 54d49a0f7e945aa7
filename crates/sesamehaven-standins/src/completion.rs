//! Requests and answers of the completions interface, as an engine sees them.

use std::fmt::Write;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

/// The first character of the prompt word that is repeated in each answer word.
pub const ECHO_MARK: char = '#';

const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// Which of the two completions interfaces was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// The body of a completions request, as far as an engine heeds it.
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
    /// The length of the answer.
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

    /// Returns the length of the answer.
    pub fn output_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1)
    }

    /// Finds the word that the answer repeats, so that an answer to another's
    /// request shows.
    pub fn echo(&self) -> SmolStr {
        let found = self.words().find(|word| word.starts_with(ECHO_MARK));
        found.unwrap_or_default().into()
    }
}

/// Returns the text of an answer token, with the space before it.
pub fn answer_token(number: u64, echo: &str) -> String {
    let space = if number == 0 { "" } else { " " };
    format!("{space}t{number}{echo}")
}

/// How an answer is written.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The interface that was called.
    pub style: ApiKind,
    /// The id of the run.
    pub id: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The word that is repeated.
    pub echo: SmolStr,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The part of the prompt that the cache held.
    pub cached_tokens: u64,
    /// The length of the answer.
    pub output_tokens: u64,
}

impl Answer {
    /// Writes the events of tokens `from..to`, and the end after the last one.
    pub fn events(&self, from: u64, to: u64) -> Bytes {
        let mut buf = String::new();
        for number in from..to {
            let last = number + 1 == self.output_tokens;
            let mut event = json!({
                "id": self.id,
                "object": self.chunk_kind(),
                "model": self.model,
                "choices": [self.chunk(number, last)],
            });
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

    /// Writes the whole answer of a request that is not streamed.
    pub fn full_body(&self) -> Bytes {
        let text: String = (0..self.output_tokens)
            .map(|number| answer_token(number, &self.echo))
            .collect();
        let choice = match self.style {
            ApiKind::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }),
            ApiKind::Text => json!({ "index": 0, "text": text, "finish_reason": "stop" }),
        };
        let kind = match self.style {
            ApiKind::Chat => "chat.completion",
            ApiKind::Text => "text_completion",
        };
        let answer = json!({
            "id": self.id,
            "object": kind,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        answer.to_string().into()
    }

    fn chunk_kind(&self) -> &'static str {
        match self.style {
            ApiKind::Chat => "chat.completion.chunk",
            ApiKind::Text => "text_completion",
        }
    }

    fn chunk(&self, number: u64, last: bool) -> serde_json::Value {
        let text = answer_token(number, &self.echo);
        let finish = last.then_some("stop");
        match self.style {
            ApiKind::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
            }
            ApiKind::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
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
