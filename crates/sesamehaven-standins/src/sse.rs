//! A reader of server-sent events of a streamed answer.

use bytes::BytesMut;
use serde::Deserialize;

/// A server-sent event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A part of the answer.
    Text(String),
    /// The end of a complete answer.
    Done,
    /// An error that ends the answer, with its code.
    Error(String),
    /// Any other event, which is ignored.
    Other,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    error: Option<ErrorBody>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    code: String,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader(BytesMut);

impl EventReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.0.windows(2).position(|pair| pair == b"\n\n")?;
        let block = self.0.split_to(end + 2);
        let text = String::from_utf8_lossy(&block);
        let data = text.lines().find_map(|line| line.strip_prefix("data:"));
        Some(data.map_or(Event::Other, |data| parse(data.trim())))
    }
}

fn parse(data: &str) -> Event {
    if data == "[DONE]" {
        return Event::Done;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return Event::Other;
    };
    if let Some(error) = chunk.error {
        return Event::Error(error.code);
    }
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Event::Other;
    };
    let content = choice.text.or_else(|| choice.delta?.content);
    content.map_or(Event::Other, Event::Text)
}
