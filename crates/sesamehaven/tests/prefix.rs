//! Prefix indexes of entries and cache summaries of agents.

use rstest::rstest;

use sesamehaven::cache_view::CacheView;
use sesamehaven::id::EndpointName;
use sesamehaven::prefix::{CombinedPrefixIndex, PrefixIndex};

fn names() -> [EndpointName; 3] {
    ["a", "b", "c"].map(|n| n.parse().expect("a valid name"))
}

#[rstest]
fn summaries_share_offers_between_entries() {
    let names = names();
    let endpoints: Vec<_> = names.iter().collect();
    let mut view = CacheView::new(100);
    view.add(&[1, 2, 3]);
    let mut index = CombinedPrefixIndex::default();
    index.on_summary(&names[1], view.summary(512).as_bytes());
    assert_eq!(index.held(&endpoints, &[1, 2, 3, 4])[..], [0, 3, 0]);
    index.on_offer(&names[0], &[1, 2, 3, 4]);
    assert_eq!(index.held(&endpoints, &[1, 2, 3, 4])[..], [4, 3, 0]);
    index.forget(&names[0]);
    assert_eq!(index.held(&endpoints, &[1, 2, 3, 4])[..], [0, 3, 0]);
}

#[rstest]
fn entries_agree_on_the_preferred_endpoint_of_unknown_prefixes() {
    let names = names();
    let endpoints: Vec<_> = names.iter().collect();
    let (one, other) = (
        CombinedPrefixIndex::default(),
        CombinedPrefixIndex::default(),
    );
    let mut preferred_counts = [0; 3];
    for prefix in 0..300 {
        let held = one.held(&endpoints, &[prefix, 7, 8]);
        assert_eq!(held, other.held(&endpoints, &[prefix, 7, 8]));
        let preferred = held.iter().position(|n| *n > 0);
        preferred_counts[preferred.expect("a preferred endpoint")] += 1;
    }
    assert!(
        preferred_counts.iter().all(|n| *n > 60),
        "{preferred_counts:?}"
    );
}

#[rstest]
fn a_cache_view_drops_evicted_and_old_prefixes() {
    let mut view = CacheView::new(4);
    view.add(&[1, 2]);
    view.evict(2);
    let summary = view.summary(512);
    assert!(summary.contains(1) && !summary.contains(2));
    view.add(&[3, 4, 5, 6]);
    assert!(!view.summary(512).contains(1));
    view.clear();
    assert!(!view.summary(512).contains(3));
}
