//! Whether an answer is the whole answer to its request.

use smol_str::{SmolStr, ToSmolStr};

use crate::completion::{ECHO_MARK, answer_token};
use crate::request_record::Verdict;

/// Compares the text of a stand-in engine's answer with what it should be.
pub fn check_completion(text: &str, echo: &str, output_tokens: u64) -> Verdict {
    let mut rest = text;
    for number in 0..output_tokens {
        let expected = answer_token(number, echo);
        let Some(after) = rest.strip_prefix(expected.as_str()) else {
            return mismatch(rest, echo);
        };
        rest = after;
    }
    match rest.is_empty() {
        true => Verdict::Whole,
        false => Verdict::Mismatch,
    }
}

/// Compares a stand-in service's answer with the body that was sent.
pub fn check_echo(answer: &[u8], sent: &str, echo: &str) -> Verdict {
    let answer: serde_json::Value = serde_json::from_slice(answer).unwrap_or_default();
    match answer["body"].as_str() {
        Some(body) if body == sent => Verdict::Whole,
        Some(body) => mismatch(body, echo),
        None => Verdict::Partial,
    }
}

/// Hashes the text of an answer.
pub fn hash(text: &[u8]) -> SmolStr {
    let digest = blake3::hash(text).to_hex();
    digest.as_str()[..16].to_smolstr()
}

/// Tells a part of this answer from another one.
fn mismatch(rest: &str, echo: &str) -> Verdict {
    let own = rest.matches(echo).count();
    let marks = rest.matches(ECHO_MARK).count();
    match marks > own || (marks == 0 && !rest.is_empty()) {
        true => Verdict::Mismatch,
        false => Verdict::Partial,
    }
}
