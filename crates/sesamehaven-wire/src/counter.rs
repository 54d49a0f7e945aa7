//! Names of the metrics of this crate.
//!
//! They are documented in [`docs/METRICS.md`](../../../docs/METRICS.md).

use metrics::{Counter, counter};

use crate::error::Error;

/// Opened links, by `side`.
pub const LINKS_OPENED: &str = "links_opened_total";
/// Links that closed after a successful handshake, by `reason`.
pub const LINKS_CLOSED: &str = "links_closed_total";
/// Failed attempts to open a link, including the TCP connection, by `reason`.
pub const HANDSHAKES_FAILED: &str = "link_handshakes_failed_total";
/// Frames written to links.
pub const FRAMES_SENT: &str = "link_frames_sent_total";
/// Frames read from links.
pub const FRAMES_RECEIVED: &str = "link_frames_received_total";
/// Frames that this process did not send because they exceed the maximum length.
pub const FRAMES_OVERSIZED: &str = "link_frames_oversized_total";
/// Bytes written to links.
pub const BYTES_SENT: &str = "link_sent_bytes_total";
/// Bytes read from links.
pub const BYTES_RECEIVED: &str = "link_received_bytes_total";
/// Write calls on links; the average batch size is the sent frames divided by the writes.
pub const WRITES: &str = "link_writes_total";
/// Report datagrams that were sent.
pub const REPORTS_SENT: &str = "reports_sent_total";
/// Report datagrams that could not be sent.
pub const REPORTS_UNSENT: &str = "reports_unsent_total";
/// Report datagrams that were accepted.
pub const REPORTS_RECEIVED: &str = "reports_received_total";
/// Received datagrams that were dropped, by `reason`.
pub const REPORTS_DROPPED: &str = "reports_dropped_total";

/// The traffic counters of a link, which are looked up once per link.
#[derive(Clone)]
pub(crate) struct TrafficCounters {
    pub(crate) frames_sent: Counter,
    pub(crate) frames_received: Counter,
    pub(crate) bytes_sent: Counter,
    pub(crate) bytes_received: Counter,
    pub(crate) writes: Counter,
}

impl TrafficCounters {
    pub(crate) fn new() -> Self {
        TrafficCounters {
            frames_sent: counter!(FRAMES_SENT),
            frames_received: counter!(FRAMES_RECEIVED),
            bytes_sent: counter!(BYTES_SENT),
            bytes_received: counter!(BYTES_RECEIVED),
            writes: counter!(WRITES),
        }
    }
}

/// Records a failed attempt to open a link.
pub(crate) fn handshake_failed(err: &Error) {
    counter!(HANDSHAKES_FAILED, "reason" => err.reason()).increment(1);
}

/// Records a closed link.
pub(crate) fn link_closed(err: &Error) {
    counter!(LINKS_CLOSED, "reason" => err.reason()).increment(1);
}
