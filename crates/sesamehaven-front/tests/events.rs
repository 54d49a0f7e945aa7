//! Streams of events that are cut anywhere and go on at another endpoint.

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

/// Pushes a text in pieces of `size` bytes; returns what is whole.
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
fn events_come_out_whole_however_they_are_cut(#[values(1, 2, 3, 7, 20, 1_000)] size: usize) {
    let text = events(1..=9);
    let mut splitter = Splitter::default();
    assert_eq!(push_all(&mut splitter, &text, size), Ok(text));
    assert!(!splitter.has_partial_event());
    assert_eq!(splitter.last_id(), Some(9));
}

#[rstest]
fn a_stream_that_breaks_off_anywhere_goes_on_without_gap_or_repeat(
    #[values(1, 5, 64)] size: usize,
) {
    let text = events(1..=5);
    for cut in 0..=text.len() {
        let mut splitter = Splitter::default();
        let mut complete = push_all(&mut splitter, &text[..cut], size).unwrap();
        splitter.discard_partial();
        let next = splitter.last_id().map_or(1, |id| id + 1);
        complete += &push_all(&mut splitter, &events(next..=5), size).unwrap();
        assert_eq!(complete, text, "cut at {cut}");
    }
}

#[test]
fn an_endpoint_that_begins_anew_repeats_nothing() {
    let mut splitter = Splitter::resume_after(Some(3));
    assert_eq!(
        push_all(&mut splitter, &events(1..=5), 10),
        Ok(events(4..=5))
    );
}

#[test]
fn a_missing_event_ends_the_stream() {
    let mut splitter = Splitter::default();
    let text = event(1) + &event(3);
    assert_eq!(push_all(&mut splitter, &text, 1_000), Err(EventError::Gap));
}

#[test]
fn an_event_may_carry_other_fields_and_line_ends() {
    let text = "x-weights: 5\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\n";
    let mut splitter = Splitter::default();
    assert_eq!(push_all(&mut splitter, text, 4), Ok(text.to_owned()));
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn an_event_without_end_is_not_held_for_ever() {
    let mut splitter = Splitter::default();
    let endless = Bytes::from(vec![b'a'; 2 << 20]);
    assert_eq!(splitter.push(&endless), Err(EventError::TooLong));
}
