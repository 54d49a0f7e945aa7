//! Checks that an answer is complete and belongs to its request.

use smol_str::{SmolStr, ToSmolStr};

use crate::completion::{ECHO_MARK, answer_token};
use crate::request_record::Verdict;

/// Compares the text of a stand-in engine's answer with the expected tokens.
pub fn check_completion(text: &str, echo: &str, output_tokens: u64) -> Verdict {
    let mut rest = text;
    for number in 0..output_tokens {
        let expected = answer_token(number, echo);
        let Some(remaining) = rest.strip_prefix(expected.as_str()) else {
            return classify_difference(rest, echo);
        };
        rest = remaining;
    }
    match rest.is_empty() {
        true => Verdict::Whole,
        false => Verdict::Mismatch,
    }
}

/// Compares the body echoed by a stand-in service with the body that was sent.
pub fn check_echo(answer: &[u8], sent: &str, echo: &str) -> Verdict {
    let answer: serde_json::Value = serde_json::from_slice(answer).unwrap_or_default();
    match answer["body"].as_str() {
        Some(body) if body == sent => Verdict::Whole,
        Some(body) => classify_difference(body, echo),
        None => Verdict::Partial,
    }
}

/// Returns the first 16 hexadecimal digits of the BLAKE3 hash of an answer's text.
pub fn hash(text: &[u8]) -> SmolStr {
    let digest = blake3::hash(text).to_hex();
    digest.as_str()[..16].to_smolstr()
}

/// Classifies text that differs from the expected answer.
///
/// The text of a completion starts at the first token that differs. Text is partial if
/// it is empty, or contains the echo word of this request and no other. Anything else
/// is a mismatch, also text without any echo word, such as an answer cut inside a token.
fn classify_difference(text: &str, echo: &str) -> Verdict {
    let own_echoes = text.matches(echo).count();
    let all_echoes = text.matches(ECHO_MARK).count();
    match all_echoes > own_echoes || (all_echoes == 0 && !text.is_empty()) {
        true => Verdict::Mismatch,
        false => Verdict::Partial,
    }
}
