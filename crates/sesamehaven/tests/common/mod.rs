//! What several tests need.

use sesamehaven::placement::Listed;

/// An endpoint that stands near and takes work.
pub(crate) fn listed(id: &str, places: u32) -> Listed {
    Listed {
        id: id.into(),
        places,
        is_near: true,
        is_ready: true,
    }
}
