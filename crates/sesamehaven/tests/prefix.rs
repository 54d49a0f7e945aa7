//! What entries know of prefixes, and what agents summarise.

use rstest::rstest;

use sesamehaven::cache_view::CacheView;
use sesamehaven::id::EndpointName;
use sesamehaven::prefix::{CombinedPrefixIndex, PrefixIndex};

fn names() -> [EndpointName; 3] {
    ["a", "b", "c"].map(|n| n.parse().expect("a valid name"))
}

#[rstest]
fn entries_learn_of_each_others_offers_from_summaries() {
    let names = names();
    let endpoints: Vec<_> = names.iter().collect();
    let mut view = CacheView::new(100);
    view.add(&[1, 2, 3]);
    let mut knowledge = CombinedPrefixIndex::default();
    knowledge.on_summary(&names[1], view.summary(512).as_bytes());
    assert_eq!(knowledge.held(&endpoints, &[1, 2, 3, 4])[..], [0, 3, 0]);
    knowledge.on_offer(&names[0], &[1, 2, 3, 4]);
    assert_eq!(knowledge.held(&endpoints, &[1, 2, 3, 4])[..], [4, 3, 0]);
    knowledge.forget(&names[0]);
    assert_eq!(knowledge.held(&endpoints, &[1, 2, 3, 4])[..], [0, 3, 0]);
}

#[rstest]
fn entries_agree_on_a_home_for_what_nobody_holds() {
    let names = names();
    let endpoints: Vec<_> = names.iter().collect();
    let (one, other) = (
        CombinedPrefixIndex::default(),
        CombinedPrefixIndex::default(),
    );
    let mut homes = [0; 3];
    for prefix in 0..300 {
        let held = one.held(&endpoints, &[prefix, 7, 8]);
        assert_eq!(held, other.held(&endpoints, &[prefix, 7, 8]));
        let home = held.iter().position(|n| *n > 0);
        homes[home.expect("a home")] += 1;
    }
    assert!(homes.iter().all(|n| *n > 60), "{homes:?}");
}

#[rstest]
fn a_cache_view_forgets_what_was_evicted_and_what_is_old() {
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
