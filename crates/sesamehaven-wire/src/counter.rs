//! Names of the counters, which [`docs/METRICS.md`](../../../docs/METRICS.md) describes.

use metrics::{Counter, counter};

use crate::error::Error;

/// Links that were opened, by `side`.
pub const LINKS_OPENED: &str = "links_opened_total";
/// Links that ended after their handshake, by `reason`.
pub const LINKS_CLOSED: &str = "links_closed_total";
/// Handshakes that failed, by `reason`.
pub const HANDSHAKES_FAILED: &str = "link_handshakes_failed_total";
/// Frames written to links.
pub const FRAMES_SENT: &str = "link_frames_sent_total";
/// Frames read from links.
pub const FRAMES_RECEIVED: &str = "link_frames_received_total";
/// Frames that this process tried to send although they are over the limit.
pub const FRAMES_OVERSIZED: &str = "link_frames_oversized_total";
/// Bytes written to links.
pub const BYTES_SENT: &str = "link_sent_bytes_total";
/// Bytes read from links.
pub const BYTES_RECEIVED: &str = "link_received_bytes_total";
/// Write calls on links; frames by writes is the size of a batch.
pub const WRITES: &str = "link_writes_total";
/// Datagrams with reports that were sent.
pub const REPORTS_SENT: &str = "reports_sent_total";
/// Datagrams with reports that could not be sent.
pub const REPORTS_UNSENT: &str = "reports_unsent_total";
/// Datagrams with reports that were accepted.
pub const REPORTS_RECEIVED: &str = "reports_received_total";
/// Datagrams that were dropped, by `reason`.
pub const REPORTS_DROPPED: &str = "reports_dropped_total";

/// The counters of a link's traffic, looked up once for each link.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub(crate) frames_sent: Counter,
    pub(crate) frames_received: Counter,
    pub(crate) bytes_sent: Counter,
    pub(crate) bytes_received: Counter,
    pub(crate) writes: Counter,
}

impl Traffic {
    pub(crate) fn new() -> Self {
        Traffic {
            frames_sent: counter!(FRAMES_SENT),
            frames_received: counter!(FRAMES_RECEIVED),
            bytes_sent: counter!(BYTES_SENT),
            bytes_received: counter!(BYTES_RECEIVED),
            writes: counter!(WRITES),
        }
    }
}

/// Counts a handshake that failed.
pub(crate) fn handshake_failed(err: &Error) {
    counter!(HANDSHAKES_FAILED, "reason" => err.reason()).increment(1);
}

/// Counts a link that ended.
pub(crate) fn link_closed(err: &Error) {
    counter!(LINKS_CLOSED, "reason" => err.reason()).increment(1);
}
