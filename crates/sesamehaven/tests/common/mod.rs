//! What several tests need.

use sesamehaven::placement::ListedEndpoint;
use sesamehaven::software_version::PoolVersion;

/// An endpoint that stands near and takes work.
pub(crate) fn listed(id: &str, slots: u32) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        slots,
        is_near: true,
        is_ready: true,
        version: PoolVersion(1),
    }
}
