//! What is remembered of the versions that began streams, and where a stream goes on.

#![allow(clippy::unwrap_used)] // The helpers run in tests only.

use rstest::rstest;

use sesamehaven::software_version::PoolVersion;
use sesamehaven::stream_origin::{
    Continuation, ORIGIN_RETENTION, StreamId, StreamOrigin, StreamOrigins, VersionHistory,
};
use sesamehaven::unit::{Instant, Millis};

const V1: PoolVersion = PoolVersion(1);
const V2: PoolVersion = PoolVersion(2);

#[rstest]
#[case::known(Some(V1), &[V1, V2], &[V1, V2], Continuation::At(V1))]
#[case::known_and_gone(Some(V1), &[V1, V2], &[V2], Continuation::Gone)]
#[case::known_in_a_pool_that_the_route_has_left(Some(V1), &[V2], &[V2], Continuation::Gone)]
#[case::unknown_of_one(None, &[V2], &[V2], Continuation::At(V2))]
#[case::unknown_of_one_that_is_gone(None, &[V2], &[], Continuation::Gone)]
#[case::unknown_of_two(None, &[V1, V2], &[V1, V2], Continuation::Unknown)]
#[case::unknown_of_two_of_which_one_is_gone(None, &[V1, V2], &[V2], Continuation::Unknown)]
#[case::nothing_known(None, &[], &[], Continuation::Unknown)]
fn a_stream_goes_on_only_at_a_version_that_must_be_its_own(
    #[case] origin: Option<PoolVersion>,
    #[case] recent: &[PoolVersion],
    #[case] serving: &[PoolVersion],
    #[case] expected: Continuation,
) {
    assert_eq!(
        Continuation::decide(origin, recent, true, serving),
        expected
    );
    let if_incomplete = match origin {
        Some(_) => expected,
        None => Continuation::Unknown,
    };
    assert_eq!(
        Continuation::decide(origin, recent, false, serving),
        if_incomplete
    );
}

#[test]
fn a_history_is_complete_once_it_is_restored_or_streams_of_before_have_ended() {
    let mut history = VersionHistory::default();
    assert!(!history.is_complete(Instant(0)));
    history.on_listing([V1], Instant(0));
    assert!(!history.is_complete(Instant(0).after(ORIGIN_RETENTION)));
    assert!(history.is_complete(Instant(1).after(ORIGIN_RETENTION)));
    let mut restored = VersionHistory::default();
    restored.restore([V1], Instant(0));
    assert!(restored.is_complete(Instant(0)));
}

#[test]
fn a_new_version_is_withheld_until_it_is_recorded_but_not_for_long() {
    let mut history = VersionHistory::default();
    history.on_listing([V1], Instant(0));
    assert!(!history.is_withheld(V1, Instant(0)), "it is the only one");
    history.on_recorded(&[V1]);
    assert!(history.on_listing([V1, V2], Instant(5_000)));
    assert!(history.is_withheld(V2, Instant(5_900)));
    assert!(!history.is_withheld(V1, Instant(5_900)));
    assert!(
        !history.is_withheld(V2, Instant(6_000)),
        "its record takes long"
    );
    history.on_recorded(&[V1, V2]);
    assert!(!history.on_listing([V1, V2], Instant(5_010)));
    assert!(!history.is_withheld(V2, Instant(5_010)));
}

#[test]
fn a_version_counts_as_recent_until_streams_of_it_have_ended() {
    let mut history = VersionHistory::default();
    let recent = |history: &VersionHistory, now| {
        let mut recent: Vec<PoolVersion> = history.recent(now).collect();
        recent.sort();
        recent
    };
    history.on_listing([V1, V1], Instant(0));
    history.on_listing([V1, V2], Instant(1_000));
    history.on_listing([V2], Instant(2_000));
    assert_eq!(recent(&history, Instant(2_000)), [V1, V2]);
    let end = Instant(2_000).after(ORIGIN_RETENTION);
    assert_eq!(recent(&history, end), [V1, V2]);
    assert_eq!(recent(&history, end.after(Millis(1))), [V2]);
    history.on_listing([V1, V2], Instant(3_000));
    history.restore([V1], Instant(3_000));
    assert_eq!(recent(&history, Instant(3_000)), [V1, V2]);
}

#[test]
fn the_first_origin_of_a_stream_stays() {
    let mut origins = StreamOrigins::default();
    let stream = StreamId::new("a1");
    for version in [V1, V2] {
        origins.record(StreamOrigin { stream, version }, Instant(0));
    }
    assert_eq!(origins.find(stream, Instant(0)), Some(V1));
    assert_eq!(origins.len(), 1);
}

#[test]
fn origins_are_forgotten_by_age_and_their_number_is_bounded() {
    let mut origins = StreamOrigins::default();
    for n in 0..100_000_u32 {
        let stream = StreamId::new(&n.to_string());
        origins.record(
            StreamOrigin {
                stream,
                version: V1,
            },
            Instant(0),
        );
    }
    assert!(origins.len() <= 32_768, "{}", origins.len());
    let later = Instant(0).after(ORIGIN_RETENTION).after(Millis(1));
    assert_eq!(origins.find(StreamId::new("99999"), later), None);
    let stream = StreamId::new("new");
    origins.record(
        StreamOrigin {
            stream,
            version: V2,
        },
        later,
    );
    assert_eq!(origins.len(), 1);
}
