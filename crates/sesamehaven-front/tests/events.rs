//! Splitting of event streams that are cut at arbitrary points and resumed at another endpoint.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use bytes::Bytes;
use rstest::rstest;

use sesamehaven_front::events::{EventError, Splitter};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// Pushes a text in chunks of `size` bytes and returns the complete events.
fn push_all(splitter: &mut Splitter, text: &str, size: usize) -> Result<String, EventError> {
    let mut complete = String::new();
    for chunk in text.as_bytes().chunks(size) {
        if let Some(events) = splitter.push(&Bytes::copy_from_slice(chunk))? {
            complete.push_str(std::str::from_utf8(&events).unwrap());
        }
    }
    Ok(complete)
}

#[rstest]
fn events_are_reassembled_from_chunks_of_any_size(#[values(1, 2, 3, 7, 20, 1_000)] size: usize) {
    let text = events(1..=9);
    let mut splitter = Splitter::default();
    assert_eq!(push_all(&mut splitter, &text, size), Ok(text));
    assert!(!splitter.has_partial_event());
    assert_eq!(splitter.last_id(), Some(9));
}

#[rstest]
fn a_stream_cut_anywhere_resumes_without_gap_or_duplicate(#[values(1, 5, 64)] size: usize) {
    let text = events(1..=5);
    for cut in 0..=text.len() {
        let mut splitter = Splitter::default();
        let mut complete = push_all(&mut splitter, &text[..cut], size).unwrap();
        splitter = Splitter::resume_after(splitter.last_id());
        let next = splitter.last_id().map_or(1, |id| id + 1);
        complete += &push_all(&mut splitter, &events(next..=5), size).unwrap();
        assert_eq!(complete, text, "cut at {cut}");
    }
}

#[test]
fn events_that_the_caller_has_are_dropped() {
    let mut splitter = Splitter::resume_after(Some(3));
    assert_eq!(
        push_all(&mut splitter, &events(1..=5), 10),
        Ok(events(4..=5))
    );
}

#[test]
fn a_missing_event_is_an_error() {
    let mut splitter = Splitter::default();
    let text = event(1) + &event(3);
    assert_eq!(push_all(&mut splitter, &text, 1_000), Err(EventError::Gap));
}

#[test]
fn other_fields_and_crlf_line_ends_are_accepted() {
    let text = "x-weights: 5\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\n";
    let mut splitter = Splitter::default();
    assert_eq!(push_all(&mut splitter, text, 4), Ok(text.to_owned()));
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn an_unterminated_event_is_rejected() {
    let mut splitter = Splitter::default();
    let endless = Bytes::from(vec![b'a'; 2 << 20]);
    assert_eq!(splitter.push(&endless), Err(EventError::TooLong));
}

/// Guards against stalled streams that look alive since they send empty lines, and against the loss of
/// empty lines that a sound stream sends.
#[rstest]
fn empty_lines_complete_no_event_and_are_kept(
    #[values("\n", "\r\n")] line: &str,
    #[values(1, 100)] size: usize,
) {
    let mut splitter = Splitter::default();
    let lines = line.repeat(3);
    assert_eq!(push_all(&mut splitter, &lines, size), Ok(String::new()));
    let with_event = [lines.clone(), event(1)].concat();
    assert_eq!(push_all(&mut splitter, &event(1), size), Ok(with_event));
    assert_eq!(push_all(&mut splitter, &lines, size), Ok(String::new()));
    assert!(!splitter.has_partial_event());
    assert_eq!(splitter.take_complete(), Some(Bytes::from(lines)));
}

/// Guards against memory that grows without bound while nothing but empty lines arrives.
#[test]
fn empty_lines_without_end_fail() {
    let mut splitter = Splitter::default();
    let lines = Bytes::from("\n".repeat(64 << 10));
    let failed = (0..32).any(|_| splitter.push(&lines) == Err(EventError::TooLong));
    assert!(failed);
}
